//! LOST: a request that was read whole gets a complete answer or a refusal, whatever is changed,
//! leaves or is closed beside it.
//!
//! The end of the process is looked at in `router_end`.

mod support;

use lichenswitch_http::{parse_response_head, BodyDecoder};
use lichenswitch_messages::{ServerRecord, ServerState};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::client::request;
use support::control::Control;
use support::harness::{document, record, settings_text, RouterHarness, RouterThread};
use support::server::{event, NextAction, Server};

/// Events of a long stream, and the pause between them.
const EVENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(100);
/// Connections are kept for this much beyond the idle time-out.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// How a request ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// With a complete answer.
    Answered { status: u16, body: Vec<u8> },
    /// With an answer that was cut off.
    Cut { got: usize },
    /// Without a byte.
    Closed,
}

impl End {
    fn is_status(&self, wanted: &[u16]) -> bool {
        matches!(self, End::Answered { status, .. } if wanted.contains(status))
    }
}

/// A connection of a client that does not mind how it ends.
struct Connection(TcpStream);

impl Connection {
    fn open(address: SocketAddr) -> Connection {
        let stream = TcpStream::connect(address).expect("connect");
        stream.set_nodelay(true).expect("nodelay");
        stream
            .set_read_timeout(Some(support::TEST_TIMEOUT))
            .expect("timeout");
        Connection(stream)
    }

    fn round_trip(&mut self, request: &str) -> End {
        // One that is closed already shows when it is read from.
        let _ = self.0.write_all(request.as_bytes());
        self.end()
    }

    fn end(&mut self) -> End {
        let (mut input, mut bytes) = (Vec::new(), [0; 65_536]);
        loop {
            match self.0.read(&mut bytes) {
                Ok(read) if read > 0 => input.extend_from_slice(&bytes[..read]),
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => {
                    panic!(
                        "no end in time; so far: {:?}",
                        String::from_utf8_lossy(&input)
                    )
                }
                _ if input.is_empty() => return End::Closed,
                _ => return End::Cut { got: input.len() },
            }
            if let Some((status, body)) = complete_response(&input) {
                return End::Answered { status, body };
            }
        }
    }
}

/// Status and body of an answer, once it is complete.
fn complete_response(input: &[u8]) -> Option<(u16, Vec<u8>)> {
    let (head, used) = parse_response_head(input, 32_768, false).expect("an answer")?;
    let mut decoder = BodyDecoder::new(head.framing, u64::MAX).expect("a framing");
    let (mut rest, mut body) = (&input[used..], Vec::new());
    loop {
        let decoded = decoder.decode(rest).expect("a body");
        body.extend_from_slice(decoded.body);
        rest = &rest[decoded.consumed..];
        match decoded {
            lichenswitch_http::Decoded { complete: true, .. } => return Some((head.status, body)),
            lichenswitch_http::Decoded { consumed: 0, .. } => return None,
            _ => {}
        }
    }
}

fn long_stream() -> Vec<u8> {
    (1..=EVENTS).map(event).collect::<String>().into_bytes()
}

fn large_answer() -> String {
    "large ".repeat(100_000)
}

/// A server with work of several kinds, by the `Work` of the request: a long stream, an answer that
/// takes time, one that is passed on as it comes, or one at once.
fn start_worker(instance: &str) -> Server {
    Server::start(instance, |received, connection| {
        match received.header("work") {
            Some("stream") => {
                connection.stream_head(received);
                (1..=EVENTS).for_each(|id| {
                    connection.event(id);
                    std::thread::sleep(PAUSE);
                });
                connection.end();
            }
            Some("slow") => {
                std::thread::sleep(PAUSE * 8);
                connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done");
            }
            Some("large") => {
                connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", &large_answer())
            }
            _ => connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", "done"),
        }
        NextAction::Keep
    })
}

fn expected(work: &str) -> Vec<u8> {
    match work {
        "stream" => long_stream(),
        "large" => large_answer().into_bytes(),
        _ => b"done".to_vec(),
    }
}

fn record_of_service(
    server: &Server,
    service: &str,
    state: ServerState,
    number: u64,
) -> ServerRecord {
    ServerRecord {
        service: service.into(),
        ..record(server, state, number)
    }
}

