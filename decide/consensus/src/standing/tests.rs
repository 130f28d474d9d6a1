//! Tests of `standing`.

use super::*;

const TERMS: Terms = Terms {
    lease: 3_000_000,
    drift: 20_000,
};
const T: fn(u64) -> Time = |ms| Time(1_000_000_000 + ms * 1_000);

fn heard_by(voters: &[&str], of: usize) -> Hearing {
    let mut hearing = Hearing::new(of, TERMS);
    let ask = hearing.on_ask(T(0));
    voters.iter().for_each(|v| hearing.on_answer(v, ask, 5));
    hearing
}

#[test]
fn a_majority_is_more_than_half_of_all_voters_and_each_counts_once() {
    for (voters, of, joined) in [
        (&["a", "b"][..], 3, true),
        (&["a", "a", "a"], 3, false),
        (&["a", "b"], 4, false),
        (&["a", "b", "c"], 4, true),
        (&["a", "b", "c"], 7, false),
        (&["a", "b", "c", "d"], 7, true),
    ] {
        let (standing, why) = heard_by(voters, of).standing(T(100));
        assert_eq!(
            standing == Standing::Joined,
            joined,
            "{voters:?} of {of}: {why}"
        );
    }
}

#[test]
fn it_is_joined_doubtful_and_cut_off_in_turn_and_joined_again_by_a_later_ask() {
    let mut hearing = heard_by(&["a", "b"], 3);
    let held = TERMS.held() / 1_000;
    for (ms, standing) in [
        (0, Standing::Joined),
        (held - 1, Standing::Joined),
        (held + 1, Standing::Doubtful),
        (3 * held, Standing::Doubtful),
        (3 * 3_100, Standing::CutOff),
        (100_000, Standing::CutOff),
    ] {
        assert_eq!(hearing.standing(T(ms)).0, standing, "{ms}");
    }
    assert_eq!(
        hearing.standing(Time(5)).0,
        Standing::Doubtful,
        "a clock that went back"
    );
    // An answer that was held back for long counts from its ask; one of an ask forgotten since
    // counts for nothing.
    let late = hearing.on_ask(T(100_000));
    hearing.on_answer("a", late, 5);
    hearing.on_answer("c", late, 5);
    assert_eq!(
        hearing.standing(T(102_000)),
        (Standing::Joined, Reason::Heard(2, 3))
    );
    for ms in 1..=ASKS as u64 {
        hearing.on_ask(T(102_000 + ms));
    }
    hearing.on_answer("b", late, 5);
    assert_eq!(hearing.standing(T(102_500)).1, Reason::Heard(2, 3));
    assert_eq!(hearing.asks.len(), ASKS);
}

#[test]
fn one_that_meets_another_genesis_is_a_stranger_and_stays_one() {
    let mut hearing = heard_by(&["a", "b"], 3);
    hearing.on_answer("c", 1, 6);
    assert_eq!(
        hearing.standing(T(1)),
        (Standing::Stranger, Reason::Begun(5, 6))
    );
    let ask = hearing.on_ask(T(10));
    ["a", "b"].iter().for_each(|v| hearing.on_answer(v, ask, 5));
    assert_eq!(hearing.standing(T(11)).0, Standing::Stranger);
}
