//! Tests of `table`.

use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Seed of the random tests: a failure comes again with the same command.
const SEED: u64 = 0x5eed_0013;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// When the table begins: no small number, so that a mistaken 0 shows.
const START: u64 = 1_000 * SECOND;

fn beat(address: &str, sequence_number: u64) -> Heartbeat {
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
        ..beat(address, sequence_number)
    }
}

fn table() -> Registry {
    Registry::new(START, SECOND)
}

/// Ticks by the table's own wakes up to a time, and collects what changed.
fn run_to(table: &mut Registry, until: u64) -> Changes {
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
fn a_first_beat_is_news_and_one_that_says_the_same_is_not() {
    let mut table = table();
    let changes = table.on_heartbeat(START, "i", &beat("a:1", 1));
    assert_eq!(changes.updates_for_peers(), [beat("a:1", 1).record("i")]);
    assert!(table
        .on_heartbeat(START + SECOND, "i", &beat("a:1", 2))
        .is_empty());
    assert_eq!(
        table.record("i").map(|record| record.sequence_number),
        Some(2)
    );
    let more = Heartbeat {
        capacity_slots: 9,
        ..beat("a:1", 3)
    };
    assert_eq!(
        table
            .on_heartbeat(START + SECOND, "i", &more)
            .updates_for_peers()
            .len(),
        1
    );
    let cold = Heartbeat {
        warm_up_remaining_ms: 500,
        ..more.clone()
    };
    let at = |n, ms| Heartbeat {
        sequence_number: n,
        warm_up_remaining_ms: ms,
        ..cold.clone()
    };
    assert_eq!(
        table
            .on_heartbeat(START + SECOND, "i", &at(4, 500))
            .updates_for_peers()
            .len(),
        1,
        "colder than was told"
    );
    assert!(
        table
            .on_heartbeat(START + SECOND, "i", &at(5, 100))
            .is_empty(),
        "it only runs down"
    );
}

#[test]
fn draining_and_gone_are_final() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
    assert_eq!(
        table
            .on_heartbeat(START, "i", &draining("a:1", 2))
            .updates_for_peers()
            .len(),
        1
    );
    assert!(table.on_heartbeat(START, "i", &beat("a:1", 3)).is_empty());
    assert_eq!(state_of(&table, "i"), Some(ServerState::Draining));
    assert_eq!(
        table.on_deregister(START, "i").updates_for_peers(),
        [tombstone("i")]
    );
    for late in [beat("a:1", 1), beat("a:1", 99), draining("a:1", 100)] {
        assert!(table.on_heartbeat(START + SECOND, "i", &late).is_empty());
    }
    assert!(table.merge(START, &beat("a:1", 200).record("i")).is_empty());
    assert!(table.on_deregister(START, "i").is_empty());
    assert_eq!(table.record("i"), Some(&tombstone("i")));
    assert!(table.take_heartbeat_digest(START + SECOND).is_empty());
}

#[test]
fn an_instance_may_leave_without_draining_and_without_being_known() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
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
        .on_heartbeat(START, "never-heard", &beat("a:2", 5))
        .is_empty());
    assert_eq!(table.live().count(), 0);
}

#[test]
fn draining_told_by_a_late_beat_still_counts() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 5));
    assert_eq!(
        table
            .on_heartbeat(START, "i", &draining("a:1", 4))
            .updates_for_peers()
            .len(),
        1
    );
}

#[test]
fn silence_makes_a_server_unheard_after_five_intervals_and_a_beat_undoes_it() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
    assert!(run_to(&mut table, START + 5 * SECOND - 1).is_empty());
    let changes = run_to(&mut table, START + 5 * SECOND);
    assert_eq!(
        (changes.records.len(), changes.updates_for_peers().len()),
        (1, 0),
        "each machine judges by itself"
    );
    assert!(is_suspect(&table, "i"));
    assert!(
        run_to(&mut table, START + 9 * SECOND).is_empty(),
        "said once"
    );
    let changes = table.on_heartbeat(START + 9 * SECOND, "i", &beat("a:1", 2));
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
fn a_late_beat_is_no_sign_of_life() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 7));
    run_to(&mut table, START + 4 * SECOND);
    assert!(table
        .on_heartbeat(START + 4 * SECOND, "i", &beat("a:1", 6))
        .is_empty());
    run_to(&mut table, START + 5 * SECOND);
    assert!(is_suspect(&table, "i"));
}

