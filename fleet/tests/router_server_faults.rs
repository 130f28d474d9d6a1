//! Faults of servers: MIXED, UNASKED, TWICE, REFUSED and BUDGET.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::client::request;
use support::harness::RouterHarness;
use support::server::{event, NextAction, Server};

#[test]
fn complete_response_is_forwarded_unchanged() {
    let server = Server::start("i-1", |received, connection| {
        connection.respond(
            received,
            200,
            "X-Other: kept\r\nVersions: 3\r\nKeep-Alive: timeout=9\r\n",
            "all of it",
        );
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    for id in ["a1", "a2"] {
        let reply = client.round_trip(request("GET", "safe", id, "", ""));
        assert_eq!(
            (reply.status, reply.text(), reply.complete),
            (200, "all of it", true)
        );
        assert_eq!(
            reply.header("response-seal"),
            Some(format!("seal-{id}").as_str())
        );
        assert_eq!(
            (reply.header("x-other"), reply.header("versions")),
            (Some("kept"), Some("3"))
        );
        assert_eq!(
            reply.header("keep-alive"),
            None,
            "it concerns one connection alone"
        );
    }
    assert_eq!(
        server.connections(),
        1,
        "a connection that is well is used again"
    );
}

#[test]
fn server_failure_is_forwarded_with_its_seal() {
    let server = Server::start("i-1", |received, connection| {
        connection.respond(received, 500, "", "it failed");
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 1_000, 500, 1);
    for (kind, id) in [("unsafe", "a1"), ("safe", "a2")] {
        let reply = harness
            .client()
            .round_trip(request("POST", kind, id, "", "x"));
        assert_eq!((reply.status, reply.text()), (500, "it failed"));
        assert_eq!(
            reply.header("response-seal"),
            Some(format!("seal-{id}").as_str())
        );
        assert_eq!(server.request_count(id), 1);
    }
}

#[test]
fn truncated_response_is_not_forwarded() {
    let cuts = [NextAction::Close, NextAction::Reset];
    for next in cuts {
        let server = Server::start("i-1", move |received, connection| {
            connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\nContent-Length: 100\r\n\r\nonly this",
                received.id()
            ));
            next
        });
        let harness = RouterHarness::with(&[&server], 1_000, 500, 1);
        let reply = harness
            .client()
            .round_trip(request("POST", "unsafe", "a1", "", "x"));
        assert_eq!(reply.status, 502, "{next:?}");
        assert_eq!(reply.header("response-seal"), None);
        assert_eq!(server.request_count("a1"), 1);
    }
}

#[test]
fn response_without_length_needs_orderly_close() {
    for (next, status) in [(NextAction::Close, 200), (NextAction::Reset, 502)] {
        let server = Server::start("i-1", move |received, connection| {
            connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: s\r\n\r\nto the end",
                received.id()
            ));
            connection.closes_within(Duration::from_millis(30));
            next
        });
        let harness = RouterHarness::with(&[&server], 1_000, 500, 1);
        let reply = harness
            .client()
            .round_trip(request("POST", "unsafe", "a1", "", "x"));
        assert_eq!(reply.status, status, "{next:?}");
        if status == 200 {
            assert_eq!((reply.text(), reply.complete), ("to the end", true));
        }
    }
}

#[test]
fn bytes_behind_a_response_belong_to_no_request() {
    let server = Server::start("i-1", |received, connection| {
        if received.id() == "a1" {
            let stale =
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: stale\r\nContent-Length: 5\r\n\r\nstale";
            connection.respond(received, 200, "", "first");
            connection.write(stale);
        } else {
            connection.respond(received, 200, "", "second");
        }
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "a1", "", ""))
            .text(),
        "first"
    );
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "a2", "", ""))
            .text(),
        "second"
    );
    assert_eq!(server.connections(), 2, "the connection was closed");
}

