//! Tests of `pushes`.

use super::*;
use assert_matches::assert_matches;

fn at(number: u64) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: 1,
        primary: 7,
        number,
    }
}

fn committed(number: u64) -> Committed {
    Committed {
        position: at(number),
        version: number,
        document: Arc::from(b"{}".as_slice()),
    }
}

fn heartbeat() -> ControlToRouter {
    ControlToRouter::Heartbeat {
        in_contact: true,
        control_addresses: Vec::new(),
        router_count: 1,
    }
}

#[test]
fn a_router_is_told_of_contact_only_after_what_is_committed() {
    let mut pushes = Pushes::new(Some(at(3)));
    assert_matches!(
        &pushes.greet(Some(&committed(4)), heartbeat())[..],
        [ControlToRouter::Configuration { push: 1, position, .. }, ControlToRouter::Heartbeat { in_contact: true, .. }]
            if *position == at(4)
    );
    assert_eq!(pushes.next_number(), 2);
}

#[test]
fn what_a_router_holds_or_was_sent_is_not_sent_again() {
    let mut pushes = Pushes::new(Some(at(3)));
    assert_matches!(
        &pushes.greet(Some(&committed(3)), heartbeat())[..],
        [ControlToRouter::Heartbeat { .. }]
    );
    assert_matches!(
        pushes.configuration(&committed(4)),
        Some(ControlToRouter::Configuration { push: 1, .. })
    );
    assert_matches!(pushes.configuration(&committed(4)), None);
    pushes.on_applied(Some(at(5)));
    assert_eq!(pushes.holds(), Some(at(5)));
    assert_matches!(pushes.configuration(&committed(5)), None);
    assert_matches!(
        pushes.configuration(&committed(6)),
        Some(ControlToRouter::Configuration { push: 2, .. })
    );
}

#[test]
fn without_a_configuration_a_router_hears_of_contact_alone() {
    assert_matches!(
        &Pushes::new(None).greet(None, heartbeat())[..],
        [ControlToRouter::Heartbeat { .. }]
    );
}