/// A configuration drawn from all that operators change.
fn random_document(rng: &mut fastrand::Rng, version: u64) -> String {
    let services = [&["pool"][..], &["other"], &["pool", "other"]][rng.usize(..3)];
    let kinds = ["safe", "unsafe", "streaming"];
    let mut routes = Vec::new();
    for (name, kind) in [("safe", 0), ("unsafe", 1), ("stream", 2), ("resume", 2)] {
        if rng.u8(..5) == 0 {
            continue;
        }
        // Kinds of routes change too: a stream of one that is not streaming is passed on all the
        // same.
        let kind = kinds[if rng.u8(..4) == 0 {
            rng.usize(..3)
        } else {
            kind
        }];
        let split: Vec<String> = services
            .iter()
            .map(|service| format!("{{\"service\":\"{service}\",\"weight\":{}}}", rng.u8(1..5)))
            .collect();
        routes.push(format!(
            "{{\"name\":\"r-{name}\",\"host\":\"fleet.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{},\"targetLatencyMs\":{},\"priority\":{},\"trafficSplit\":[{}],\"maxAttempts\":{},\
             \"streamResume\":{}}}",
            rng.u32(6_000..60_000),
            rng.u32(500..5_000),
            rng.u8(..10),
            split.join(","),
            rng.u8(1..4),
            rng.bool()
        ));
    }
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            let most = rng.u8(2..100);
            format!("{{\"name\":\"{service}\",\"healthCheckPath\":\"/health\",\"maxConnections\":{most}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":{},\
         \"maxBodyBytes\":{},\"headerTimeoutMs\":{},\"idleTimeoutMs\":{}}}}}",
        routes.join(","),
        services.join(","),
        rng.u32(4_096..16_384),
        rng.u32(100_000..4_000_000),
        rng.u32(500..3_000),
        rng.u32(50..3_000)
    )
}

/// One client: requests on a connection that it keeps for as long as it can. Tells what ended
/// otherwise than it may.
fn client(
    address: SocketAddr,
    servers: &[Arc<Server>],
    number: u64,
    over: &AtomicBool,
) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(number);
    let (mut connection, mut kept) = (Connection::open(address), false);
    let (mut faults, mut count) = (Vec::new(), 0);
    while !over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number}-{count}");
        let (kind, work) = [
            ("safe", "slow"),
            ("safe", "large"),
            ("unsafe", "slow"),
            ("unsafe", "once"),
            ("stream", "stream"),
            ("resume", "stream"),
        ][rng.usize(..6)];
        let body = "x".repeat(rng.usize(1..60_000));
        let headers = format!("Work: {work}\r\nDeadline-Ms: 20000\r\n");
        let end = connection.round_trip(&request("POST", kind, &id, &headers, &body));
        let reached = servers.iter().any(|server| server.request_count(&id) > 0);
        // Besides: no route at that moment, or no server; a request that crosses the end of a kept
        // connection.
        let served = matches!(&end, End::Answered { status: 200, body } if *body == expected(work));
        let refused = end.is_status(&[404, 503]);
        let crossed = end == End::Closed && kept && !reached;
        if !served && !refused && !crossed {
            let end = if let End::Answered { status, .. } = end {
                format!("{status}")
            } else {
                format!("{end:?}")
            };
            faults.push(format!(
                "{id} ({kind}, {work}), at a server: {reached}: {end}"
            ));
        }
        kept = served || refused;
        if !kept || rng.u8(..8) == 0 {
            (connection, kept) = (Connection::open(address), false);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(..60)));
    }
    faults
}

