//! Random legal event sequences keep the rules; the same events give the same actions.

use crate::support::*;
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Query(Vec<u32>),
    End(usize, u8),
    Hangup(usize),
    List(u32, u8),
    Pause(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..6, 1u32..5).prop_map(|(first, n)| Step::Query((first..first + n).collect())),
        10 => (any::<usize>(), 0u8..12).prop_map(|(i, variant)| Step::End(i, variant)),
        1 => any::<usize>().prop_map(Step::Hangup),
        1 => (0u32..6, 0u8..4).prop_map(|(server, variant)| Step::List(server, variant)),
        5 => (1u64..400).prop_map(Step::Pause),
    ]
}

#[derive(Default)]
struct Oracle {
    open_queries: BTreeMap<u64, (Time, Vec<u64>)>,
    ended_queries: BTreeSet<u64>,
    shards: BTreeMap<u64, u32>,
    attempts: BTreeMap<u64, Vec<(ServerId, bool)>>,
    /// Attempts without an outcome yet: part, number, server and time of the send.
    in_flight: Vec<(u64, u16, ServerId, Time)>,
    answered_parts: BTreeSet<u64>,
    unavailable_servers: BTreeSet<ServerId>,
    arrivals: Vec<Time>,
    retries: Vec<Time>,
}

impl Oracle {
    fn check(&mut self, configuration: &Settings, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { part, server, .. } => {
                    let query = self
                        .open_queries
                        .iter()
                        .find(|(_, (_, parts))| parts.contains(&part.0));
                    assert!(query.is_some(), "sent a part of no query held");
                    assert!(
                        !self.unavailable_servers.contains(server),
                        "sent to a draining or gone server"
                    );
                    let cell = server.0 % configuration.layout.cells;
                    let offset = (cell + configuration.layout.cells
                        - self.shards[&part.0] % configuration.layout.cells)
                        % configuration.layout.cells;
                    assert!(
                        offset < configuration.layout.width,
                        "sent to a server without the shard"
                    );
                    let attempts = self.attempts.entry(part.0).or_default();
                    let in_flight: Vec<_> = attempts.iter().filter(|t| t.1).collect();
                    assert!(
                        in_flight.len() < 2 && in_flight.iter().all(|t| t.0 != *server),
                        "two out, on different servers"
                    );
                    self.in_flight
                        .push((part.0, attempts.len() as u16, *server, now));
                    attempts.push((*server, true));
                    assert!(attempts.len() <= configuration.limits.attempts as usize);
                    if attempts.len() > 1 {
                        self.retries.push(now);
                        let budget = configuration.limits.budget.unwrap();
                        let start = now.minus(budget.window);
                        let retries = self.retries.iter().filter(|&&t| t >= start).count() as f64;
                        let arrivals = self.arrivals.iter().filter(|&&t| t > start).count() as f64;
                        assert!(
                            retries <= budget.min_retries + budget.share * arrivals,
                            "over the budget"
                        );
                    }
                }
                Action::Answer { query, whole } => {
                    let (_, parts) = self
                        .open_queries
                        .remove(&query.0)
                        .expect("one final answer");
                    let available = parts
                        .iter()
                        .filter(|p| self.answered_parts.contains(p))
                        .count() as f64
                        / parts.len() as f64;
                    assert!(available + 1e-4 >= if *whole { 1.0 } else { 0.8 });
                    self.ended_queries.insert(query.0);
                }
                Action::Refuse { query, .. } | Action::Fail(query) => {
                    assert!(
                        self.open_queries.remove(&query.0).is_some(),
                        "one final answer"
                    );
                    self.ended_queries.insert(query.0);
                }
                Action::Cancel { part, attempt } => {
                    assert!(
                        self.attempts[&part.0].len() > usize::from(*attempt),
                        "cancelled what was never sent"
                    );
                }
                _ => {}
            }
        }
        assert!(
            self.open_queries
                .values()
                .all(|(deadline, _)| now < *deadline),
            "a query outlived its client"
        );
    }
}

fn listed_server(server: u32, variant: u8, now: Time) -> ListedServer {
    let mode = [
        ServerMode::Ready,
        ServerMode::Draining,
        ServerMode::Gone,
        ServerMode::Ready,
    ][usize::from(variant)];
    let started = (variant == 3).then_some(now);
    ListedServer {
        server: ServerId(server),
        cell: server % 3,
        zone: server % 2,
        mode,
        started_at: started,
    }
}

