//! Tests of `hold`.

use super::*;

const TERMS: Terms = Terms {
    lease: 3_000_000,
    drift: 100_000,
};
const T: fn(u64) -> Time = |ms| Time(1_000_000_000 + ms * 1_000);

#[test]
fn a_lease_counts_from_before_it_was_asked_for_less_the_drift() {
    let mut hold = Hold::default();
    assert_eq!(hold.check(T(0), TERMS), Verdict::Refrain(Reason::None));
    let ask = hold.on_ask(T(0));
    assert!(
        hold.on_grant(ask, FenceNumber(7)),
        "the answer took two seconds"
    );
    assert_eq!(
        hold.check(T(2_000), TERMS),
        Verdict::Act(FenceNumber(7), Reason::Leased(699_999))
    );
    assert!(matches!(
        hold.check(T(2_700), TERMS),
        Verdict::Refrain(Reason::RanOut(_))
    ));
    // It was stopped and wakes much later, or its clock went back: it does not act.
    assert!(matches!(
        hold.check(T(900_000), TERMS),
        Verdict::Refrain(Reason::RanOut(_))
    ));
    assert!(matches!(
        hold.check(Time(5), TERMS),
        Verdict::Refrain(Reason::RanOut(0))
    ));
}

#[test]
fn late_answers_give_no_lease_and_renewals_keep_it() {
    let mut hold = Hold::default();
    let first = hold.on_ask(T(0));
    let second = hold.on_ask(T(1_000));
    assert!(!hold.on_grant(first, FenceNumber(1)), "its ask is over");
    assert!(
        hold.on_grant(second, FenceNumber(2)) && !hold.on_grant(second, FenceNumber(3)),
        "once"
    );
    assert_eq!(
        hold.ask_at(TERMS),
        T(1_000).plus(TERMS.held() / 100 * RENEW_AT)
    );
    let renewal = hold.on_ask(T(2_000));
    assert!(
        matches!(hold.check(T(2_500), TERMS), Verdict::Act(FenceNumber(2), _)),
        "it goes on meanwhile"
    );
    assert_eq!(
        hold.ask_at(TERMS),
        T(2_300),
        "and asks again if nothing comes"
    );
    assert!(hold.on_grant(renewal, FenceNumber(2)));
    assert_eq!(
        hold.check(T(2_000), TERMS),
        Verdict::Act(FenceNumber(2), Reason::Leased(TERMS.held()))
    );
    let held_back = hold.on_ask(T(3_000));
    assert!(
        !hold.on_grant(held_back, FenceNumber(1)),
        "a fence only grows"
    );
}

#[test]
fn what_is_refused_or_given_back_is_over_at_once() {
    let mut hold = Hold::default();
    let ask = hold.on_ask(T(0));
    hold.on_grant(ask, FenceNumber(3));
    let renewal = hold.on_ask(T(1_000));
    hold.on_refusal(ask);
    assert!(
        matches!(hold.check(T(1_100), TERMS), Verdict::Act(..)),
        "that was about another ask"
    );
    hold.on_refusal(renewal);
    assert_eq!(hold.check(T(1_100), TERMS), Verdict::Refrain(Reason::None));
    let ask = hold.on_ask(T(2_000));
    hold.on_grant(ask, FenceNumber(4));
    let out = hold.on_ask(T(2_100));
    assert_eq!(hold.on_give_back(), Some(FenceNumber(4)));
    assert!(
        !hold.on_grant(out, FenceNumber(4)),
        "it has asked before it gave it back"
    );
    assert_eq!(
        hold.check(T(2_200), TERMS),
        Verdict::Refrain(Reason::GivenBack)
    );
    assert_eq!(Hold::default().on_give_back(), None);
}

#[test]
fn nothing_is_done_under_a_fence_once_a_higher_one_was_seen() {
    let mut hold = Hold::default();
    let ask = hold.on_ask(T(0));
    assert!(hold.on_grant(ask, FenceNumber(3)));
    hold.on_fenced_off(FenceNumber(3));
    assert!(
        matches!(hold.check(T(100), TERMS), Verdict::Act(FenceNumber(3), _)),
        "that was its own"
    );
    hold.on_fenced_off(FenceNumber(5));
    assert_eq!(
        hold.check(T(100), TERMS),
        Verdict::Refrain(Reason::Superseded(FenceNumber(5))),
        "at once"
    );
    // A grant that was on its way is older than what was seen, and gives nothing.
    let ask = hold.on_ask(T(200));
    assert!(!hold.on_grant(ask, FenceNumber(4)));
    assert_eq!(
        hold.check(T(300), TERMS),
        Verdict::Refrain(Reason::Superseded(FenceNumber(5)))
    );
    let ask = hold.on_ask(T(400));
    assert!(hold.on_grant(ask, FenceNumber(6)));
    assert!(matches!(
        hold.check(T(500), TERMS),
        Verdict::Act(FenceNumber(6), _)
    ));
    hold.on_fenced_off(FenceNumber(5));
    assert!(
        matches!(hold.check(T(600), TERMS), Verdict::Act(FenceNumber(6), _)),
        "a late refusal of an older one"
    );
}
