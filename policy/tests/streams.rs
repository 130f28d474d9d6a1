//! The decision module as a router of streams uses it: queries of one part, one cell of servers
//! that all hold it, classes and a budget that change at run time, and streams that outlive their
//! parts.

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

/// Module with ready servers, numbered from 1, and its clock.
struct Harness {
    module: Coordinator,
    now: Time,
    next: u64,
}

impl Harness {
    fn new(seed: u64, settings: Settings, servers: u32) -> Harness {
        let (module, now) = (Coordinator::new(seed, settings), Time(1_000_000 * MS));
        let mut harness = Harness {
            module,
            now,
            next: 0,
        };
        let entry = |id| ListedServer {
            server: ServerId(id),
            cell: 0,
            zone: 0,
            mode: ServerMode::Ready,
            started_at: None,
        };
        harness.turn(vec![Event::List(ServerListUpdate::Complete(
            (1..=servers).map(entry).collect(),
        ))]);
        harness
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

    /// Adds a query of a class; returns its part and the server that the part is sent to.
    fn query(&mut self, class: u16) -> (PartId, Option<ServerId>) {
        self.query_with(class, None)
    }

    /// Adds a query with a shared prompt prefix.
    fn query_with(&mut self, class: u16, prefix: Option<u64>) -> (PartId, Option<ServerId>) {
        self.query_placed(
            class,
            Placement {
                prefix: prefix.unwrap_or(0),
                ..Placement::default()
            },
        )
    }

    /// Adds a query with preferences among equal servers.
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
fn part_goes_to_the_ready_server_with_the_fewest_pending_parts() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 12);
    let first: BTreeSet<u32> = (0..12)
        .filter_map(|_| harness.query(0).1)
        .map(|s| s.0)
        .collect();
    assert_eq!(first, (1..=12).collect(), "each has one before any has two");
    let (part, again) = harness.query(0);
    let again = again.unwrap();
    harness.after(MS, vec![ended(part, 0, again, Outcome::Ok, MS)]);
    let others = (0..12)
        .filter_map(|_| harness.query(0).1)
        .filter(|s| *s == again)
        .count();
    assert_eq!(others, 1, "an answered part is not pending");
}

#[test]
fn ties_are_broken_at_random() {
    let first = |seed| {
        Harness::new(seed, settings(vec![class(RetrySafety::Safe)]), 4)
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
        let mut harness = Harness::new(seed, settings(vec![class(RetrySafety::Safe)]), 12);
        harness.query_with(0, Some(prefix)).1.unwrap().0
    };
    let mut met = BTreeMap::new();
    for prefix in 1..=240 {
        let server = first(0, prefix);
        assert!(
            (1..8).all(|seed| first(seed, prefix) == server),
            "independent of the seed"
        );
        *met.entry(server).or_insert(0) += 1;
    }
    assert_eq!(met.len(), 12);
    assert!(
        met.values().all(|count| (8..=40).contains(count)),
        "prefixes are spread: {met:?}"
    );
}

#[test]
fn fewest_pending_parts_precede_a_shared_prefix() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 6);
    let order: Vec<u32> = (0..6)
        .map(|_| harness.query_with(0, Some(77)).1.unwrap().0)
        .collect();
    assert_eq!(
        order.iter().collect::<BTreeSet<_>>().len(),
        6,
        "each has one before any has two: {order:?}"
    );
    // At another instance without the first server, the next in the order takes its place.
    let mut other = Harness::new(2, settings(vec![class(RetrySafety::Safe)]), 6);
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

