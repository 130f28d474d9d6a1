//! Clients of a router: GONE, DENIED, UNASKED, connections that rest, limits, pipelining and
//! framing.

mod support;

use std::sync::{mpsc, Mutex};
use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::harness::{document, RouterHarness};
use support::server::{event, NextAction, Server};

fn echo(instance: &str) -> Server {
    Server::start(instance, |received, connection| {
        let body = String::from_utf8(received.body.clone()).expect("a body of text");
        connection.respond(received, 200, "Keep-Alive: timeout=5\r\n", &body);
        NextAction::Keep
    })
}

#[test]
fn disconnect_while_waiting_ends_attempt_within_half_a_second() {
    for kind in ["safe", "unsafe", "stream", "resume"] {
        let (tell, reported) = mpsc::channel();
        let tell = Mutex::new(tell);
        let server = Server::start("i-1", move |_, connection| {
            let tell = tell.lock().expect("lock").clone();
            tell.send(None).expect("tell");
            let began = Instant::now();
            let closed = connection.closes_within(Duration::from_secs(3));
            tell.send(closed.then(|| began.elapsed())).expect("tell");
            NextAction::Close
        });
        let harness = RouterHarness::with(&[&server], 5_000, 4_000, 1);
        let mut client = harness.client();
        client.send(request("POST", kind, "a1", "", "x"));
        reported
            .recv_timeout(support::TEST_TIMEOUT)
            .expect("it has arrived");
        drop(client);
        let closed = reported
            .recv_timeout(support::TEST_TIMEOUT)
            .expect("the server is done");
        assert!(
            closed.expect("the connection is closed") < Duration::from_millis(500),
            "{kind}"
        );
        assert_eq!(server.request_count("a1"), 1);
    }
}

#[test]
fn disconnect_during_stream_ends_it_within_half_a_second() {
    let (tell, reported) = mpsc::channel();
    let tell = Mutex::new(tell);
    let script = move |received: &support::server::ReceivedRequest,
                       connection: &mut support::server::ServerConnection| {
        connection.stream_head(received);
        connection.event(1);
        let began = Instant::now();
        let closed = connection.closes_within(Duration::from_secs(3));
        tell.lock()
            .expect("lock")
            .send(closed.then(|| began.elapsed()))
            .expect("tell");
        NextAction::Close
    };
    let server = Server::start("i-1", script);
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(request("POST", "resume", "a1", "", "x"));
    client.head().expect("a head");
    assert_eq!(client.chunk(), Ok(Some(event(1).into_bytes())));
    drop(client);
    let closed = reported
        .recv_timeout(support::TEST_TIMEOUT)
        .expect("the server is done");
    assert!(closed.expect("the connection is closed") < Duration::from_millis(500));
    // Were it taken up elsewhere, the same server would see it again before this is answered.
    let mut client = harness.client();
    client.send(request("POST", "resume", "a2", "", "x"));
    client.head().expect("a head");
    assert_eq!(server.request_count("a1"), 1);
}

#[test]
fn requests_without_configuration_are_rejected() {
    let harness = RouterHarness::without_configuration();
    assert_eq!(harness.router.readiness_status(), 503);
    let mut client = harness.client();
    for (method, kind) in [("GET", "safe"), ("POST", "unsafe"), ("POST", "nowhere")] {
        let reply = client.round_trip(request(method, kind, "a1", "", ""));
        assert_eq!(reply.status, 503);
        assert!(reply
            .retry_after()
            .is_some_and(|after| after > 0.0 && after < 1.0));
    }
    harness
        .control
        .push_configuration(1, &document(1, 3_000, 1_000, 2));
    support::wait_until("it is in force", || harness.control.applied().is_some());
    assert_eq!(harness.router.readiness_status(), 200);
    let reply = client.round_trip(request("GET", "nowhere", "a2", "", ""));
    assert_eq!(reply.status, 404, "no route of the configuration takes it");
    let reply = client.round_trip(request("GET", "safe", "a3", "Deadline-Ms: 500\r\n", ""));
    assert_eq!(reply.status, 503, "its route is known, but no server is");
}

#[test]
fn readiness_listener_rejects_other_paths_and_methods() {
    let harness = RouterHarness::without_configuration();
    let mut platform = Client::connect(harness.router.readiness);
    assert_eq!(
        platform
            .round_trip("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
            .status,
        404
    );
    assert_eq!(
        platform
            .round_trip("POST /readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            .status,
        405
    );
    assert_eq!(platform.round_trip("what\r\n\r\n").status, 400);
    assert!(platform.ends_within(Duration::from_secs(2)));
}

#[test]
fn readiness_is_answered_despite_many_open_connections() {
    let harness = RouterHarness::with_defaults(&[]);
    let mut open: Vec<Client> = (0..20)
        .map(|_| Client::connect(harness.router.readiness))
        .collect();
    for platform in &mut open {
        assert_eq!(
            platform
                .round_trip("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                .status,
            200
        );
    }
    assert_eq!(harness.router.readiness_status(), 200);
}

#[test]
fn connection_is_kept_for_many_requests_up_to_idle_timeout() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    assert_eq!(
        client
            .round_trip(request("POST", "safe", "a1", "", "one"))
            .text(),
        "one"
    );
    // Four fifths of the idle time-out of 3 s.
    std::thread::sleep(Duration::from_millis(2_400));
    assert_eq!(
        client
            .round_trip(request("POST", "safe", "a2", "", "two"))
            .text(),
        "two"
    );
    let began = Instant::now();
    assert!(
        client.ends_within(Duration::from_secs(6)),
        "it ends some time after that"
    );
    assert!(began.elapsed() >= Duration::from_millis(3_000));
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    let all: String = (1..=4)
        .map(|n| request("POST", "safe", &format!("a{n}"), "", &format!("body {n}")))
        .collect();
    client.send(all);
    for n in 1..=4 {
        let reply = client.reply();
        assert_eq!(
            (reply.text(), reply.header("attempt-id")),
            (format!("body {n}").as_str(), Some(format!("a{n}").as_str()))
        );
    }
}

#[test]
fn chunked_body_arrives_unchanged() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(
        "POST /safe/item?q=1%20&r HTTP/1.1\r\nHost: FLEET.example\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\
         Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\n\r\n4\r\nfour\r\n",
    );
    client.send("5;ext=1\r\n five\r\n0\r\n\r\n");
    assert_eq!(client.reply().text(), "four five");
    let received = &server.received()[0];
    assert_eq!(received.target, "/safe/item?q=1%20&r");
    assert_eq!(received.header("x-kept"), Some("yes"));
    for hop in [
        "x-hop",
        "te",
        "transfer-encoding",
        "connection",
        "keep-alive",
    ] {
        assert_eq!(
            received.header(hop),
            None,
            "{hop} concerns one connection alone"
        );
    }
}

#[test]
fn expect_continue_is_answered() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(
        "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n",
    );
    assert_eq!(client.reply().status, 100);
    client.send("body");
    assert_eq!(client.reply().text(), "body");
    assert_eq!(server.received()[0].header("expect"), None);
}

