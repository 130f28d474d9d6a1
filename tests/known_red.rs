//! `.ci/tests` with a test command that is a script: what is listed in `KNOWN-RED.txt` is passed
//! over by its exact name, run apart and told, and a list that is wrong fails.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");

/// A folder with a test command that has three tests, of which one fails.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("known-red-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        let command = path.join("command");
        fs::write(
            &command,
            "#!/bin/sh\necho \"$@\" >> calls\ncase \"$*\" in\n*--list*) printf 'a::sound: test\\na::red: test\\na::redder: test\\n';;\n\
             *'--skip a::red'*) exit 0;;\n*sound*) exit 0;;\n*) exit 1;;\nesac\n",
        )
        .unwrap();
        fs::set_permissions(&command, fs::Permissions::from_mode(0o755)).unwrap();
        Folder(path)
    }

    fn run(&self, known_red: Option<&str>) -> (bool, String) {
        let list = self.0.join("KNOWN-RED.txt");
        match known_red {
            Some(text) => fs::write(&list, text).unwrap(),
            None => _ = fs::remove_file(&list),
        }
        let _ = fs::remove_file(self.0.join("calls"));
        let output: Output = Command::new("bash")
            .args([SCRIPT, "./command"])
            .current_dir(&self.0)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
    }

    fn calls(&self) -> String {
        fs::read_to_string(self.0.join("calls")).unwrap_or_default()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(Path::new(&self.0));
    }
}

#[test]
fn without_a_list_the_test_command_runs_unchanged() {
    let folder = Folder::new("none");
    assert!(!folder.run(None).0, "a test fails");
    assert_eq!(folder.calls(), "\n");
    assert!(!folder.run(Some("")).0, "an empty list excuses nothing");
}

#[test]
fn listed_tests_are_skipped_by_name_and_reported() {
    let folder = Folder::new("listed");
    let (passed, report) = folder.run(Some(
        "a::red | the cause | issue 29\na::sound | flaky | issue 29\n",
    ));
    assert!(passed, "{report}");
    assert!(
        folder
            .calls()
            .contains("-- --exact --skip a::red --skip a::sound\n"),
        "{}",
        folder.calls()
    );
    assert!(
        report.contains("known red: a::red: fails as listed") && report.contains("the cause"),
        "{report}"
    );
    assert!(
        report.contains("known red: a::sound: passed this time"),
        "{report}"
    );
}

#[test]
fn a_list_that_is_too_long_names_no_test_or_tells_no_cause_fails() {
    let folder = Folder::new("wrong");
    let line = "a::red | the cause | issue 29\n";
    for invalid_list in [
        &line.repeat(4),
        "a::re | the cause | issue 29\n",
        "a::red\n",
        "a::red | | issue 29\n",
    ] {
        let (passed, report) = folder.run(Some(invalid_list));
        assert!(
            !passed && report.contains("KNOWN-RED.txt"),
            "{invalid_list}: {report}"
        );
    }
}
