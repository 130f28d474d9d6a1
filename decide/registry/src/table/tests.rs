//! Tests of `table`.

use super::*;
use crate::timing::{ADDRESS_CONFLICT_INTERVALS, EXPIRY_AFTER_US, TOMBSTONE_RETENTION_US};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Seed of the random tests: a failure comes again with the same command.
const SEED: u64 = 0x5eed_0013;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// When the table starts: no small number, so that a mistaken 0 shows.
const START: u64 = 1_000 * SECOND;

fn heartbeat(address: &str, sequence_number: u64) -> Heartbeat {
    Heartbeat {
        service: "s".to_owned(),
        address: address.to_owned(),
        capacity_slots: 8,
        sequence_number,
        ..Heartbeat::default()
    }
}

fn draining(address: &str, sequence_number: u64) -> Heartbeat {
    Heartbeat {
        state: ServerState::Draining,
        ..heartbeat(address, sequence_number)
    }
}

fn heartbeat_age(instance: &str, age_ms: u32) -> HeartbeatAge {
    HeartbeatAge {
        instance: instance.to_owned(),
        age_ms,
    }
}

fn table() -> Registry {
    Registry::new(START, SECOND)
}

/// Ticks whenever the table is due, up to a time, and collects the changes.
fn tick_until(table: &mut Registry, until: u64) -> Changes {
    let mut changes = Changes::default();
    while table.next_wake() <= until {
        let now = table.next_wake();
        changes.append(table.tick(now));
    }
    changes.append(table.tick(until));
    changes
}

fn state_of(table: &Registry, instance: &str) -> Option<ServerState> {
    table.record(instance).map(|record| record.state)
}

fn is_suspect(table: &Registry, instance: &str) -> bool {
    table
        .record(instance)
        .is_some_and(|record| record.is_suspect)
}

#[test]
fn first_heartbeat_is_an_update_and_a_repetition_is_not() {
    let mut table = table();
    let changes = table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert_eq!(
        changes.updates_for_peers(),
        [heartbeat("a:1", 1).record("i")]
    );
    assert!(table
        .on_heartbeat(START + SECOND, "i", &heartbeat("a:1", 2))
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
            .on_heartbeat(START + SECOND, "i", &more)
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
            .on_heartbeat(START + SECOND, "i", &at(4, 500))
            .updates_for_peers()
            .len(),
        1,
        "a longer warm-up than before"
    );
    assert!(
        table
            .on_heartbeat(START + SECOND, "i", &at(5, 100))
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
        assert!(table.on_heartbeat(START + SECOND, "i", &late).is_empty());
    }
    assert!(table
        .merge(START, &heartbeat("a:1", 200).record("i"))
        .is_empty());
    assert!(table.on_deregister(START, "i").is_empty());
    assert_eq!(table.record("i"), Some(&tombstone("i")));
    assert!(table.take_heartbeat_digest(START + SECOND).is_empty());
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
    assert_eq!(table.live().count(), 0);
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

#[test]
fn server_is_suspect_after_five_intervals_until_a_heartbeat() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    assert!(tick_until(&mut table, START + 5 * SECOND - 1).is_empty());
    let changes = tick_until(&mut table, START + 5 * SECOND);
    assert_eq!(
        (changes.records.len(), changes.updates_for_peers().len()),
        (1, 0),
        "each machine judges by itself"
    );
    assert!(is_suspect(&table, "i"));
    assert!(
        tick_until(&mut table, START + 9 * SECOND).is_empty(),
        "reported once"
    );
    let changes = table.on_heartbeat(START + 9 * SECOND, "i", &heartbeat("a:1", 2));
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
    tick_until(&mut table, START + 4 * SECOND);
    assert!(table
        .on_heartbeat(START + 4 * SECOND, "i", &heartbeat("a:1", 6))
        .is_empty());
    tick_until(&mut table, START + 5 * SECOND);
    assert!(is_suspect(&table, "i"));
}