#[test]
fn late_extra_response_is_dropped_with_its_connection() {
    let server = Server::start("i-1", |received, connection| {
        match received.id() {
            // In the place where this answer is due the one to another request comes.
            "a2" if connection.number == 1 => connection.write(
                "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal-a1\r\nContent-Length: 5\r\n\r\nextra",
            ),
            id => {
                let body = format!("of {id}");
                connection.respond(received, 200, "", &body);
            }
        }
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "a1", "", ""))
            .text(),
        "of a1"
    );
    let reply = client.round_trip(request("GET", "safe", "a2", "", ""));
    assert_ne!(reply.text(), "extra");
    assert!(reply.status == 502 || reply.text() == "of a2", "{reply:?}");
    let reply = client.round_trip(request("GET", "safe", "a3", "", ""));
    assert_eq!(reply.text(), "of a3");
    assert!(server
        .received()
        .iter()
        .filter(|received| received.connection == 1)
        .all(|received| received.id() != "a3"));
}

#[test]
fn response_to_another_request_is_dropped() {
    let server = Server::start("i-1", |_, connection| {
        connection.write(
            "HTTP/1.1 200 OK\r\nAttempt-Id: zz\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nno",
        );
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 1_000, 500, 1);
    for kind in ["unsafe", "stream"] {
        let reply =
            harness
                .client()
                .round_trip(request("POST", kind, &format!("a-{kind}"), "", "x"));
        assert_eq!((reply.status, reply.header("response-seal")), (502, None));
    }
}

#[test]
fn malformed_responses_are_not_forwarded() {
    let server = Server::start("i-1", |_, connection| {
        connection.write("\x16\x03\x01garbage\r\n\r\n");
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 1_000, 500, 1);
    let reply = harness
        .client()
        .round_trip(request("POST", "unsafe", "a1", "", "x"));
    assert_eq!(reply.status, 502);
    assert_eq!(server.request_count("a1"), 1);
}

#[test]
fn connection_with_early_response_is_not_reused() {
    // It answers as soon as it has the head, and reads on later.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    let (tell, reported) = std::sync::mpsc::channel::<Vec<u8>>();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            counted.fetch_add(1, Ordering::SeqCst);
            let tell = tell.clone();
            std::thread::spawn(move || {
                let mut all = Vec::new();
                let mut bytes = [0; 4_096];
                while !all.windows(4).any(|four| four == b"\r\n\r\n") {
                    match stream.read(&mut bytes) {
                        Ok(0) | Err(_) => return,
                        Ok(read) => all.extend_from_slice(&bytes[..read]),
                    }
                }
                let text = String::from_utf8_lossy(&all).to_ascii_lowercase();
                let id = text
                    .split("attempt-id: ")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").next());
                let id = id.expect("an id").to_owned();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nearly"
                );
                let _ = stream.write_all(answer.as_bytes());
                if !text.contains("content-length: 12000000") {
                    return;
                }
                std::thread::sleep(Duration::from_millis(300));
                while let Ok(read @ 1..) = stream.read(&mut bytes) {
                    all.extend_from_slice(&bytes[..read]);
                }
                let _ = tell.send(all);
            });
        }
    });
    let stand_in = Server::start("i-1", |_, _| NextAction::Close);
    let harness = RouterHarness::with_defaults(&[]);
    let mut record =
        support::harness::record(&stand_in, lichenswitch_messages::ServerState::Ready, 1);
    record.address = address.to_string();
    harness.control.push_servers(vec![record]);
    let wide = support::harness::document(2, 3_000, 1_000, 2).replace("4194304", "16777216");
    harness.control.push_configuration(2, &wide);
    harness.control.wait_until_acknowledged();
    let mut client = harness.client();
    // More than the system's buffers hold: what it has taken whole is read in order, however late.
    let long = "y".repeat(12_000_000);
    let reply = client.round_trip(request("POST", "safe", "a1", "", &long));
    assert_eq!((reply.status, reply.text()), (200, "early"));
    let reply = client.round_trip(request("GET", "safe", "a2", "", ""));
    assert_eq!((reply.status, reply.text()), (200, "early"));
    assert_eq!(connections.load(Ordering::SeqCst), 2);
    // Where the rest of the body is due nothing else may stand.
    let read = reported
        .recv_timeout(support::TEST_TIMEOUT)
        .expect("the first connection ends");
    assert!(!String::from_utf8_lossy(&read).contains("a2"));
}

