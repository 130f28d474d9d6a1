use super::*;

fn head(status: u16, not_executed: bool) -> ResponseHead {
    let mut head = ResponseHead::default();
    head.status = status;
    if not_executed {
        head.execution = Execution::Denied;
    }
    head
}

#[test]
fn only_a_servers_own_word_says_that_a_request_never_ran() {
    for status in [408, 429, 500, 503, 504] {
        assert_eq!(
            ResponseOutcome::of(&head(status, true)),
            ResponseOutcome::NotExecuted,
            "{status}"
        );
        assert_ne!(
            ResponseOutcome::of(&head(status, false)),
            ResponseOutcome::NotExecuted,
            "{status}"
        );
    }
    assert_eq!(
        ResponseOutcome::of(&head(421, false)),
        ResponseOutcome::NotExecuted
    );
}

#[test]
fn a_promise_that_the_server_did_not_make_is_not_passed_on() {
    for status in [408, 429, 503] {
        assert_eq!(
            ResponseOutcome::of(&head(status, false)),
            ResponseOutcome::Failure { can_forward: false },
            "{status}"
        );
    }
    for status in [500, 502, 504] {
        assert_eq!(
            ResponseOutcome::of(&head(status, false)),
            ResponseOutcome::Failure { can_forward: true },
            "{status}"
        );
    }
}

#[test]
fn every_other_answer_is_final() {
    for status in [200, 201, 206, 301, 400, 401, 404, 409, 413] {
        assert_eq!(
            ResponseOutcome::of(&head(status, false)),
            ResponseOutcome::Final,
            "{status}"
        );
    }
    // A request without an id is refused for good.
    assert_eq!(
        ResponseOutcome::of(&head(400, true)),
        ResponseOutcome::Final
    );
}