#[test]
fn heartbeat_at_another_machine_renews_timeout() {
    let mut table = table();
    table.merge(START, &heartbeat("a:1", 1).record("i"));
    tick_until(&mut table, START + 4 * SECOND);
    assert!(table
        .merge_heartbeat_digest(
            START + 4 * SECOND,
            &[heartbeat_age("i", 300), heartbeat_age("not-known", 0)]
        )
        .is_empty());
    tick_until(&mut table, START + 8 * SECOND);
    assert!(!is_suspect(&table, "i"));
    tick_until(&mut table, START + 9 * SECOND);
    assert!(is_suspect(&table, "i"));
    let old = table.merge_heartbeat_digest(START + 9 * SECOND, &[heartbeat_age("i", 5_000)]);
    assert!(old.is_empty() && is_suspect(&table, "i"));
    let changes = table.merge_heartbeat_digest(START + 9 * SECOND, &[heartbeat_age("i", 100)]);
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
    tick_until(&mut table, START + 3 * SECOND);
    table.on_heartbeat(START + 3 * SECOND, "i", &heartbeat("a:1", 1));
    table.merge_heartbeat_digest(START + 3 * SECOND, &[heartbeat_age("i", 2_900)]);
    tick_until(&mut table, START + 7 * SECOND);
    assert!(!is_suspect(&table, "i"));
}

#[test]
fn new_table_suspects_no_server_for_five_intervals() {
    let mut table = table();
    table.merge_all(
        START,
        &[
            heartbeat("a:1", 1).record("i"),
            ServerRecord {
                is_suspect: true,
                ..heartbeat("a:2", 1).record("j")
            },
        ],
    );
    table.merge_heartbeat_digest(
        START,
        &[heartbeat_age("i", 50_000), heartbeat_age("j", 50_000)],
    );
    assert!(tick_until(&mut table, START + 5 * SECOND - 1).is_empty());
    assert!(!is_suspect(&table, "i") && !is_suspect(&table, "j"));
    assert_eq!(tick_until(&mut table, START + 5 * SECOND).records.len(), 2);
}

#[test]
fn timeouts_restart_after_machine_was_suspended() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    tick_until(&mut table, START + SECOND);
    let woken = START + 100 * SECOND;
    assert!(table.tick(woken).is_empty(), "neither suspect nor dropped");
    assert!(tick_until(&mut table, woken + 5 * SECOND - 1).is_empty());
    assert_eq!(tick_until(&mut table, woken + 5 * SECOND).records.len(), 1);
}

#[test]
fn server_is_dropped_after_a_minute_and_may_return() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    tick_until(&mut table, START + EXPIRY_AFTER_US - 1);
    assert_eq!(table.len(), 1);
    let changes = tick_until(&mut table, START + EXPIRY_AFTER_US);
    assert_eq!(
        (changes.records.len(), changes.expired, table.is_empty()),
        (0, vec!["i".to_owned()], true)
    );
    let changes = table.on_heartbeat(START + EXPIRY_AFTER_US, "i", &heartbeat("a:1", 2));
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
        table.snapshot(START + SNAPSHOT_TOMBSTONE_MAX_AGE_US - 1),
        [tombstone("i")]
    );
    assert!(table
        .snapshot(START + SNAPSHOT_TOMBSTONE_MAX_AGE_US)
        .is_empty());
    tick_until(&mut table, START + TOMBSTONE_RETENTION_US - 1);
    assert!(table
        .on_heartbeat(
            START + TOMBSTONE_RETENTION_US - 1,
            "i",
            &heartbeat("a:1", 9)
        )
        .is_empty());
    assert!(tick_until(&mut table, START + TOMBSTONE_RETENTION_US).is_empty());
    assert!(table.is_empty());
}

#[test]
fn new_instance_ends_others_at_its_address() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 40));
    table.on_heartbeat(START, "older", &draining("a:1", 50));
    table.on_heartbeat(START, "elsewhere", &heartbeat("a:2", 40));
    let changes = table.on_heartbeat(START + 100 * MS, "new", &heartbeat("a:1", 1));
    assert_eq!(changes.updates_for_peers().len(), 3);
    assert_eq!(changes.updates_for_peers()[0].instance, "new");
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "older"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
    assert_eq!(state_of(&table, "elsewhere"), Some(ServerState::Ready));
    for late in [heartbeat("a:1", 41), heartbeat("a:1", 2)] {
        assert!(table
            .on_heartbeat(START + 200 * MS, "old", &late)
            .is_empty());
    }
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn new_instance_with_higher_number_ends_one_without_heartbeats() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 1));
    tick_until(&mut table, START + ADDRESS_CONFLICT_INTERVALS * SECOND);
    table.on_heartbeat(
        START + ADDRESS_CONFLICT_INTERVALS * SECOND,
        "new",
        &heartbeat("a:1", 6),
    );
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
}