#[test]
fn frequent_configurations_end_no_request_and_no_stream() {
    let servers: Vec<Arc<Server>> = ["i-1", "i-2", "i-3", "i-4"]
        .map(|instance| Arc::new(start_worker(instance)))
        .into();
    let harness = RouterHarness::with(&[], 20_000, 2_000, 2);
    let of = |server: usize| ["pool", "other"][server % 2];
    let records = (0..4)
        .map(|at| record_of_service(&servers[at], of(at), ServerState::Ready, 1))
        .collect();
    harness.control.push_servers(records);
    harness.control.wait_until_acknowledged();
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24)
        .map(|number| {
            let (address, servers, over) = (harness.router.frontend, servers.clone(), over.clone());
            std::thread::spawn(move || client(address, &servers, number, &over))
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(44);
    let asked = || {
        servers
            .iter()
            .map(|server| server.received().len())
            .sum::<usize>()
    };
    // On a machine that is loaded the clients get fewer turns in the same time: the storm lasts
    // until they have had enough.
    for version in (2..802).take_while(|version| *version < 82 || asked() <= 200) {
        harness
            .control
            .push_configuration(version, &random_document(&mut rng, version));
        std::thread::sleep(Duration::from_millis(100));
    }
    over.store(true, Ordering::SeqCst);
    let faults: Vec<String> = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(asked() > 200, "only {} requests reached a server", asked());
}

/// Sends a request of this kind, named by it, and waits until its server has it.
fn start_request(harness: &RouterHarness, server: &Server, kind: &str, work: &str) -> Connection {
    let mut connection = Connection::open(harness.router.frontend);
    let text = request("POST", kind, kind, &format!("Work: {work}\r\n"), "x");
    connection.0.write_all(text.as_bytes()).expect("send");
    support::wait_until("it is held", || server.request_count(kind) == 1);
    connection
}

#[test]
fn request_keeps_its_timeout_when_route_shrinks_or_vanishes() {
    let server = start_worker("i-1");
    let harness = RouterHarness::with(&[&server], 6_000, 2_000, 1);
    let held: Vec<Connection> = [
        ("stream", "stream"),
        ("resume", "stream"),
        ("unsafe", "slow"),
        ("safe", "slow"),
    ]
    .into_iter()
    .map(|(kind, work)| start_request(&harness, &server, kind, work))
    .collect();
    harness
        .control
        .push_configuration(2, &document(2, 100, 50, 1));
    harness.control.wait_until_acknowledged();
    harness
        .control
        .push_configuration(3, "{\"version\":3,\"routes\":[],\"services\":[]}");
    harness.control.wait_until_acknowledged();
    harness
        .control
        .push_configuration(4, &document(4, 100, 50, 1));
    for (mut connection, work) in held.into_iter().zip(["stream", "stream", "slow", "slow"]) {
        assert_eq!(
            connection.end(),
            End::Answered {
                status: 200,
                body: expected(work)
            }
        );
    }
}

#[test]
fn draining_server_finishes_running_requests() {
    let ways: [&[ServerState]; 3] = [
        &[ServerState::Draining],
        &[ServerState::Gone],
        &[ServerState::Draining, ServerState::Gone],
    ];
    for way in ways {
        let server = start_worker("i-1");
        let harness = RouterHarness::with(&[&server], 6_000, 2_000, 3);
        let held: Vec<(Connection, &str)> = [
            ("resume", "stream"),
            ("stream", "stream"),
            ("safe", "slow"),
            ("unsafe", "slow"),
        ]
        .into_iter()
        .map(|(kind, work)| {
            let connection = start_request(&harness, &server, kind, work);
            (connection, work)
        })
        .collect();
        for (at, state) in way.iter().enumerate() {
            harness
                .control
                .push_servers(vec![record(&server, *state, at as u64 + 2)]);
            harness.control.wait_until_acknowledged();
        }
        // Its address goes to a server of another service, and its own service goes.
        let heir = ServerRecord {
            instance: "i-9".into(),
            ..record_of_service(&server, "other", ServerState::Ready, 1)
        };
        harness.control.push_servers(vec![heir]);
        harness
            .control
            .push_configuration(2, &document(2, 6_000, 2_000, 3).replace("pool", "other"));
        harness.control.wait_until_acknowledged();
        for (mut connection, work) in held {
            assert_eq!(
                connection.end(),
                End::Answered {
                    status: 200,
                    body: expected(work)
                },
                "{way:?}"
            );
        }
        assert_eq!(server.received().len(), 4, "each was sent once");
    }
}

/// A router that no rig builds, with these lines of its settings exchanged.
fn router_with(
    servers: &[&Server],
    exchange: (&str, &str),
    document: &str,
) -> (Control, RouterThread) {
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let text = settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), "");
    assert!(text.contains(exchange.0), "the settings have the line");
    let router = RouterThread::start(&text.replace(exchange.0, exchange.1), None);
    control.push_servers(
        servers
            .iter()
            .map(|s| record(s, ServerState::Ready, 1))
            .collect(),
    );
    control.push_configuration(1, document);
    support::wait_until("the configuration is in force", || {
        control.applied().is_some()
    });
    control.wait_until_acknowledged();
    (control, router)
}

