//! The platform's front on loopback, before a stand-in discovery and stand-in data nodes.

mod test_broker;

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use test_broker::*;

#[test]
fn query_response_carries_the_values_of_its_parts() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    for round in 0..2 {
        // On one connection, twice: it stays open.
        client
            .write_all(&query("fleet-search", &format!("a{round}"), &[4, 7]))
            .unwrap();
        let frames = serve(&stage, 2);
        assert_eq!(
            frames.len(),
            1,
            "two parts of a turn to one node share a call"
        );
        let response = read_response(&mut client);
        assert_eq!(response.status, 200);
        assert_eq!(
            text(&response),
            r#"{"all_in":true,"matches":[{"segment":4,"payload":"v4"},{"segment":7,"payload":"v7"}]}"#
        );
    }
}

#[test]
fn second_step_queries_the_best_shards_and_returns_their_values() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    client
        .write_all(&query("network-report", "b", &[1, 2, 3, 4]))
        .unwrap();
    serve(&stage, 4);
    let frames = serve(&stage, 2);
    assert!(
        frames[0].contains("b.3.get 3 ") && frames[0].contains("b.4.get 4 "),
        "{frames:?}"
    );
    assert!(frames[0].contains("from=1+2+3+4,whole=1"), "{frames:?}");
    let body_text = text(&read_response(&mut client));
    assert!(
        body_text.starts_with(r#"{"all_in":true"#)
            && body_text.contains("v3")
            && body_text.contains("v4")
    );
    assert!(!body_text.contains("v1") && !body_text.contains("v2"));
}

#[test]
fn requests_in_fragments_and_in_chunks_are_read() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    client.set_nodelay(true).unwrap();
    for chunk in query("fleet-search", "c", &[1]).chunks(7) {
        client.write_all(chunk).unwrap();
        thread::sleep(Duration::from_millis(1));
    }
    serve(&stage, 1);
    assert_eq!(read_response(&mut client).status, 200);
    let body = body(&[2]);
    let (one, two) = body.split_at(9);
    let chunked = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        head("fleet-search", "d"),
        one.len(),
        two.len()
    );
    client.write_all(chunked.as_bytes()).unwrap();
    serve(&stage, 1);
    assert_eq!(read_response(&mut client).status, 200);
}

#[test]
fn body_over_64_kib_is_rejected_and_others_are_served() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    let large = format!("{}Content-Length: 65537\r\n\r\n", head("fleet-search", "e"));
    client.write_all(large.as_bytes()).unwrap();
    assert_eq!(read_response(&mut client).status, 413);
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "f", &[1])).unwrap();
    serve(&stage, 1);
    assert_eq!(read_response(&mut client).status, 200);
}

#[test]
fn client_that_keeps_sending_is_read_to_its_end_and_answered() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    let large = format!(
        "{}Content-Length: 60000000\r\n\r\n",
        head("fleet-search", "e")
    );
    client.write_all(large.as_bytes()).unwrap();
    for _ in 0..60 {
        client.write_all(&[b'x'; 1_000_000]).unwrap();
    }
    assert_eq!(read_response(&mut client).status, 413);
}

#[test]
fn unfinished_request_is_rejected_and_a_silent_client_closed() {
    let stage = TestBroker::new();
    let (mut half_client, mut silent_client) = (stage.connect(), stage.connect());
    half_client
        .write_all(&query("fleet-search", "e", &[1])[..40])
        .unwrap();
    assert_eq!(read_response(&mut half_client).status, 408);
    assert_eq!(silent_client.read(&mut [0; 10]).unwrap(), 0);
}

#[test]
fn concurrent_requests_stay_within_their_memory_share() {
    let stage = TestBroker::new();
    let begin = |_| {
        let mut client = stage.connect();
        let head = format!("{}Content-Length: 65000\r\n\r\n", head("fleet-search", "e"));
        client
            .write_all(&[head.as_bytes(), &[b'x'; 60_000]].concat())
            .unwrap();
        client
    };
    let mut clients: Vec<TcpStream> = (0..40).map(begin).collect();
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| read_response(client).status)
        .collect();
    assert!(
        statuses.contains(&503) && statuses.contains(&408),
        "{statuses:?}"
    );
}

