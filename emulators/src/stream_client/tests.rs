//! What a client makes of answers, whole, cut and wrong.

use super::*;
use crate::model_server::{Fault, ModelServer, ServerDescription};

const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

fn server() -> ModelServer {
    let mut description = ServerDescription::new("i-1", "s", "z");
    (description.time_to_first_event, description.event_interval) =
        (Duration::ZERO, Duration::ZERO);
    ModelServer::start(description, SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("an address of loopback")
}

fn request(attempt: &str) -> StreamRequest {
    StreamRequest::new("a.example", "/a/1", attempt, 16)
}

#[test]
fn complete_stream_is_served_without_fault() {
    let (server, mut received_ids) = (server(), Vec::new());
    let request = request("a1");
    let streamed = request
        .send(server.address, IDLE_TIMEOUT, |event| {
            received_ids.push(event.id)
        })
        .expect("an answer");
    assert!(streamed.is_served());
    assert_eq!(received_ids, [Some(1), Some(2), Some(3), Some(4)]);
    assert!(streamed.faults(&request, &["a1"]).is_empty());
}

#[test]
fn kept_alive_connection_carries_requests_in_turn() {
    let server = server();
    let mut connection =
        ClientConnection::open(server.address, IDLE_TIMEOUT).expect("a connection");
    for attempt in ["a1", "a2", "a3"] {
        let mut request = request(attempt);
        request.closes = attempt == "a3";
        let streamed = connection.send(&request, |_| {}).expect("an answer");
        assert!(
            streamed.is_served() && streamed.faults(&request, &[attempt]).is_empty(),
            "{attempt}"
        );
        assert_eq!(streamed.head.closes(), request.closes);
    }
    assert!(connection.send(&request("a4"), |_| {}).is_err());
}

#[test]
fn stream_resumes_after_the_last_event() {
    let server = server();
    let mut request = request("a2");
    request.last_event_id = Some(2);
    let streamed = request
        .send(server.address, IDLE_TIMEOUT, |_| {})
        .expect("an answer");
    let ids: Vec<_> = streamed.events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(3), Some(4)]);
    assert!(streamed.faults(&request, &["a2"]).is_empty());
}

#[test]
fn truncated_or_silent_stream_is_not_served() {
    let server = server();
    for (fault, events) in [
        (Fault::TruncateAfter(2), 2),
        (Fault::TruncateInside(1), 1),
        (Fault::TruncateAfter(4), 4),
    ] {
        server.next_faults([Some(fault)]);
        let streamed = request("a3")
            .send(server.address, IDLE_TIMEOUT, |_| {})
            .expect("a head");
        assert_eq!(
            (streamed.end, streamed.events.len()),
            (ResponseEnd::Truncated, events),
            "{fault:?}"
        );
        assert!(!streamed.is_served());
    }
    server.next_faults([Some(Fault::SilentAfter(1))]);
    let streamed = request("a4")
        .send(server.address, Duration::from_secs(2), |_| {})
        .expect("a head");
    assert_eq!(streamed.end, ResponseEnd::TimedOut);
}

#[test]
fn planted_faults_of_a_stream_are_found() {
    let server = server();
    let request = request("a5");
    let good = request
        .send(server.address, IDLE_TIMEOUT, |_| {})
        .expect("an answer");
    let with = |change: &dyn Fn(&mut StreamedResponse)| {
        let mut streamed = good.clone();
        change(&mut streamed);
        streamed.faults(&request, &["a5"])
    };
    let unsealed = with(&|streamed| {
        streamed
            .head
            .fields
            .retain(|field| field.0 != "Response-Seal")
    });
    assert_eq!(unsealed, [StreamFault::NoSeal]);
    let missing = with(&|streamed| drop(streamed.events.remove(1)));
    assert_eq!(missing, [StreamFault::Order(Some(1), Some(3))]);
    let twice = with(&|streamed| streamed.events.insert(1, streamed.events[0].clone()));
    assert_eq!(twice, [StreamFault::Order(Some(1), Some(1))]);
    let early = with(&|streamed| drop(streamed.events.pop()));
    assert_eq!(early, [StreamFault::EndsEarly]);
    let other = with(&|streamed| streamed.events[2].data = "b7 3/4".into());
    assert_eq!(other, [StreamFault::OtherRequest("b7".into())]);
    server.next_faults([Some(Fault::WrongId)]);
    let wrong = request
        .send(server.address, IDLE_TIMEOUT, |_| {})
        .expect("an answer");
    assert_eq!(
        wrong.faults(&request, &["a5"]),
        [StreamFault::OtherAttempt("0000000000000bad".into())]
    );
}