/// Asks on a connection; tells whether the request reached the server, and how it ended.
fn round_trip_once(connection: &mut Connection, server: &Server, id: &str) -> (bool, End) {
    let end = connection.round_trip(&request("POST", "unsafe", id, "", "x"));
    // Where it was closed without an answer a request on its way would be there by now.
    if end == End::Closed {
        std::thread::sleep(Duration::from_millis(50));
    }
    (server.request_count(id) > 0, end)
}

/// The same on a connection that has carried a request and has rested since.
fn round_trip_after_idle(
    address: SocketAddr,
    server: &Server,
    id: &str,
    rest: Duration,
) -> (bool, End) {
    let mut connection = connection_that_was_used(address, server, id);
    std::thread::sleep(rest);
    round_trip_once(&mut connection, server, id)
}

/// A connection whose first request was answered. On a machine that is loaded that one may be
/// refused, or its connection may end before it was written; then no server has seen it, and
/// another connection is opened.
fn connection_that_was_used(address: SocketAddr, server: &Server, id: &str) -> Connection {
    for attempt in 0..40 {
        let mut connection = Connection::open(address);
        let first = format!("{id}-first-{attempt}");
        match round_trip_once(&mut connection, server, &first) {
            (true, end) if end.is_status(&[200]) => return connection,
            (reached, end) => {
                assert!(!reached, "{first} was passed on: {end:?}");
                assert!(
                    end == End::Closed || end.is_status(&[503]),
                    "{first}: {end:?}"
                );
            }
        }
    }
    panic!("{id}: no connection of 40 carried a first request");
}

#[test]
fn request_crossing_keep_alive_end_reaches_no_server() {
    let server = Arc::new(start_worker("i-1"));
    let idle =
        document(1, 6_000, 2_000, 1).replace("\"idleTimeoutMs\":3000", "\"idleTimeoutMs\":100");
    let (_control, router) = router_with(&[&server], ("[limits]", "[limits]"), &idle);
    let due = Duration::from_millis(100) + IDLE_MARGIN;
    let (mut crossed, mut served) = (0, 0);
    // A machine that is loaded wakes many of them late: there are further rounds then, which begin
    // earlier.
    for round in 0..12_u32 {
        if round >= 3 && crossed > 10 && served > 10 {
            break;
        }
        let lead = Duration::from_millis(30) * round.saturating_sub(2).max(1);
        let clients: Vec<_> = (0..96)
            .map(|number: u64| {
                let (server, address) = (server.clone(), router.frontend);
                // Half a millisecond apart, on both sides of the moment.
                let rest = due - lead + Duration::from_micros(500) * number as u32;
                let id = format!("r{round}-{number}");
                std::thread::spawn(move || (round_trip_after_idle(address, &server, &id, rest), id))
            })
            .collect();
        for client in clients {
            let ((reached, end), id) = client.join().expect("a client");
            match reached {
                true => assert!(end.is_status(&[200]), "{id} was passed on: {end:?}"),
                false => assert_eq!(end, End::Closed, "{id} was not passed on"),
            }
            *if reached { &mut served } else { &mut crossed } += 1;
        }
    }
    assert!(
        crossed > 10 && served > 10,
        "{crossed} crossed, {served} did not: the moment was missed"
    );
}

/// Requests of one client on connections that it keeps for as long as it can.
fn request_while_connections_close(
    address: SocketAddr,
    server: &Server,
    number: u64,
) -> Vec<(String, bool, End)> {
    let mut rng = fastrand::Rng::with_seed(number);
    let mut connection = Connection::open(address);
    let mut ends = Vec::new();
    for round in 0..30 {
        std::thread::sleep(Duration::from_millis(rng.u64(..40)));
        let id = format!("m{number}-{round}");
        let (reached, end) = round_trip_once(&mut connection, server, &id);
        if !end.is_status(&[200]) || rng.u8(..4) == 0 {
            connection = Connection::open(address);
        }
        ends.push((id, reached, end));
    }
    ends
}

#[test]
fn connections_closed_for_capacity_carry_no_forwarded_request() {
    let server = Arc::new(start_worker("i-1"));
    let few = ("fileDescriptors = 1000", "fileDescriptors = 300");
    let (_control, router) = router_with(&[&server], few, &document(1, 6_000, 2_000, 1));
    let (mut closed, mut served) = (0, 0);
    let clients: Vec<_> = (0..120)
        .map(|number: u64| {
            let (server, address) = (server.clone(), router.frontend);
            std::thread::spawn(move || request_while_connections_close(address, &server, number))
        })
        .collect();
    for (id, reached, end) in clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
    {
        match reached {
            true => assert!(end.is_status(&[200]), "{id} was passed on: {end:?}"),
            false => assert!(
                end == End::Closed || end.is_status(&[503]),
                "{id} was not passed on: {end:?}"
            ),
        }
        *if reached { &mut served } else { &mut closed } += 1;
    }
    assert!(
        closed > 0 && served > 100,
        "{closed} closed, {served} served: there was room for all"
    );
}

