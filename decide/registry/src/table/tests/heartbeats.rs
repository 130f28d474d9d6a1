//! Heartbeats and deregistrations that come here: what they change, and what is final.

use super::{draining, heartbeat, state_of, table, SECOND, START};
use crate::heartbeat::Heartbeat;
use crate::merge::tombstone;
use lichenswitch_messages::ServerState;

#[test]
fn first_heartbeat_is_an_update_and_a_repetition_is_not() {
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
    let more = Heartbeat {
        capacity_slots: 9,
        ..heartbeat("a:1", 3)
    };
    assert_eq!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &more)
            .updates_for_peers()
            .len(),
        1
    );
    let warming_up = Heartbeat {
        warm_up_remaining_ms: 500,
        ..more.clone()
    };
    let at = |n, ms| Heartbeat {
        sequence_number: n,
        warm_up_remaining_ms: ms,
        ..warming_up.clone()
    };
    assert_eq!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &at(4, 500))
            .updates_for_peers()
            .len(),
        1,
        "a longer warm-up than before"
    );
    assert!(
        table
            .on_heartbeat(START.plus(SECOND), "i", &at(5, 100))
            .is_empty(),
        "a warm-up that only runs down"
    );
}

#[test]
fn draining_and_gone_are_final() {
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
fn deregistration_needs_neither_draining_nor_a_known_instance() {
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
