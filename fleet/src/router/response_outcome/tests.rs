use super::*;

fn head(status: u16, not_executed: bool) -> ResponseHead {
    let execution = match not_executed {
        true => Execution::Denied,
        false => Execution::Unstated,
    };
    ResponseHead {
        status,
        execution,
        ..ResponseHead::default()
    }
}

#[test]
fn only_explicit_statement_means_not_executed() {
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
fn unpromised_status_is_not_forwarded() {
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
fn other_statuses_are_final() {
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
