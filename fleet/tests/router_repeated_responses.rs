//! Responses that a server gives once more, late: TWICE, REFUSED and MIXED.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::client::request;
use support::harness::RouterHarness;
use support::server::{NextAction, Server};

/// How long a [`RepeatingServer`] runs a request.
const RUN_TIME: Duration = Duration::from_millis(50);

/// A server that rejects the first send of a request, runs every further one, and gives the rejection
/// once more wherever it reads the request again on the connection of that rejection.
struct RepeatingServer {
    server: Server,
    /// How often it has run a request.
    runs: Arc<AtomicUsize>,
}

impl RepeatingServer {
    fn start(rejection: &'static str) -> RepeatingServer {
        let (runs, rejected_on) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
        let run_count = runs.clone();
        let server = Server::start("i-1", move |received, connection| {
            let first_connection = rejected_on.load(Ordering::SeqCst);
            if first_connection == 0 {
                rejected_on.store(connection.number, Ordering::SeqCst);
                connection.respond(received, 503, rejection, "full");
                return NextAction::Keep;
            }
            run_count.fetch_add(1, Ordering::SeqCst);
            if first_connection == connection.number {
                connection.respond(received, 503, rejection, "full");
            }
            std::thread::sleep(RUN_TIME);
            connection.respond(received, 200, "", "done");
            NextAction::Keep
        });
        RepeatingServer { server, runs }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

/// Guards against TWICE: an extra rejection that is taken for the answer to the next send of its
/// request, which runs, so that a further send runs too.
#[test]
fn extra_rejection_lets_no_unsafe_request_run_twice() {
    for kind in ["unsafe", "stream"] {
        let repeating = RepeatingServer::start("Not-Executed: 1\r\n");
        let harness = RouterHarness::with(&[&repeating.server], 3_000, 1_000, 6);
        let reply = harness
            .client()
            .round_trip(request("POST", kind, "a1", "", "x"));
        // A further send, if there was one, is read once the run is over.
        std::thread::sleep(2 * RUN_TIME);
        assert_eq!((repeating.runs(), reply.status), (1, 200), "{kind}");
        assert_eq!(reply.text(), "done", "{kind}");
    }
}

/// Guards against REFUSED: an extra rejection of a request that runs is passed on as the promise that
/// it has not run.
#[test]
fn extra_rejection_refuses_no_request_that_runs() {
    let repeating = RepeatingServer::start("Not-Executed: 1\r\n");
    let harness = RouterHarness::with(&[&repeating.server], 3_000, 1_000, 2);
    let reply = harness
        .client()
        .round_trip(request("POST", "unsafe", "a1", "", "x"));
    assert_eq!((repeating.runs(), reply.status), (1, 200));
}

/// Guards against an extra failure that takes the place of the success of a retry.
#[test]
fn extra_failure_does_not_replace_the_response_to_a_retry() {
    let repeating = RepeatingServer::start("");
    let harness = RouterHarness::with(&[&repeating.server], 3_000, 1_000, 2);
    let reply = harness
        .client()
        .round_trip(request("GET", "safe", "a1", "", ""));
    assert_eq!((reply.status, reply.text()), (200, "done"));
}

/// Guards against a retry that waits for a connection, and gets the one on which its request was
/// rejected as soon as another request leaves it.
#[test]
fn queued_retry_gets_no_connection_that_carried_its_request() {
    let server = Server::start("i-1", |received, connection| {
        let is_retried = received.id().starts_with("retried");
        if is_retried && connection.number <= 2 {
            connection.respond(received, 503, "Not-Executed: 1\r\n", "full");
        } else {
            std::thread::sleep(Duration::from_millis(20));
            connection.respond(received, 200, "", "ok");
        }
        NextAction::Keep
    });
    let harness = RouterHarness::with(&[&server], 3_000, 1_000, 6);
    // This router has two connections to the server.
    harness.control.set_routers(100);
    harness.control.push_servers(vec![]);
    harness.control.wait_until_acknowledged();
    let address = harness.router.frontend;
    let clients: Vec<_> = (0..8)
        .flat_map(|number| [format!("other-{number}"), format!("retried-{number}")])
        .map(|id| {
            std::thread::spawn(move || {
                support::client::Client::connect(address)
                    .round_trip(request("POST", "unsafe", &id, "", "x"))
                    .status
            })
        })
        .collect();
    for client in clients {
        let status = client.join().expect("a client");
        assert!([200, 503].contains(&status), "{status}");
    }
    let mut sends: Vec<(String, usize)> = server
        .received()
        .iter()
        .map(|received| (received.id().to_owned(), received.connection))
        .collect();
    sends.sort_unstable();
    assert!(
        sends.windows(2).any(|pair| pair[0].0 == pair[1].0),
        "no request was sent again"
    );
    assert!(
        sends.windows(2).all(|pair| pair[0] != pair[1]),
        "a connection carried a request twice: {sends:?}"
    );
}

/// Guards against an extra response to a request without an id that is taken for the one to the next
/// such request.
#[test]
fn connection_carries_one_request_without_id() {
    let server = Server::start("i-1", |received, connection| {
        let body = format!("to {}", received.target);
        connection.write(format!(
            "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    for _ in 0..2 {
        let reply = client.round_trip("GET /safe/x HTTP/1.1\r\nHost: fleet.example\r\n\r\n");
        assert_eq!(reply.status, 400, "{reply:?}");
    }
    let connections: Vec<usize> = server
        .received()
        .iter()
        .map(|received| received.connection)
        .collect();
    assert_eq!(connections, [1, 2]);
}
