//! The model server: what it rejects, how its faults look on the wire, and its reports to the control
//! machines.

use super::heartbeat::ServerReport;
use super::*;
use crate::operator::scripted_control::{Reply, ScriptedControl};
use crate::stream_client::message::{read_body, read_head, Call, MessageError, Response};
use crate::stream_client::StreamRequest;
use std::io::{BufReader, Read, Write};
use std::time::Instant;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn quick() -> ServerDescription {
    let mut description = ServerDescription::new("i-1", "s", "z");
    (description.time_to_first_event, description.event_interval) =
        (Duration::ZERO, Duration::ZERO);
    description
}

fn start(description: ServerDescription) -> ModelServer {
    ModelServer::start(description, SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("an address of loopback")
}

fn call(attempt: &str) -> Call {
    Call::post("/a/1", "{}")
        .with("Attempt-Id", attempt)
        .with("Token-Usage", "8,8")
}

fn load(running: usize, waiting: usize) -> RequestLoad {
    RequestLoad { running, waiting }
}

fn wait_until(event: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !event() {
        assert!(Instant::now() < end, "not in time");
        thread::yield_now();
    }
}

/// A connection that is kept alive, as a router does it.
struct KeptAliveConnection(BufReader<TcpStream>);

impl KeptAliveConnection {
    fn new(server: &ModelServer) -> KeptAliveConnection {
        let stream = TcpStream::connect(server.address).expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        KeptAliveConnection(BufReader::new(stream))
    }

    fn write(&mut self, attempt: &str) {
        let request = format!(
            "POST /a/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: {attempt}\r\nToken-Usage: 8,8\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        self.0
            .get_mut()
            .write_all(request.as_bytes())
            .expect("written");
    }

    fn read(&mut self) -> Result<Response, MessageError> {
        let head = read_head(&mut self.0)?.ok_or(MessageError::Truncated)?;
        let body = read_body(&mut self.0, &head, true)?;
        Ok(Response { head, body })
    }

    fn read_to_end_of_connection(mut self) -> Vec<u8> {
        let mut remaining = Vec::new();
        self.0
            .get_mut()
            .shutdown(std::net::Shutdown::Write)
            .expect("shut down");
        // A reset ends it as well.
        let _ = self.0.read_to_end(&mut remaining);
        remaining
    }
}

#[test]
fn request_runs_once_and_its_response_carries_its_id() {
    let server = start(quick());
    let mut connection = KeptAliveConnection::new(&server);
    for attempt in ["a1", "a2"] {
        connection.write(attempt);
        let response = connection.read().expect("an answer");
        assert_eq!(response.status(), 200);
        assert_eq!(response.head.field("attempt-id"), Some(attempt));
        assert!(response.head.field("response-seal").is_some());
        assert_eq!(response.head.field("server-load"), Some("1,0,8"));
        assert_eq!(server.ledger.runs(attempt), 1);
    }
}

#[test]
fn rejected_request_has_not_run() {
    let server = start(quick());
    for (call, status) in [
        (call("b1").with("Target-Instance", "i-2"), 421),
        (call("b1").with("Expect-Version", "2"), 421),
        (Call::post("/a/1", "{}"), 400),
    ] {
        let response = call.send(server.address, TEST_TIMEOUT).expect("an answer");
        assert_eq!(response.status(), status);
        assert!(response.head.field("not-executed").is_some());
    }
    server.next_faults([Some(Fault::Rejected(429))]);
    assert_eq!(
        call("b1")
            .send(server.address, TEST_TIMEOUT)
            .expect("an answer")
            .status(),
        429
    );
    assert_eq!(
        server.ledger.count(|entry| entry.event == Event::Started),
        0
    );
    let response = call("b1")
        .with("Target-Instance", "i-1")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_eq!(response.status(), 200);
}

#[test]
fn request_is_rejected_when_slots_and_queue_are_full() {
    let mut description = quick();
    (description.slots, description.queue_capacity) = (1, 1);
    let server = start(description);
    server.next_faults([Some(Fault::NoResponse), None, None]);
    let mut first = KeptAliveConnection::new(&server);
    first.write("c1");
    wait_until(|| server.load() == load(1, 0));
    let mut second = KeptAliveConnection::new(&server);
    second.write("c2");
    wait_until(|| server.load() == load(1, 1));
    let third = call("c3")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_eq!(
        (third.status(), third.head.field("not-executed")),
        (503, Some("1"))
    );
    // The first caller leaves: the one that waits gets the slot.
    drop(first);
    assert_eq!(second.read().expect("an answer").status(), 200);
    assert_eq!(
        [
            server.ledger.runs("c1"),
            server.ledger.runs("c2"),
            server.ledger.runs("c3")
        ],
        [1, 1, 0]
    );
}

#[test]
fn deadline_in_the_queue_is_a_rejection() {
    let mut description = quick();
    description.slots = 1;
    let server = start(description);
    server.next_faults([Some(Fault::NoResponse)]);
    let mut first = KeptAliveConnection::new(&server);
    first.write("d1");
    wait_until(|| server.load() == load(1, 0));
    let rejected = call("d2")
        .with("Deadline-Ms", 30)
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_eq!((rejected.status(), server.ledger.runs("d2")), (503, 0));
}

#[test]
fn work_stops_at_the_deadline() {
    let mut description = quick();
    description.event_interval = Duration::from_millis(40);
    let server = start(description);
    let call = call("d3").with("Deadline-Ms", 20);
    assert_eq!(
        call.send(server.address, TEST_TIMEOUT),
        Err(MessageError::Truncated)
    );
    wait_until(|| server.ledger.count(|entry| entry.event == Event::Aborted) == 1);
}

#[test]
fn request_with_lost_response_has_run_and_one_closed_before_run_has_not() {
    let server = start(quick());
    server.next_faults([Some(Fault::ResponseLost), Some(Fault::ClosedBeforeRun)]);
    assert!(call("e1").send(server.address, TEST_TIMEOUT).is_err());
    assert!(call("e2").send(server.address, TEST_TIMEOUT).is_err());
    assert_eq!([server.ledger.runs("e1"), server.ledger.runs("e2")], [1, 0]);
}

#[test]
fn bytes_behind_a_response_belong_to_no_request() {
    let server = start(quick());
    server.next_faults([Some(Fault::ExtraResponse), Some(Fault::ExtraBytes), None]);
    let mut connection = KeptAliveConnection::new(&server);
    connection.write("f1");
    assert_eq!(
        connection
            .read()
            .expect("an answer")
            .head
            .field("attempt-id"),
        Some("f1")
    );
    assert_eq!(
        connection
            .read()
            .expect("one more")
            .head
            .field("attempt-id"),
        Some("f1")
    );
    connection.write("f2");
    assert_eq!(
        connection
            .read()
            .expect("an answer")
            .head
            .field("attempt-id"),
        Some("f2")
    );
    assert_eq!(connection.read_to_end_of_connection(), b"and so on\r\n");
    let mut connection = KeptAliveConnection::new(&server);
    connection.write("f3");
    assert_eq!(connection.read().expect("an answer").status(), 200);
    assert!(connection.read_to_end_of_connection().is_empty());
}

#[test]
fn late_response_precedes_the_next_one() {
    let server = start(quick());
    server.next_faults([Some(Fault::LateResponse)]);
    let mut connection = KeptAliveConnection::new(&server);
    for (attempt, answered) in [("g1", "g1"), ("g2", "g1")] {
        connection.write(attempt);
        assert_eq!(
            connection
                .read()
                .expect("an answer")
                .head
                .field("attempt-id"),
            Some(answered)
        );
    }
    assert_eq!(
        connection.read().expect("its own").head.field("attempt-id"),
        Some("g2")
    );
}

#[test]
fn rejection_by_a_full_server_is_sent_once_more_in_its_share() {
    let mut description = quick();
    (description.slots, description.queue_capacity) = (0, 0);
    let server = start(description);
    server.repeat_responses(1.0, 7);
    let mut connection = KeptAliveConnection::new(&server);
    for (attempt, answered) in [("r1", "r1"), ("r2", "r1")] {
        connection.write(attempt);
        let response = connection.read().expect("an answer");
        assert_eq!(response.status(), 503);
        assert_eq!(response.head.field("attempt-id"), Some(answered));
    }
    server.repeat_responses(0.0, 7);
    let mut connection = KeptAliveConnection::new(&server);
    for attempt in ["r3", "r4"] {
        connection.write(attempt);
        let response = connection.read().expect("an answer");
        assert_eq!(response.head.field("attempt-id"), Some(attempt));
    }
}

#[test]
fn response_without_a_length_ends_with_its_connection_or_by_a_reset() {
    let server = start(quick());
    server.next_faults([
        Some(Fault::NoLength),
        Some(Fault::NoLengthReset(1)),
        Some(Fault::ResetAfter(1)),
    ]);
    let whole = call("h1")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_eq!(whole.head.framing(), None);
    assert!(whole.body.ends_with(b"h1 2/2\n\n"));
    for attempt in ["h2", "h3"] {
        let cut = call(attempt).send(server.address, TEST_TIMEOUT);
        assert_eq!(
            cut,
            Err(MessageError::Connection(
                std::io::ErrorKind::ConnectionReset
            )),
            "{attempt}"
        );
    }
}

#[test]
fn early_response_keeps_the_connection_in_step() {
    let server = start(quick());
    server.next_faults([Some(Fault::EarlyResponse(503))]);
    let mut connection = KeptAliveConnection::new(&server);
    let head = "POST /a/1 HTTP/1.1\r\nAttempt-Id: k1\r\nContent-Length: 6\r\n\r\n";
    connection
        .0
        .get_mut()
        .write_all(head.as_bytes())
        .expect("written");
    let early = connection.read().expect("an answer before the body");
    assert_eq!(
        (early.status(), early.head.field("not-executed")),
        (503, Some("1"))
    );
    connection
        .0
        .get_mut()
        .write_all(b"abcdef")
        .expect("written");
    connection.write("k2");
    assert_eq!(
        connection
            .read()
            .expect("an answer")
            .head
            .field("attempt-id"),
        Some("k2")
    );
    assert_eq!([server.ledger.runs("k1"), server.ledger.runs("k2")], [0, 1]);
}

#[test]
fn other_faults_look_on_the_wire_as_named() {
    let server = start(quick());
    server.next_faults([
        Some(Fault::NotHttp),
        Some(Fault::Failed(500)),
        Some(Fault::WrongId),
    ]);
    assert!(call("l1").send(server.address, TEST_TIMEOUT).is_err());
    let failed = call("l2")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_eq!(
        (failed.status(), failed.head.field("not-executed")),
        (500, None)
    );
    assert!(failed.head.field("response-seal").is_some());
    let wrong = call("l3")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert_ne!(wrong.head.field("attempt-id"), Some("l3"));
    assert_eq!(
        [
            server.ledger.runs("l1"),
            server.ledger.runs("l2"),
            server.ledger.runs("l3")
        ],
        [1, 1, 1]
    );
}

#[test]
fn server_without_response_detects_disconnected_caller() {
    let server = start(quick());
    server.always_fault(Some(Fault::NoResponse));
    let request = StreamRequest::new("a", "/a/1", "m1", 8);
    let result = request.send(server.address, Duration::from_millis(50), |_| {});
    assert_eq!(result, Err(MessageError::Timeout));
    wait_until(|| server.ledger.count(|entry| entry.event == Event::Aborted) == 1);
    // The slot is released after the event is recorded, by the connection's thread.
    wait_until(|| server.load() == load(0, 0));
}

#[test]
fn connections_beyond_the_limit_are_reset() {
    let mut description = quick();
    description.max_connections = 1;
    let server = start(description);
    let mut connection = KeptAliveConnection::new(&server);
    connection.write("n1");
    assert!(connection.read().is_ok());
    assert!(call("n2").send(server.address, TEST_TIMEOUT).is_err());
    wait_until(|| {
        server
            .ledger
            .count(|entry| entry.event == Event::ConnectionReset)
            == 1
    });
    assert_eq!(server.ledger.runs("n2"), 0);
}

#[test]
fn health_check_and_report_show_the_state() {
    let server = start(quick());
    let health = |server: &ModelServer| {
        Call::get("/health")
            .send(server.address, TEST_TIMEOUT)
            .expect("an answer")
    };
    let good = health(&server);
    assert_eq!(
        (good.status(), good.head.field("instance-id")),
        (200, Some("i-1"))
    );
    server.set_healthy(false);
    assert_eq!(health(&server).status(), 503);
    let report = Call::get("/report")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    let report: serde_json::Value = serde_json::from_slice(&report.body).expect("JSON");
    assert_eq!(report["activeRequests"], 0);
}

#[test]
fn heartbeats_move_to_a_machine_that_acknowledges_and_stay_there() {
    let refuses = ScriptedControl::start(|_, _| Reply::status(503)).expect("loopback");
    let takes = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let server = start(quick());
    let registration = server.register(
        vec![refuses.address, takes.address],
        Duration::from_millis(1),
    );
    wait_until(|| takes.calls().len() > 5);
    drop(registration);
    assert!(refuses.calls().len() <= 1);
    let numbers: Vec<u64> = takes.calls().iter().map(number).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
    assert_eq!(takes.calls()[0].path, "/instances/i-1/heartbeat");
}

fn number(call: &Call) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(&call.body).expect("JSON");
    body["sequenceNumber"].as_u64().expect("a number")
}

#[test]
fn later_heartbeats_go_to_the_named_endpoint() {
    let other = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let body = format!("{{\"heartbeatEndpoint\":\"{}\"}}", other.address);
    let first = ScriptedControl::start(move |_, _| Reply::body(&body)).expect("loopback");
    let server = start(quick());
    let _registration = server.register(vec![first.address], Duration::from_millis(1));
    wait_until(|| other.calls().len() > 2);
    assert_eq!(first.calls().len(), 1);
}

#[test]
fn draining_and_deregistration_are_acknowledged() {
    let machine = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let server = start(quick());
    let registration = server.register(vec![machine.address], TEST_TIMEOUT);
    wait_until(|| machine.calls().len() == 1);
    assert!(registration.drain(TEST_TIMEOUT));
    assert!(registration.deregister(TEST_TIMEOUT));
    let calls = machine.calls();
    assert!(String::from_utf8_lossy(&calls[1].body).contains("\"draining\""));
    assert_eq!(calls[2].path, "/instances/i-1/deregister");
    // It serves on, and asks callers to leave.
    let response = call("o1")
        .send(server.address, TEST_TIMEOUT)
        .expect("an answer");
    assert!(response.status() == 200 && response.head.closes());
    assert_eq!(
        Call::get("/health")
            .send(server.address, TEST_TIMEOUT)
            .expect("an answer")
            .status(),
        503
    );
    let acknowledged = |entry: &Entry| {
        matches!(
            entry.event,
            Event::Acknowledged(ServerReport::Draining(2), _)
        )
    };
    assert_eq!(server.ledger.count(acknowledged), 1);
}

#[test]
fn server_without_acknowledgement_ends_at_its_deadline() {
    let machine = ScriptedControl::start(|_, _| Reply::status(503)).expect("loopback");
    let server = start(quick());
    let registration = server.register(vec![machine.address], TEST_TIMEOUT);
    assert!(!registration.deregister(Duration::from_millis(100)));
    server.crash();
    wait_until(|| TcpStream::connect(server.address).is_err());
}
