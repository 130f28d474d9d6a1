//! Tests of `freshness`.

use super::*;

const SECOND: Micros = 1_000_000;

fn strict() -> ConfigurationFreshness {
    ConfigurationFreshness::new(RevocationBounds {
        is_strict: true,
        within: Duration::from_secs(5),
    })
}

#[test]
fn keys_are_served_only_as_long_as_a_confirmation_counts() {
    let mut freshness = strict();
    assert!(!freshness.can_serve_keys(Time(9 * SECOND)));
    freshness.on_confirmed(Time(10 * SECOND), Time(9 * SECOND));
    // Counted from the question: 5 s less what contact may be behind and a margin.
    assert!(freshness.can_serve_keys(Time(12_249_999)));
    assert!(!freshness.can_serve_keys(Time(12_250_000)));
}

#[test]
fn a_confirmation_that_was_held_up_lengthens_nothing() {
    let mut freshness = strict();
    freshness.on_confirmed(Time(9 * SECOND), Time(9 * SECOND));
    freshness.on_confirmed(Time(20 * SECOND), Time(8 * SECOND));
    assert!(!freshness.can_serve_keys(Time(20 * SECOND)));
    // Nor does one from the future.
    freshness.on_confirmed(Time(20 * SECOND), Time(30 * SECOND));
    assert!(!freshness.can_serve_keys(Time(20 * SECOND)));
}

#[test]
fn a_key_is_refused_as_unknown_only_by_what_is_surely_current() {
    let mut freshness = strict();
    assert!(!freshness.can_reject_unknown_keys(Time(0)));
    freshness.on_confirmed(Time(SECOND), Time(SECOND));
    assert!(
        freshness.can_reject_unknown_keys(Time(2 * SECOND))
            && freshness.can_serve_keys(Time(3 * SECOND))
    );
    assert!(!freshness.can_reject_unknown_keys(Time(3 * SECOND)));
}

#[test]
fn without_a_strict_bound_what_is_known_is_served_while_control_is_away() {
    let mut freshness = ConfigurationFreshness::new(RevocationBounds {
        is_strict: false,
        within: Duration::from_secs(5),
    });
    assert!(
        freshness.can_serve_keys(Time(100 * SECOND))
            && !freshness.can_reject_unknown_keys(Time(100 * SECOND))
    );
    freshness.set_bounds(RevocationBounds {
        is_strict: true,
        within: Duration::ZERO,
    });
    freshness.on_confirmed(Time(100 * SECOND), Time(100 * SECOND));
    assert!(freshness.can_serve_keys(Time(100 * SECOND + MIN_VALIDITY_US - 1)));
    assert!(!freshness.can_serve_keys(Time(100 * SECOND + MIN_VALIDITY_US)));
}

#[test]
fn questions_are_paced_and_begin_anew_on_another_connection() {
    let mut freshness = strict();
    assert!(
        freshness.take_confirmation_due(Time(0))
            && !freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US - 1))
    );
    assert!(freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US)));
    freshness.on_link_lost();
    assert!(freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US + 1)));
}
