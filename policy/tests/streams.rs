//! The module as a router of streams uses it: queries of one part, servers of one cell that all
//! hold it, classes and a budget that change while it runs, streams that run on after their parts
//! were answered.

use lichenswitch_interface::*;
use lichenswitch_policy::Coordinator;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const LATENCY_TARGET: Micros = 1_000 * MS;

fn class(repeat: RetrySafety) -> Class {
    Class {
        latency_target: LATENCY_TARGET,
        deadline: 10 * LATENCY_TARGET,
        retry_safety: repeat,
        late_share: 1.0,
        ..Settings::default().classes[0].clone()
    }
}

fn settings(classes: Vec<Class>) -> Settings {
    let plain = Settings::default();
    Settings {
        classes,
        limits: Limits {
            attempts: 3,
            may_cancel: true,
            second_copies: true,
            ..plain.limits
        },
        layout: Layout {
            cells: 1,
            width: 1,
            shards: 1,
            parts_a_call: 1,
        },
        ..plain
    }
}

/// A module that knows so many servers, numbered from 1, and its clock.
struct Stage {
    module: Coordinator,
    now: Time,
    next: u64,
}

impl Stage {
    fn new(seed: u64, settings: Settings, servers: u32) -> Stage {
        let (module, now) = (Coordinator::new(seed, settings), Time(1_000_000 * MS));
        let mut stage = Stage {
            module,
            now,
            next: 0,
        };
        let line = |id| ListedServer {
            server: ServerId(id),
            cell: 0,
            zone: 0,
            mode: ServerMode::Ready,
            started_at: None,
        };
        stage.turn(vec![Event::List(ServerListUpdate::Complete(
            (1..=servers).map(line).collect(),
        ))]);
        stage
    }

    fn turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.turn(self.now, events, &mut actions);
        actions
    }

    fn after(&mut self, wait: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.plus(wait);
        self.turn(events)
    }

    /// A query of this class comes: its part, and where that is sent.
    fn query(&mut self, class: u16) -> (PartId, Option<ServerId>) {
        self.query_with(class, None)
    }

    /// The same, with a shared beginning.
    fn query_with(&mut self, class: u16, prefix: Option<u64>) -> (PartId, Option<ServerId>) {
        self.query_placed(
            class,
            Placement {
                prefix: prefix.unwrap_or(0),
                ..Placement::default()
            },
        )
    }

    /// The same, with all that says which of equal servers it goes to.
    fn query_placed(&mut self, class: u16, placement: Placement) -> (PartId, Option<ServerId>) {
        self.next += 2;
        let (number, part) = (self.next as u32, PartId(self.next + 1));
        let deadline = self.now.plus(10 * LATENCY_TARGET);
        let (query, key, again, tenant) = (QueryId(self.next), 0, false, u32::MAX);
        let mut events = vec![Event::Query {
            query,
            number,
            class,
            deadline,
            key,
            is_retry: again,
            tenant,
        }];
        let placed = placement != Placement::default();
        events.extend(placed.then_some(Event::Placement { number, placement }));
        events.push(Event::Part {
            part,
            number,
            shard: Shard(0),
            weight: 1.0,
        });
        let actions = self.turn(events);
        (part, sent(&actions))
    }
}

fn sent(actions: &[Action]) -> Option<ServerId> {
    let mut sends = actions.iter().filter_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    let first = sends.next();
    assert_eq!(sends.next(), None, "one part is sent once a turn");
    first
}

fn ended(part: PartId, attempt: u16, server: ServerId, outcome: Outcome, elapsed: Micros) -> Event {
    Event::Finished {
        part,
        attempt,
        server,
        outcome,
        elapsed,
    }
}

#[test]
fn a_part_goes_to_the_server_with_the_fewest_pending_of_all_that_are_ready() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 12);
    let first: BTreeSet<u32> = (0..12)
        .filter_map(|_| stage.query(0).1)
        .map(|s| s.0)
        .collect();
    assert_eq!(first, (1..=12).collect(), "each has one before any has two");
    let (part, again) = stage.query(0);
    let again = again.unwrap();
    stage.after(MS, vec![ended(part, 0, again, Outcome::Ok, MS)]);
    let others = (0..12)
        .filter_map(|_| stage.query(0).1)
        .filter(|s| *s == again)
        .count();
    assert_eq!(others, 1, "what is answered is not pending any more");
}

