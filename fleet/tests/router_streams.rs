//! Streams through a router: ORDER, MIXED and the pace at which events are passed on.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};
use support::client::request;
use support::rig::Rig;
use support::server::{event, Next, Server};

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn undisturbed_stream_is_forwarded_with_head_and_seal() {
    let server = Server::start("i-1", |seen, talk| {
        talk.stream_head(seen);
        (1..=5).for_each(|id| talk.event(id));
        talk.end();
        Next::Keep
    });
    let rig = Rig::usual(&[&server]);
    let body = "the prompt";
    let headers =
        "Model: m\r\nToken-Usage: 10,5\r\nPrompt-Prefix: ab:4,cd:6\r\nDeadline-Ms: 2000\r\n";
    let reply = rig
        .client()
        .ask(request("POST", "stream", "a1", headers, body));
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(reply.text(), events(1..=5));
    assert_eq!(reply.header("response-seal"), Some("seal-a1"));
    assert_eq!(reply.header("attempt-id"), Some("a1"));
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    let seen = &server.seen()[0];
    assert_eq!(
        (seen.method.as_str(), seen.target.as_str()),
        ("POST", "/stream/item")
    );
    assert_eq!(seen.body, body.as_bytes());
    let told = |name| seen.header(name).unwrap_or_default().to_owned();
    assert_eq!(
        [
            told("host"),
            told("attempt-id"),
            told("model"),
            told("token-usage"),
            told("prompt-prefix")
        ],
        ["fleet.example", "a1", "m", "10,5", "ab:4,cd:6"].map(String::from)
    );
    assert_eq!(told("target-instance"), "i-1");
    assert!(
        seen.deadline_ms() <= 2_000,
        "never more than the client has left"
    );
}

#[test]
fn events_are_forwarded_at_once_and_only_complete() {
    let (go, gone) = mpsc::channel::<()>();
    let gone = Mutex::new(gone);
    let server = Server::start("i-1", move |seen, talk| {
        talk.stream_head(seen);
        talk.event(1);
        let gone = gone.lock().expect("lock");
        gone.recv().expect("told to go on");
        // Half of an event, which is nothing yet.
        talk.chunk("id: 2\ndata: pie");
        gone.recv().expect("told to go on");
        talk.chunk("ce 2\n\n");
        talk.end();
        Next::Keep
    });
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
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
        .set_read_timeout(Some(support::PATIENCE))
        .expect("timeout");
    go.send(()).expect("go");
    assert_eq!(client.chunk(), Ok(Some(event(2).into_bytes())));
    assert_eq!(client.chunk(), Ok(None));
}

#[test]
fn truncated_stream_does_not_look_complete() {
    for reset in [false, true] {
        let server = Server::start("i-1", move |seen, talk| {
            talk.stream_head(seen);
            talk.event(1);
            talk.chunk("id: 2\ndata: half");
            if reset {
                Next::Reset
            } else {
                Next::Close
            }
        });
        let rig = Rig::usual(&[&server]);
        let reply = rig.client().ask(request("POST", "stream", "a1", "", "x"));
        assert_eq!(reply.status, 200);
        assert!(!reply.complete, "a cut stream was ended as complete");
        assert!(
            event(1).starts_with(reply.text()),
            "only whole events: {:?}",
            reply.text()
        );
        assert_eq!(server.times("a1"), 1, "it may not run twice");
    }
}