#[test]
fn client_disconnect_cancels_its_parts() {
    let stage = TestBroker::new();
    stage.learn_slow_node();
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "g", &[1])).unwrap();
    let call = stage.next();
    assert_eq!(call.parts(), ["g.1"]);
    drop(client);
    assert_eq!(stage.next().frame, "Ag.1");
}

#[test]
fn query_is_rejected_at_once_when_every_attempt_was_rejected() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "h", &[1])).unwrap();
    let reject = |call: &mut ReceivedFrame| {
        let id = call.parts()[0].clone();
        call.answer(&format!("{id} REJECTED - -\n"));
    };
    (0..4).for_each(|_| reject(&mut stage.next()));
    let response = read_response(&mut client);
    assert!(
        response.status == 503 && response.header("retry-after").is_some(),
        "{}",
        text(&response)
    );
}

#[test]
fn accepted_requests_finish_after_the_stop() {
    // Clients that wait for 1.5 s at most are served for 1.5 s more than others after the stop.
    let mut stage = TestBroker::with(&SETTINGS.replace("9000000", "1500000"));
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "i", &[1])).unwrap();
    let mut call = stage.next();
    drop(stage.stop.take());
    // Readiness ends once the broker has seen the stop; connections do, and new ones, some time
    // later.
    let readiness = || -> Option<u16> {
        let mut probe = TcpStream::connect(stage.address).ok()?;
        probe
            .write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut bytes = Vec::new();
        probe.read_to_end(&mut bytes).ok()?;
        String::from_utf8(bytes)
            .ok()?
            .split(' ')
            .nth(1)?
            .parse()
            .ok()
    };
    while readiness() == Some(200) {}
    call.answer("i.1 OK 1 -\nv");
    let response = read_response(&mut client);
    assert_eq!(
        (response.status, response.header("connection")),
        (200, Some("keep-alive"))
    );
    client.write_all(&query("fleet-search", "j", &[1])).unwrap();
    serve(&stage, 1);
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!(
        client.read(&mut [0; 10]).unwrap(),
        0,
        "closed between requests"
    );
    stage.broker.take().unwrap().join().unwrap();
    assert!(
        TcpStream::connect(stage.address).is_err(),
        "it no longer listens"
    );
}

#[test]
fn open_queries_are_answered_before_the_process_may_be_killed() {
    // It may be killed 3.7 s after the signal where clients wait for longer than 3 s; these wait
    // for 8 s.
    let patient = SETTINGS
        .replace("4000000", "1000000")
        .replace("\"lateShare\":0.1", "\"lateShare\":1.0");
    let mut stage = TestBroker::with(&patient);
    let mut client = stage.connect();
    drop(stage.stop.take());
    let stopped = Instant::now();
    client.write_all(&query("fleet-search", "i", &[1])).unwrap();
    let pending_call = stage.next();
    // Nobody answers.
    assert_ne!(read_response(&mut client).status, 200);
    assert!(
        stopped.elapsed() < Duration::from_secs(6),
        "and not when its client gives up"
    );
    stage.broker.take().unwrap().join().unwrap();
    drop(pending_call);
}