#[test]
fn unsafe_request_is_sent_once_under_any_fault() {
    for (next, patience) in [
        (NextAction::Close, 0),
        (NextAction::Reset, 0),
        (NextAction::Reset, 60),
        (NextAction::Close, 60),
    ] {
        let script =
            move |_: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
                connection.closes_within(Duration::from_millis(patience + 1));
                next
            };
        let servers = [Server::start("i-1", script), Server::start("i-2", script)];
        let harness = RouterHarness::with(&[&servers[0], &servers[1]], 1_000, 200, 3);
        for kind in ["unsafe", "stream"] {
            let id = format!("a-{kind}");
            let reply = harness
                .client()
                .round_trip(request("POST", kind, &id, "", "x"));
            assert_eq!(reply.status, 502, "{kind}: no promise can be made");
            assert_eq!(
                servers[0].request_count(&id) + servers[1].request_count(&id),
                1,
                "{kind}"
            );
        }
    }
}

/// Guards against TWICE (review/1): a reset between two writes of one request counted as "never sent".
#[test]
fn unsafe_request_reset_while_it_is_written_is_sent_once() {
    const REQUESTS: usize = 16;
    const BODY_BYTES: usize = 1 << 20;
    let script = |_: &support::server::ReceivedRequest,
                  _: &mut support::server::ServerConnection| NextAction::Reset;
    let servers = [Server::start("i-1", script), Server::start("i-2", script)];
    let harness = RouterHarness::with(&[&servers[0], &servers[1]], 5_000, 2_000, 2);
    let body = "x".repeat(BODY_BYTES);
    let mut sent = 0;
    for number in 0..REQUESTS {
        let id = format!("a{number}");
        // Its server acts once it has read the head.
        let reply =
            harness
                .client()
                .round_trip(request("POST", "unsafe", &id, "Early: yes\r\n", &body));
        let executions = servers[0].request_count(&id) + servers[1].request_count(&id);
        assert!(executions <= 1, "{id} was sent to two servers");
        if executions == 1 {
            assert_eq!(reply.status, 502, "{id}: no promise can be made");
        }
        sent += executions;
    }
    assert!(sent > 0, "no server got a request");
}

#[test]
fn silence_after_unsafe_request_ends_at_timeout_without_promise() {
    let script = |_: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
        connection.closes_within(Duration::from_secs(5));
        NextAction::Close
    };
    let servers = [Server::start("i-1", script), Server::start("i-2", script)];
    let harness = RouterHarness::with(&[&servers[0], &servers[1]], 500, 100, 3);
    let reply = harness.client().round_trip(request(
        "POST",
        "unsafe",
        "a1",
        "Deadline-Ms: 5000\r\n",
        "x",
    ));
    assert_eq!(reply.status, 504);
    assert!(
        reply.elapsed >= Duration::from_millis(450) && reply.elapsed < Duration::from_millis(750),
        "{:?}",
        reply.elapsed
    );
    assert_eq!(
        servers[0].request_count("a1") + servers[1].request_count("a1"),
        1
    );
}

#[test]
fn silently_dropped_connection_carries_no_unsafe_request() {
    // After its first answer it forgets the connection without a word: whatever is next sent on it
    // is reset.
    let server = Server::start("i-1", |received, connection| {
        let first_here = received.header("first").is_some();
        connection.respond(received, 200, "Keep-Alive: timeout=30\r\n", "ok");
        if first_here {
            let mut byte = [0; 1];
            let _ = connection.stream.read(&mut byte);
            return NextAction::Reset;
        }
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "a1", "First: yes\r\n", ""))
            .status,
        200
    );
    std::thread::sleep(Duration::from_millis(600));
    let reply = client.round_trip(request("POST", "unsafe", "a2", "", "x"));
    assert_eq!((reply.status, reply.text()), (200, "ok"));
    assert_eq!(server.connections(), 2);
}

#[test]
fn request_rejected_by_all_servers_is_refused_unexecuted() {
    let script = |received: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
        connection.respond(received, 503, "Not-Executed: 1\r\n", "full");
        NextAction::Keep
    };
    let servers = [Server::start("i-1", script), Server::start("i-2", script)];
    let harness = RouterHarness::with(&[&servers[0], &servers[1]], 1_000, 400, 2);
    for kind in ["unsafe", "stream", "safe", "resume"] {
        let id = format!("a-{kind}");
        let reply = harness
            .client()
            .round_trip(request("POST", kind, &id, "", "x"));
        assert_eq!(reply.status, 503, "{kind}");
        assert!(
            reply
                .retry_after()
                .is_some_and(|after| after > 0.0 && after < 1.0),
            "{kind}: {reply:?}"
        );
        assert_eq!(
            reply.header("response-seal"),
            None,
            "an answer of this program bears no seal"
        );
        let sent = servers[0].request_count(&id) + servers[1].request_count(&id);
        assert!(
            (1..=2).contains(&sent),
            "{kind}: {sent} servers for two attempts"
        );
    }
}

