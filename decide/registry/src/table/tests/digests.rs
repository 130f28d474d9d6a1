//! Tests of the heartbeat digests that control machines send to each other.

use super::{heartbeat, heartbeat_age, is_suspect, table, tick_until, MS, SECOND, START};

#[test]
fn heartbeat_at_another_machine_renews_timeout() {
    let mut table = table();
    table.merge(START, &heartbeat("a:1", 1).to_record("i"));
    tick_until(&mut table, START.plus(4 * SECOND));
    assert!(table
        .merge_heartbeat_digest(
            START.plus(4 * SECOND),
            &[heartbeat_age("i", 300), heartbeat_age("not-known", 0)]
        )
        .is_empty());
    tick_until(&mut table, START.plus(8 * SECOND));
    assert!(!is_suspect(&table, "i"));
    tick_until(&mut table, START.plus(9 * SECOND));
    assert!(is_suspect(&table, "i"));
    let stale_changes =
        table.merge_heartbeat_digest(START.plus(9 * SECOND), &[heartbeat_age("i", 5_000)]);
    assert!(stale_changes.is_empty() && is_suspect(&table, "i"));
    let changes = table.merge_heartbeat_digest(START.plus(9 * SECOND), &[heartbeat_age("i", 100)]);
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
fn older_digest_does_not_shorten_timeout() {
    let mut table = table();
    tick_until(&mut table, START.plus(3 * SECOND));
    table.on_heartbeat(START.plus(3 * SECOND), "i", &heartbeat("a:1", 1));
    table.merge_heartbeat_digest(START.plus(3 * SECOND), &[heartbeat_age("i", 2_900)]);
    tick_until(&mut table, START.plus(7 * SECOND));
    assert!(!is_suspect(&table, "i"));
}

#[test]
fn digest_contains_each_local_heartbeat_once() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    table.on_heartbeat(START.plus(100 * MS), "j", &heartbeat("a:2", 1));
    table.merge(START, &heartbeat("a:3", 1).to_record("k"));
    let digest = table.take_heartbeat_digest(START.plus(400 * MS));
    assert_eq!(digest, [heartbeat_age("i", 400), heartbeat_age("j", 300)]);
    assert!(table.take_heartbeat_digest(START.plus(800 * MS)).is_empty());
    table.on_heartbeat(START.plus(900 * MS), "i", &heartbeat("a:1", 2));
    assert_eq!(
        table.take_heartbeat_digest(START.plus(900 * MS)),
        [heartbeat_age("i", 0)]
    );
}