/// Returns an event that sets the backlog of a server.
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
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    harness.turn(vec![
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
        .map(|_| harness.query_placed(0, placement).1.unwrap().0)
        .collect();
    // Own pending parts go first: each gets one before any gets two.
    assert_eq!(order, [2, 4, 3, 1, 2, 4, 3, 1]);
}

#[test]
fn retry_goes_to_the_server_with_the_lowest_backlog() {
    for seed in 0..20 {
        let mut harness = Harness::new(seed, settings(vec![class(RetrySafety::Safe)]), 4);
        harness.turn(vec![
            backlog(1, 300),
            backlog(2, 0),
            backlog(3, 100),
            backlog(4, 300),
        ]);
        let (part, first) = harness.query_placed(
            0,
            Placement {
                prefix: 0,
                backlog_step: 100,
            },
        );
        assert_eq!(first, Some(ServerId(2)));
        let failed = ended(part, 0, ServerId(2), Outcome::Rejected, MS);
        assert_eq!(
            sent(&harness.after(MS, vec![failed])),
            Some(ServerId(3)),
            "seed {seed}"
        );
    }
}

#[test]
fn safe_part_is_hedged_at_half_its_target_and_the_loser_cancelled() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    let (part, first) = harness.query(0);
    assert_eq!(sent(&harness.after(LATENCY_TARGET / 2 - MS, vec![])), None);
    let copy = sent(&harness.after(MS, vec![])).expect("half of the latency target has passed");
    assert_ne!(Some(copy), first);
    let actions = harness.after(10 * MS, vec![ended(part, 1, copy, Outcome::Ok, 10 * MS)]);
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
fn copy_is_cancelled_when_the_first_attempt_answers() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 4);
    let (part, first) = harness.query(0);
    sent(&harness.after(LATENCY_TARGET / 2, vec![]))
        .expect("half of the latency target has passed");
    let actions = harness.after(
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
fn unsafe_part_is_never_copied_or_retried() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Unsafe)]), 4);
    let (part, first) = harness.query(0);
    assert_eq!(sent(&harness.after(LATENCY_TARGET / 2, vec![])), None);
    let failed = ended(part, 0, first.unwrap(), Outcome::Error, LATENCY_TARGET / 2);
    assert_eq!(sent(&harness.after(MS, vec![failed])), None);
}

#[test]
fn class_limits_attempts_or_uses_the_common_limit() {
    let own = |attempts| Class {
        attempts,
        ..class(RetrySafety::Safe)
    };
    for (place, attempts) in [(0, 1), (1, 2), (2, 3), (3, 5)] {
        let classes = vec![own(Some(1)), own(Some(2)), own(None), own(Some(5))];
        let mut harness = Harness::new(1, settings(classes), 8);
        let (part, mut server) = harness.query(place);
        let mut made = 0;
        while let Some(at) = server {
            server = sent(&harness.after(MS, vec![ended(part, made, at, Outcome::Error, MS)]));
            made += 1;
        }
        assert_eq!(made, attempts, "class {place}");
    }
}

/// Returns an event that sets the number of streams still running at a server.
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
fn running_streams_count_as_pending() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 3);
    harness.turn(vec![running(1, 3), running(2, 2), running(9, 1)]);
    let order: Vec<u32> = (0..3).map(|_| harness.query(0).1.unwrap().0).collect();
    assert_eq!(
        order[..2],
        [3, 3],
        "it has the fewest pending until it reaches the others"
    );
    harness.turn(vec![running(1, 0)]);
    assert_eq!(harness.query(0).1, Some(ServerId(1)));
}

#[test]
fn removed_server_is_kept_while_streams_run_there() {
    let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe)]), 2);
    let entry = |mode| ListedServer {
        server: ServerId(1),
        cell: 0,
        zone: 0,
        mode,
        started_at: None,
    };
    let list_change = |mode| Event::List(ServerListUpdate::Changes(vec![entry(mode)]));
    harness.turn(vec![running(1, 5), list_change(ServerMode::Gone)]);
    harness.turn(vec![list_change(ServerMode::Ready)]);
    let met: Vec<u32> = (0..5).map(|_| harness.query(0).1.unwrap().0).collect();
    assert_eq!(met, [2; 5]);
}