/// The last heartbeat of a server that has ended comes late to a machine that does not know it, when
/// its address has a new owner.
#[test]
fn delayed_heartbeat_of_unknown_instance_does_not_end_owner_of_address() {
    let mut table = table();
    table.on_heartbeat(START, "owner", &heartbeat("a:1", 3));
    table.on_heartbeat(START + 100 * MS, "ended", &heartbeat("a:1", 700));
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    for second in 1..=4 {
        tick_until(&mut table, START + second * SECOND);
        table.on_heartbeat(
            START + second * SECOND,
            "owner",
            &heartbeat("a:1", 3 + second),
        );
    }
    let changes = tick_until(&mut table, START + 4 * SECOND + 250 * MS);
    assert_eq!(changes.updates_for_peers(), [tombstone("ended")]);
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    tick_until(&mut table, START + 8 * SECOND);
    assert_eq!(
        state_of(&table, "owner"),
        Some(ServerState::Ready),
        "the owner stays"
    );
}

/// The heartbeat of the new owner came to another machine, which did not know the old one.
#[test]
fn old_instance_without_heartbeats_ends_when_new_one_is_known_by_merge() {
    let mut table = table();
    table.on_heartbeat(START, "old", &heartbeat("a:1", 9));
    table.merge(START + 500 * MS, &heartbeat("a:1", 1).record("new"));
    assert_eq!(state_of(&table, "old"), Some(ServerState::Ready));
    let mut changes = Changes::default();
    for tenth in 6..40 {
        let now = START + tenth * 100 * MS;
        changes.append(tick_until(&mut table, now));
        changes.append(table.merge_heartbeat_digest(now, &[heartbeat_age("new", 50)]));
    }
    assert_eq!(changes.updates_for_peers(), [tombstone("old")]);
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn two_instances_without_heartbeats_at_one_address_both_stay() {
    let mut table = table();
    table.merge(START, &heartbeat("a:1", 9).record("one"));
    table.merge(START, &heartbeat("a:1", 9).record("other"));
    tick_until(&mut table, START + 30 * SECOND);
    assert_eq!(table.live().count(), 2);
}

#[test]
fn digest_has_each_local_heartbeat_once() {
    let mut table = table();
    table.on_heartbeat(START, "i", &heartbeat("a:1", 1));
    table.on_heartbeat(START + 100 * MS, "j", &heartbeat("a:2", 1));
    table.merge(START, &heartbeat("a:3", 1).record("k"));
    let digest = table.take_heartbeat_digest(START + 400 * MS);
    assert_eq!(digest, [heartbeat_age("i", 400), heartbeat_age("j", 300)]);
    assert!(table.take_heartbeat_digest(START + 800 * MS).is_empty());
    table.on_heartbeat(START + 900 * MS, "i", &heartbeat("a:1", 2));
    assert_eq!(
        table.take_heartbeat_digest(START + 900 * MS),
        [heartbeat_age("i", 0)]
    );
}

#[test]
fn empty_table_merges_another_and_ends_no_server() {
    let mut full = table();
    for n in 0..50 {
        full.on_heartbeat(START, &format!("i{n:02}"), &heartbeat(&format!("a:{n}"), 3));
    }
    full.on_deregister(START, "i07");
    let mut empty = Registry::new(START + SECOND, SECOND);
    empty.on_heartbeat(START + SECOND, "own", &heartbeat("a:own", 1));
    let changes = empty.merge_all(START + SECOND, &full.snapshot(START + SECOND));
    assert_eq!(
        (changes.updates_for_peers().len(), empty.live().count()),
        (50, 50)
    );
    assert!(full.merge_all(START + SECOND, &[]).is_empty());
    assert_eq!(full.live().count(), 49);
    let back = full.merge_all(START + SECOND, &empty.snapshot(START + SECOND));
    assert_eq!(
        back.updates_for_peers(),
        [heartbeat("a:own", 1).record("own")]
    );
    assert_eq!(
        full.snapshot(START + SECOND),
        empty.snapshot(START + SECOND)
    );
}

#[test]
fn tick_is_due_every_quarter_of_an_interval() {
    let mut table = table();
    assert_eq!(table.next_wake(), START + 250 * MS);
    table.tick(START + 300 * MS);
    assert_eq!(table.next_wake(), START + 550 * MS);
    table.set_interval(2 * SECOND);
    assert_eq!(table.next_wake(), START + 800 * MS);
}

/// An update of one of three instances, with few values for each field so that many collide.
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

fn after<'a>(updates: impl IntoIterator<Item = &'a Update>) -> Vec<ServerRecord> {
    let mut table = table();
    for record in updates {
        table.merge(START, &record.0);
    }
    table.snapshot(START)
}