#[test]
fn unpromised_refusal_of_server_is_not_forwarded() {
    for status in [503, 429, 408] {
        let server = Server::start("i-1", move |received, connection| {
            connection.respond(received, status, "", "busy");
            NextAction::Keep
        });
        let harness = RouterHarness::with(&[&server], 1_000, 400, 2);
        let reply = harness
            .client()
            .round_trip(request("POST", "unsafe", "a1", "", "x"));
        assert_eq!((reply.status, server.request_count("a1")), (502, 1));
    }
}

#[test]
fn rejected_unsafe_request_is_sent_to_another_server() {
    let refused = Arc::new(AtomicUsize::new(0));
    let script = |refused: Arc<AtomicUsize>| {
        move |received: &support::server::ReceivedRequest,
              connection: &mut support::server::ServerConnection| {
            match refused.fetch_add(1, Ordering::SeqCst) {
                0 => connection.respond(received, 421, "", "another instance"),
                _ => connection.respond(received, 200, "", "done"),
            }
            NextAction::Keep
        }
    };
    let servers = [
        Server::start("i-1", script(refused.clone())),
        Server::start("i-2", script(refused)),
    ];
    let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
    let reply = harness
        .client()
        .round_trip(request("POST", "unsafe", "a1", "", "x"));
    assert_eq!((reply.status, reply.text()), (200, "done"));
    assert_eq!(
        (
            servers[0].request_count("a1"),
            servers[1].request_count("a1")
        ),
        (1, 1)
    );
}

#[test]
fn failed_connects_lead_to_other_server_or_refusal() {
    let good = Server::start("i-2", |received, connection| {
        connection.respond(received, 200, "", "done");
        NextAction::Keep
    });
    let gone = Server::start("i-1", |_, _| NextAction::Close);
    let harness = RouterHarness::with_defaults(&[]);
    let mut dead = support::harness::record(&gone, lichenswitch_messages::ServerState::Ready, 1);
    let refuses = support::harness::RefusingAddress::new();
    dead.address = refuses.address().to_string();
    harness.control.push_servers(vec![dead]);
    harness.control.wait_until_acknowledged();
    let reply =
        harness
            .client()
            .round_trip(request("POST", "unsafe", "a1", "Deadline-Ms: 700\r\n", "x"));
    assert_eq!(reply.status, 503, "nothing was sent");
    assert!(reply.retry_after().is_some());
    harness.control.push_servers(vec![support::harness::record(
        &good,
        lichenswitch_messages::ServerState::Ready,
        1,
    )]);
    harness.control.wait_until_acknowledged();
    for n in 0..6 {
        let reply =
            harness
                .client()
                .round_trip(request("POST", "unsafe", &format!("b{n}"), "", "x"));
        assert_eq!(reply.status, 200);
    }
}

