use super::*;

fn head(status: u16, not_executed: bool) -> ResponseHead {
    let mut head = ResponseHead::default();
    (head.status, head.not_executed) = (status, not_executed);
    head
}

#[test]
fn only_a_servers_own_word_says_that_a_request_never_ran() {
    for status in [408, 429, 500, 503, 504] {
        assert_eq!(
            meaning(&head(status, true)),
            ResponseOutcome::NotExecuted,
            "{status}"
        );
        assert_ne!(
            meaning(&head(status, false)),
            ResponseOutcome::NotExecuted,
            "{status}"
        );
    }
    assert_eq!(meaning(&head(421, false)), ResponseOutcome::NotExecuted);
}

#[test]
fn a_promise_that_the_server_did_not_make_is_not_passed_on() {
    for status in [408, 429, 503] {
        assert_eq!(
            meaning(&head(status, false)),
            ResponseOutcome::Failure { passes: false },
            "{status}"
        );
    }
    for status in [500, 502, 504] {
        assert_eq!(
            meaning(&head(status, false)),
            ResponseOutcome::Failure { passes: true },
            "{status}"
        );
    }
}

#[test]
fn every_other_answer_is_final() {
    for status in [200, 201, 206, 301, 400, 401, 404, 409, 413] {
        assert_eq!(
            meaning(&head(status, false)),
            ResponseOutcome::Final,
            "{status}"
        );
    }
    // A request without an id is refused for good.
    assert_eq!(meaning(&head(400, true)), ResponseOutcome::Final);
}

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
    let mut net = super::super::program::Net::new(64).expect("a poller");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let client = net
        .connect(super::super::program::SocketOwner::Client, address)
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
