//! Tests of heartbeats and deregistrations that come to this machine.

use super::{draining, heartbeat, state_of, table, SECOND, START};
use crate::heartbeat::Heartbeat;
use crate::merge::tombstone;
use lichenswitch_messages::ServerState;

#[test]
fn first_or_changed_heartbeat_is_update_for_peers_and_repetition_is_not() {
    let mut table = table();
    let changes = table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert_eq!(
        changes.updates_for_peers(),
        [heartbeat("a:1", 1).to_record("i")]
    );
    assert!(table
        .on_heartbeat(START.plus(SECOND), "i", &heartbeat("a:1", 2))
        .is_empty());
    assert_eq!(
        table.record("i").map(|record| record.sequence_number),
        Some(2)
    );
    let larger = Heartbeat {
        capacity_slots: 9,
        ..heartbeat("a:1", 3)
    };
    assert_eq!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &larger)
            .updates_for_peers()
            .len(),
        1
    );
    let warming_up = Heartbeat {
        warm_up_remaining_ms: 500,
        ..larger.clone()
    };
    let with_warm_up = |sequence_number, warm_up_remaining_ms| Heartbeat {
        sequence_number,
        warm_up_remaining_ms,
        ..warming_up.clone()
    };
    assert_eq!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &with_warm_up(4, 500))
            .updates_for_peers()
            .len(),
        1,
        "a longer warm-up than before is an update"
    );
    assert!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &with_warm_up(5, 100))
            .is_empty(),
        "a warm-up time that only decreases is no update"
    );
}

#[test]
fn state_never_returns_from_draining_or_gone() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert_eq!(
        table
            .on_heartbeat(START, "i", &draining("a:1", 2))
            .updates_for_peers()
            .len(),
        1
    );
    assert!(table
        .on_heartbeat(START, "i", &heartbeat("a:1", 3))
        .is_empty());
    assert_eq!(state_of(&table, "i"), Some(ServerState::Draining));
    assert_eq!(
        table.on_deregister(START, "i").updates_for_peers(),
        [tombstone("i")]
    );
    for late in [
        heartbeat("a:1", 1),
        heartbeat("a:1", 99),
        draining("a:1", 100),
    ] {
        assert!(table
            .on_heartbeat(START.plus(SECOND), "i", &late)
            .is_empty());
    }
    assert!(table
        .merge(START, &heartbeat("a:1", 200).to_record("i"))
        .is_empty());
    assert!(table.on_deregister(START, "i").is_empty());
    assert_eq!(table.record("i"), Some(&tombstone("i")));
    assert!(table.take_heartbeat_digest(START.plus(SECOND)).is_empty());
}

#[test]
fn deregistration_succeeds_for_ready_and_unknown_instances() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert_eq!(
        table.on_deregister(START, "i").updates_for_peers(),
        [tombstone("i")]
    );
    assert_eq!(
        table
            .on_deregister(START, "never-heard")
            .updates_for_peers(),
        [tombstone("never-heard")]
    );
    assert!(table
        .on_heartbeat(START, "never-heard", &heartbeat("a:2", 5))
        .is_empty());
    assert_eq!(table.live_servers().count(), 0);
}

#[test]
fn draining_of_delayed_heartbeat_is_merged() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 5));
    assert_eq!(
        table
            .on_heartbeat(START, "i", &draining("a:1", 4))
            .updates_for_peers()
            .len(),
        1
    );
}
