//! Random legal event sequences keep the rules; the same events give the same actions.

mod common;
use common::*;
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
        10 => (any::<usize>(), 0u8..12).prop_map(|(i, how)| Step::End(i, how)),
        1 => any::<usize>().prop_map(Step::Hangup),
        1 => (0u32..6, 0u8..4).prop_map(|(server, how)| Step::List(server, how)),
        5 => (1u64..400).prop_map(Step::Pause),
    ]
}

#[derive(Default)]
struct Referee {
    owed: BTreeMap<u64, (Time, Vec<u64>)>,
    ended: BTreeSet<u64>,
    shards: BTreeMap<u64, u32>,
    tries: BTreeMap<u64, Vec<(ServerId, bool)>>,
    /// Attempts without an outcome yet: part, number, server and time of the send.
    flying: Vec<(u64, u16, ServerId, Time)>,
    in_parts: BTreeSet<u64>,
    barred: BTreeSet<ServerId>,
    taken: Vec<Time>,
    further: Vec<Time>,
}

impl Referee {
    fn check(&mut self, set: &Settings, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { part, server, .. } => {
                    let query = self
                        .owed
                        .iter()
                        .find(|(_, (_, parts))| parts.contains(&part.0));
                    assert!(query.is_some(), "sent a part of no query held");
                    assert!(
                        !self.barred.contains(server),
                        "sent to a draining or gone server"
                    );
                    let cell = server.0 % set.layout.cells;
                    let offset = (cell + set.layout.cells
                        - self.shards[&part.0] % set.layout.cells)
                        % set.layout.cells;
                    assert!(
                        offset < set.layout.width,
                        "sent to a server without the shard"
                    );
                    let tries = self.tries.entry(part.0).or_default();
                    let out: Vec<_> = tries.iter().filter(|t| t.1).collect();
                    assert!(
                        out.len() < 2 && out.iter().all(|t| t.0 != *server),
                        "two out, on different servers"
                    );
                    self.flying.push((part.0, tries.len() as u16, *server, now));
                    tries.push((*server, true));
                    assert!(tries.len() <= set.limits.attempts as usize);
                    if tries.len() > 1 {
                        self.further.push(now);
                        let budget = set.limits.budget.unwrap();
                        let start = now.minus(budget.window);
                        let further = self.further.iter().filter(|&&t| t >= start).count() as f64;
                        let taken = self.taken.iter().filter(|&&t| t > start).count() as f64;
                        assert!(
                            further <= budget.least + budget.share * taken,
                            "over the budget"
                        );
                    }
                }
                Action::Answer { query, whole } => {
                    let (_, parts) = self.owed.remove(&query.0).expect("one final answer");
                    let have = parts.iter().filter(|p| self.in_parts.contains(p)).count() as f64
                        / parts.len() as f64;
                    assert!(have + 1e-4 >= if *whole { 1.0 } else { 0.8 });
                    self.ended.insert(query.0);
                }
                Action::Refuse { query, .. } | Action::Fail(query) => {
                    assert!(self.owed.remove(&query.0).is_some(), "one final answer");
                    self.ended.insert(query.0);
                }
                Action::Cancel { part, attempt } => {
                    assert!(
                        self.tries[&part.0].len() > usize::from(*attempt),
                        "cancelled what was never sent"
                    );
                }
                _ => {}
            }
        }
        assert!(
            self.owed.values().all(|(deadline, _)| now < *deadline),
            "a query outlived its client"
        );
    }
}

fn list(server: u32, how: u8, now: Time) -> ListedServer {
    let mode = [
        ServerMode::Ready,
        ServerMode::Draining,
        ServerMode::Gone,
        ServerMode::Ready,
    ][usize::from(how)];
    let started = (how == 3).then_some(now);
    ListedServer {
        server: ServerId(server),
        cell: server % 3,
        zone: server % 2,
        mode,
        started,
    }
}

/// Plays the steps and returns all actions; the referee checks them turn by turn.
fn play(steps: &[Step], seed: u64) -> Vec<Action> {
    let mut set = settings(Class {
        floor: 0.8,
        ..class()
    });
    set.layout.width = 2;
    set.limits.budget = Some(Budget {
        window: 2 * LATENCY_TARGET,
        least: 2.0,
        share: 0.2,
    });
    let mut referee = Referee::default();
    let mut now = Time(50 * LATENCY_TARGET);
    let mut broker = Coordinator::new(seed, set.clone());
    let mut all = Vec::new();
    let mut next = 1u64;
    let whole = Event::List(ServerListUpdate::Complete(
        (0..6).map(|s| list(s, 0, now)).collect(),
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
                    again: false,
                    tenant: u32::MAX,
                });
                let parts: Vec<u64> = (id + 1..).take(shards.len()).collect();
                let weight = 1.0 / parts.len() as f64;
                for (&part, &shard) in parts.iter().zip(shards) {
                    referee.shards.insert(part, shard);
                    events.push(Event::Part {
                        part: PartId(part),
                        number,
                        shard: Shard(shard),
                        weight,
                    });
                }
                referee.taken.extend(vec![now; 1 + parts.len()]);
                referee.owed.insert(id, (deadline, parts));
                next += 1 + shards.len() as u64;
            }
            Step::End(i, how) if !referee.flying.is_empty() => {
                let (part, attempt, server, sent) =
                    referee.flying.swap_remove(i % referee.flying.len());
                let outcome = match how {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::Timeout,
                    3 => Outcome::ConnectFailed,
                    4 => Outcome::Reset,
                    5 => Outcome::Cancelled,
                    _ => Outcome::Ok,
                };
                if outcome == Outcome::Ok {
                    referee.in_parts.insert(part);
                }
                referee.tries.get_mut(&part).unwrap()[usize::from(attempt)].1 = false;
                events.push(finished(part, attempt, server, outcome, now.since(sent)));
            }
            Step::Hangup(i) if !referee.owed.is_empty() => {
                let id = *referee.owed.keys().nth(i % referee.owed.len()).unwrap();
                referee.owed.remove(&id);
                events.push(Event::Hangup(QueryId(id)));
            }
            Step::List(server, how) => {
                let line = list(*server, *how, now);
                match line.mode {
                    ServerMode::Ready => referee.barred.remove(&line.server),
                    _ => referee.barred.insert(line.server),
                };
                events.push(Event::List(ServerListUpdate::Changes(vec![line])));
            }
            Step::Pause(_) | Step::End(..) | Step::Hangup(_) => {}
        }
        events.push(Event::Wake);
        let mut out = Vec::new();
        broker.turn(now, std::mem::take(&mut events), &mut out);
        referee.check(&set, now, &out);
        all.extend(out);
        if let Step::Pause(by) = step {
            for _ in 0..*by / 5 {
                now = now.plus(5 * MS);
                let mut out = Vec::new();
                broker.turn(now, vec![Event::Wake], &mut out);
                referee.check(&set, now, &out);
                all.extend(out);
            }
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20), ..ProptestConfig::default() })]

    #[test]
    fn random_days_keep_the_rules_and_repeat_exactly(steps in prop::collection::vec(step(), 1..160)) {
        let once = play(&steps, 5);
        prop_assert_eq!(&once, &play(&steps, 5));
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
    let (a, b) = (play(&steps, 1), play(&steps, 2));
    let both = std::thread::scope(|s| {
        let one = s.spawn(|| play(&steps, 1));
        let two = s.spawn(|| play(&steps, 2));
        (one.join().unwrap(), two.join().unwrap())
    });
    assert_eq!((a, b), both);
}