#[test]
fn ties_are_broken_by_chance() {
    let first = |seed| {
        Stage::new(seed, settings(vec![class(RetrySafety::Safe)]), 4)
            .query(0)
            .1
            .unwrap()
            .0
    };
    let met: BTreeSet<u32> = (0..64).map(first).collect();
    assert_eq!(met, (1..=4).collect());
}

#[test]
fn all_instances_choose_the_same_server_for_a_shared_prefix() {
    let first = |seed, prefix| {
        let mut stage = Stage::new(seed, settings(vec![class(RetrySafety::Safe)]), 12);
        stage.query_with(0, Some(prefix)).1.unwrap().0
    };
    let mut met = BTreeMap::new();
    for prefix in 1..=240 {
        let server = first(0, prefix);
        assert!(
            (1..8).all(|seed| first(seed, prefix) == server),
            "whatever the seed is"
        );
        *met.entry(server).or_insert(0) += 1;
    }
    assert_eq!(met.len(), 12);
    assert!(
        met.values().all(|count| (8..=40).contains(count)),
        "beginnings are spread: {met:?}"
    );
}

#[test]
fn the_fewest_pending_come_before_a_shared_beginning() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 6);
    let order: Vec<u32> = (0..6)
        .map(|_| stage.query_with(0, Some(77)).1.unwrap().0)
        .collect();
    assert_eq!(
        order.iter().collect::<BTreeSet<_>>().len(),
        6,
        "each has one before any has two: {order:?}"
    );
    // At another instance, with the first of them gone, the next in the order takes its place.
    let mut other = Stage::new(2, settings(vec![class(RetrySafety::Safe)]), 6);
    let gone = ListedServer {
        server: ServerId(order[0]),
        cell: 0,
        zone: 0,
        mode: ServerMode::Gone,
        started_at: None,
    };
    other.turn(vec![Event::List(ServerListUpdate::Changes(vec![gone]))]);
    assert_eq!(other.query_with(0, Some(77)).1, Some(ServerId(order[1])));
}

/// So much waits at a server for all instances.
fn backlog(server: u32, backlog: u32) -> Event {
    Event::Load {
        server: ServerId(server),
        load: Load {
            streams: 0,
            backlog,
        },
    }
}

#[test]
fn lowest_backlog_breaks_ties_of_pending_requests() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    stage.turn(vec![
        backlog(1, 500),
        backlog(2, 99),
        backlog(3, 250),
        backlog(4, 100),
    ]);
    let placement = Placement {
        prefix: 0,
        backlog_step: 100,
    };
    let order: Vec<u32> = (0..8)
        .map(|_| stage.query_placed(0, placement).1.unwrap().0)
        .collect();
    // Own pending parts go first: each gets one before any gets two.
    assert_eq!(order, [2, 4, 3, 1, 2, 4, 3, 1]);
}

#[test]
fn a_retry_goes_where_little_waits() {
    for seed in 0..20 {
        let mut stage = Stage::new(seed, settings(vec![class(RetrySafety::Safe)]), 4);
        stage.turn(vec![
            backlog(1, 300),
            backlog(2, 0),
            backlog(3, 100),
            backlog(4, 300),
        ]);
        let (part, first) = stage.query_placed(
            0,
            Placement {
                prefix: 0,
                backlog_step: 100,
            },
        );
        assert_eq!(first, Some(ServerId(2)));
        let failed = ended(part, 0, ServerId(2), Outcome::Rejected, MS);
        assert_eq!(
            sent(&stage.after(MS, vec![failed])),
            Some(ServerId(3)),
            "seed {seed}"
        );
    }
}

#[test]
fn safe_part_is_hedged_at_half_its_target_and_the_loser_cancelled() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    let (part, first) = stage.query(0);
    assert_eq!(sent(&stage.after(LATENCY_TARGET / 2 - MS, vec![])), None);
    let copy = sent(&stage.after(MS, vec![])).expect("half of the aim is over");
    assert_ne!(Some(copy), first);
    let actions = stage.after(10 * MS, vec![ended(part, 1, copy, Outcome::Ok, 10 * MS)]);
    assert!(
        actions.contains(&Action::Cancel { part, attempt: 0 }),
        "{actions:?}"
    );
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Answer { whole: true, .. })),
        "{actions:?}"
    );
}

#[test]
fn the_copy_is_cancelled_where_the_first_attempt_answers() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    let (part, first) = stage.query(0);
    sent(&stage.after(LATENCY_TARGET / 2, vec![])).expect("half of the aim is over");
    let actions = stage.after(
        10 * MS,
        vec![ended(
            part,
            0,
            first.unwrap(),
            Outcome::Ok,
            LATENCY_TARGET / 2,
        )],
    );
    assert!(
        actions.contains(&Action::Cancel { part, attempt: 1 }),
        "{actions:?}"
    );
}

