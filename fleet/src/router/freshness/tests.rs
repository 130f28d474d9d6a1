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
fn keys_are_served_only_while_confirmation_is_valid() {
    let mut freshness = strict();
    assert!(!freshness.can_serve_keys(Time(9 * SECOND)));
    freshness.on_confirmed(Time(10 * SECOND), Time(9 * SECOND));
    // Counted from the question: 5 s less what contact may be behind and a margin.
    assert!(freshness.can_serve_keys(Time(12_249_999)));
    assert!(!freshness.can_serve_keys(Time(12_250_000)));
}

#[test]
fn delayed_confirmation_extends_nothing() {
    let mut freshness = strict();
    freshness.on_confirmed(Time(9 * SECOND), Time(9 * SECOND));
    freshness.on_confirmed(Time(20 * SECOND), Time(8 * SECOND));
    assert!(!freshness.can_serve_keys(Time(20 * SECOND)));
    // Nor does one from the future.
    freshness.on_confirmed(Time(20 * SECOND), Time(30 * SECOND));
    assert!(!freshness.can_serve_keys(Time(20 * SECOND)));
}

#[test]
fn unknown_key_is_rejected_only_by_current_configuration() {
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
fn without_strict_bound_keys_are_served_while_control_is_unreachable() {
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
fn confirmation_requests_are_paced_and_restart_on_new_connection() {
    let mut freshness = strict();
    assert!(
        freshness.take_confirmation_due(Time(0))
            && !freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US - 1))
    );
    assert!(freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US)));
    freshness.on_link_lost();
    assert!(freshness.take_confirmation_due(Time(CONFIRMATION_INTERVAL_US + 1)));
}
