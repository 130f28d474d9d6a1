//! Tests of records that were stored before the start of the machine.

use super::{draining, heartbeat, is_suspect, state_of, table, tick_until, SECOND, START};
use crate::merge::tombstone;
use lichenswitch_messages::{ServerRecord, ServerState};

#[test]
fn restored_server_is_added_and_its_timeout_begins_at_start() {
    let mut old_table = table();
    old_table.on_heartbeat(START, "a", &heartbeat("h:1", 7));
    old_table.on_heartbeat(START, "b", &draining("h:2", 3));
    old_table.on_deregister(START, "c");
    let mut new_table = table();
    let restored = new_table.restore_cached(START, &old_table.snapshot(START));
    assert!(
        restored.updates_for_peers().is_empty(),
        "other control machines may have dropped the servers for good reason"
    );
    assert_eq!(
        restored
            .records
            .iter()
            .map(|record| record.instance.as_str())
            .collect::<Vec<_>>(),
        ["a", "b", "c"]
    );
    assert!(
        !is_suspect(&new_table, "a") && state_of(&new_table, "b") == Some(ServerState::Draining)
    );
    assert_eq!(
        state_of(&new_table, "c"),
        Some(ServerState::Gone),
        "a stored tombstone is restored"
    );
    assert_eq!(new_table.live_servers().count(), 2);
    let heartbeat_changes = new_table.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    assert_eq!(
        (
            heartbeat_changes.records.len(),
            heartbeat_changes.updates_for_peers().len()
        ),
        (1, 1),
        "after a heartbeat the record is also sent to other control machines"
    );
    tick_until(&mut new_table, START.plus(5 * SECOND + SECOND / 2));
    assert!(
        !is_suspect(&new_table, "a") && is_suspect(&new_table, "b"),
        "only the server without a heartbeat since the start is suspect"
    );
}

#[test]
fn restored_suspect_server_stays_suspect_until_a_heartbeat() {
    let mut new_table = table();
    let record = ServerRecord {
        is_suspect: true,
        ..heartbeat("h:1", 7).to_record("a")
    };
    new_table.restore_cached(START, &[record]);
    assert!(is_suspect(&new_table, "a"));
    let heartbeat_changes = new_table.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    assert_eq!(
        (
            heartbeat_changes.records.len(),
            heartbeat_changes.updates_for_peers().len()
        ),
        (1, 1)
    );
    assert!(!is_suspect(&new_table, "a"));
}

#[test]
fn restored_record_does_not_replace_a_known_one() {
    let mut known = table();
    known.on_heartbeat(START, "a", &draining("h:1", 9));
    let old = ServerRecord {
        state: ServerState::Ready,
        is_suspect: false,
        ..known.record("a").unwrap().clone()
    };
    assert!(known.restore_cached(START, &[old]).is_empty());
    assert_eq!(state_of(&known, "a"), Some(ServerState::Draining));
    assert!(!is_suspect(&known, "a"));
}

#[test]
fn restored_servers_are_not_in_snapshot_until_a_heartbeat() {
    let mut new_table = table();
    new_table.restore_cached(
        START,
        &[
            heartbeat("h:1", 7).to_record("a"),
            heartbeat("h:2", 7).to_record("b"),
        ],
    );
    assert!(new_table.snapshot(START).is_empty());
    new_table.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    let names = |records: Vec<ServerRecord>| {
        records
            .into_iter()
            .map(|record| record.instance)
            .collect::<Vec<_>>()
    };
    assert_eq!(names(new_table.snapshot(START.plus(SECOND))), ["a"]);
    assert_eq!(names(new_table.cached_servers()), ["b"]);
}

#[test]
fn restored_server_without_heartbeats_is_dropped() {
    let mut new_table = table();
    let record = heartbeat("h:1", 7).to_record("a");
    new_table.restore_cached(START, &[record]);
    let changes = tick_until(&mut new_table, START.plus(61 * SECOND));
    assert_eq!(changes.expired, ["a"]);
}

#[test]
fn restored_tombstone_outlasts_delayed_heartbeat() {
    let mut old_table = table();
    old_table.on_heartbeat(START, "a", &heartbeat("h:1", 7));
    old_table.on_deregister(START, "a");
    let mut new_table = table();
    new_table.restore_cached(START, &old_table.snapshot(START));
    new_table.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 6));
    assert_eq!(state_of(&new_table, "a"), Some(ServerState::Gone));
    assert_eq!(new_table.live_servers().count(), 0);
    // A restored tombstone is dropped after the usual retention time.
    tick_until(&mut new_table, START.plus(130 * SECOND));
    assert_eq!(state_of(&new_table, "a"), None);
}

#[test]
fn restored_tombstone_replaces_an_older_record() {
    for stored in [draining("h:1", 9).to_record("a"), tombstone("a")] {
        let mut new_table = table();
        new_table.restore_cached(START, &[heartbeat("h:1", 7).to_record("a")]);
        let restored = new_table.restore_cached(START, std::slice::from_ref(&stored));
        assert_eq!(
            restored.records,
            std::slice::from_ref(&stored),
            "the record is pushed to routers"
        );
        assert_eq!(state_of(&new_table, "a"), Some(stored.state));
    }
}
