//! Tests of the timeouts after which a server is suspect, a server is dropped, and a tombstone is
//! dropped.

use super::{heartbeat, heartbeat_age, is_suspect, state_of, table, tick_until, MS, SECOND, START};
use crate::merge::tombstone;
use crate::timing::{EXPIRY_AFTER_US, SNAPSHOT_TOMBSTONE_MAX_AGE_US, TOMBSTONE_RETENTION_US};
use lichenswitch_messages::{ServerRecord, ServerState};

#[test]
fn server_is_suspect_after_five_intervals_until_a_heartbeat() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert!(tick_until(&mut table, START.plus(5 * SECOND - 1)).is_empty());
    let changes = tick_until(&mut table, START.plus(5 * SECOND));
    assert_eq!(
        (changes.records.len(), changes.updates_for_peers().len()),
        (1, 0),
        "a suspicion is not sent to other control machines"
    );
    assert!(is_suspect(&table, "i"));
    assert!(
        tick_until(&mut table, START.plus(9 * SECOND)).is_empty(),
        "a suspicion is reported only once"
    );
    let changes = table.on_heartbeat(START.plus(9 * SECOND), "i", &heartbeat("a:1", 2));
    assert_eq!(
        (
            changes.records.len(),
            changes.updates_for_peers().len(),
            is_suspect(&table, "i")
        ),
        (1, 0, false)
    );
}

#[test]
fn delayed_heartbeat_does_not_renew_timeout() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 7));
    tick_until(&mut table, START.plus(4 * SECOND));
    assert!(table
        .on_heartbeat(START.plus(4 * SECOND), "i", &heartbeat("a:1", 6))
        .is_empty());
    tick_until(&mut table, START.plus(5 * SECOND));
    assert!(is_suspect(&table, "i"));
}

#[test]
fn new_table_suspects_no_server_for_five_intervals() {
    let mut table = table();
    table.merge_all(
        START,
        &[
            heartbeat("a:1", 1).to_record("i"),
            ServerRecord {
                is_suspect: true,
                ..heartbeat("a:2", 1).to_record("j")
            },
        ],
    );
    table.merge_heartbeat_digest(
        START,
        &[heartbeat_age("i", 50_000), heartbeat_age("j", 50_000)],
    );
    assert!(tick_until(&mut table, START.plus(5 * SECOND - 1)).is_empty());
    assert!(!is_suspect(&table, "i") && !is_suspect(&table, "j"));
    assert_eq!(
        tick_until(&mut table, START.plus(5 * SECOND)).records.len(),
        2
    );
}

#[test]
fn timeouts_restart_after_machine_was_suspended() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    tick_until(&mut table, START.plus(SECOND));
    let resumed_at = START.plus(100 * SECOND);
    assert!(
        table.tick(resumed_at).is_empty(),
        "a server is neither suspect nor dropped"
    );
    assert!(tick_until(&mut table, resumed_at.plus(5 * SECOND - 1)).is_empty());
    assert_eq!(
        tick_until(&mut table, resumed_at.plus(5 * SECOND))
            .records
            .len(),
        1
    );
}

#[test]
fn server_is_dropped_after_a_minute_and_may_return() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    tick_until(&mut table, START.plus(EXPIRY_AFTER_US - 1));
    assert_eq!(table.len(), 1);
    let changes = tick_until(&mut table, START.plus(EXPIRY_AFTER_US));
    assert_eq!(
        (changes.records.len(), changes.expired, table.is_empty()),
        (0, vec!["i".to_owned()], true)
    );
    let changes = table.on_heartbeat(START.plus(EXPIRY_AFTER_US), "i", &heartbeat("a:1", 2));
    assert_eq!(
        (changes.updates_for_peers().len(), state_of(&table, "i")),
        (1, Some(ServerState::Ready))
    );
}

#[test]
fn tombstone_is_in_snapshots_for_one_minute_and_kept_for_two() {
    let mut table = table();
    table.on_deregister(START, "i");
    assert_eq!(
        table.snapshot(START.plus(SNAPSHOT_TOMBSTONE_MAX_AGE_US - 1)),
        [tombstone("i")]
    );
    assert!(table
        .snapshot(START.plus(SNAPSHOT_TOMBSTONE_MAX_AGE_US))
        .is_empty());
    tick_until(&mut table, START.plus(TOMBSTONE_RETENTION_US - 1));
    assert!(table
        .on_heartbeat(
            START.plus(TOMBSTONE_RETENTION_US - 1),
            "i",
            &heartbeat("a:1", 9)
        )
        .is_empty());
    assert!(tick_until(&mut table, START.plus(TOMBSTONE_RETENTION_US)).is_empty());
    assert!(table.is_empty());
}

#[test]
fn tick_is_due_every_quarter_of_an_interval() {
    let mut table = table();
    assert_eq!(table.next_wake(), START.plus(250 * MS));
    table.tick(START.plus(300 * MS));
    assert_eq!(table.next_wake(), START.plus(550 * MS));
    table.set_heartbeat_interval(2 * SECOND);
    assert_eq!(table.next_wake(), START.plus(800 * MS));
}
