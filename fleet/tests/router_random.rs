//! A router between many clients and servers that fail at random: whatever happens, nothing that a
//! client sees or a server runs breaks a rule. A seed prints its number; `ROUTER_SEED=N` plays one
//! alone.

mod support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::client::{request, Client};
use support::harness::RouterHarness;
use support::server::{event, NextAction, ReceivedRequest, Server, ServerConnection};

const EVENTS: u64 = 6;
const KINDS: [&str; 4] = ["safe", "unsafe", "stream", "resume"];

/// How often each request began to run, by id; and whether from its beginning.
type Runs = Arc<Mutex<HashMap<String, Vec<u64>>>>;

fn body_of(id: &str) -> String {
    format!("the answer to {id}")
}

/// Answers, or fails, as chance has it. What it runs is counted before it answers.
fn respond_randomly(
    rng: &mut fastrand::Rng,
    runs: &Runs,
    received: &ReceivedRequest,
    connection: &mut ServerConnection,
) -> NextAction {
    let id = received.id().to_owned();
    match rng.u32(0..100) {
        0..8 => {
            let status = if rng.bool() { 503 } else { 429 };
            connection.respond(received, status, "Not-Executed: 1\r\n", "full");
            return NextAction::Keep;
        }
        8..12 => {
            connection.respond(received, 421, "", "another");
            return NextAction::Keep;
        }
        12..15 => return NextAction::Close,
        15..18 => return NextAction::Reset,
        _ => {}
    }
    let from = received
        .header("last-event-id")
        .map_or(0, |last| last.parse().expect("a number"));
    runs.lock()
        .expect("lock")
        .entry(id.clone())
        .or_default()
        .push(from);
    match rng.u32(0..100) {
        0..6 => return NextAction::Close,
        6..12 => return NextAction::Reset,
        12..16 => {
            connection.closes_within(Duration::from_millis(rng.u64(1..900)));
            return NextAction::Close;
        }
        16..20 => {
            connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: seal-other\r\nContent-Length: 3\r\n\r\nbad");
            return NextAction::Keep;
        }
        20..23 => {
            connection.write("\0\0 no answer \r\n\r\n");
            return NextAction::Keep;
        }
        23..27 => {
            connection.respond(received, 500, "", "it failed");
            return NextAction::Keep;
        }
        27..30 => {
            connection.respond(received, 503, "", "not said to be unrun");
            return NextAction::Keep;
        }
        _ => {}
    }
    if received.target.starts_with("/stream") || received.target.starts_with("/resume") {
        stream(rng, received, connection, from)
    } else {
        respond_completely(rng, received, connection)
    }
}

fn stream(
    rng: &mut fastrand::Rng,
    received: &ReceivedRequest,
    connection: &mut ServerConnection,
    from: u64,
) -> NextAction {
    connection.stream_head(received);
    for id in from + 1..=EVENTS {
        match rng.u32(0..100) {
            0..3 => return NextAction::Close,
            3..6 => return NextAction::Reset,
            6..9 => {
                connection.chunk(&event(id)[..7]);
                return NextAction::Close;
            }
            9..20 => _ = connection.closes_within(Duration::from_millis(rng.u64(1..20))),
            _ => {}
        }
        connection.event(id);
    }
    connection.end();
    after_response(rng, connection)
}

fn respond_completely(
    rng: &mut fastrand::Rng,
    received: &ReceivedRequest,
    connection: &mut ServerConnection,
) -> NextAction {
    let body = body_of(received.id());
    match rng.u32(0..100) {
        0..8 => {
            let half = &body[..body.len() / 2];
            connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {0}\r\nResponse-Seal: seal-{0}\r\nContent-Length: {1}\r\n\r\n{half}",
                received.id(),
                body.len()
            ));
            return if rng.bool() {
                NextAction::Close
            } else {
                NextAction::Reset
            };
        }
        8..12 => {
            connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {0}\r\nResponse-Seal: seal-{0}\r\n\r\n{body}",
                received.id()
            ));
            return NextAction::Close;
        }
        _ => {}
    }
    connection.respond(received, 200, "", &body);
    after_response(rng, connection)
}

/// What may come behind an answer that was whole.
fn after_response(rng: &mut fastrand::Rng, connection: &mut ServerConnection) -> NextAction {
    match rng.u32(0..100) {
        0..8 => {
            let late = rng.bool();
            if late {
                connection.closes_within(Duration::from_millis(30));
            }
            connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: extra\r\nResponse-Seal: seal-extra\r\nContent-Length: 5\r\n\r\nextra");
            NextAction::Keep
        }
        8..12 => NextAction::Close,
        12..16 => NextAction::Reset,
        _ => NextAction::Keep,
    }
}