#[test]
fn a_part_that_may_not_run_twice_is_never_copied() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Unsafe)]), 4);
    let (part, first) = stage.query(0);
    assert_eq!(sent(&stage.after(LATENCY_TARGET / 2, vec![])), None);
    let failed = ended(part, 0, first.unwrap(), Outcome::Error, LATENCY_TARGET / 2);
    assert_eq!(sent(&stage.after(MS, vec![failed])), None);
}

#[test]
fn each_class_has_its_own_attempts_or_those_of_all() {
    let own = |attempts| Class {
        attempts,
        ..class(RetrySafety::Safe)
    };
    for (place, attempts) in [(0, 1), (1, 2), (2, 3), (3, 5)] {
        let classes = vec![own(Some(1)), own(Some(2)), own(None), own(Some(5))];
        let mut stage = Stage::new(1, settings(classes), 8);
        let (part, mut server) = stage.query(place);
        let mut made = 0;
        while let Some(at) = server {
            server = sent(&stage.after(MS, vec![ended(part, made, at, Outcome::Error, MS)]));
            made += 1;
        }
        assert_eq!(made, attempts, "class {place}");
    }
}

/// So many streams run on at a server.
fn running(server: u32, streams: u32) -> Event {
    Event::Load {
        server: ServerId(server),
        load: Load {
            streams,
            backlog: 0,
        },
    }
}

#[test]
fn streams_that_run_on_count_as_pending() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 3);
    stage.turn(vec![running(1, 3), running(2, 2), running(9, 1)]);
    let order: Vec<u32> = (0..3).map(|_| stage.query(0).1.unwrap().0).collect();
    assert_eq!(order[..2], [3, 3], "it has fewest until it has as many");
    stage.turn(vec![running(1, 0)]);
    assert_eq!(stage.query(0).1, Some(ServerId(1)));
}

#[test]
fn a_server_that_is_gone_is_remembered_while_streams_run_there() {
    let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe)]), 2);
    let line = |mode| ListedServer {
        server: ServerId(1),
        cell: 0,
        zone: 0,
        mode,
        started_at: None,
    };
    let list_change = |mode| Event::List(ServerListUpdate::Changes(vec![line(mode)]));
    stage.turn(vec![running(1, 5), list_change(ServerMode::Gone)]);
    stage.turn(vec![list_change(ServerMode::Ready)]);
    let met: Vec<u32> = (0..5).map(|_| stage.query(0).1.unwrap().0).collect();
    assert_eq!(met, [2; 5]);
}

#[test]
fn the_budget_is_replaced_while_it_runs() {
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    let mut stage_settings = settings(vec![class(RetrySafety::Safe)]);
    stage_settings.limits.budget = Some(none);
    let mut stage = Stage::new(1, stage_settings, 3);
    let mut again = |before: Option<Event>| {
        let (part, server) = stage.query(0);
        stage.turn(before.into_iter().collect());
        let server = server.unwrap();
        let sent = sent(&stage.after(MS, vec![ended(part, 0, server, Outcome::Error, MS)]));
        // Its parts are out of the way of the next one.
        stage.turn(vec![Event::Hangup(QueryId(part.0 - 1))]);
        sent.is_some()
    };
    assert!(!again(None), "nothing is allowed");
    assert!(again(Some(Event::Budget(Some(Budget {
        min_retries: 1.0,
        ..none
    })))));
    assert!(!again(None), "the one of this window is spent");
    assert!(
        again(Some(Event::Budget(None))),
        "without a budget attempts alone are counted"
    );
    assert!(!again(Some(Event::Budget(Some(none)))));
}

#[test]
fn classes_come_while_it_runs_and_none_ever_goes() {
    let one = Class {
        attempts: Some(1),
        ..class(RetrySafety::Safe)
    };
    let mut stage = Stage::new(1, settings(Vec::new()), 3);
    assert_eq!(stage.query(0).1, None, "there is no class yet");
    stage.turn(vec![Event::Classes(vec![one.clone()])]);
    let (first, server) = stage.query(0);
    stage.turn(vec![Event::Classes(vec![
        one.clone(),
        class(RetrySafety::Safe),
    ])]);
    stage.turn(vec![Event::Classes(vec![one])]);
    let failed =
        |part, server: Option<ServerId>| ended(part, 0, server.unwrap(), Outcome::Error, MS);
    assert_eq!(
        sent(&stage.after(MS, vec![failed(first, server)])),
        None,
        "its class has one attempt"
    );
    let (second, server) = stage.query(1);
    assert!(
        sent(&stage.after(MS, vec![failed(second, server)])).is_some(),
        "the second class is still there"
    );
}

