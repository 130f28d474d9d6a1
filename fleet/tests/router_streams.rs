//! Streams through a router: ORDER, MIXED and the pace at which events are passed on.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};
use support::client::request;
use support::harness::RouterHarness;
use support::server::{event, NextAction, Server};

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn undisturbed_stream_is_forwarded_with_head_and_seal() {
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        (1..=5).for_each(|id| connection.event(id));
        connection.end();
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let body = "the prompt";
    let headers =
        "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: ab:4,cd:6\r\nDeadline-Ms: 2000\r\n";
    let reply = harness
        .client()
        .round_trip(request("POST", "stream", "a1", headers, body));
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(reply.text(), events(1..=5));
    assert_eq!(reply.header("response-seal"), Some("seal-a1"));
    assert_eq!(reply.header("attempt-id"), Some("a1"));
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let received = &server.received()[0];
    assert_eq!(
        (received.method.as_str(), received.target.as_str()),
        ("POST", "/stream/item")
    );
    assert_eq!(received.body, body.as_bytes());
    let reported = |name| received.header(name).unwrap_or_default().to_owned();
    assert_eq!(
        [
            reported("host"),
            reported("attempt-id"),
            reported("model"),
            reported("token-usage"),
            reported("prompt-prefix")
        ],
        ["fleet.example", "a1", "m", "10,5", "ab:4,cd:6"].map(String::from)
    );
    assert_eq!(reported("target-instance"), "i-1");
    assert!(
        received.deadline_ms() <= 2_000,
        "never more than the client has left"
    );
}

#[test]
fn events_are_forwarded_at_once_and_only_complete() {
    let (go, gone) = mpsc::channel::<()>();
    let gone = Mutex::new(gone);
    let server = Server::start("i-1", move |received, connection| {
        connection.stream_head(received);
        connection.event(1);
        let gone = gone.lock().expect("lock");
        gone.recv().expect("told to go on");
        // Half of an event, which is nothing yet.
        connection.chunk("id: 2\ndata: pie");
        gone.recv().expect("told to go on");
        connection.chunk("ce 2\n\n");
        connection.end();
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(request("POST", "stream", "a1", "", "x"));
    client.head().expect("a head");
    // The server goes on only after this: were the event held back, nobody would.
    assert_eq!(client.chunk(), Ok(Some(event(1).into_bytes())));
    go.send(()).expect("go");
    client
        .stream
        .set_read_timeout(Some(Duration::from_millis(150)))
        .expect("timeout");
    let nothing = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| client.chunk()));
    assert!(nothing.is_err(), "half an event was passed on: {nothing:?}");
    client
        .stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .expect("timeout");
    go.send(()).expect("go");
    assert_eq!(client.chunk(), Ok(Some(event(2).into_bytes())));
    assert_eq!(client.chunk(), Ok(None));
}

#[test]
fn truncated_stream_does_not_look_complete() {
    for reset in [false, true] {
        let server = Server::start("i-1", move |received, connection| {
            connection.stream_head(received);
            connection.event(1);
            connection.chunk("id: 2\ndata: half");
            if reset {
                NextAction::Reset
            } else {
                NextAction::Close
            }
        });
        let harness = RouterHarness::with_defaults(&[&server]);
        let reply = harness
            .client()
            .round_trip(request("POST", "stream", "a1", "", "x"));
        assert_eq!(reply.status, 200);
        assert!(!reply.complete, "a cut stream was ended as complete");
        assert!(
            event(1).starts_with(reply.text()),
            "only whole events: {:?}",
            reply.text()
        );
        assert_eq!(server.request_count("a1"), 1, "it may not run twice");
    }
}

#[test]
fn unframed_stream_completes_only_at_orderly_close_between_events() {
    let ends = [
        (NextAction::Close, "", true),
        (NextAction::Close, "id: 2\ndata: half", false),
        (NextAction::Reset, "", false),
    ];
    for (next, rest, complete) in ends {
        let server = Server::start("i-1", move |received, connection| {
            let id = received.id();
            connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n{}{rest}",
                event(1)
            ));
            if next == NextAction::Reset {
                // The event has to come before the reset, which would take it along.
                connection.closes_within(Duration::from_millis(50));
            }
            next
        });
        let harness = RouterHarness::with_defaults(&[&server]);
        let reply = harness
            .client()
            .round_trip(request("POST", "stream", "a1", "", "x"));
        assert_eq!(
            (reply.status, reply.complete),
            (200, complete),
            "{next:?} after {rest:?}"
        );
        assert_eq!(reply.text(), event(1));
    }
}

