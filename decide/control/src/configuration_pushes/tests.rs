//! Tests of `configuration_pushes`.

use super::*;
use assert_matches::assert_matches;

fn at(number: u64) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: 1,
        primary: 7,
        number,
    }
}

fn committed(number: u64) -> CommittedConfiguration {
    CommittedConfiguration {
        position: at(number),
        version: number,
        document: Arc::from(b"{}".as_slice()),
        tenants: Arc::default(),
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
fn committed_configuration_is_pushed_before_first_heartbeat() {
    let mut pushes = ConfigurationPushes::new(Some(at(3)));
    assert_matches!(
        &pushes.initial_messages(Some(&committed(4)), heartbeat())[..],
        [ControlToRouter::Configuration { push: 1, position, .. }, ControlToRouter::Heartbeat { in_contact: true, .. }]
            if *position == at(4)
    );
    assert_eq!(pushes.next_push_number(), 2);
}

#[test]
fn configuration_that_was_applied_or_sent_is_not_pushed_again() {
    let mut pushes = ConfigurationPushes::new(Some(at(3)));
    assert_matches!(
        &pushes.initial_messages(Some(&committed(3)), heartbeat())[..],
        [ControlToRouter::Heartbeat { .. }]
    );
    assert_matches!(
        pushes.prepare_push(&committed(4)),
        Some(ControlToRouter::Configuration { push: 1, .. })
    );
    assert_matches!(pushes.prepare_push(&committed(4)), None);
    pushes.on_applied(Some(at(5)));
    assert_eq!(pushes.applied_position(), Some(at(5)));
    assert_matches!(pushes.prepare_push(&committed(5)), None);
    assert_matches!(
        pushes.prepare_push(&committed(6)),
        Some(ControlToRouter::Configuration { push: 2, .. })
    );
}

#[test]
fn router_receives_only_heartbeat_while_no_configuration_is_committed() {
    assert_matches!(
        &ConfigurationPushes::new(None).initial_messages(None, heartbeat())[..],
        [ControlToRouter::Heartbeat { .. }]
    );
}
