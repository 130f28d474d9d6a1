//! Tests of `leave`.

use super::*;

#[test]
fn clients_are_told_first_then_what_rests_is_closed_then_nothing_new_is_taken() {
    let at = |ms: u64| stage(Some(Time(7_000_000)), Time(7_000_000 + ms * 1_000));
    assert_eq!(
        [at(0), at(499), at(500)],
        [Stage::Told, Stage::Told, Stage::Closed]
    );
    assert_eq!(
        [at(1_699), at(1_700), at(3_600_000)],
        [Stage::Closed, Stage::Refused, Stage::Refused]
    );
    assert_eq!(stage(None, Time(1)), Stage::Served);
    // The clock of the process that was called may be ahead of this one's by a little.
    assert_eq!(stage(Some(Time(9)), Time(1)), Stage::Told);
}

#[test]
fn after_four_seconds_nothing_is_here_that_came_in_the_last_two() {
    // What is taken last came before the stage at which nothing is, and a look is a tenth of a
    // second late at most.
    const { assert!(LAST + 100_000 + 50_000 < 2_000_000) };
    // The front layer knows after 0.1 s and sends for 0.2 s more.
    const { assert!(NOTICED >= 300_000 + 100_000) };
}