#[test]
fn order_and_repetition_of_updates_do_not_matter() {
    fn property(updates: Vec<Update>, turn: usize) -> bool {
        let expected = after(&updates);
        let turn = if updates.is_empty() {
            0
        } else {
            turn % updates.len()
        };
        let rotated = updates[turn..].iter().chain(&updates[..turn]);
        let mut sorted = updates.clone();
        sorted.sort_by_key(|updates| {
            (
                updates.0.sequence_number,
                updates.0.address.clone(),
                updates.0.state,
            )
        });
        after(updates.iter().rev()) == expected
            && after(rotated) == expected
            && after(&sorted) == expected
            && after(updates.iter().chain(&updates)) == expected
    }
    let gen = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(property as fn(Vec<Update>, usize) -> bool);
}

#[test]
fn machines_that_push_changes_have_equal_states_after_one_exchange_of_tables() {
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
            && one.snapshot(START) == after(here.iter().chain(&there))
    }
    let gen = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(property as fn(Vec<Update>, Vec<Update>) -> bool);
}

#[test]
fn gone_instance_never_returns_whatever_arrives() {
    fn property(updates: Vec<(Update, bool)>) -> bool {
        let (mut table, mut now) = (table(), START);
        let mut highest: HashMap<String, ServerState> = HashMap::new();
        updates.iter().all(|(record, heartbeat)| {
            now += 100 * MS;
            let record = &record.0;
            match (heartbeat, record.state) {
                (_, ServerState::Gone) => table.on_deregister(now, &record.instance),
                (true, state) => {
                    let heartbeat = Heartbeat {
                        state,
                        ..super::tests::heartbeat(&record.address, record.sequence_number)
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
    assert_eq!(after.live().count(), 2);
    let heartbeat_changes = after.on_heartbeat(START + SECOND, "a", &heartbeat("h:1", 8));
    assert_eq!(
        (
            heartbeat_changes.records.len(),
            heartbeat_changes.updates_for_peers().len()
        ),
        (1, 1),
        "now it is an update for peers as well"
    );
    tick_until(&mut after, START + 5 * SECOND + SECOND / 2);
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
        ..heartbeat("h:1", 7).record("a")
    };
    after.restore_cached(START, &[record]);
    assert!(is_suspect(&after, "a"));
    let heartbeat_changes = after.on_heartbeat(START + SECOND, "a", &heartbeat("h:1", 8));
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
            heartbeat("h:1", 7).record("a"),
            heartbeat("h:2", 7).record("b"),
        ],
    );
    assert!(after.snapshot(START).is_empty());
    after.on_heartbeat(START + SECOND, "a", &heartbeat("h:1", 8));
    let names = |records: Vec<ServerRecord>| {
        records
            .into_iter()
            .map(|record| record.instance)
            .collect::<Vec<_>>()
    };
    assert_eq!(names(after.snapshot(START + SECOND)), ["a"]);
    assert_eq!(names(after.cached_servers()), ["b"]);
}

#[test]
fn restored_server_without_heartbeats_is_dropped() {
    let mut after = table();
    let record = heartbeat("h:1", 7).record("a");
    after.restore_cached(START, &[record]);
    let changes = tick_until(&mut after, START + 61 * SECOND);
    assert_eq!(changes.expired, ["a"]);
}

#[test]
fn restored_tombstone_outlasts_delayed_heartbeat() {
    let mut before = table();
    before.on_heartbeat(START, "a", &heartbeat("h:1", 7));
    before.on_deregister(START, "a");
    let mut after = table();
    after.restore_cached(START, &before.snapshot(START));
    after.on_heartbeat(START + SECOND, "a", &heartbeat("h:1", 6));
    assert_eq!(state_of(&after, "a"), Some(ServerState::Gone));
    assert_eq!(after.live().count(), 0);
    // It is dropped in the end, as any other.
    tick_until(&mut after, START + 130 * SECOND);
    assert_eq!(state_of(&after, "a"), None);
}

#[test]
fn restored_tombstone_replaces_an_older_record() {
    for leaving in [draining("h:1", 9).record("a"), crate::tombstone("a")] {
        let mut after = table();
        after.restore_cached(START, &[heartbeat("h:1", 7).record("a")]);
        let restored = after.restore_cached(START, std::slice::from_ref(&leaving));
        assert_eq!(
            restored.records,
            std::slice::from_ref(&leaving),
            "it is pushed to routers"
        );
        assert_eq!(state_of(&after, "a"), Some(leaving.state));
    }
}
