//! Tests of `processes`.

use super::*;

const fn status(process: u32, is_ready: bool, shares_socket: bool) -> ProcessStatus {
    ProcessStatus {
        process,
        is_ready,
        shares_socket,
        is_leaving: false,
    }
}

const fn leaving(process: u32) -> ProcessStatus {
    ProcessStatus {
        process,
        is_ready: true,
        shares_socket: true,
        is_leaving: true,
    }
}

#[test]
fn limits_are_shared_equally_among_processes() {
    assert_eq!(
        shares(false, &[]),
        ProcessShares {
            capacity_divisor: 1,
            rate_divisor: Some(1)
        }
    );
    // A process that is not ready yet already holds connections and may send at any time.
    let others = [status(7, false, false), status(8, true, true)];
    assert_eq!(
        shares(false, &others),
        ProcessShares {
            capacity_divisor: 3,
            rate_divisor: Some(3)
        }
    );
}

#[test]
fn leaving_process_keeps_its_capacity_share_and_gives_up_its_rate_share() {
    assert_eq!(
        shares(false, &[leaving(7)]),
        ProcessShares {
            capacity_divisor: 2,
            rate_divisor: Some(1)
        }
    );
    assert_eq!(
        shares(true, &[status(8, true, true)]),
        ProcessShares {
            capacity_divisor: 2,
            rate_divisor: None
        }
    );
    // The two processes never use more than one broker's limits, in whatever order they learn of
    // the change.
    assert_eq!(
        shares(false, &[status(7, true, true)]).rate_divisor,
        Some(2),
        "the one that stays has not heard of it"
    );
    // If its successor is gone or is leaving too, the process serves its remaining clients.
    assert_eq!(
        shares(true, &[]),
        ProcessShares {
            capacity_divisor: 1,
            rate_divisor: Some(1)
        }
    );
    assert_eq!(
        shares(true, &[leaving(8)]),
        ProcessShares {
            capacity_divisor: 2,
            rate_divisor: Some(1)
        }
    );
    assert_eq!(
        backlog_action(&[leaving(8)]),
        BacklogAction::Serve(Reason::NoSuccessor),
        "a leaving process is no successor"
    );
}

#[test]
fn backlog_is_left_only_to_a_process_at_the_same_socket() {
    assert_eq!(
        backlog_action(&[]),
        BacklogAction::Serve(Reason::NoSuccessor)
    );
    assert_eq!(
        backlog_action(&[status(7, false, true)]),
        BacklogAction::Serve(Reason::NoSuccessor)
    );
    assert_eq!(
        backlog_action(&[status(7, true, false)]),
        BacklogAction::Serve(Reason::OwnSocket(7))
    );
    assert_eq!(
        backlog_action(&[status(7, true, false), status(8, true, true)]),
        BacklogAction::Leave(Reason::SharedSocket(8))
    );
}

#[test]
fn line_is_parsed_as_written_and_a_damaged_one_means_not_ready() {
    for it in [
        status(7, true, false),
        status(7, false, true),
        status(7, true, true),
        leaving(7),
    ] {
        assert_eq!(ProcessStatus::from_line(7, &it.to_line()), it);
    }
    for line in ["", "7", "7 1", "7 1 1", "8 1 1 0\n", "7 1 1 1 1", "x 1 1 0"] {
        assert_eq!(
            ProcessStatus::from_line(7, line),
            status(7, false, false),
            "{line:?}"
        );
    }
}
