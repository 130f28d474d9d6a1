//! The program itself: signals, exit codes, and its settings file.

mod support;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use support::client::{request, Client};
use support::control::Control;
use support::harness::{document, process_ip, record, settings_text};
use support::server::{NextAction, Server};

/// Ends the process with the test, however that ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }
}

#[test]
fn router_process_handles_its_signals() {
    let server = Server::start("i-1", |received, connection| {
        connection.closes_within(Duration::from_millis(300));
        connection.respond(received, 200, "", "done");
        NextAction::Keep
    });
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    control.push_servers(vec![record(
        &server,
        lichenswitch_messages::ServerState::Ready,
        1,
    )]);
    control.push_configuration(1, &document(1, 3_000, 1_000, 2));
    let [frontend, readiness] = [7_011, 7_012].map(|port| SocketAddr::from((process_ip(), port)));
    let text = settings_text(&[std::net::Ipv4Addr::LOCALHOST], control.address.port(), "")
        .replacen("127.0.0.1:0", &frontend.to_string(), 1)
        .replacen("127.0.0.1:0", &readiness.to_string(), 1);
    let path = std::env::temp_dir().join(format!("router-process-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("write");
    let child = Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"))
        .arg("router")
        .env("LICHENSWITCH_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("start");
    let mut process = Process(child);
    support::wait_until("it is in force", || control.applied().is_some());
    let mut client = Client::connect(frontend);
    client.send(request("POST", "unsafe", "a1", "", "x"));
    support::wait_until("it is held", || server.request_count("a1") == 1);
    process.signal("-HUP");
    process.signal("-TERM");
    let reply = client.reply();
    assert_eq!(
        (reply.status, reply.text(), reply.header("connection")),
        (200, "done", Some("close"))
    );
    let mut ended = None;
    support::wait_until("it ends", || {
        ended = process.0.try_wait().expect("wait");
        ended.is_some()
    });
    assert!(ended.expect("ended").success());
    std::fs::remove_file(&path).expect("remove");
}

#[test]
fn missing_frontend_address_is_reported() {
    let text =
        settings_text(&[std::net::Ipv4Addr::LOCALHOST], 7_300, "").replace("frontend", "other");
    let path = std::env::temp_dir().join(format!("router-faulty-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("write");
    let output = Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"))
        .arg("router")
        .env("LICHENSWITCH_CONFIG", &path)
        .output()
        .expect("run");
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("listenAddresses.frontend"), "{said}");
    std::fs::remove_file(&path).expect("remove");
}
