//! The model server: what it refuses, how its faults look on the wire, and what it says to control
//! machines.

use super::heartbeat::ServerReport;
use super::*;
use crate::operator::scripted_control::{Reply, ScriptedControl};
use crate::stream_client::message::{read_body, read_head, Call, MessageError, Response};
use crate::stream_client::StreamRequest;
use std::io::{BufReader, Read, Write};

const LONG: Duration = Duration::from_secs(10);

fn quick() -> Description {
    let mut description = Description::new("i-1", "s", "z");
    (description.first_event, description.between_events) = (Duration::ZERO, Duration::ZERO);
    description
}

fn start(description: Description) -> ModelServer {
    ModelServer::start(description, SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("an address of loopback")
}

fn call(attempt: &str) -> Call {
    Call::post("/a/1", "{}")
        .with("Attempt-Id", attempt)
        .with("Token-Usage", "8,8")
}

fn until(what: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !what() {
        assert!(Instant::now() < end, "not in time");
        thread::yield_now();
    }
}

/// A connection that is kept, as a router keeps it.
struct Kept(BufReader<TcpStream>);

impl Kept {
    fn new(server: &ModelServer) -> Kept {
        let stream = TcpStream::connect(server.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Kept(BufReader::new(stream))
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

    fn rest(mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.0
            .get_mut()
            .shutdown(std::net::Shutdown::Write)
            .expect("shut down");
        // A reset ends it as well.
        let _ = self.0.read_to_end(&mut rest);
        rest
    }
}

#[test]
fn a_request_runs_once_and_is_answered_with_its_id() {
    let server = start(quick());
    let mut kept = Kept::new(&server);
    for attempt in ["a1", "a2"] {
        kept.write(attempt);
        let answer = kept.read().expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.head.field("attempt-id"), Some(attempt));
        assert!(answer.head.field("response-seal").is_some());
        assert_eq!(answer.head.field("server-load"), Some("1,0,8"));
        assert_eq!(server.ledger.runs(attempt), 1);
    }
}

#[test]
fn what_is_refused_has_not_run() {
    let server = start(quick());
    for (call, status) in [
        (call("b1").with("Target-Instance", "i-2"), 421),
        (call("b1").with("Expect-Version", "2"), 421),
        (Call::post("/a/1", "{}"), 400),
    ] {
        let answer = call.send(server.address, LONG).expect("an answer");
        assert_eq!(answer.status(), status);
        assert!(answer.head.field("not-executed").is_some());
    }
    server.next_faults([Some(Fault::Refused(429))]);
    assert_eq!(
        call("b1")
            .send(server.address, LONG)
            .expect("an answer")
            .status(),
        429
    );
    assert_eq!(server.ledger.count(|entry| entry.what == Event::Ran), 0);
    let answer = call("b1")
        .with("Target-Instance", "i-1")
        .send(server.address, LONG)
        .expect("an answer");
    assert_eq!(answer.status(), 200);
}

#[test]
fn when_slots_and_queue_are_full_it_turns_away() {
    let mut description = quick();
    (description.slots, description.queue) = (1, 1);
    let server = start(description);
    server.next_faults([Some(Fault::Mute), None, None]);
    let mut first = Kept::new(&server);
    first.write("c1");
    until(|| server.load() == (1, 0));
    let mut second = Kept::new(&server);
    second.write("c2");
    until(|| server.load() == (1, 1));
    let third = call("c3").send(server.address, LONG).expect("an answer");
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
fn a_deadline_in_the_queue_is_a_refusal() {
    let mut description = quick();
    description.slots = 1;
    let server = start(description);
    server.next_faults([Some(Fault::Mute)]);
    let mut first = Kept::new(&server);
    first.write("d1");
    until(|| server.load() == (1, 0));
    let late = call("d2")
        .with("Deadline-Ms", 30)
        .send(server.address, LONG)
        .expect("an answer");
    assert_eq!((late.status(), server.ledger.runs("d2")), (503, 0));
}

#[test]
fn work_stops_at_the_deadline() {
    let mut description = quick();
    description.between_events = Duration::from_millis(40);
    let server = start(description);
    let call = call("d3").with("Deadline-Ms", 20);
    assert_eq!(
        call.send(server.address, LONG),
        Err(MessageError::Truncated)
    );
    until(|| server.ledger.count(|entry| entry.what == Event::Dropped) == 1);
}

#[test]
fn lost_answers_have_run_and_those_that_were_closed_unrun_have_not() {
    let server = start(quick());
    server.next_faults([Some(Fault::AnswerLost), Some(Fault::ClosedUnrun)]);
    assert!(call("e1").send(server.address, LONG).is_err());
    assert!(call("e2").send(server.address, LONG).is_err());
    assert_eq!([server.ledger.runs("e1"), server.ledger.runs("e2")], [1, 0]);
}

#[test]
fn bytes_behind_an_answer_belong_to_nobody() {
    let server = start(quick());
    server.next_faults([Some(Fault::ExtraAnswer), Some(Fault::ExtraBytes), None]);
    let mut kept = Kept::new(&server);
    kept.write("f1");
    assert_eq!(
        kept.read().expect("an answer").head.field("attempt-id"),
        Some("f1")
    );
    assert_eq!(
        kept.read().expect("one more").head.field("attempt-id"),
        Some("f1")
    );
    kept.write("f2");
    assert_eq!(
        kept.read().expect("an answer").head.field("attempt-id"),
        Some("f2")
    );
    assert_eq!(kept.rest(), b"and so on\r\n");
    let mut kept = Kept::new(&server);
    kept.write("f3");
    assert_eq!(kept.read().expect("an answer").status(), 200);
    assert!(kept.rest().is_empty());
}

#[test]
fn a_late_answer_comes_where_the_next_one_is_due() {
    let server = start(quick());
    server.next_faults([Some(Fault::LateAnswer)]);
    let mut kept = Kept::new(&server);
    for (attempt, answered) in [("g1", "g1"), ("g2", "g1")] {
        kept.write(attempt);
        assert_eq!(
            kept.read().expect("an answer").head.field("attempt-id"),
            Some(answered)
        );
    }
    assert_eq!(
        kept.read().expect("its own").head.field("attempt-id"),
        Some("g2")
    );
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_or_by_a_reset() {
    let server = start(quick());
    server.next_faults([
        Some(Fault::NoLength),
        Some(Fault::NoLengthReset(1)),
        Some(Fault::ResetAfter(1)),
    ]);
    let whole = call("h1").send(server.address, LONG).expect("an answer");
    assert_eq!(whole.head.framing(), None);
    assert!(whole.body.ends_with(b"h1 2/2\n\n"));
    for attempt in ["h2", "h3"] {
        let cut = call(attempt).send(server.address, LONG);
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
fn an_early_answer_leaves_the_connection_in_step() {
    let server = start(quick());
    server.next_faults([Some(Fault::EarlyAnswer(503))]);
    let mut kept = Kept::new(&server);
    let head = "POST /a/1 HTTP/1.1\r\nAttempt-Id: k1\r\nContent-Length: 6\r\n\r\n";
    kept.0
        .get_mut()
        .write_all(head.as_bytes())
        .expect("written");
    let early = kept.read().expect("an answer before the body");
    assert_eq!(
        (early.status(), early.head.field("not-executed")),
        (503, Some("1"))
    );
    kept.0.get_mut().write_all(b"abcdef").expect("written");
    kept.write("k2");
    assert_eq!(
        kept.read().expect("an answer").head.field("attempt-id"),
        Some("k2")
    );
    assert_eq!([server.ledger.runs("k1"), server.ledger.runs("k2")], [0, 1]);
}

#[test]
fn other_faults_look_as_named() {
    let server = start(quick());
    server.next_faults([
        Some(Fault::NotHttp),
        Some(Fault::Failed(500)),
        Some(Fault::WrongId),
    ]);
    assert!(call("l1").send(server.address, LONG).is_err());
    let failed = call("l2").send(server.address, LONG).expect("an answer");
    assert_eq!(
        (failed.status(), failed.head.field("not-executed")),
        (500, None)
    );
    assert!(failed.head.field("response-seal").is_some());
    let wrong = call("l3").send(server.address, LONG).expect("an answer");
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
fn a_mute_server_says_nothing_and_notices_who_leaves() {
    let server = start(quick());
    server.always_fault(Some(Fault::Mute));
    let request = StreamRequest::new("a", "/a/1", "m1", 8);
    let silent = request.send(server.address, Duration::from_millis(50), |_| {});
    assert_eq!(silent, Err(MessageError::Timeout));
    until(|| server.ledger.count(|entry| entry.what == Event::Dropped) == 1);
    assert_eq!(server.load(), (0, 0));
}

#[test]
fn more_connections_than_it_takes_are_reset() {
    let mut description = quick();
    description.connections = 1;
    let server = start(description);
    let mut kept = Kept::new(&server);
    kept.write("n1");
    assert!(kept.read().is_ok());
    assert!(call("n2").send(server.address, LONG).is_err());
    until(|| {
        server
            .ledger
            .count(|entry| entry.what == Event::ConnectionReset)
            == 1
    });
    assert_eq!(server.ledger.runs("n2"), 0);
}

#[test]
fn health_and_report_tell_the_state() {
    let server = start(quick());
    let health = |server: &ModelServer| {
        Call::get("/health")
            .send(server.address, LONG)
            .expect("an answer")
    };
    let good = health(&server);
    assert_eq!(
        (good.status(), good.head.field("instance-id")),
        (200, Some("i-1"))
    );
    server.set_well(false);
    assert_eq!(health(&server).status(), 503);
    let report = Call::get("/report")
        .send(server.address, LONG)
        .expect("an answer");
    let report: serde_json::Value = serde_json::from_slice(&report.body).expect("JSON");
    assert_eq!(report["activeRequests"], 0);
}

#[test]
fn heartbeats_go_on_to_a_machine_that_acknowledges_and_stay_there() {
    let refuses = ScriptedControl::start(|_, _| Reply::status(503)).expect("loopback");
    let takes = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let server = start(quick());
    let beats = server.register(
        vec![refuses.address, takes.address],
        Duration::from_millis(1),
    );
    until(|| takes.calls().len() > 5);
    drop(beats);
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
fn later_heartbeats_go_where_the_answer_points() {
    let other = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let body = format!("{{\"heartbeatEndpoint\":\"{}\"}}", other.address);
    let first = ScriptedControl::start(move |_, _| Reply::body(&body)).expect("loopback");
    let server = start(quick());
    let _beats = server.register(vec![first.address], Duration::from_millis(1));
    until(|| other.calls().len() > 2);
    assert_eq!(first.calls().len(), 1);
}

#[test]
fn a_planned_end_is_told_and_acknowledged() {
    let machine = ScriptedControl::start(|_, _| Reply::body("{}")).expect("loopback");
    let server = start(quick());
    let beats = server.register(vec![machine.address], LONG);
    until(|| machine.calls().len() == 1);
    assert!(beats.drain(LONG));
    assert!(beats.deregister(LONG));
    let calls = machine.calls();
    assert!(String::from_utf8_lossy(&calls[1].body).contains("\"draining\""));
    assert_eq!(calls[2].path, "/instances/i-1/deregister");
    // It serves on, and asks callers to leave.
    let answer = call("o1").send(server.address, LONG).expect("an answer");
    assert!(answer.status() == 200 && answer.head.closes());
    assert_eq!(
        Call::get("/health")
            .send(server.address, LONG)
            .expect("an answer")
            .status(),
        503
    );
    let acknowledged = |entry: &Entry| {
        matches!(
            entry.what,
            Event::Acknowledged(ServerReport::Draining(2), _)
        )
    };
    assert_eq!(server.ledger.count(acknowledged), 1);
}

#[test]
fn a_server_that_nobody_acknowledges_ends_all_the_same() {
    let machine = ScriptedControl::start(|_, _| Reply::status(503)).expect("loopback");
    let server = start(quick());
    let beats = server.register(vec![machine.address], LONG);
    assert!(!beats.deregister(Duration::from_millis(100)));
    server.crash();
    until(|| TcpStream::connect(server.address).is_err());
}