#[test]
fn what_another_machine_heard_counts() {
    let mut table = table();
    table.merge(START, &beat("a:1", 1).record("i"));
    run_to(&mut table, START + 4 * SECOND);
    assert!(table
        .merge_heartbeat_digest(
            START + 4 * SECOND,
            &[("i".to_owned(), 300), ("not-known".to_owned(), 0)]
        )
        .is_empty());
    run_to(&mut table, START + 8 * SECOND);
    assert!(!is_suspect(&table, "i"));
    run_to(&mut table, START + 9 * SECOND);
    assert!(is_suspect(&table, "i"));
    let old = table.merge_heartbeat_digest(START + 9 * SECOND, &[("i".to_owned(), 5_000)]);
    assert!(old.is_empty() && is_suspect(&table, "i"));
    let changes = table.merge_heartbeat_digest(START + 9 * SECOND, &[("i".to_owned(), 100)]);
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
fn older_word_of_a_server_does_not_shorten_what_is_known() {
    let mut table = table();
    run_to(&mut table, START + 3 * SECOND);
    table.on_heartbeat(START + 3 * SECOND, "i", &beat("a:1", 1));
    table.merge_heartbeat_digest(START + 3 * SECOND, &[("i".to_owned(), 2_900)]);
    run_to(&mut table, START + 7 * SECOND);
    assert!(!is_suspect(&table, "i"));
}

#[test]
fn a_table_that_has_just_started_calls_nobody_unheard_for_five_intervals() {
    let mut table = table();
    table.merge_all(
        START,
        &[
            beat("a:1", 1).record("i"),
            ServerRecord {
                is_suspect: true,
                ..beat("a:2", 1).record("j")
            },
        ],
    );
    table.merge_heartbeat_digest(START, &[("i".to_owned(), 50_000), ("j".to_owned(), 50_000)]);
    assert!(run_to(&mut table, START + 5 * SECOND - 1).is_empty());
    assert!(!is_suspect(&table, "i") && !is_suspect(&table, "j"));
    assert_eq!(run_to(&mut table, START + 5 * SECOND).records.len(), 2);
}

#[test]
fn a_machine_that_was_frozen_begins_anew_to_count_silence() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
    run_to(&mut table, START + SECOND);
    let woken = START + 100 * SECOND;
    assert!(
        table.tick(woken).is_empty(),
        "neither unheard nor forgotten"
    );
    assert!(run_to(&mut table, woken + 5 * SECOND - 1).is_empty());
    assert_eq!(run_to(&mut table, woken + 5 * SECOND).records.len(), 1);
}

#[test]
fn a_server_is_forgotten_after_a_minute_and_may_come_back() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
    run_to(&mut table, START + EXPIRY_AFTER_US - 1);
    assert_eq!(table.len(), 1);
    let changes = run_to(&mut table, START + EXPIRY_AFTER_US);
    assert_eq!(
        (changes.records.len(), changes.expired, table.is_empty()),
        (0, vec!["i".to_owned()], true)
    );
    let changes = table.on_heartbeat(START + EXPIRY_AFTER_US, "i", &beat("a:1", 2));
    assert_eq!(
        (changes.updates_for_peers().len(), state_of(&table, "i")),
        (1, Some(ServerState::Ready))
    );
}

#[test]
fn tombstones_are_told_for_a_minute_kept_for_two_and_dropped() {
    let mut table = table();
    table.on_deregister(START, "i");
    assert_eq!(
        table.snapshot(START + SNAPSHOT_TOMBSTONE_MAX_AGE_US - 1),
        [tombstone("i")]
    );
    assert!(table
        .snapshot(START + SNAPSHOT_TOMBSTONE_MAX_AGE_US)
        .is_empty());
    run_to(&mut table, START + TOMBSTONE_RETENTION_US - 1);
    assert!(table
        .on_heartbeat(START + TOMBSTONE_RETENTION_US - 1, "i", &beat("a:1", 9))
        .is_empty());
    assert!(run_to(&mut table, START + TOMBSTONE_RETENTION_US).is_empty());
    assert!(table.is_empty());
}