#[test]
fn ambiguous_requests_are_rejected_and_reach_no_server() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let smuggled = "GET /safe/inner HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: inner\r\n\r\n";
    let both = format!(
        "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"
    );
    let twice = format!(
        "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n{smuggled}"
    );
    let hosts =
        "GET /safe/item HTTP/1.1\r\nHost: fleet.example\r\nHost: other.example\r\nAttempt-Id: a1\r\n\r\n"
            .to_owned();
    let ids = "GET /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nAttempt-Id: a2\r\n\r\n"
        .to_owned();
    for bytes in [both, twice, hosts, ids] {
        let mut client = harness.client();
        let reply = client.round_trip(&bytes);
        assert_eq!(reply.status, 400, "{bytes}");
        assert!(client.ends_within(Duration::from_secs(3)), "{bytes}");
    }
    assert!(server.received().is_empty(), "{:?}", server.received());
}

#[test]
fn requests_over_the_limits_get_their_status() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let head = format!(
        "GET /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nX-Long: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(harness.client().round_trip(head).status, 431);
    let body = "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 4194305\r\n\r\n";
    assert_eq!(harness.client().round_trip(body).status, 413);
    assert!(server.received().is_empty());
}

/// Guards against CONFIG: heads within `maxHeaderBytes` that are never read to their end, while the router
/// is busy with nothing else.
#[test]
fn head_within_the_limit_is_read_however_long_it_is() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    // The head of a connection that was opened before the change may be as long, too.
    let mut earlier = harness.client();
    let document = document(2, 3_000, 1_000, 2);
    let with_limit = |limit: u64| {
        document.replace(
            "\"maxHeaderBytes\":16384",
            &format!("\"maxHeaderBytes\":{limit}"),
        )
    };
    harness.control.push_configuration(2, &with_limit(200_000));
    harness.control.wait_until_acknowledged();
    let head = |id: &str, bytes: usize| {
        format!(
            "GET /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: {id}\r\nX-Long: {}\r\n\r\n",
            "x".repeat(bytes)
        )
    };
    assert_eq!(earlier.round_trip(head("a1", 150_000)).status, 200);
    let mut client = harness.client();
    let (begin, end) = (head("a2", 190_000), head("a3", 70_000));
    client.send(&begin[..100_000]);
    std::thread::sleep(Duration::from_millis(50));
    client.send(&begin[100_000..]);
    assert_eq!(client.reply().status, 200);
    assert_eq!(client.round_trip(end).status, 200);
    assert_eq!(client.round_trip(head("a4", 200_000)).status, 431);
}

#[test]
fn incomplete_head_times_out() {
    let harness = RouterHarness::with_defaults(&[]);
    let mut client = harness.client();
    client.send("GET /safe/item HTTP/1.1\r\nHost: fl");
    let reply = client.reply();
    assert_eq!(reply.status, 408);
    assert!(
        reply.elapsed >= Duration::from_millis(950),
        "{:?}",
        reply.elapsed
    );
}

#[test]
fn connection_close_is_honoured() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    let reply = client.round_trip(request("POST", "safe", "a1", "Connection: close\r\n", "x"));
    assert_eq!(
        (reply.text(), reply.header("connection")),
        ("x", Some("close"))
    );
    assert!(client.ends_within(Duration::from_secs(3)));
}

#[test]
fn response_to_head_has_no_body() {
    let server = Server::start("i-1", |received, connection| {
        let id = received.id();
        connection.write(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 12\r\n\r\n"
        ));
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut client = harness.client();
    client.send(request("HEAD", "safe", "a1", "", ""));
    let head = client.head().expect("a head");
    assert_eq!(
        (head.status, head.header("response-seal")),
        (200, Some("s"))
    );
    client.send(request("HEAD", "safe", "a2", "", ""));
    assert_eq!(
        client.head().expect("a head").header("attempt-id"),
        Some("a2")
    );
}

#[test]
fn random_bytes_never_stop_the_router() {
    let server = echo("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        let length = rng.usize(1..200);
        let bytes: Vec<u8> = (0..length)
            .map(|_| b"GET /\r\n :0azHTTP1.\x00\xff"[rng.usize(..20)])
            .collect();
        let mut client = harness.client();
        client.send(&bytes);
    }
    assert_eq!(
        harness
            .client()
            .round_trip(request("POST", "safe", "a1", "", "well"))
            .text(),
        "well"
    );
}
