//! Tests of `siblings`.

use super::*;

const fn told(process: u32, ready: bool, same_door: bool) -> Told {
    Told { process, ready, same_door }
}

#[test]
fn limits_are_cut_into_as_many_parts_as_there_are_processes() {
    assert_eq!(parts(&[]), 1);
    // One that is not ready yet, or that stops, holds connections and sends all the same.
    assert_eq!(parts(&[told(7, false, false), told(8, true, true)]), 3);
}

#[test]
fn the_door_is_left_only_to_one_that_serves_at_the_same_socket() {
    assert_eq!(door(&[]), Door::Served(Why::Alone));
    assert_eq!(door(&[told(7, false, true)]), Door::Served(Why::Alone));
    assert_eq!(door(&[told(7, true, false)]), Door::Served(Why::OwnSocket(7)));
    assert_eq!(door(&[told(7, true, false), told(8, true, true)]), Door::Left(Why::Sibling(8)));
}

#[test]
fn what_a_process_tells_is_read_back_and_a_torn_line_is_one_that_is_not_ready() {
    for it in [told(7, true, false), told(7, false, true), told(7, true, true)] {
        assert_eq!(Told::read(7, &it.line()), it);
    }
    for line in ["", "7", "7 1", "8 1 1\n", "7 1 1 1", "x 1 1"] {
        assert_eq!(Told::read(7, line), told(7, false, false), "{line:?}");
    }
}
