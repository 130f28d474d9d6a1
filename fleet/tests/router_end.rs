//! The end of a router: LOST, and what the platform is told.

mod support;

use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::harness::RouterHarness;
use support::server::{event, NextAction, Server};

fn slow_server(time: Duration) -> Server {
    Server::start("i-1", move |received, connection| {
        connection.closes_within(time);
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
        NextAction::Keep
    })
}

#[test]
fn requests_in_flight_at_sigterm_are_answered_and_readiness_fails() {
    let server = slow_server(Duration::from_millis(600));
    let mut harness = RouterHarness::with_defaults(&[&server]);
    assert_eq!(harness.router.readiness_status(), 200);
    let mut held = harness.client();
    held.send(request("POST", "unsafe", "a1", "", "x"));
    support::wait_until("it is held", || server.request_count("a1") == 1);
    harness.router.stop();
    let mut late = Client::connect(harness.router.frontend);
    assert_eq!(harness.router.readiness_status(), 503);
    // New clients are served until the platform has learnt of it.
    let reply = late.round_trip(request("POST", "unsafe", "a2", "", "x"));
    assert_eq!(
        (reply.status, reply.text(), reply.header("connection")),
        (200, "done", Some("close"))
    );
    let reply = held.reply();
    assert_eq!(
        (reply.status, reply.text(), reply.complete),
        (200, "done", true)
    );
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(held.ends_within(Duration::from_secs(3)));
    assert!(
        harness.router.ends_within(Duration::from_secs(5)),
        "it ends once the platform has had its time"
    );
}

#[test]
fn stream_in_flight_at_sigterm_completes() {
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        for id in 1..=10 {
            connection.event(id);
            connection.closes_within(Duration::from_millis(400));
        }
        connection.end();
        NextAction::Keep
    });
    let mut harness = RouterHarness::with(&[&server], 8_000, 1_000, 1);
    let mut client = harness.client();
    client.send(request("POST", "stream", "a1", "", "x"));
    client.head().expect("a head");
    harness.router.stop();
    for id in 1..=10 {
        assert_eq!(client.chunk(), Ok(Some(event(id).into_bytes())));
    }
    assert_eq!(client.chunk(), Ok(None));
    assert!(harness.router.ends_within(Duration::from_secs(5)));
}

#[test]
fn overlong_requests_get_final_response_within_grace() {
    let server = slow_server(Duration::from_secs(30));
    let mut harness = RouterHarness::with(&[&server], 30_000, 10_000, 1);
    let mut held = harness.client();
    held.send(request("POST", "unsafe", "a1", "", "x"));
    support::wait_until("it is held", || server.request_count("a1") == 1);
    let began = Instant::now();
    harness.router.stop();
    let reply = held.reply();
    assert_eq!(reply.status, 502, "it may have run");
    assert!(
        began.elapsed() >= Duration::from_secs(6),
        "{:?}",
        began.elapsed()
    );
    assert!(harness
        .router
        .ends_within(Duration::from_secs(8).saturating_sub(began.elapsed())));
}

#[test]
fn idle_router_exits_once_platform_has_noticed() {
    let mut harness = RouterHarness::with_defaults(&[]);
    // A connection that rests holds nothing up.
    let _resting = harness.client();
    let began = Instant::now();
    harness.router.stop();
    harness.router.stop();
    assert!(harness.router.ends_within(Duration::from_secs(5)));
    assert!(
        began.elapsed() >= Duration::from_millis(2_900),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn requests_beyond_shutdown_are_rejected_at_once() {
    let server = Server::endless("i-1", Duration::from_millis(200));
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut kept = harness.client();
    assert_eq!(
        kept.round_trip(request("GET", "nowhere", "a0", "", ""))
            .status,
        404
    );
    let mut new = harness.client();
    harness.router.stop();
    support::wait_until("the platform is told", || {
        harness.router.readiness_status() == 503
    });
    for (client, id) in [(&mut kept, "a1"), (&mut new, "a2")] {
        let began = Instant::now();
        let reply = client.round_trip(request("POST", "stream", id, "", "x"));
        assert_eq!(
            (reply.status, reply.complete),
            (503, true),
            "a refusal, or an answer that ends: {id}"
        );
        assert!(
            reply.retry_after().is_some_and(|after| after < 1.0),
            "it is told when to come back"
        );
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(server.request_count(id), 0, "a refusal is a promise");
    }
}

#[test]
fn requests_due_before_exit_are_served_during_shutdown() {
    let server = slow_server(Duration::from_millis(300));
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    harness.router.stop();
    support::wait_until("the platform is told", || {
        harness.router.readiness_status() == 503
    });
    let mut client = harness.client();
    let reply = client.round_trip(request(
        "POST",
        "unsafe",
        "a1",
        "Deadline-Ms: 3000\r\n",
        "x",
    ));
    assert_eq!(
        (reply.status, reply.text(), reply.complete),
        (200, "done", true)
    );
}

/// Events of a stream until its connection ends, all whole, and how long that took.
fn events_until_cut(client: &mut Client, since: Instant) -> (Vec<u64>, Duration) {
    let mut ids = Vec::new();
    loop {
        match client.chunk() {
            Ok(Some(chunk)) => {
                let next = ids.len() as u64 + 1;
                assert_eq!(chunk, event(next).into_bytes(), "whole events, in order");
                ids.push(next);
            }
            Ok(None) => panic!("a stream that is cut looks complete"),
            Err(()) => return (ids, since.elapsed()),
        }
    }
}

#[test]
fn resumable_stream_is_handed_over_between_events() {
    let server = Server::endless("i-1", Duration::from_millis(50));
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut clients: Vec<Client> = ["resume", "stream"].map(|_| harness.client()).into();
    for (client, kind) in clients.iter_mut().zip(["resume", "stream"]) {
        client.send(request("POST", kind, kind, "", "x"));
        client.head().expect("a head");
    }
    // One whose time is over before the router ends is left to its end.
    let mut short = harness.client();
    short.send(request(
        "POST",
        "resume",
        "short",
        "Deadline-Ms: 7300\r\n",
        "x",
    ));
    short.head().expect("a head");
    let began = Instant::now();
    harness.router.stop();
    let ends: Vec<Duration> = std::thread::scope(|scope| {
        let followed: Vec<_> = clients
            .iter_mut()
            .chain([&mut short])
            .map(|client| scope.spawn(move || events_until_cut(client, began)))
            .collect();
        followed
            .into_iter()
            .map(|follower| {
                let (ids, elapsed) = follower.join().expect("a client");
                assert!(ids.len() > 50, "{}", ids.len());
                elapsed
            })
            .collect()
    });
    // The grace is 8 s: its last sixth begins after 6.67 s, and the process cuts what is left 0.6 s
    // before its end.
    let (may_be_cut, all_are_cut) = (Duration::from_millis(6_667), Duration::from_millis(7_400));
    assert!(
        ends[0] > may_be_cut && ends[0] < may_be_cut + Duration::from_millis(400),
        "{ends:?}"
    );
    assert!(ends[1] >= all_are_cut, "{ends:?}");
    assert!(ends[2] >= Duration::from_millis(7_200), "{ends:?}");
}