/// Plays the steps and returns all actions; the referee checks them turn by turn.
fn run(steps: &[Step], seed: u64) -> Vec<Action> {
    let mut configuration = settings(Class {
        floor: 0.8,
        ..class()
    });
    configuration.layout.width = 2;
    configuration.limits.budget = Some(Budget {
        window: 2 * LATENCY_TARGET,
        min_retries: 2.0,
        share: 0.2,
    });
    let mut oracle = Oracle::default();
    let mut now = Time(50 * LATENCY_TARGET);
    let mut broker = Coordinator::new(seed, configuration.clone());
    let mut all_actions = Vec::new();
    let mut next = 1u64;
    let whole = Event::List(ServerListUpdate::Complete(
        (0..6).map(|s| listed_server(s, 0, now)).collect(),
    ));
    let mut events = vec![whole];
    for step in steps {
        match step {
            Step::Query(shards) => {
                let (id, number) = (next, next as u32);
                let deadline = now.plus(3 * LATENCY_TARGET);
                events.push(Event::Query {
                    query: QueryId(id),
                    number,
                    class: 0,
                    deadline,
                    key: id % 3,
                    is_retry: false,
                    tenant: u32::MAX,
                });
                let parts: Vec<u64> = (id + 1..).take(shards.len()).collect();
                let weight = 1.0 / parts.len() as f64;
                for (&part, &shard) in parts.iter().zip(shards) {
                    oracle.shards.insert(part, shard);
                    events.push(Event::Part {
                        part: PartId(part),
                        number,
                        shard: Shard(shard),
                        weight,
                    });
                }
                oracle.arrivals.extend(vec![now; 1 + parts.len()]);
                oracle.open_queries.insert(id, (deadline, parts));
                next += 1 + shards.len() as u64;
            }
            Step::End(i, variant) if !oracle.in_flight.is_empty() => {
                let (part, attempt, server, sent) =
                    oracle.in_flight.swap_remove(i % oracle.in_flight.len());
                let outcome = match variant {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::Timeout,
                    3 => Outcome::ConnectFailed,
                    4 => Outcome::Reset,
                    5 => Outcome::Cancelled,
                    _ => Outcome::Ok,
                };
                if outcome == Outcome::Ok {
                    oracle.answered_parts.insert(part);
                }
                oracle.attempts.get_mut(&part).unwrap()[usize::from(attempt)].1 = false;
                events.push(finished(part, attempt, server, outcome, now.since(sent)));
            }
            Step::Hangup(i) if !oracle.open_queries.is_empty() => {
                let id = *oracle
                    .open_queries
                    .keys()
                    .nth(i % oracle.open_queries.len())
                    .unwrap();
                oracle.open_queries.remove(&id);
                events.push(Event::Hangup(QueryId(id)));
            }
            Step::List(server, variant) => {
                let line = listed_server(*server, *variant, now);
                match line.mode {
                    ServerMode::Ready => oracle.unavailable_servers.remove(&line.server),
                    _ => oracle.unavailable_servers.insert(line.server),
                };
                events.push(Event::List(ServerListUpdate::Changes(vec![line])));
            }
            Step::Pause(_) | Step::End(..) | Step::Hangup(_) => {}
        }
        events.push(Event::Wake);
        let mut actions = Vec::new();
        broker.turn(now, std::mem::take(&mut events), &mut actions);
        oracle.check(&configuration, now, &actions);
        all_actions.extend(actions);
        if let Step::Pause(by) = step {
            for _ in 0..*by / 5 {
                now = now.plus(5 * MS);
                let mut actions = Vec::new();
                broker.turn(now, vec![Event::Wake], &mut actions);
                oracle.check(&configuration, now, &actions);
                all_actions.extend(actions);
            }
        }
    }
    all_actions
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20), ..ProptestConfig::default() })]

    #[test]
    fn random_days_keep_the_rules_and_repeat_exactly(steps in prop::collection::vec(step(), 1..160)) {
        let actions = run(&steps, 5);
        prop_assert_eq!(&actions, &run(&steps, 5));
    }
}

#[test]
fn two_instances_in_one_process_act_as_each_alone() {
    let steps: Vec<Step> = (0..60)
        .map(|i| {
            if i % 3 == 0 {
                Step::Query(vec![i % 5])
            } else {
                Step::Pause(20)
            }
        })
        .collect();
    let (a, b) = (run(&steps, 1), run(&steps, 2));
    let both = std::thread::scope(|s| {
        let one = s.spawn(|| run(&steps, 1));
        let two = s.spawn(|| run(&steps, 2));
        (one.join().unwrap(), two.join().unwrap())
    });
    assert_eq!((a, b), both);
}