#[test]
fn new_budget_applies_at_run_time() {
    let none = Budget {
        window: 1_000 * MS,
        min_retries: 0.0,
        share: 0.0,
    };
    let mut harness_settings = settings(vec![class(RetrySafety::Safe)]);
    harness_settings.limits.budget = Some(none);
    let mut harness = Harness::new(1, harness_settings, 3);
    let mut again = |before: Option<Event>| {
        let (part, server) = harness.query(0);
        harness.turn(before.into_iter().collect());
        let server = server.unwrap();
        let sent = sent(&harness.after(MS, vec![ended(part, 0, server, Outcome::Error, MS)]));
        // The query ends, so that its part does not affect the next one.
        harness.turn(vec![Event::Hangup(QueryId(part.0 - 1))]);
        sent.is_some()
    };
    assert!(!again(None), "nothing is allowed");
    assert!(again(Some(Event::Budget(Some(Budget {
        min_retries: 1.0,
        ..none
    })))));
    assert!(!again(None), "the retry of this window is spent");
    assert!(
        again(Some(Event::Budget(None))),
        "without a budget only the limit on attempts applies"
    );
    assert!(!again(Some(Event::Budget(Some(none)))));
}

#[test]
fn classes_are_added_at_run_time_and_never_removed() {
    let one = Class {
        attempts: Some(1),
        ..class(RetrySafety::Safe)
    };
    let mut harness = Harness::new(1, settings(Vec::new()), 3);
    assert_eq!(harness.query(0).1, None, "there is no class yet");
    harness.turn(vec![Event::Classes(vec![one.clone()])]);
    let (first, server) = harness.query(0);
    harness.turn(vec![Event::Classes(vec![
        one.clone(),
        class(RetrySafety::Safe),
    ])]);
    harness.turn(vec![Event::Classes(vec![one])]);
    let failed =
        |part, server: Option<ServerId>| ended(part, 0, server.unwrap(), Outcome::Error, MS);
    assert_eq!(
        sent(&harness.after(MS, vec![failed(first, server)])),
        None,
        "its class has one attempt"
    );
    let (second, server) = harness.query(1);
    assert!(
        sent(&harness.after(MS, vec![failed(second, server)])).is_some(),
        "the second class is still there"
    );
}

#[test]
fn replaced_class_starts_without_faults() {
    for changed in [false, true] {
        let mut harness = Harness::new(1, settings(vec![class(RetrySafety::Safe); 2]), 2);
        // Errors of the second class exclude the first server for that class.
        for _ in 0..3 {
            let (part, server) = harness.query(1);
            let outcome = if server == Some(ServerId(1)) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            harness.after(MS, vec![ended(part, 0, server.unwrap(), outcome, MS)]);
            harness.turn(vec![Event::Hangup(QueryId(part.0 - 1))]);
            for id in 1..=2 {
                harness.turn(vec![running(id, id - 1)]);
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
        harness.turn(vec![Event::Classes(vec![
            class(RetrySafety::Safe),
            second,
            class(RetrySafety::Safe),
        ])]);
        // The first server has fewer streams, so only its faults can exclude it.
        assert_eq!(
            harness.query(1).1,
            Some(ServerId(if changed { 1 } else { 2 })),
            "changed: {changed}"
        );
        assert_eq!(
            harness.query(2).1,
            Some(ServerId(1)),
            "a new class has no faults"
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
        let mut harness_settings = settings(vec![class(repeat)]);
        harness_settings.limits = Limits {
            budget: Some(none),
            retry_after: Some(300 * MS),
            ..harness_settings.limits
        };
        // As in a router: more cells than servers were tried.
        harness_settings.layout = Layout {
            cells: 4,
            width: 4,
            ..harness_settings.layout
        };
        let mut harness = Harness::new(1, harness_settings, 3);
        let (part, server) = harness.query(0);
        let actions = harness.after(MS, vec![ended(part, 0, server.unwrap(), outcome, MS)]);
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
    let mut harness_settings = settings(vec![partial]);
    harness_settings.limits.budget = Some(none);
    let mut harness = Harness::new(1, harness_settings, 2);
    let (query, number, deadline) = (QueryId(2), 2, harness.now.plus(10 * LATENCY_TARGET));
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
    let servers: Vec<ServerId> = harness
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
    let first = harness.after(
        MS,
        vec![ended(PartId(3), 0, servers[0], Outcome::Error, MS)],
    );
    assert!(
        !first.iter().any(is_end),
        "the other part is in flight: {first:?}"
    );
    let last = harness.after(MS, vec![ended(PartId(4), 0, servers[1], Outcome::Ok, MS)]);
    assert!(
        last.contains(&Action::Answer {
            query,
            whole: false
        }),
        "half of the weight suffices: {last:?}"
    );
}
