//! The program's command line: exit codes, and what it says of files that can't be used.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str], settings: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"));
    command.args(arguments).env_remove("LICHENSWITCH_CONFIG");
    if let Some(path) = settings {
        command.env("LICHENSWITCH_CONFIG", path);
    }
    command.output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "lichenswitch-fleet-program-{}-{name}",
        std::process::id()
    ));
    std::fs::write(&path, text).unwrap();
    path
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn unusable_settings_exit_with_2_and_name_all_faults() {
    let path = file(
        "bad",
        "nodeName = 3\nzone = \"a\"\ninternalPortRange = [1]\n[limits]\nmemoryMb = \"x\"\n",
    );
    for role in ["router", "control"] {
        let output = run(&[role], Some(&path));
        assert_eq!(output.status.code(), Some(2), "{role}");
        let said = error(&output);
        for key in [
            "nodeName",
            "ipAddress",
            "internalPortRange",
            "seedNodes",
            "limits.memoryMb",
        ] {
            assert!(said.contains(key), "{role} does not name {key}: {said}");
        }
        assert_eq!(said.lines().count(), 1);
        let none = run(&[role], None);
        assert_eq!(none.status.code(), Some(2));
        assert!(error(&none).contains("LICHENSWITCH_CONFIG"));
        let absent = run(
            &[role, "--settings", "/nonexistent/settings.toml"],
            Some(&path),
        );
        assert_eq!(
            absent.status.code(),
            Some(2),
            "the option goes before the variable"
        );
        assert!(error(&absent).contains("/nonexistent/settings.toml"));
    }
    std::fs::remove_file(path).unwrap();
}

#[test]
fn unknown_arguments_exit_with_2_and_help_with_0() {
    assert_eq!(run(&["serve"], None).status.code(), Some(2));
    assert_eq!(run(&["control", "--speed"], None).status.code(), Some(2));
    let help = run(&["--help"], None);
    assert_eq!(help.status.code(), Some(0));
    let said = String::from_utf8_lossy(&help.stdout).into_owned();
    for name in ["router", "control", "status", "check"] {
        assert!(said.contains(name), "{said}");
    }
}

#[test]
fn check_recognises_kind_of_file() {
    let settings = file(
        "good.toml",
        "nodeName = \"n\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\ninternalPortRange = [7300, 7315]\nseedNodes = []\n",
    );
    let configuration = file(
        "good.json",
        " {\"version\":4,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutMs\":30,\
         \"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}",
    );
    let invalid = file("bad.json", "{\"version\":4,\"routes\":[");
    let said = |path: &PathBuf| run(&["check", path.to_str().unwrap()], None);
    let good = said(&settings);
    assert_eq!(
        (good.status.code(), &good.stdout[..]),
        (Some(0), &b"settings of n can be used\n"[..])
    );
    let good = said(&configuration);
    assert_eq!(
        String::from_utf8_lossy(&good.stdout),
        "configuration 4 can be used: 1 routes, 1 services\n",
        "{}",
        error(&good)
    );
    let bad = said(&invalid);
    assert_eq!(bad.status.code(), Some(2));
    assert!(error(&bad).contains("configuration: "), "{}", error(&bad));
    [settings, configuration, invalid]
        .iter()
        .for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn status_reports_unreachable_machine() {
    // Its port is taken, and nobody listens: one that was free a moment ago may be another test's.
    let refuses = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    refuses
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let free = refuses.local_addr().unwrap().as_socket().unwrap();
    let output = run(&["status", &free.to_string()], None);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        error(&output).contains(&free.to_string()),
        "{}",
        error(&output)
    );
}