#[test]
fn silent_server_is_hedged_at_half_target_and_loser_cancelled() {
    let turn = Arc::new(AtomicUsize::new(0));
    let (tell, reported) = std::sync::mpsc::channel::<bool>();
    let script = |turn: Arc<AtomicUsize>, tell: std::sync::mpsc::Sender<bool>| {
        move |received: &support::server::ReceivedRequest,
              connection: &mut support::server::ServerConnection| {
            if turn.fetch_add(1, Ordering::SeqCst) == 0 {
                let _ = tell.send(connection.closes_within(Duration::from_secs(2)));
                return NextAction::Close;
            }
            connection.stream_head(received);
            connection.event(1);
            connection.end();
            NextAction::Keep
        }
    };
    let servers = [
        Server::start("i-1", script(turn.clone(), tell.clone())),
        Server::start("i-2", script(turn, tell)),
    ];
    let harness = RouterHarness::with(&[&servers[0], &servers[1]], 3_000, 400, 2);
    let reply = harness.client().round_trip(request(
        "POST",
        "resume",
        "a1",
        "Deadline-Ms: 3000\r\n",
        "x",
    ));
    assert_eq!(
        (reply.status, reply.text().to_owned(), reply.complete),
        (200, event(1), true)
    );
    assert!(
        reply.elapsed >= Duration::from_millis(180) && reply.elapsed < Duration::from_millis(400),
        "{:?}",
        reply.elapsed
    );
    assert!(
        reported
            .recv_timeout(support::TEST_TIMEOUT)
            .expect("the loser is told"),
        "the loser's connection is closed"
    );
    let sent: Vec<_> = servers.iter().flat_map(Server::received).collect();
    assert_eq!(sent.len(), 2);
    let (first, second) = if sent[0].at < sent[1].at {
        (&sent[0], &sent[1])
    } else {
        (&sent[1], &sent[0])
    };
    let passed = second.at.duration_since(first.at).as_millis() as u64;
    assert!(
        second.deadline_ms() + passed <= first.deadline_ms() + 20,
        "what is handed on shrinks: {} then {} after {passed} ms",
        first.deadline_ms(),
        second.deadline_ms()
    );
}

#[test]
fn at_most_max_attempts_servers_get_a_request() {
    let script = |_: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
        connection.closes_within(Duration::from_millis(5));
        NextAction::Reset
    };
    let servers: Vec<Server> = (0..5)
        .map(|n| Server::start(&format!("i-{n}"), script))
        .collect();
    let harness = RouterHarness::with(&servers.iter().collect::<Vec<_>>(), 1_000, 400, 2);
    for n in 0..4 {
        let id = format!("a{n}");
        let reply = harness
            .client()
            .round_trip(request("GET", "safe", &id, "", ""));
        assert!(
            reply.status == 502 || reply.status == 503 || reply.status == 504,
            "{reply:?}"
        );
        let sent: usize = servers.iter().map(|server| server.request_count(&id)).sum();
        assert!((1..=2).contains(&sent), "{sent} servers for two attempts");
    }
}

#[test]
fn unknown_router_count_limits_retries_to_the_ratio() {
    let script = |_: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
        connection.closes_within(Duration::from_millis(2));
        NextAction::Reset
    };
    let servers: Vec<Server> = (0..3)
        .map(|n| Server::start(&format!("i-{n}"), script))
        .collect();
    let harness = RouterHarness::with(&servers.iter().collect::<Vec<_>>(), 400, 200, 2);
    harness.control.set_routers(0);
    // The heartbeat has come once the next push is acknowledged.
    harness.control.push_servers(vec![]);
    harness.control.wait_until_acknowledged();
    let asked = 20;
    for n in 0..asked {
        harness
            .client()
            .round_trip(request("GET", "safe", &format!("a{n}"), "", ""));
    }
    let arrived: usize = servers.iter().map(|server| server.received().len()).sum();
    let further = arrived.saturating_sub(asked);
    assert!(
        further as f64 <= 0.2 * asked as f64,
        "{further} further tries for {asked} requests"
    );
}

#[test]
fn connection_bound_of_server_is_kept() {
    let server = Server::start("i-1", |received, connection| {
        connection.closes_within(Duration::from_millis(80));
        connection.respond(received, 200, "", "ok");
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    harness.control.set_routers(50);
    harness.control.push_servers(vec![]);
    harness.control.wait_until_acknowledged();
    let address = harness.router.frontend;
    let began = Instant::now();
    let threads: Vec<_> = (0..8)
        .map(|n| {
            std::thread::spawn(move || {
                let mut client = support::client::Client::connect(address);
                client
                    .round_trip(request("GET", "safe", &format!("a{n}"), "", ""))
                    .status
            })
        })
        .collect();
    let statuses: Vec<u16> = threads
        .into_iter()
        .map(|thread| thread.join().expect("a client"))
        .collect();
    assert!(began.elapsed() < support::TEST_TIMEOUT);
    assert!(
        statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&200));
    // 100 connections shared by 50 routers.
    assert!(
        server.connections() <= 2,
        "{} connections",
        server.connections()
    );
}