#[test]
fn a_new_instance_at_an_address_ends_the_others_there() {
    let mut table = table();
    table.on_heartbeat(START, "old", &beat("a:1", 40));
    table.on_heartbeat(START, "older", &draining("a:1", 50));
    table.on_heartbeat(START, "elsewhere", &beat("a:2", 40));
    let changes = table.on_heartbeat(START + 100 * MS, "new", &beat("a:1", 1));
    assert_eq!(changes.updates_for_peers().len(), 3);
    assert_eq!(changes.updates_for_peers()[0].instance, "new");
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "older"), Some(ServerState::Gone));
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
    assert_eq!(state_of(&table, "elsewhere"), Some(ServerState::Ready));
    for late in [beat("a:1", 41), beat("a:1", 2)] {
        assert!(table
            .on_heartbeat(START + 200 * MS, "old", &late)
            .is_empty());
    }
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn a_new_instance_that_has_called_more_often_ends_one_that_has_fallen_silent() {
    let mut table = table();
    table.on_heartbeat(START, "old", &beat("a:1", 1));
    run_to(&mut table, START + ADDRESS_CONFLICT_INTERVALS * SECOND);
    table.on_heartbeat(
        START + ADDRESS_CONFLICT_INTERVALS * SECOND,
        "new",
        &beat("a:1", 6),
    );
    assert_eq!(state_of(&table, "old"), Some(ServerState::Gone));
}

/// The last beat of a server that has ended comes late to a machine that never heard of it, when
/// its address has a new owner.
#[test]
fn a_late_beat_of_an_unknown_instance_does_not_end_the_owner_of_its_address() {
    let mut table = table();
    table.on_heartbeat(START, "owner", &beat("a:1", 3));
    table.on_heartbeat(START + 100 * MS, "ended", &beat("a:1", 700));
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    for second in 1..=4 {
        run_to(&mut table, START + second * SECOND);
        table.on_heartbeat(START + second * SECOND, "owner", &beat("a:1", 3 + second));
    }
    let changes = run_to(&mut table, START + 4 * SECOND + 250 * MS);
    assert_eq!(changes.updates_for_peers(), [tombstone("ended")]);
    assert_eq!(state_of(&table, "owner"), Some(ServerState::Ready));
    run_to(&mut table, START + 8 * SECOND);
    assert_eq!(
        state_of(&table, "owner"),
        Some(ServerState::Ready),
        "the owner has nobody to fear"
    );
}

/// The new owner was heard by another machine that did not know of the old one.
#[test]
fn an_old_instance_is_ended_by_its_silence_when_the_new_one_was_heard_elsewhere() {
    let mut table = table();
    table.on_heartbeat(START, "old", &beat("a:1", 9));
    table.merge(START + 500 * MS, &beat("a:1", 1).record("new"));
    assert_eq!(state_of(&table, "old"), Some(ServerState::Ready));
    let mut changes = Changes::default();
    for tenth in 6..40 {
        let now = START + tenth * 100 * MS;
        changes.append(run_to(&mut table, now));
        changes.append(table.merge_heartbeat_digest(now, &[("new".to_owned(), 50)]));
    }
    assert_eq!(changes.updates_for_peers(), [tombstone("old")]);
    assert_eq!(state_of(&table, "new"), Some(ServerState::Ready));
}

#[test]
fn two_silent_instances_at_an_address_do_not_end_each_other() {
    let mut table = table();
    table.merge(START, &beat("a:1", 9).record("one"));
    table.merge(START, &beat("a:1", 9).record("other"));
    run_to(&mut table, START + 30 * SECOND);
    assert_eq!(table.live().count(), 2);
}