fn run_seed(seed: u64) {
    let runs: Runs = Arc::default();
    let servers: Vec<Server> = (0..4)
        .map(|n| {
            let (runs, rng) = (
                runs.clone(),
                Mutex::new(fastrand::Rng::with_seed(seed * 31 + n)),
            );
            Server::start(&format!("i-{n}"), move |received, connection| {
                let mut rng = rng.lock().expect("lock").fork();
                respond_randomly(&mut rng, &runs, received, connection)
            })
        })
        .collect();
    let harness = RouterHarness::with(&servers.iter().collect::<Vec<_>>(), 800, 200, 3);
    let frontend = harness.router.frontend;
    let clients: Vec<_> = (0..12)
        .map(|n| {
            std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(seed * 1_009 + n);
                let mut client = Client::connect(frontend);
                let mut tried = Vec::new();
                for turn in 0..12 {
                    let (kind, id) = (KINDS[rng.usize(..4)], format!("s{seed}-c{n}-{turn}"));
                    let bytes = request("POST", kind, &id, "Deadline-Ms: 700\r\n", "a body");
                    if rng.u32(0..100) < 6 {
                        // It leaves at some time.
                        let mut leaver = Client::connect(frontend);
                        leaver.send(bytes);
                        std::thread::sleep(Duration::from_millis(rng.u64(0..40)));
                        tried.push((kind, id, None));
                        continue;
                    }
                    let reply = client.round_trip(bytes);
                    if !reply.complete || reply.header("connection") == Some("close") {
                        client = Client::connect(frontend);
                    }
                    tried.push((kind, id, Some(reply)));
                }
                tried
            })
        })
        .collect();
    let tried: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();
    let runs = runs.lock().expect("lock").clone();
    let mut served = 0;
    for (kind, id, reply) in &tried {
        let ran = runs.get(id).cloned().unwrap_or_default();
        if matches!(*kind, "unsafe" | "stream") {
            assert!(
                ran.len() <= 1,
                "seed {seed}: {kind} {id} ran {} times",
                ran.len()
            );
        }
        let sent: usize = servers.iter().map(|server| server.request_count(id)).sum();
        assert!(sent <= 3, "seed {seed}: {id} was sent to {sent} servers");
        let Some(reply) = reply else { continue };
        let seal = format!("seal-{id}");
        match reply.status {
            200 => {
                assert_eq!(
                    reply.header("response-seal"),
                    Some(seal.as_str()),
                    "seed {seed}: {id}"
                );
                let all: String = (1..=EVENTS).map(event).collect();
                let expected = if matches!(*kind, "stream" | "resume") {
                    all
                } else {
                    body_of(id)
                };
                match reply.complete {
                    true => assert_eq!(reply.text(), expected, "seed {seed}: {kind} {id}"),
                    false => assert!(
                        expected.starts_with(reply.text()),
                        "seed {seed}: {kind} {id}"
                    ),
                }
                served += usize::from(reply.complete);
            }
            500 => assert_eq!(
                reply.header("response-seal"),
                Some(seal.as_str()),
                "seed {seed}: {id}"
            ),
            503 => {
                assert!(reply.retry_after().is_some(), "seed {seed}: {id}");
                assert!(
                    ran.is_empty(),
                    "seed {seed}: {kind} {id} ran, and was refused"
                );
                assert_eq!(reply.header("response-seal"), None);
            }
            502 | 504 => assert_eq!(reply.header("response-seal"), None),
            status => panic!("seed {seed}: {kind} {id} got {status}"),
        }
        assert!(
            reply.elapsed < Duration::from_millis(1_000),
            "seed {seed}: {id} took {:?}",
            reply.elapsed
        );
    }
    assert!(
        served * 3 > tried.len(),
        "seed {seed}: {served} of {} were served",
        tried.len()
    );
    // What was never asked for is never run.
    assert!(runs
        .keys()
        .all(|id| tried.iter().any(|(_, known, _)| known == id)));
}

#[test]
fn no_contract_is_violated_under_random_server_behaviour() {
    let one = std::env::var("ROUTER_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    match one {
        Some(seed) => run_seed(seed),
        None => (1..=6).for_each(run_seed),
    }
}
