//! Records that were stored before the start.

use super::{draining, heartbeat, is_suspect, state_of, table, tick_until, SECOND, START};
use crate::merge::tombstone;
use lichenswitch_messages::{ServerRecord, ServerState};

#[test]
fn restored_server_is_known_and_its_timeout_begins_at_start() {
    let mut before = table();
    before.on_heartbeat(START, "a", &heartbeat("h:1", 7));
    before.on_heartbeat(START, "b", &draining("h:2", 3));
    before.on_deregister(START, "c");
    let mut after = table();
    let restored = after.restore_cached(START, &before.snapshot(START));
    assert!(
        restored.updates_for_peers().is_empty(),
        "others may have dropped them with reason"
    );
    assert_eq!(
        restored
            .records
            .iter()
            .map(|record| record.instance.as_str())
            .collect::<Vec<_>>(),
        ["a", "b", "c"]
    );
    assert!(!is_suspect(&after, "a") && state_of(&after, "b") == Some(ServerState::Draining));
    assert_eq!(
        state_of(&after, "c"),
        Some(ServerState::Gone),
        "a gone instance stays gone"
    );
    assert_eq!(after.live_servers().count(), 2);
    let heartbeat_changes = after.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    assert_eq!(
        (
            heartbeat_changes.records.len(),
            heartbeat_changes.updates_for_peers().len()
        ),
        (1, 1),
        "now it is an update for peers as well"
    );
    tick_until(&mut after, START.plus(5 * SECOND + SECOND / 2));
    assert!(
        !is_suspect(&after, "a") && is_suspect(&after, "b"),
        "the one without a heartbeat since the start"
    );
}

#[test]
fn restored_suspect_server_stays_suspect_until_a_heartbeat() {
    let mut after = table();
    let record = ServerRecord {
        is_suspect: true,
        ..heartbeat("h:1", 7).to_record("a")
    };
    after.restore_cached(START, &[record]);
    assert!(is_suspect(&after, "a"));
    let heartbeat_changes = after.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    assert_eq!(
        (
            heartbeat_changes.records.len(),
            heartbeat_changes.updates_for_peers().len()
        ),
        (1, 1)
    );
    assert!(!is_suspect(&after, "a"));
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
fn restored_servers_are_no_part_of_the_snapshot() {
    let mut after = table();
    after.restore_cached(
        START,
        &[
            heartbeat("h:1", 7).to_record("a"),
            heartbeat("h:2", 7).to_record("b"),
        ],
    );
    assert!(after.snapshot(START).is_empty());
    after.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 8));
    let names = |records: Vec<ServerRecord>| {
        records
            .into_iter()
            .map(|record| record.instance)
            .collect::<Vec<_>>()
    };
    assert_eq!(names(after.snapshot(START.plus(SECOND))), ["a"]);
    assert_eq!(names(after.cached_servers()), ["b"]);
}

#[test]
fn restored_server_without_heartbeats_is_dropped() {
    let mut after = table();
    let record = heartbeat("h:1", 7).to_record("a");
    after.restore_cached(START, &[record]);
    let changes = tick_until(&mut after, START.plus(61 * SECOND));
    assert_eq!(changes.expired, ["a"]);
}

#[test]
fn restored_tombstone_outlasts_delayed_heartbeat() {
    let mut before = table();
    before.on_heartbeat(START, "a", &heartbeat("h:1", 7));
    before.on_deregister(START, "a");
    let mut after = table();
    after.restore_cached(START, &before.snapshot(START));
    after.on_heartbeat(START.plus(SECOND), "a", &heartbeat("h:1", 6));
    assert_eq!(state_of(&after, "a"), Some(ServerState::Gone));
    assert_eq!(after.live_servers().count(), 0);
    // It is dropped in the end, as any other.
    tick_until(&mut after, START.plus(130 * SECOND));
    assert_eq!(state_of(&after, "a"), None);
}

#[test]
fn restored_tombstone_replaces_an_older_record() {
    for leaving in [draining("h:1", 9).to_record("a"), tombstone("a")] {
        let mut after = table();
        after.restore_cached(START, &[heartbeat("h:1", 7).to_record("a")]);
        let restored = after.restore_cached(START, std::slice::from_ref(&leaving));
        assert_eq!(
            restored.records,
            std::slice::from_ref(&leaving),
            "it is pushed to routers"
        );
        assert_eq!(state_of(&after, "a"), Some(leaving.state));
    }
}
