//! Tests of `processes`.

use super::*;

const fn told(process: u32, ready: bool, shares_socket: bool) -> Told {
    Told {
        process,
        ready,
        shares_socket,
        leaving: false,
    }
}

const fn leaves(process: u32) -> Told {
    Told {
        process,
        ready: true,
        shares_socket: true,
        leaving: true,
    }
}

#[test]
fn limits_are_cut_into_as_many_parts_as_there_are_processes() {
    assert_eq!(
        parts(false, &[]),
        ProcessShares {
            held: 1,
            done: Some(1)
        }
    );
    // One that is not ready yet holds connections and may send at any moment.
    let others = [told(7, false, false), told(8, true, true)];
    assert_eq!(
        parts(false, &others),
        ProcessShares {
            held: 3,
            done: Some(3)
        }
    );
}

#[test]
fn one_that_leaves_keeps_what_it_holds_and_gives_the_rest_to_those_that_stay() {
    assert_eq!(
        parts(false, &[leaves(7)]),
        ProcessShares {
            held: 2,
            done: Some(1)
        }
    );
    assert_eq!(
        parts(true, &[told(8, true, true)]),
        ProcessShares {
            held: 2,
            done: None
        }
    );
    // Between the two there is never more than one broker's part in force, in whatever order they
    // hear of it.
    assert_eq!(
        parts(false, &[told(7, true, true)]).done,
        Some(2),
        "the one that stays has not heard of it"
    );
    // Its successor is gone, or leaves too: what is still here is served.
    assert_eq!(
        parts(true, &[]),
        ProcessShares {
            held: 1,
            done: Some(1)
        }
    );
    assert_eq!(
        parts(true, &[leaves(8)]),
        ProcessShares {
            held: 2,
            done: Some(1)
        }
    );
    assert_eq!(
        backlog_action(&[leaves(8)]),
        BacklogAction::Serve(Reason::Alone),
        "nobody is left to one that leaves itself"
    );
}

#[test]
fn the_backlog_is_left_only_to_one_that_serves_at_the_same_socket() {
    assert_eq!(backlog_action(&[]), BacklogAction::Serve(Reason::Alone));
    assert_eq!(
        backlog_action(&[told(7, false, true)]),
        BacklogAction::Serve(Reason::Alone)
    );
    assert_eq!(
        backlog_action(&[told(7, true, false)]),
        BacklogAction::Serve(Reason::OwnSocket(7))
    );
    assert_eq!(
        backlog_action(&[told(7, true, false), told(8, true, true)]),
        BacklogAction::Leave(Reason::SharedSocket(8))
    );
}

#[test]
fn what_a_process_tells_is_read_back_and_a_torn_line_is_one_that_is_not_ready() {
    for it in [
        told(7, true, false),
        told(7, false, true),
        told(7, true, true),
        leaves(7),
    ] {
        assert_eq!(Told::read(7, &it.line()), it);
    }
    for line in ["", "7", "7 1", "7 1 1", "8 1 1 0\n", "7 1 1 1 1", "x 1 1 0"] {
        assert_eq!(Told::read(7, line), told(7, false, false), "{line:?}");
    }
}
