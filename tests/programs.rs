//! Both programs start, do their first work and end as they should.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"allowed":{"maxAttempts":4,"mostHeld":210,"mayCancel":true,"secondCopies":true,
    "retryAfter":true,"maxRetryAfterUs":2000000,"maxStreams":32},
    "classes":[{"name":"fleet-search","objectiveUs":1500000,"deadlineUs":4000000,"idempotency":"retryable",
      "gain":1.0,"lateShare":0.1}],
    "discovery":"subscribe","resolutionUs":5000,"zones":["a"],
    "familyInfo":{"partsACall":8,"sets":2,"width":2,"classFetch":[0],"classPartial":[0.9],"minShare":[1.0],
      "needByClass":[1.0]}}"#;

fn send_request(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn broker_serves_health_rejects_bad_input_and_ends_on_sigterm() {
    let path = std::env::temp_dir().join(format!("lichenswitch-test-{}.json", std::process::id()));
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, config).unwrap();
    let mut broker = Command::new(env!("CARGO_BIN_EXE_lichenswitch"))
        .env("NODE_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(broker.stderr.take().unwrap()).lines();
    let line = lines
        .find(|l| l.as_ref().unwrap().contains("listens on "))
        .unwrap()
        .unwrap();
    let address = line.rsplit(' ').next().unwrap();
    let live = send_request(
        address,
        "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n",
    );
    assert!(live.starts_with("HTTP/1.1 200 "), "{live}");
    // Discovery is down and no list is known: clients are not to come yet.
    let ready = send_request(
        address,
        "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n",
    );
    assert!(ready.starts_with("HTTP/1.1 503 "), "{ready}");
    let bad = send_request(address, "NONSENSE\r\n\r\n");
    assert!(bad.starts_with("HTTP/1.1 400 "), "{bad}");
    // No data node is known: the module gives up at once, and says when to come back.
    let body = r#"{"segments":[{"segment":0,"boost":1.0}],"text":"x"}"#;
    let query = format!(
        "POST /fleet-search HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: fleet-search\r\nReq-Deadline-Ms: 60000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let rejection = send_request(address, &query);
    assert!(
        rejection.starts_with("HTTP/1.1 503 ") && rejection.contains("\r\nretry-after: "),
        "{rejection}"
    );
    let killed = Command::new("kill")
        .arg(broker.id().to_string())
        .status()
        .unwrap();
    assert!(killed.success() && broker.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn reload_moves_to_another_discovery_and_an_invalid_file_changes_nothing() {
    let path =
        std::env::temp_dir().join(format!("lichenswitch-reload-{}.json", std::process::id()));
    let [first, second] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let write = |discovery: &str| {
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","settings":{SETTINGS}}}"#
        );
        std::fs::write(&path, config).unwrap();
    };
    write(&first.local_addr().unwrap().to_string());
    let mut broker = Command::new(env!("CARGO_BIN_EXE_lichenswitch"))
        .env("NODE_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(broker.stderr.take().unwrap()).lines();
    let mut line_with = |text: &str| {
        lines
            .find(|l| l.as_ref().unwrap().contains(text))
            .unwrap()
            .unwrap()
    };
    let listens = line_with("listens on ");
    let _first_stream = first.accept().unwrap();
    let signal = |name: &str| {
        assert!(Command::new("kill")
            .args([name, &broker.id().to_string()])
            .status()
            .unwrap()
            .success());
    };
    write("nowhere");
    signal("-HUP");
    line_with("reload: discovery: \"nowhere\"");
    write(&second.local_addr().unwrap().to_string());
    signal("-HUP");
    let (mut stream, _) = second.accept().unwrap();
    let mut head = [0; 28];
    stream.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"GET /registry/instances HTTP");
    let address = listens.rsplit(' ').next().unwrap();
    let ready = || {
        send_request(
            address,
            "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n",
        )
    };
    assert!(
        ready().starts_with("HTTP/1.1 503 "),
        "not before the list is here"
    );
    let list = r#"{"generation":1,"reset":true,"instances":[]}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    stream.write_all(answer.as_bytes()).unwrap();
    // The watch that follows shows that the list was read.
    let mut next_request = Vec::new();
    while !String::from_utf8_lossy(&next_request).contains("since=1") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        next_request.push(byte[0]);
    }
    assert!(ready().starts_with("HTTP/1.1 200 "), "and then at once");
    signal("-TERM");
    signal("-HUP");
    line_with("stopping");
    assert!(
        broker.wait().unwrap().success(),
        "a reload while it stops does not end it otherwise"
    );
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn invalid_configuration_ends_the_broker_with_a_message() {
    let run = |env: &[(&str, &str)]| {
        let mut broker = Command::new(env!("CARGO_BIN_EXE_lichenswitch"));
        broker.env_remove("NODE_CONFIG").envs(env.iter().copied());
        let output = broker.output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    assert!(run(&[("NODE_CONFIG", "/no/such/file")]).contains("NODE_CONFIG"));
}

#[test]
fn the_simulation_answers_an_empty_batch() {
    let mut simulation = Command::new(env!("CARGO_BIN_EXE_lichenswitch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let batch = [16, 0, 0, 0, 0, 0, 0, 0, 0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0];
    simulation.stdin.take().unwrap().write_all(&batch).unwrap();
    let output = simulation.wait_with_output().unwrap();
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 8, 0, 0, 0]);
}
