//! Clients of a router: GONE, DENIED, UNASKED, connections that rest, limits, pipelining and
//! framing.

mod support;

use std::sync::{mpsc, Mutex};
use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::rig::{document, Rig};
use support::server::{event, Next, Server};

fn echo(instance: &str) -> Server {
    Server::start(instance, |seen, talk| {
        let body = String::from_utf8(seen.body.clone()).expect("a body of text");
        talk.answer(seen, 200, "Keep-Alive: timeout=5\r\n", &body);
        Next::Keep
    })
}

#[test]
fn disconnect_while_waiting_ends_attempt_within_half_a_second() {
    for kind in ["safe", "unsafe", "stream", "resume"] {
        let (tell, told) = mpsc::channel();
        let tell = Mutex::new(tell);
        let server = Server::start("i-1", move |_, talk| {
            let tell = tell.lock().expect("lock").clone();
            tell.send(None).expect("tell");
            let began = Instant::now();
            let closed = talk.closes_within(Duration::from_secs(3));
            tell.send(closed.then(|| began.elapsed())).expect("tell");
            Next::Close
        });
        let rig = Rig::with(&[&server], 5_000, 4_000, 1);
        let mut client = rig.client();
        client.send(request("POST", kind, "a1", "", "x"));
        told.recv_timeout(support::PATIENCE)
            .expect("it has arrived");
        drop(client);
        let closed = told
            .recv_timeout(support::PATIENCE)
            .expect("the server is done");
        assert!(
            closed.expect("the connection is closed") < Duration::from_millis(500),
            "{kind}"
        );
        assert_eq!(server.times("a1"), 1);
    }
}

#[test]
fn disconnect_during_stream_ends_it_within_half_a_second() {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let script = move |seen: &support::server::Seen, talk: &mut support::server::Talk| {
        talk.stream_head(seen);
        talk.event(1);
        let began = Instant::now();
        let closed = talk.closes_within(Duration::from_secs(3));
        tell.lock()
            .expect("lock")
            .send(closed.then(|| began.elapsed()))
            .expect("tell");
        Next::Close
    };
    let server = Server::start("i-1", script);
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    client.send(request("POST", "resume", "a1", "", "x"));
    client.head().expect("a head");
    assert_eq!(client.chunk(), Ok(Some(event(1).into_bytes())));
    drop(client);
    let closed = told
        .recv_timeout(support::PATIENCE)
        .expect("the server is done");
    assert!(closed.expect("the connection is closed") < Duration::from_millis(500));
    // Were it taken up elsewhere, the same server would see it again before this is answered.
    let mut client = rig.client();
    client.send(request("POST", "resume", "a2", "", "x"));
    client.head().expect("a head");
    assert_eq!(server.times("a1"), 1);
}

#[test]
fn requests_without_configuration_are_rejected() {
    let rig = Rig::bare();
    assert_eq!(rig.router.readiness_status(), 503);
    let mut client = rig.client();
    for (method, kind) in [("GET", "safe"), ("POST", "unsafe"), ("POST", "nowhere")] {
        let reply = client.ask(request(method, kind, "a1", "", ""));
        assert_eq!(reply.status, 503);
        assert!(reply
            .retry_after()
            .is_some_and(|after| after > 0.0 && after < 1.0));
    }
    rig.control
        .push_configuration(1, &document(1, 3_000, 1_000, 2));
    support::until("it is in force", || rig.control.applied().is_some());
    assert_eq!(rig.router.readiness_status(), 200);
    let reply = client.ask(request("GET", "nowhere", "a2", "", ""));
    assert_eq!(reply.status, 404, "no route of the configuration takes it");
    let reply = client.ask(request("GET", "safe", "a3", "Deadline-Ms: 500\r\n", ""));
    assert_eq!(reply.status, 503, "its route is known, but no server is");
}