/// A stream of more than a router holds for a client, in events of 8 KB.
fn wide_stream() -> Vec<u8> {
    (1..=1_500)
        .map(|id| format!("id: {id}\ndata: {}\n\n", "w".repeat(8_000)))
        .collect::<String>()
        .into_bytes()
}

#[test]
fn stream_of_paused_client_completes_after_server_and_route_vanish() {
    let server = Server::start("i-1", |received, connection| {
        connection.stream_head(received);
        wide_stream().chunks(64_000).for_each(|piece| {
            connection.write(format!("{:x}\r\n", piece.len()));
            connection.write(piece);
            connection.write("\r\n");
        });
        connection.end();
        // It leaves as soon as it has handed everything over.
        NextAction::Close
    });
    let harness = RouterHarness::with(&[&server], 20_000, 2_000, 1);
    for kind in ["stream", "resume", "safe"] {
        let mut connection = Connection::open(harness.router.frontend);
        connection
            .0
            .write_all(request("POST", kind, kind, "", "x").as_bytes())
            .expect("send");
        support::wait_until("it runs", || server.request_count(kind) == 1);
        std::thread::sleep(Duration::from_millis(500));
        if kind == "safe" {
            harness
                .control
                .push_servers(vec![record(&server, ServerState::Gone, 2)]);
            harness
                .control
                .push_configuration(2, "{\"version\":2,\"routes\":[],\"services\":[]}");
            harness.control.wait_until_acknowledged();
        }
        std::thread::sleep(Duration::from_millis(2_500));
        let end = connection.end();
        let complete_response =
            matches!(&end, End::Answered { status: 200, body } if *body == wide_stream());
        assert!(
            complete_response,
            "{kind}: {:?}",
            matches!(end, End::Closed | End::Cut { .. }).then_some(end)
        );
    }
}

#[test]
fn changed_or_unreadable_settings_end_no_request() {
    let server = start_worker("i-1");
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let text = settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), "");
    let path = std::env::temp_dir().join(format!("router-lost-{}.toml", std::process::id()));
    std::fs::write(&path, &text).expect("write");
    let mut router = RouterThread::start(&text, Some(path.clone()));
    control.push_servers(vec![record(&server, ServerState::Ready, 1)]);
    control.push_configuration(1, &document(1, 6_000, 2_000, 1));
    support::wait_until("the configuration is in force", || {
        control.applied().is_some()
    });
    let held: Vec<(Connection, &str)> =
        [("stream", "stream"), ("unsafe", "slow"), ("safe", "slow")]
            .into_iter()
            .map(|(kind, work)| {
                let mut connection = Connection::open(router.frontend);
                let text = request("POST", kind, kind, &format!("Work: {work}\r\n"), "x");
                connection.0.write_all(text.as_bytes()).expect("send");
                support::wait_until("it is held", || server.request_count(kind) == 1);
                (connection, work)
            })
            .collect();
    let mut kept = Connection::open(router.frontend);
    let nobody = settings_text(&[Ipv4Addr::new(127, 0, 0, 9)], 1, "");
    let short = text
        .replace("gracePeriodS = 8", "gracePeriodS = 0")
        .replace("retrySlack = 200", "retrySlack = 0");
    for (round, content) in [
        &*nobody,
        "nodeName = ",
        "",
        &*short,
        &text[..text.len() / 2],
    ]
    .iter()
    .enumerate()
    {
        std::fs::write(&path, content).expect("write");
        router.reload();
        assert!(kept
            .round_trip(&request("POST", "unsafe", &format!("k{round}"), "", "x"))
            .is_status(&[200]));
    }
    std::fs::remove_file(&path).expect("remove");
    router.reload();
    assert!(kept
        .round_trip(&request("POST", "unsafe", "k-last", "", "x"))
        .is_status(&[200]));
    for (mut connection, work) in held {
        assert_eq!(
            connection.end(),
            End::Answered {
                status: 200,
                body: expected(work)
            }
        );
    }
}
