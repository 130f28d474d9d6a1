//! LOST and the price of holding: what a request waits for ends it neither sooner nor later than it
//! must. What can't be tried again is answered at once.

mod support;

use std::io::Read;
use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::harness::{document, RefusingAddress, RouterHarness};
use support::server::{NextAction, Server};

/// Most bytes that a scripted server reads at once.
const READ_WITH_HEAD: usize = 16_384;

#[test]
fn unsent_attempt_is_repeated_regardless_of_budget() {
    let server = Server::start("i-1", |received, connection| {
        std::thread::sleep(Duration::from_millis(250));
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 6_000, 2_000, 2);
    // While it is not known how many routers there are the budget is its ratio alone: too little
    // for a first further try.
    harness.control.set_routers(0);
    let two =
        document(2, 6_000, 2_000, 2).replace("\"maxConnections\":100", "\"maxConnections\":2");
    harness.control.push_configuration(2, &two);
    harness.control.wait_until_acknowledged();
    let began = Instant::now();
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let address = harness.router.frontend;
            let request = request("POST", "unsafe", &format!("w{number}"), "", "x");
            std::thread::spawn(move || Client::connect(address).round_trip(request).status)
        })
        .collect();
    let statuses: Vec<u16> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    // Two at a time, a quarter of a second each.
    assert_eq!((statuses, server.received().len()), (vec![200; 8], 8));
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn server_reading_long_body_late_is_awaited() {
    let server = Server::start("i-1", |received, connection| {
        // Its queue is long. The system holds some of the body, and no more of it goes out.
        std::thread::sleep(Duration::from_millis(4_500));
        let length: usize = received
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .expect("a length");
        // Its beginning may have come with the head.
        let mut left = length - READ_WITH_HEAD;
        let mut bytes = [0; 65_536];
        while left > 0 {
            match connection.stream.read(&mut bytes) {
                Ok(read) if read > 0 => left = left.saturating_sub(read),
                _ => return NextAction::Close,
            }
        }
        // What came with the head may not have been all that could: an end with bytes unread would
        // be a reset.
        connection.respond(received, 200, "Connection: close\r\n", "done");
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 9_000, 8_000, 1);
    for kind in ["unsafe", "safe"] {
        let body = "x".repeat(4_000_000);
        let reply = harness
            .client()
            .round_trip(request("POST", kind, kind, "Early: 1\r\n", &body));
        assert_eq!(
            (reply.status, server.request_count(kind)),
            (200, 1),
            "{kind}, after {:?}",
            reply.elapsed
        );
    }
}

#[test]
fn request_waiting_for_connection_survives_service_removal() {
    let server = Server::start("i-1", |received, connection| {
        std::thread::sleep(Duration::from_millis(600));
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 6_000, 2_000, 2);
    let two = |version| {
        document(version, 6_000, 2_000, 2).replace("\"maxConnections\":100", "\"maxConnections\":2")
    };
    let without = |version| format!("{{\"version\":{version},\"routes\":[],\"services\":[]}}");
    harness.control.push_configuration(2, &two(2));
    harness.control.wait_until_acknowledged();
    let mut clients: Vec<Client> = (0..6).map(|_| harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let kind = ["unsafe", "safe", "stream"][number % 3];
        client.send(request("POST", kind, &format!("g{number}"), "", "x"));
    }
    support::wait_until("two are there", || server.received().len() == 2);
    for version in 3..20 {
        let next = if version % 2 == 0 {
            two(version)
        } else {
            without(version)
        };
        harness.control.push_configuration(version, &next);
        std::thread::sleep(Duration::from_millis(100));
    }
    for client in &mut clients {
        let reply = client.reply();
        assert_eq!(
            (reply.status, reply.text()),
            (200, "done"),
            "after {:?}",
            reply.elapsed
        );
    }
    assert_eq!(server.received().len(), 6, "each was sent once");
}

/// What can't be tried again gets its final answer within this: a quarter of the target latency of
/// the tests below.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Every kind of route.
const KINDS: [&str; 4] = ["unsafe", "safe", "stream", "resume"];

/// A router whose budget allows no further try yet: it is not known how many routers there are, so
/// that there is no slack.
fn without_budget(servers: &[&Server]) -> RouterHarness {
    let harness = RouterHarness::with(servers, 6_000, 2_000, 3);
    harness.control.set_routers(0);
    harness.control.wait_until_acknowledged();
    harness
}

/// Asks once on each kind of route.
fn assert_refused_at_once(harness: &RouterHarness) {
    for kind in KINDS {
        let reply = harness
            .client()
            .round_trip(request("POST", kind, kind, "", "x"));
        assert_eq!(reply.status, 503, "{kind}");
        assert!(
            reply.elapsed < AT_ONCE,
            "{kind}: held for {:?}",
            reply.elapsed
        );
        let after = reply.retry_after().expect("it is told when to come back");
        assert!(after > 0.0 && after < 1.0, "{kind}: {after}");
    }
}

#[test]
fn rejected_request_is_refused_at_once_without_retry_budget() {
    let server = Server::start("i-1", |received, connection| {
        connection.respond(
            received,
            503,
            "Not-Executed: 1\r\nKeep-Alive: timeout=9\r\n",
            "",
        );
        NextAction::Keep
    });
    let harness = without_budget(&[&server]);
    assert_refused_at_once(&harness);
    assert_eq!(
        server.received().len(),
        KINDS.len(),
        "no further try was sent"
    );
}

#[test]
fn unconnected_request_is_refused_at_once_without_retry_budget() {
    let mut server = Server::start("i-1", |_, _| NextAction::Close);
    let refuses = RefusingAddress::new();
    server.address = refuses.address();
    let harness = without_budget(&[&server]);
    assert_refused_at_once(&harness);
}

#[test]
fn failed_request_is_answered_at_once_without_retry_budget() {
    let server = Server::start("i-1", |_, _| NextAction::Reset);
    let harness = without_budget(&[&server]);
    for kind in KINDS {
        let reply = harness
            .client()
            .round_trip(request("POST", kind, kind, "", "x"));
        // It may have run: no promise is made.
        assert_eq!(reply.status, 502, "{kind}");
        assert!(
            reply.elapsed < AT_ONCE,
            "{kind}: held for {:?}",
            reply.elapsed
        );
    }
}
