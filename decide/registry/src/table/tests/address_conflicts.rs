//! Tests of several live instances at one address: which of them is marked as gone.

use super::{draining, heartbeat, heartbeat_age, state_of, table, tick_until, MS, SECOND, START};
use crate::changes::Changes;
use crate::merge::tombstone;
use crate::timing::ADDRESS_CONFLICT_INTERVALS;
use lichenswitch_messages::ServerState;

#[test]
fn new_instance_supersedes_others_at_its_address() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 40));
    table.on_heartbeat(START, "older", &draining("a:1", 50));
    table.on_heartbeat(START, "elsewhere", &heartbeat("a:2", 40));
    let changes = table.on_heartbeat(START.plus(100 * MS), "new", &heartbeat("a:1", 1));
    assert_eq!(changes.updates_for_peers().len(), 3);
    assert_eq!(changes.updates_for_peers()[0].instance, "new");
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "older"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
    assert_eq!(state_of(&table, "elsewhere"), Some(ServerState::Ready));
    for late in [heartbeat("a:1", 41), heartbeat("a:1", 2)] {
        assert!(table
            .on_heartbeat(START.plus(200 * MS), "old", &late)
            .is_empty());
    }
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn new_instance_with_higher_number_supersedes_one_without_heartbeats() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 1));
    tick_until(&mut table, START.plus(ADDRESS_CONFLICT_INTERVALS * SECOND));
    table.on_heartbeat(
        START.plus(ADDRESS_CONFLICT_INTERVALS * SECOND),
        "new",
        &heartbeat("a:1", 6),
    );
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
}

/// The last heartbeat of a server that has ended is delayed. It reaches a machine that does not
/// know the server after the address has a new owner.
#[test]
fn delayed_heartbeat_of_unknown_instance_does_not_supersede_owner_of_address() {
    let mut table = table();
    table.on_heartbeat(START, "owner", &heartbeat("a:1", 3));
    table.on_heartbeat(START.plus(100 * MS), "ended", &heartbeat("a:1", 700));
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    for second in 1..=4 {
        tick_until(&mut table, START.plus(second * SECOND));
        table.on_heartbeat(
            START.plus(second * SECOND),
            "owner",
            &heartbeat("a:1", 3 + second),
        );
    }
    let changes = tick_until(&mut table, START.plus(4 * SECOND + 250 * MS));
    assert_eq!(changes.updates_for_peers(), [tombstone("ended")]);
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    tick_until(&mut table, START.plus(8 * SECOND));
    assert_eq!(
        state_of(&table, "owner"),
        Some(ServerState::Ready),
        "the owner must stay ready"
    );
}

/// The heartbeat of the new owner came to another machine, which did not know the old instance and
/// therefore did not mark it as gone.
#[test]
fn old_instance_without_heartbeats_is_gone_when_new_one_is_known_by_merge() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 9));
    table.merge(START.plus(500 * MS), &heartbeat("a:1", 1).to_record("new"));
    assert_eq!(state_of(&table, "old"), Some(ServerState::Ready));
    let mut changes = Changes::default();
    for tenth in 6..40 {
        let now = START.plus(tenth * 100 * MS);
        changes.append(tick_until(&mut table, now));
        changes.append(table.merge_heartbeat_digest(now, &[heartbeat_age("new", 50)]));
    }
    assert_eq!(changes.updates_for_peers(), [tombstone("old")]);
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn two_instances_without_heartbeats_at_one_address_are_both_kept() {
    let mut table = table();
    table.merge(START, &heartbeat("a:1", 9).to_record("one"));
    table.merge(START, &heartbeat("a:1", 9).to_record("other"));
    tick_until(&mut table, START.plus(30 * SECOND));
    assert_eq!(table.live_servers().count(), 2);
}
