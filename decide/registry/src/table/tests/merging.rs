//! Tests that merged records do not depend on the order in which they arrive.

use super::{heartbeat, table, MS, SECOND, START};
use crate::heartbeat::Heartbeat;
use crate::table::Registry;
use lichenswitch_messages::{ServerRecord, ServerState};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

/// Seed of the property tests, fixed so that a failure is reproducible.
const SEED: u64 = 0x5eed_0013;

#[test]
fn empty_table_merges_another_and_marks_no_server_as_gone() {
    let mut full = table();
    for n in 0..50 {
        full.on_heartbeat(START, &format!("i{n:02}"), &heartbeat(&format!("a:{n}"), 3));
    }
    full.on_deregister(START, "i07");
    let mut empty = Registry::new(START.plus(SECOND), SECOND);
    empty.on_heartbeat(START.plus(SECOND), "own", &heartbeat("a:own", 1));
    let changes = empty.merge_all(START.plus(SECOND), &full.snapshot(START.plus(SECOND)));
    assert_eq!(
        (
            changes.updates_for_peers().len(),
            empty.live_servers().count()
        ),
        (50, 50)
    );
    assert!(full.merge_all(START.plus(SECOND), &[]).is_empty());
    assert_eq!(full.live_servers().count(), 49);
    let changes_back = full.merge_all(START.plus(SECOND), &empty.snapshot(START.plus(SECOND)));
    assert_eq!(
        changes_back.updates_for_peers(),
        [heartbeat("a:own", 1).to_record("own")]
    );
    assert_eq!(
        full.snapshot(START.plus(SECOND)),
        empty.snapshot(START.plus(SECOND))
    );
}

/// An update of one of three instances. Each field has few possible values, so that many updates
/// conflict.
#[derive(Clone, Debug)]
struct Update(ServerRecord);

impl Arbitrary for Update {
    fn arbitrary(gen: &mut Gen) -> Update {
        let pick = |gen: &mut Gen, count: u8| u8::arbitrary(gen) % count;
        let states = [
            ServerState::Ready,
            ServerState::Ready,
            ServerState::Draining,
            ServerState::Gone,
        ];
        Update(ServerRecord {
            instance: format!("i{}", pick(gen, 3)),
            service: format!("s{}", pick(gen, 2)),
            address: format!("a{}", pick(gen, 2)),
            state: states[usize::from(pick(gen, 4))],
            sequence_number: u64::from(pick(gen, 4)),
            warm_up_remaining_ms: u64::from(pick(gen, 2)),
            is_suspect: bool::arbitrary(gen),
            ..ServerRecord::default()
        })
    }
}

/// Merges updates into an empty table and returns its snapshot.
fn snapshot_after<'a>(updates: impl IntoIterator<Item = &'a Update>) -> Vec<ServerRecord> {
    let mut table = table();
    for record in updates {
        table.merge(START, &record.0);
    }
    table.snapshot(START)
}

#[test]
fn snapshot_is_independent_of_order_and_repetition_of_updates() {
    fn property(updates: Vec<Update>, shift: usize) -> bool {
        let expected = snapshot_after(&updates);
        let shift = if updates.is_empty() {
            0
        } else {
            shift % updates.len()
        };
        let rotated = updates[shift..].iter().chain(&updates[..shift]);
        let mut sorted = updates.clone();
        sorted.sort_by_key(|update| {
            (
                update.0.sequence_number,
                update.0.address.clone(),
                update.0.state,
            )
        });
        snapshot_after(updates.iter().rev()) == expected
            && snapshot_after(rotated) == expected
            && snapshot_after(&sorted) == expected
            && snapshot_after(updates.iter().chain(&updates)) == expected
    }
    let gen = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(property as fn(Vec<Update>, usize) -> bool);
}

#[test]
fn tables_are_equal_after_one_exchange_of_snapshots() {
    fn property(here: Vec<Update>, there: Vec<Update>) -> bool {
        let (mut one, mut other) = (table(), table());
        for record in &here {
            let changes = one.merge(START, &record.0);
            other.merge_all(START, changes.updates_for_peers());
        }
        there
            .iter()
            .for_each(|record| drop(other.merge(START, &record.0)));
        one.merge_all(START, &other.snapshot(START));
        other.merge_all(START, &one.snapshot(START));
        one.snapshot(START) == other.snapshot(START)
            && one.snapshot(START) == snapshot_after(here.iter().chain(&there))
    }
    let gen = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(property as fn(Vec<Update>, Vec<Update>) -> bool);
}

#[test]
fn state_of_instance_never_decreases_for_any_sequence_of_updates() {
    fn property(updates: Vec<(Update, bool)>) -> bool {
        let (mut table, mut now) = (table(), START);
        let mut highest: HashMap<String, ServerState> = HashMap::new();
        updates.iter().all(|(record, heartbeat)| {
            now = now.plus(100 * MS);
            let record = &record.0;
            match (heartbeat, record.state) {
                (_, ServerState::Gone) => table.on_deregister(now, &record.instance),
                (true, state) => {
                    let heartbeat = Heartbeat {
                        state,
                        ..super::heartbeat(&record.address, record.sequence_number)
                    };
                    table.on_heartbeat(now, &record.instance, &heartbeat)
                }
                (false, _) => table.merge(now, record),
            };
            table.tick(now);
            table.entries.iter().all(|(instance, entry)| {
                let before = highest.insert(instance.clone(), entry.record.state);
                before.is_none_or(|before| before <= entry.record.state)
            })
        })
    }
    let gen = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(property as fn(Vec<(Update, bool)>) -> bool);
}