#[test]
fn a_class_in_the_place_of_another_begins_with_a_clean_slate() {
    for changed in [false, true] {
        let mut stage = Stage::new(1, settings(vec![class(RetrySafety::Safe); 2]), 2);
        // Errors of the second class make it pass the first server over.
        for _ in 0..3 {
            let (part, server) = stage.query(1);
            let outcome = if server == Some(ServerId(1)) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            stage.after(MS, vec![ended(part, 0, server.unwrap(), outcome, MS)]);
            stage.turn(vec![Event::Hangup(QueryId(part.0 - 1))]);
            for id in 1..=2 {
                stage.turn(vec![running(id, id - 1)]);
            }
        }
        let other = Class {
            attempts: Some(2),
            ..class(RetrySafety::Safe)
        };
        let second = if changed {
            other
        } else {
            class(RetrySafety::Safe)
        };
        stage.turn(vec![Event::Classes(vec![
            class(RetrySafety::Safe),
            second,
            class(RetrySafety::Safe),
        ])]);
        // The first server has fewer streams: only what is held against it speaks against it.
        assert_eq!(
            stage.query(1).1,
            Some(ServerId(if changed { 1 } else { 2 })),
            "changed: {changed}"
        );
        assert_eq!(
            stage.query(2).1,
            Some(ServerId(1)),
            "nothing is held against it by a new class"
        );
    }
}

#[test]
fn query_waiting_only_for_the_retry_budget_ends_at_once() {
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    for (outcome, repeat) in [
        (Outcome::Rejected, RetrySafety::Unsafe),
        (Outcome::ConnectFailed, RetrySafety::Unsafe),
        (Outcome::Rejected, RetrySafety::Safe),
        (Outcome::Reset, RetrySafety::Safe),
    ] {
        let mut stage_settings = settings(vec![class(repeat)]);
        stage_settings.limits = Limits {
            budget: Some(none),
            retry_after: Some(300 * MS),
            ..stage_settings.limits
        };
        // As a router has it: more cells than were tried.
        stage_settings.layout = Layout {
            cells: 4,
            width: 4,
            ..stage_settings.layout
        };
        let mut stage = Stage::new(1, stage_settings, 3);
        let (part, server) = stage.query(0);
        let actions = stage.after(MS, vec![ended(part, 0, server.unwrap(), outcome, MS)]);
        let advice = actions.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        assert!(
            advice.is_some_and(|after| after >= 150 * MS),
            "{outcome:?}, {repeat:?}: {actions:?}"
        );
    }
}

#[test]
fn part_withheld_by_the_budget_ends_its_query_when_nothing_is_in_flight() {
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    let partial = Class {
        floor: 0.5,
        partial: 0.5,
        ..class(RetrySafety::Safe)
    };
    let mut stage_settings = settings(vec![partial]);
    stage_settings.limits.budget = Some(none);
    let mut stage = Stage::new(1, stage_settings, 2);
    let (query, number, deadline) = (QueryId(2), 2, stage.now.plus(10 * LATENCY_TARGET));
    let asked = Event::Query {
        query,
        number,
        class: 0,
        deadline,
        key: 0,
        is_retry: false,
        tenant: u32::MAX,
    };
    let part = |id| Event::Part {
        part: PartId(id),
        number,
        shard: Shard(0),
        weight: 0.5,
    };
    let servers: Vec<ServerId> = stage
        .turn(vec![asked, part(3), part(4)])
        .into_iter()
        .filter_map(|action| match action {
            Action::Send { server, .. } => Some(server),
            _ => None,
        })
        .collect();
    let is_end = |a: &Action| {
        matches!(
            a,
            Action::Answer { .. } | Action::Refuse { .. } | Action::Fail(_)
        )
    };
    let first = stage.after(
        MS,
        vec![ended(PartId(3), 0, servers[0], Outcome::Error, MS)],
    );
    assert!(
        !first.iter().any(is_end),
        "the other part is out: {first:?}"
    );
    let last = stage.after(MS, vec![ended(PartId(4), 0, servers[1], Outcome::Ok, MS)]);
    assert!(
        last.contains(&Action::Answer {
            query,
            whole: false
        }),
        "half of it is enough: {last:?}"
    );
}
