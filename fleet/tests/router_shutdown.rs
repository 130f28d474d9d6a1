//! No request is lost at a router that ends, or beside a server that answers before it has read.

mod support;

use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::harness::RouterHarness;
use support::server::{event, NextAction, Server};

fn echo_server() -> Server {
    Server::start("i-1", |received, connection| {
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
        NextAction::Keep
    })
}

/// Waits until the router has taken in that it is to end.
fn stop(harness: &mut RouterHarness) -> Instant {
    harness.router.stop();
    let began = Instant::now();
    support::wait_until("the platform is told", || {
        harness.router.readiness_status() == 503
    });
    began
}

/// The head of a request whose body comes later.
fn head_of(id: &str, headers: &str, length: usize) -> String {
    format!(
        "POST /unsafe/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n"
    )
}

#[test]
fn request_body_ending_after_signal_is_answered() {
    let server = echo_server();
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut short = harness.client();
    let mut long = harness.client();
    short.send(head_of("a1", "Deadline-Ms: 2000\r\n", 4));
    long.send(head_of("a2", "Deadline-Ms: 20000\r\n", 4));
    stop(&mut harness);
    std::thread::sleep(Duration::from_millis(500));
    short.send("body");
    long.send("body");
    let (one, other) = (short.reply(), long.reply());
    assert_eq!((one.status, one.complete), (200, true));
    assert_eq!((other.status, other.complete), (503, true));
    assert_eq!(server.request_count("a2"), 0);
}

#[test]
fn body_ending_after_listener_close_is_rejected_without_reset() {
    let server = echo_server();
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut late = harness.client();
    late.send(head_of("a1", "Deadline-Ms: 1000\r\n", 4));
    stop(&mut harness);
    std::thread::sleep(Duration::from_millis(1_800));
    late.send("bo");
    std::thread::sleep(Duration::from_millis(1_800));
    late.send("dy");
    let reply = late.reply();
    assert_eq!((reply.status, reply.complete), (503, true));
}

#[test]
fn pipelined_requests_during_shutdown_get_their_responses() {
    let server = Server::start("i-1", |received, connection| {
        connection.closes_within(Duration::from_millis(700));
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
        NextAction::Keep
    });
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut client = harness.client();
    let two = format!(
        "{}{}",
        request("POST", "unsafe", "a1", "", "x"),
        request("POST", "unsafe", "a2", "Deadline-Ms: 20000\r\n", "x")
    );
    client.send(two);
    support::wait_until("it is held", || server.request_count("a1") == 1);
    stop(&mut harness);
    let first = client.reply();
    assert_eq!(
        (first.status, first.complete, first.header("connection")),
        (200, true, Some("close"))
    );
    assert!(
        client.ends_within(Duration::from_secs(3)),
        "the second was not read"
    );
    assert_eq!(server.request_count("a2"), 0);
}

/// The answer is whole at the router well before the end; its client reads slowly.
#[test]
fn complete_response_reaches_slow_client_during_shutdown() {
    let server = Server::start("i-1", |received, connection| {
        let body = "x".repeat(24 << 20);
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", &body);
        NextAction::Keep
    });
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut client = harness.client();
    client.send(request(
        "POST",
        "unsafe",
        "a1",
        "Deadline-Ms: 4000\r\n",
        "x",
    ));
    support::wait_until("it is held", || server.request_count("a1") == 1);
    std::thread::sleep(Duration::from_millis(300));
    let began = stop(&mut harness);
    // It reads within its deadline.
    std::thread::sleep(Duration::from_millis(3_000).saturating_sub(began.elapsed()));
    let reply = client.reply();
    assert_eq!(
        (reply.status, reply.complete, reply.body.len()),
        (200, true, 24 << 20)
    );
}

#[test]
fn stream_with_deadline_just_before_exit_violates_no_invariant() {
    let server = Server::endless("i-1", Duration::from_millis(50));
    let mut harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let began = stop(&mut harness);
    let mut clients = Vec::new();
    for left in [7_300_u64, 7_380, 7_390, 7_395, 7_398, 7_399, 7_400] {
        let left = left.saturating_sub(u64::try_from(began.elapsed().as_millis()).unwrap());
        let mut client = harness.client();
        client.send(request(
            "POST",
            "stream",
            &format!("a{left}"),
            &format!("Deadline-Ms: {left}\r\n"),
            "x",
        ));
        clients.push(client);
    }
    let statuses: Vec<u16> = clients
        .iter_mut()
        .map(|client| client.head().expect("a head").status)
        .collect();
    assert!(harness.router.ends_within(Duration::from_secs(8)));
    assert!(statuses.contains(&200), "{statuses:?}");
}