#[test]
fn the_digest_names_each_that_was_heard_here_once() {
    let mut table = table();
    table.on_heartbeat(START, "i", &beat("a:1", 1));
    table.on_heartbeat(START + 100 * MS, "j", &beat("a:2", 1));
    table.merge(START, &beat("a:3", 1).record("k"));
    let digest = table.take_heartbeat_digest(START + 400 * MS);
    assert_eq!(digest, [("i".to_owned(), 400), ("j".to_owned(), 300)]);
    assert!(table.take_heartbeat_digest(START + 800 * MS).is_empty());
    table.on_heartbeat(START + 900 * MS, "i", &beat("a:1", 2));
    assert_eq!(
        table.take_heartbeat_digest(START + 900 * MS),
        [("i".to_owned(), 0)]
    );
}

#[test]
fn a_table_that_starts_empty_takes_the_table_of_another_and_ends_nobody() {
    let mut full = table();
    for n in 0..50 {
        full.on_heartbeat(START, &format!("i{n:02}"), &beat(&format!("a:{n}"), 3));
    }
    full.on_deregister(START, "i07");
    let mut empty = Registry::new(START + SECOND, SECOND);
    empty.on_heartbeat(START + SECOND, "own", &beat("a:own", 1));
    let changes = empty.merge_all(START + SECOND, &full.snapshot(START + SECOND));
    assert_eq!(
        (changes.updates_for_peers().len(), empty.live().count()),
        (50, 50)
    );
    assert!(full.merge_all(START + SECOND, &[]).is_empty());
    assert_eq!(full.live().count(), 49);
    let back = full.merge_all(START + SECOND, &empty.snapshot(START + SECOND));
    assert_eq!(back.updates_for_peers(), [beat("a:own", 1).record("own")]);
    assert_eq!(
        full.snapshot(START + SECOND),
        empty.snapshot(START + SECOND)
    );
}

#[test]
fn wakes_come_every_quarter_of_an_interval() {
    let mut table = table();
    assert_eq!(table.next_wake(), START + 250 * MS);
    table.tick(START + 300 * MS);
    assert_eq!(table.next_wake(), START + 550 * MS);
    table.set_interval(2 * SECOND);
    assert_eq!(table.next_wake(), START + 800 * MS);
}

/// News of one of three instances, with few values for each field so that many meet.
#[derive(Clone, Debug)]
struct News(ServerRecord);