#[test]
fn unframed_stream_completes_only_at_orderly_close_between_events() {
    let ends = [
        (Next::Close, "", true),
        (Next::Close, "id: 2\ndata: half", false),
        (Next::Reset, "", false),
    ];
    for (next, rest, complete) in ends {
        let server = Server::start("i-1", move |seen, talk| {
            let id = seen.id();
            talk.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n{}{rest}",
                event(1)
            ));
            if next == Next::Reset {
                // The event has to come before the reset, which would take it along.
                talk.closes_within(Duration::from_millis(50));
            }
            next
        });
        let rig = Rig::usual(&[&server]);
        let reply = rig.client().ask(request("POST", "stream", "a1", "", "x"));
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
        move |seen: &support::server::Seen, talk: &mut support::server::Talk| {
            talk.stream_head(seen);
            if began.fetch_add(1, Ordering::SeqCst) == 0 {
                (1..=3).for_each(|id| talk.event(id));
                talk.chunk("id: 4\ndata: ha");
                return Next::Close;
            }
            let last: u64 = seen
                .header("last-event-id")
                .expect("Last-Event-Id")
                .parse()
                .expect("a number");
            (last + 1..=6).for_each(|id| talk.event(id));
            talk.end();
            Next::Keep
        }
    };
    let servers = [
        Server::start("i-1", script(began.clone())),
        Server::start("i-2", script(began)),
    ];
    let rig = Rig::usual(&[&servers[0], &servers[1]]);
    let reply = rig.client().ask(request("POST", "resume", "a1", "", "x"));
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(
        reply.text(),
        events(1..=6),
        "no piece is missing, and none comes twice"
    );
    let sent: Vec<_> = servers.iter().flat_map(Server::seen).collect();
    assert_eq!(sent.len(), 2);
    assert_eq!(
        sent.iter()
            .filter(|seen| seen.header("last-event-id") == Some("3"))
            .count(),
        1
    );
    assert!(sent.iter().all(|seen| seen.id() == "a1"));
}

#[test]
fn non_resumable_stream_is_not_sent_again() {
    let server = Server::start("i-1", |seen, talk| {
        talk.stream_head(seen);
        talk.event(1);
        Next::Close
    });
    let other = Server::start("i-2", |seen, talk| {
        talk.stream_head(seen);
        talk.event(1);
        Next::Close
    });
    let rig = Rig::usual(&[&server, &other]);
    let reply = rig.client().ask(request("POST", "stream", "a1", "", "x"));
    assert!(!reply.complete);
    assert_eq!(server.times("a1") + other.times("a1"), 1);
}

#[test]
fn stream_ends_at_route_timeout_without_looking_complete() {
    let server = Server::start("i-1", |seen, talk| {
        talk.stream_head(seen);
        for id in 1..200 {
            talk.event(id);
            if talk.closes_within(Duration::from_millis(50)) {
                return Next::Close;
            }
        }
        talk.end();
        Next::Keep
    });
    let rig = Rig::with(&[&server], 600, 300, 2);
    let reply = rig.client().ask(request(
        "POST",
        "stream",
        "a1",
        "Deadline-Ms: 5000\r\n",
        "x",
    ));
    assert!(!reply.complete);
    let late = reply.took.saturating_sub(Duration::from_millis(600));
    assert!(
        reply.took >= Duration::from_millis(550) && late < Duration::from_millis(250),
        "{:?}",
        reply.took
    );
}

#[test]
fn client_that_does_not_read_pauses_its_server_and_takes_no_memory() {
    let written = Arc::new(AtomicUsize::new(0));
    let counted = written.clone();
    let server = Server::start("i-1", move |seen, talk| {
        talk.stream_head(seen);
        talk.stream
            .set_write_timeout(Some(Duration::from_millis(700)))
            .expect("timeout");
        let piece = format!("data: {}\n\n", "x".repeat(8_000));
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        use std::io::Write;
        // 64 MB, which is nearly all that a router has.
        for _ in 0..8_000 {
            if talk.stream.write_all(chunk.as_bytes()).is_err() {
                break;
            }
            counted.fetch_add(chunk.len(), Ordering::SeqCst);
        }
        Next::Close
    });
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    client.send(request("POST", "stream", "a1", "", "x"));
    client.head().expect("a head");
    let began = Instant::now();
    let mut last = usize::MAX;
    support::until("the server is held up", || {
        std::thread::sleep(Duration::from_millis(100));
        let now = written.load(Ordering::SeqCst);
        std::mem::replace(&mut last, now) == now && now > 0
    });
    assert!(began.elapsed() < support::PATIENCE);
    // Buffers of the system on both connections, and what the router may hold itself.
    assert!(last < 24 << 20, "{last} bytes were taken from the server");
}
