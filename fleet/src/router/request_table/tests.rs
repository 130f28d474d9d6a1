use super::*;

fn request(idempotent: bool, max_attempts: u32) -> RequestState {
    let terms = RouteTerms {
        route: "r".into(),
        is_idempotent: idempotent,
        is_streaming: false,
        is_resumable: false,
        timeout: 1_000_000,
        target_latency: 1_000,
        rank: 0,
        max_attempts,
    };
    // Any connection does: none is opened here.
    let mut net = crate::router::reactor::Net::new(64).expect("a poller");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let client = net
        .connect(crate::router::reactor::SocketOwner::Client, address)
        .expect("connect");
    RequestState {
        client,
        client_request: Rc::new(ClientRequest::default()),
        terms,
        service: ServiceId(0),
        core_query: None,
        class_index: 0,
        sender: None,
        received_at: Time(0),
        configuration_version: 1,
        deadline: Time(0),
        phase: RequestPhase::Pending,
        in_flight: Vec::new(),
        possible_executions: 0,
        send_count: 0,
        last_failure: None,
    }
}

fn attempt(number: u64) -> InFlightAttempt {
    InFlightAttempt {
        id: AttemptId {
            service: ServiceId(0),
            number,
        },
        server: ServerId(1),
    }
}

#[test]
fn unsafe_request_is_retried_only_if_known_unexecuted() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NeverSent, true),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
        (Outcome::Error, false),
        (Outcome::Cancelled, false),
    ] {
        let mut request = request(false, 5);
        assert!(request.may_start_attempt());
        request.on_attempt_started(attempt(1));
        assert!(!request.may_start_attempt(), "one is out");
        request.on_attempt_ended(attempt(1).id, outcome);
        // Told twice, it counts once.
        request.on_attempt_ended(attempt(1).id, outcome);
        assert_eq!(request.may_start_attempt(), again, "{outcome:?}");
        assert_eq!(
            request.possible_executions,
            u32::from(!again),
            "{outcome:?}"
        );
    }
}

#[test]
fn send_count_is_bounded_by_max_attempts() {
    let mut request = request(true, 2);
    request.on_attempt_started(attempt(1));
    assert!(request.may_start_attempt());
    request.on_attempt_started(attempt(2));
    assert!(!request.may_start_attempt());
    request.on_attempt_ended(attempt(2).id, Outcome::Reset);
    assert!(!request.may_start_attempt());
    // One that never left counts as none.
    request.on_attempt_ended(attempt(1).id, Outcome::NeverSent);
    assert!(request.may_start_attempt());
}