impl Arbitrary for News {
    fn arbitrary(gen: &mut Gen) -> News {
        let pick = |gen: &mut Gen, count: u8| u8::arbitrary(gen) % count;
        let states = [
            ServerState::Ready,
            ServerState::Ready,
            ServerState::Draining,
            ServerState::Gone,
        ];
        News(ServerRecord {
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

fn after<'a>(update: impl IntoIterator<Item = &'a News>) -> Vec<ServerRecord> {
    let mut table = table();
    for record in update {
        table.merge(START, &record.0);
    }
    table.snapshot(START)
}

#[test]
fn the_order_of_news_and_how_often_it_comes_do_not_matter() {
    fn holds(update: Vec<News>, turn: usize) -> bool {
        let wanted = after(&update);
        let turn = if update.is_empty() {
            0
        } else {
            turn % update.len()
        };
        let turned = update[turn..].iter().chain(&update[..turn]);
        let mut sorted = update.clone();
        sorted.sort_by_key(|update| {
            (
                update.0.sequence_number,
                update.0.address.clone(),
                update.0.state,
            )
        });
        after(update.iter().rev()) == wanted
            && after(turned) == wanted
            && after(&sorted) == wanted
            && after(update.iter().chain(&update)) == wanted
    }
    let gen = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(5_000)
        .quickcheck(holds as fn(Vec<News>, usize) -> bool);
}

#[test]
fn machines_that_push_only_what_changed_hold_the_same_states_after_one_exchange_of_tables() {
    fn holds(here: Vec<News>, there: Vec<News>) -> bool {
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
        .quickcheck(holds as fn(Vec<News>, Vec<News>) -> bool);
}

#[test]
fn a_final_state_never_returns_whatever_comes() {
    fn holds(update: Vec<(News, bool)>) -> bool {
        let (mut table, mut now) = (table(), START);
        let mut highest: HashMap<String, ServerState> = HashMap::new();
        update.iter().all(|(record, beat)| {
            now += 100 * MS;
            let record = &record.0;
            match (beat, record.state) {
                (_, ServerState::Gone) => table.on_deregister(now, &record.instance),
                (true, state) => {
                    let heartbeat = Heartbeat {
                        state,
                        ..super::tests::beat(&record.address, record.sequence_number)
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
        .quickcheck(holds as fn(Vec<(News, bool)>) -> bool);
}

#[test]
fn what_was_known_before_a_start_is_known_again_and_its_silence_counts_from_there() {
    let mut before = table();
    before.on_heartbeat(START, "a", &beat("h:1", 7));
    before.on_heartbeat(START, "b", &draining("h:2", 3));
    before.on_deregister(START, "c");
    let mut after = table();
    let told = after.restore_cached(START, &before.snapshot(START));
    assert!(
        told.updates_for_peers().is_empty(),
        "others may have forgotten them with reason"
    );
    assert_eq!(
        told.records
            .iter()
            .map(|record| record.instance.as_str())
            .collect::<Vec<_>>(),
        ["a", "b", "c"]
    );
    assert!(!is_suspect(&after, "a") && state_of(&after, "b") == Some(ServerState::Draining));
    assert_eq!(
        state_of(&after, "c"),
        Some(ServerState::Gone),
        "who had left stays gone"
    );
    assert_eq!(after.live().count(), 2);
    let heard = after.on_heartbeat(START + SECOND, "a", &beat("h:1", 8));
    assert_eq!(
        (heard.records.len(), heard.updates_for_peers().len()),
        (1, 1),
        "now it is news to the others as well"
    );
    run_to(&mut after, START + 5 * SECOND + SECOND / 2);
    assert!(
        !is_suspect(&after, "a") && is_suspect(&after, "b"),
        "the one that was silent since the start"
    );
}

#[test]
fn who_was_unheard_before_a_start_is_a_last_resort_until_a_beat_comes() {
    let mut after = table();
    let record = ServerRecord {
        is_suspect: true,
        ..beat("h:1", 7).record("a")
    };
    after.restore_cached(START, &[record]);
    assert!(is_suspect(&after, "a"));
    let heard = after.on_heartbeat(START + SECOND, "a", &beat("h:1", 8));
    assert_eq!(
        (heard.records.len(), heard.updates_for_peers().len()),
        (1, 1)
    );
    assert!(!is_suspect(&after, "a"));
}

#[test]
fn what_was_known_before_a_start_does_not_overrule_what_is_known() {
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
fn what_was_known_before_a_start_is_told_apart_from_the_table() {
    let mut after = table();
    after.restore_cached(
        START,
        &[beat("h:1", 7).record("a"), beat("h:2", 7).record("b")],
    );
    assert!(after.snapshot(START).is_empty());
    after.on_heartbeat(START + SECOND, "a", &beat("h:1", 8));
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
fn what_was_known_before_a_start_is_forgotten_when_it_stays_silent() {
    let mut after = table();
    let record = beat("h:1", 7).record("a");
    after.restore_cached(START, &[record]);
    let changes = run_to(&mut after, START + 61 * SECOND);
    assert_eq!(changes.expired, ["a"]);
}

#[test]
fn who_had_left_before_a_start_is_not_brought_back_by_a_late_beat() {
    let mut before = table();
    before.on_heartbeat(START, "a", &beat("h:1", 7));
    before.on_deregister(START, "a");
    let mut after = table();
    after.restore_cached(START, &before.snapshot(START));
    after.on_heartbeat(START + SECOND, "a", &beat("h:1", 6));
    assert_eq!(state_of(&after, "a"), Some(ServerState::Gone));
    assert_eq!(after.live().count(), 0);
    // It is forgotten in the end, as any other.
    run_to(&mut after, START + 130 * SECOND);
    assert_eq!(state_of(&after, "a"), None);
}

#[test]
fn that_a_server_left_before_a_start_overrules_an_older_memory_of_it() {
    for leaving in [draining("h:1", 9).record("a"), crate::tombstone("a")] {
        let mut after = table();
        after.restore_cached(START, &[beat("h:1", 7).record("a")]);
        let told = after.restore_cached(START, std::slice::from_ref(&leaving));
        assert_eq!(
            told.records,
            std::slice::from_ref(&leaving),
            "routers hear of it"
        );
        assert_eq!(state_of(&after, "a"), Some(leaving.state));
    }
}