/// Answers calls until the client has its answer; false: its connection was closed instead. However
/// slow the machine is, each request is sent on once at the most, and a request that has had its
/// answer isn't sent on after that.
fn serve_until_answered(
    stage: &TestBroker,
    client: &TcpStream,
    n: u32,
    forwarded: &mut BTreeSet<String>,
) -> bool {
    client.set_nonblocking(true).unwrap();
    let is_answered = loop {
        if let Ok(mut call) = stage.frames.recv_timeout(Duration::from_millis(1)) {
            let id = call.parts()[0].clone();
            let number = id
                .trim_start_matches('q')
                .trim_end_matches(".1")
                .parse::<u32>()
                .unwrap();
            assert!(
                number <= n && forwarded.insert(id.clone()),
                "one call for each: {id} at {n}"
            );
            call.answer(&format!("{id} OK 1 -\nv"));
        }
        match client.peek(&mut [0]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => break false,
            Ok(_) => break true,
        }
    };
    client.set_nonblocking(false).unwrap();
    is_answered
}

#[test]
fn requests_after_the_stop_are_served_or_rejected_at_once() {
    // Aims of 0.3 s and waits of 0.6 s: what is taken ends within 1.1 s of the signal.
    let mut stage = TestBroker::with(
        &SETTINGS
            .replace("4000000", "300000")
            .replace("9000000", "600000"),
    );
    let mut client = stage.connect();
    drop(stage.stop.take());
    let (mut served, mut rejected, mut n) = (0, 0, 0);
    let mut forwarded = BTreeSet::new();
    loop {
        n += 1;
        if client
            .write_all(&query("fleet-search", &format!("q{n}"), &[1]))
            .is_err()
        {
            break;
        }
        // What is sent on is answered by the data node as soon as it comes there; what is not can
        // only be a refusal.
        if !serve_until_answered(&stage, &client, n, &mut forwarded) {
            // Closed between requests: this one was not read, and its client sends it to another
            // broker.
            break;
        }
        let response = read_response(&mut client);
        match response.status {
            200 => served += 1,
            503 => rejected += 1,
            status => panic!("{status}: {}", text(&response)),
        }
        assert!(
            served == 0 || rejected == 0 || response.status == 503,
            "it takes none again"
        );
        if response.header("connection") == Some("close") {
            assert_eq!(client.read(&mut [0; 10]).unwrap(), 0, "nothing more comes");
            break;
        }
    }
    assert!(served > 0, "{served} served, {rejected} refused of {n}");
    stage.broker.take().unwrap().join().unwrap();
}

#[test]
fn pushed_lists_keep_the_watch_from_the_start_and_drains_apply() {
    let (call_sender, calls) = mpsc::channel();
    let pushed = SETTINGS.replace("subscribe", "automatic");
    let stage = TestBroker::listed(&pushed, move |listener, list| {
        let drains = list
            .replace("\"generation\":1", "\"generation\":2")
            .replace("SERVING", "DRAINING");
        let serves = list.replace("\"generation\":1", "\"generation\":3");
        // Each answer is held back until the test has seen the call before it.
        let (stream, first) = accept_discovery_call(&listener);
        call_sender.send(first).unwrap();
        send_list(&stream, drains);
        call_sender.send(read_discovery_call(&stream)).unwrap();
        // The agent falls silent: it is asked anew, and goes on where it was.
        let (stream, anew) = accept_discovery_call(&listener);
        call_sender.send(anew).unwrap();
        send_list(&stream, serves);
        call_sender.send(read_discovery_call(&stream)).unwrap();
        drop(stream);
        call_sender
            .send(accept_discovery_call(&listener).1)
            .unwrap();
    });
    let next = || calls.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(next().starts_with("/registry/instances?since=1&timeout_ms="));
    assert!(next().contains("since=2"), "the watch goes on");
    // The only node drains: nothing is sent there until the silent agent, asked anew, has told that
    // it serves.
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "a", &[1])).unwrap();
    assert_eq!(read_response(&mut client).status, 503);
    assert!(next().contains("since=2"), "asked anew");
    assert!(next().contains("since=3"));
    client.write_all(&query("fleet-search", "b", &[2])).unwrap();
    assert!(
        serve(&stage, 1)[0].contains("b.2 2 "),
        "the first that is sent"
    );
    assert_eq!(read_response(&mut client).status, 200);
    assert!(next().contains("since=3"), "a broken watch is begun again");
}
