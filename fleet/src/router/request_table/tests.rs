use super::*;

fn exchange(idempotent: bool, max_attempts: u32) -> RequestState {
    let terms = RouteTerms {
        route: "r".into(),
        idempotent,
        streaming: false,
        resumable: false,
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
        request: Rc::new(ClientRequest::default()),
        terms,
        service: ServiceId(0),
        query: None,
        class: 0,
        sender: None,
        taken: Time(0),
        configuration: 1,
        deadline: Time(0),
        phase: RequestPhase::Pending,
        out: Vec::new(),
        may_have_run: 0,
        sends: 0,
        failure: None,
    }
}

fn out(number: u64) -> InFlightAttempt {
    InFlightAttempt {
        id: AttemptId {
            service: ServiceId(0),
            number,
        },
        server: ServerId(1),
    }
}

#[test]
fn a_request_that_may_not_run_twice_is_sent_again_only_after_proof() {
    for (outcome, again) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Moot, true),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
        (Outcome::Error, false),
        (Outcome::Cancelled, false),
    ] {
        let mut exchange = exchange(false, 5);
        assert!(exchange.may_send());
        exchange.on_sent(out(1));
        assert!(!exchange.may_send(), "one is out");
        exchange.on_ended(out(1).id, outcome);
        // Told twice, it counts once.
        exchange.on_ended(out(1).id, outcome);
        assert_eq!(exchange.may_send(), again, "{outcome:?}");
        assert_eq!(exchange.may_have_run, u32::from(!again), "{outcome:?}");
    }
}

#[test]
fn no_request_is_sent_to_more_servers_than_its_route_allows() {
    let mut exchange = exchange(true, 2);
    exchange.on_sent(out(1));
    assert!(exchange.may_send());
    exchange.on_sent(out(2));
    assert!(!exchange.may_send());
    exchange.on_ended(out(2).id, Outcome::Reset);
    assert!(!exchange.may_send());
    // One that never left counts as none.
    exchange.on_ended(out(1).id, Outcome::Moot);
    assert!(exchange.may_send());
}