#[test]
fn resumable_stream_continues_at_another_server_in_same_response() {
    let began = Arc::new(AtomicUsize::new(0));
    let script = |began: Arc<AtomicUsize>| {
        move |received: &support::server::ReceivedRequest,
              connection: &mut support::server::ServerConnection| {
            connection.stream_head(received);
            if began.fetch_add(1, Ordering::SeqCst) == 0 {
                (1..=3).for_each(|id| connection.event(id));
                connection.chunk("id: 4\ndata: ha");
                return NextAction::Close;
            }
            let last: u64 = received
                .header("last-event-id")
                .expect("Last-Event-Id")
                .parse()
                .expect("a number");
            (last + 1..=6).for_each(|id| connection.event(id));
            connection.end();
            NextAction::Keep
        }
    };
    let servers = [
        Server::start("i-1", script(began.clone())),
        Server::start("i-2", script(began)),
    ];
    let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
    let reply = harness
        .client()
        .round_trip(request("POST", "resume", "a1", "", "x"));
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(
        reply.text(),
        events(1..=6),
        "no piece is missing, and none comes twice"
    );
    let sent: Vec<_> = servers.iter().flat_map(Server::received).collect();
    assert_eq!(sent.len(), 2);
    assert_eq!(
        sent.iter()
            .filter(|received| received.header("last-event-id") == Some("3"))
            .count(),
        1
    );
    assert!(sent.iter().all(|received| received.id() == "a1"));
}

/// Guards against ORDER: a stream that is resumed behind another event than the last one, since its id
/// reaches the next server changed.
#[test]
fn stream_is_not_resumed_behind_an_id_that_no_header_carries() {
    for id in ["3 ", "3\t", "3\u{1}", "\u{7f}"] {
        let script =
            move |received: &support::server::ReceivedRequest,
                  connection: &mut support::server::ServerConnection| {
                connection.stream_head(received);
                connection.chunk(&format!("id: {id}\ndata: x\n\n"));
                NextAction::Close
            };
        let servers = [Server::start("i-1", script), Server::start("i-2", script)];
        let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
        let reply = harness
            .client()
            .round_trip(request("POST", "resume", "a1", "", "x"));
        assert!(!reply.complete, "{id:?}");
        let sends = servers[0].request_count("a1") + servers[1].request_count("a1");
        assert_eq!(sends, 1, "{id:?}");
    }
}

#[test]
fn non_resumable_stream_is_not_sent_again() {
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        connection.event(1);
        NextAction::Close
    });
    let other = Server::start("i-2", |received, connection| {
        connection.stream_head(received);
        connection.event(1);
        NextAction::Close
    });
    let harness = RouterHarness::with_defaults(&[&server, &other]);
    let reply = harness
        .client()
        .round_trip(request("POST", "stream", "a1", "", "x"));
    assert!(!reply.complete);
    assert_eq!(server.request_count("a1") + other.request_count("a1"), 1);
}

#[test]
fn stream_ends_at_route_timeout_without_looking_complete() {
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        for id in 1..200 {
            connection.event(id);
            if connection.closes_within(Duration::from_millis(50)) {
                return NextAction::Close;
            }
        }
        connection.end();
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 600, 300, 2);
    let reply = harness.client().round_trip(request(
        "POST",
        "stream",
        "a1",
        "Deadline-Ms: 5000\r\n",
        "x",
    ));
    assert!(!reply.complete);
    let late = reply.elapsed.saturating_sub(Duration::from_millis(600));
    assert!(
        reply.elapsed >= Duration::from_millis(550) && late < Duration::from_millis(250),
        "{:?}",
        reply.elapsed
    );
}

#[test]
fn client_that_does_not_read_pauses_its_server_and_takes_no_memory() {
    let written = Arc::new(AtomicUsize::new(0));
    let counted = written.clone();
    let server = Server::start("i-1", move |received, connection| {
        connection.stream_head(received);
        connection
            .stream
            .set_write_timeout(Some(Duration::from_millis(700)))
            .expect("timeout");
        let piece = format!("data: {}\n\n", "x".repeat(8_000));
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        use std::io::Write;
        // 64 MB, which is nearly all that a router has.
        for _ in 0..8_000 {
            if connection.stream.write_all(chunk.as_bytes()).is_err() {
                break;
            }
            counted.fetch_add(chunk.len(), Ordering::SeqCst);
        }
        NextAction::Close
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(request("POST", "stream", "a1", "", "x"));
    client.head().expect("a head");
    let began = Instant::now();
    let mut last = usize::MAX;
    support::wait_until("the server is held up", || {
        std::thread::sleep(Duration::from_millis(100));
        let now = written.load(Ordering::SeqCst);
        std::mem::replace(&mut last, now) == now && now > 0
    });
    assert!(began.elapsed() < support::TEST_TIMEOUT);
    // Buffers of the system on both connections, and what the router may hold itself.
    assert!(last < 24 << 20, "{last} bytes were taken from the server");
}