#[test]
fn short_grace_period_is_kept_and_all_are_answered() {
    for grace in [1_u64, 2, 3] {
        let server = Server::start("i-1", |received, connection| {
            connection.closes_within(Duration::from_secs(20));
            connection.respond(received, 200, "", "done");
            NextAction::Close
        });
        let text = format!("gracePeriodS = {grace}\n");
        let mut harness = harness_with_grace(&server, &text);
        let mut held = harness.client();
        held.send(request("POST", "unsafe", "a1", "", "x"));
        support::wait_until("it is held", || server.request_count("a1") == 1);
        let began = Instant::now();
        harness.router.stop();
        let reply = held.reply();
        assert_eq!((reply.status, reply.complete), (502, true), "grace {grace}");
        assert!(
            harness
                .router
                .ends_within(Duration::from_secs(grace).saturating_sub(began.elapsed())),
            "{grace}"
        );
    }
}

/// A router with this much grace.
fn harness_with_grace(server: &Server, grace: &str) -> RouterHarness {
    use std::net::{Ipv4Addr, SocketAddr};
    let control = support::control::Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let text = support::harness::settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), "")
        .replace("gracePeriodS = 8\n", grace);
    let router = support::harness::RouterThread::start(&text, None);
    let harness = RouterHarness { control, router };
    harness.control.push_servers(vec![support::harness::record(
        server,
        lichenswitch_messages::ServerState::Ready,
        1,
    )]);
    harness
        .control
        .push_configuration(1, &support::harness::document(1, 30_000, 1_000, 1));
    support::wait_until("the configuration is in force", || {
        harness.control.applied().is_some()
    });
    harness.control.wait_until_acknowledged();
    harness
}

/// The server answers before it has read the body, and reads on when it has said all.
#[test]
fn stream_completes_while_server_still_reads_long_body() {
    const EVENTS: u64 = 25;
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        for id in 1..=EVENTS {
            connection.event(id);
            std::thread::sleep(Duration::from_millis(200));
        }
        connection.end();
        connection.closes_within(Duration::from_secs(2));
        NextAction::Close
    });
    let harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut client: Client = harness.client();
    let body = "x".repeat(3 << 20);
    client.send(request("POST", "stream", "a1", "Early: yes\r\n", &body));
    assert_eq!(client.head().expect("a head").status, 200);
    for id in 1..=EVENTS {
        assert_eq!(
            client.chunk(),
            Ok(Some(event(id).into_bytes())),
            "event {id}"
        );
    }
    assert_eq!(client.chunk(), Ok(None));
}

/// After a long body the connection breaks as soon as others when its server goes dark: the next
/// request is not waited for.
#[test]
fn connection_after_long_body_is_reused() {
    let server = echo_server();
    let harness = RouterHarness::with(&[&server], 30_000, 1_000, 1);
    let mut client = harness.client();
    for (id, size) in [("a1", 1 << 20), ("a2", 1), ("a3", 100 << 10), ("a4", 1)] {
        let reply = client.round_trip(request("POST", "unsafe", id, "", &"x".repeat(size)));
        assert_eq!((reply.status, reply.complete), (200, true), "{id}");
    }
}

/// Clients that pipeline, expect to be told to go on, ask for heads, and leave at any point. The
/// rig checks that no invariant was broken.
#[test]
fn waiting_clients_match_requests_in_hand_under_random_clients() {
    use std::io::Write;
    let server = Server::start("i-1", |received, connection| {
        match received.target.as_str() {
            "/stream/item" => {
                connection.stream_head(received);
                for id in 1..=5 {
                    connection.event(id);
                    connection.closes_within(Duration::from_millis(7));
                }
                connection.end();
            }
            _ if received.method == "HEAD" => connection.write(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\n",
                id = received.id()
            )),
            _ => connection.respond(received, 200, "", &"y".repeat(40_000)),
        }
        NextAction::Keep
    });
    let mut harness = RouterHarness::with_defaults(&[&server]);
    let address = harness.router.frontend;
    let clients: Vec<_> = (0..8_u64)
        .map(|number| {
            std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(4_400 + number);
                for round in 0..60 {
                    let mut client = Client::connect(address);
                    let mut bytes = String::new();
                    for place in 0..rng.u32(1..5) {
                        let id = format!("c{number}-{round}-{place}");
                        bytes += &match rng.u32(0..5) {
                            0 => request("HEAD", "safe", &id, "", ""),
                            1 => request("POST", "stream", &id, "", "x"),
                            2 => request("POST", "unsafe", &id, "Expect: 100-continue\r\n", "x"),
                            3 => request("GET", "nowhere", &id, "", ""),
                            _ => request(
                                "POST",
                                "unsafe",
                                &id,
                                "",
                                &"z".repeat(rng.usize(1..50_000)),
                            ),
                        };
                    }
                    let end = rng.usize(1..=bytes.len());
                    let _ = client.stream.write_all(&bytes.as_bytes()[..end]);
                    std::thread::sleep(Duration::from_millis(rng.u64(0..30)));
                    match rng.u32(0..3) {
                        0 => drop(client.stream.shutdown(std::net::Shutdown::Write)),
                        1 => {
                            let socket = socket2::SockRef::from(&client.stream);
                            socket.set_linger(Some(Duration::ZERO)).expect("linger");
                        }
                        _ => {}
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(700));
    harness.router.stop();
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap_or(()));
    assert!(harness.router.ends_within(Duration::from_secs(9)));
    assert_eq!(lichenswitch_fleet::invariants::violations(), 0);
}