#[test]
fn readiness_listener_rejects_other_paths_and_methods() {
    let rig = Rig::bare();
    let mut platform = Client::connect(rig.router.readiness);
    assert_eq!(
        platform
            .ask("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
            .status,
        404
    );
    assert_eq!(
        platform
            .ask("POST /readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            .status,
        405
    );
    assert_eq!(platform.ask("what\r\n\r\n").status, 400);
    assert!(platform.ends_within(Duration::from_secs(2)));
}

#[test]
fn readiness_is_answered_despite_many_open_connections() {
    let rig = Rig::usual(&[]);
    let mut open: Vec<Client> = (0..20)
        .map(|_| Client::connect(rig.router.readiness))
        .collect();
    for platform in &mut open {
        assert_eq!(
            platform
                .ask("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                .status,
            200
        );
    }
    assert_eq!(rig.router.readiness_status(), 200);
}

#[test]
fn connection_is_kept_for_many_requests_up_to_idle_timeout() {
    let server = echo("i-1");
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    assert_eq!(
        client.ask(request("POST", "safe", "a1", "", "one")).text(),
        "one"
    );
    // Four fifths of the idle time-out of 3 s.
    std::thread::sleep(Duration::from_millis(2_400));
    assert_eq!(
        client.ask(request("POST", "safe", "a2", "", "two")).text(),
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
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
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
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    client.send(
        "POST /safe/item?q=1%20&r HTTP/1.1\r\nHost: FLEET.example\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\
         Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\n\r\n4\r\nfour\r\n",
    );
    client.send("5;ext=1\r\n five\r\n0\r\n\r\n");
    assert_eq!(client.reply().text(), "four five");
    let seen = &server.seen()[0];
    assert_eq!(seen.target, "/safe/item?q=1%20&r");
    assert_eq!(seen.header("x-kept"), Some("yes"));
    for hop in [
        "x-hop",
        "te",
        "transfer-encoding",
        "connection",
        "keep-alive",
    ] {
        assert_eq!(
            seen.header(hop),
            None,
            "{hop} concerns one connection alone"
        );
    }
}

#[test]
fn expect_continue_is_answered() {
    let server = echo("i-1");
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    client.send(
        "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n",
    );
    assert_eq!(client.reply().status, 100);
    client.send("body");
    assert_eq!(client.reply().text(), "body");
    assert_eq!(server.seen()[0].header("expect"), None);
}

#[test]
fn ambiguous_requests_are_rejected_and_reach_no_server() {
    let server = echo("i-1");
    let rig = Rig::usual(&[&server]);
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
        let mut client = rig.client();
        let reply = client.ask(&bytes);
        assert_eq!(reply.status, 400, "{bytes}");
        assert!(client.ends_within(Duration::from_secs(3)), "{bytes}");
    }
    assert!(server.seen().is_empty(), "{:?}", server.seen());
}

#[test]
fn requests_over_the_limits_get_their_status() {
    let server = echo("i-1");
    let rig = Rig::usual(&[&server]);
    let head = format!(
        "GET /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nX-Long: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(rig.client().ask(head).status, 431);
    let body = "POST /safe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: a1\r\nContent-Length: 4194305\r\n\r\n";
    assert_eq!(rig.client().ask(body).status, 413);
    assert!(server.seen().is_empty());
}

#[test]
fn incomplete_head_times_out() {
    let rig = Rig::usual(&[]);
    let mut client = rig.client();
    client.send("GET /safe/item HTTP/1.1\r\nHost: fl");
    let reply = client.reply();
    assert_eq!(reply.status, 408);
    assert!(reply.took >= Duration::from_millis(950), "{:?}", reply.took);
}

#[test]
fn connection_close_is_honoured() {
    let server = echo("i-1");
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
    let reply = client.ask(request("POST", "safe", "a1", "Connection: close\r\n", "x"));
    assert_eq!(
        (reply.text(), reply.header("connection")),
        ("x", Some("close"))
    );
    assert!(client.ends_within(Duration::from_secs(3)));
}

#[test]
fn response_to_head_has_no_body() {
    let server = Server::start("i-1", |seen, talk| {
        let id = seen.id();
        talk.write(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 12\r\n\r\n"
        ));
        Next::Keep
    });
    let rig = Rig::usual(&[&server]);
    let mut client = rig.client();
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
    let rig = Rig::usual(&[&server]);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        let length = rng.usize(1..200);
        let bytes: Vec<u8> = (0..length)
            .map(|_| b"GET /\r\n :0azHTTP1.\x00\xff"[rng.usize(..20)])
            .collect();
        let mut client = rig.client();
        client.send(&bytes);
    }
    assert_eq!(
        rig.client()
            .ask(request("POST", "safe", "a1", "", "well"))
            .text(),
        "well"
    );
}
