//! Many brokers at the same servers, in virtual time: what one does alone is counted over all of
//! them.

use crate::support::{class, finished, sends, settings, Stage, LATENCY_TARGET, MS};
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000 * MS;
/// A server that answers nothing.
const UNANSWERED: Micros = Micros::MAX;
const START: Time = Time(1_000_000 * MS);

/// An answer to come: when, at which broker, of which part and attempt, from which server and after
/// how long.
type PendingAnswer = (Time, usize, u64, u16, ServerId, Micros);

/// Brokers that share nothing but servers in a ring, each shard held by two. Every query wants some
/// neighbouring shards.
struct Fleet {
    brokers: Vec<Coordinator>,
    cells: u32,
    parts: u32,
    /// How long a server takes for a part.
    response_times: BTreeMap<ServerId, Micros>,
    now: Time,
    next: u64,
    rng: fastrand::Rng,
    answers: BinaryHeap<Reverse<PendingAnswer>>,
    attempts: BTreeMap<u64, u16>,
    /// All sends: when, by which broker, and where to.
    sent: Vec<(Time, usize, ServerId)>,
}

impl Fleet {
    fn new(brokers: u32, cells: u32, parts: u32) -> Fleet {
        let mut configuration = settings(class());
        configuration.layout = Layout {
            cells,
            width: 2,
            shards: 2 * cells,
            parts_a_call: 8,
        };
        configuration.slow_start = SlowStart {
            share: 0.32,
            warm_after: 18 * SECOND,
            fall_multiple: 3.0,
            fall_after: SECOND,
        };
        configuration.instances = brokers;
        let broker = |i| {
            Coordinator::new(
                u64::from(i) + 1,
                Settings {
                    zone: i % 3,
                    ..configuration.clone()
                },
            )
        };
        let brokers = (0..brokers).map(broker).collect();
        let mut fleet = Fleet {
            brokers,
            cells,
            parts,
            response_times: BTreeMap::new(),
            now: START,
            next: 1,
            rng: fastrand::Rng::with_seed(11),
            answers: BinaryHeap::new(),
            attempts: BTreeMap::new(),
            sent: Vec::new(),
        };
        fleet.list(&ServerListUpdate::Complete(
            (0..cells)
                .map(|cell| fleet.line(cell, cell, None))
                .collect(),
        ));
        fleet
    }

    fn line(&self, id: u32, cell: u32, started: Option<Time>) -> ListedServer {
        ListedServer {
            server: ServerId(id),
            cell,
            zone: cell % 3,
            mode: ServerMode::Ready,
            started_at: started,
        }
    }

    /// Tells all brokers at once.
    fn list(&mut self, update: &ServerListUpdate) {
        for broker in 0..self.brokers.len() {
            self.turn(broker, vec![Event::List(update.clone())]);
        }
    }

    /// A server is replaced: the old one is gone and the new one is cold.
    fn replace(&mut self, old: u32, new: u32) {
        let cell = old % self.cells;
        let gone = ListedServer {
            mode: ServerMode::Gone,
            ..self.line(old, cell, None)
        };
        self.list(&ServerListUpdate::Changes(vec![
            gone,
            self.line(new, cell, Some(self.now)),
        ]));
    }

    fn turn(&mut self, broker: usize, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.brokers[broker].turn(self.now, events, &mut actions);
        let sends = sends(&actions);
        self.cancel(broker, &actions);
        for (part, server) in sends {
            let attempt = self.attempts.entry(part).or_insert(0);
            let elapsed = self.response_times.get(&server).copied().unwrap_or(30 * MS);
            let elapsed = elapsed.min(timeout(&actions, part));
            let answer = (
                self.now.plus(elapsed),
                broker,
                part,
                *attempt,
                server,
                elapsed,
            );
            *attempt += 1;
            self.answers.push(Reverse(answer));
            self.sent.push((self.now, broker, server));
        }
    }

    /// What a broker withdraws is not answered any more.
    fn cancel(&mut self, broker: usize, actions: &[Action]) {
        for action in actions {
            let Action::Cancel { part, attempt } = action else {
                continue;
            };
            let is_cancelled = |a: &Reverse<PendingAnswer>| (a.0 .2, a.0 .3) == (part.0, *attempt);
            let Some(&Reverse((due_at, .., server, elapsed))) =
                self.answers.iter().find(|a| is_cancelled(a))
            else {
                continue;
            };
            self.answers.retain(|a| !is_cancelled(a));
            let elapsed = elapsed - due_at.since(self.now);
            let event = finished(part.0, *attempt, server, Outcome::Cancelled, elapsed);
            self.turn(broker, vec![event]);
        }
    }

    fn query(&mut self, broker: usize) {
        let (id, number) = (self.next, self.next as u32);
        self.next += 1 + u64::from(self.parts);
        let deadline = self.now.plus(4 * SECOND);
        let query = QueryId(id);
        let mut events = vec![Event::Query {
            query,
            number,
            class: 0,
            deadline,
            key: 0,
            is_retry: false,
            tenant: u32::MAX,
        }];
        let (first, weight) = (self.rng.u32(0..2 * self.cells), 1.0 / f64::from(self.parts));
        events.extend((0..self.parts).map(|i| Event::Part {
            part: PartId(id + 1 + u64::from(i)),
            number,
            shard: Shard((first + i) % (2 * self.cells)),
            weight,
        }));
        self.turn(broker, events);
    }

    /// So many queries a second come to the fleet for so long, at random brokers.
    fn play(&mut self, rate: f64, time: Micros) {
        let end = self.now.plus(time);
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / rate * 1e6;
            let at = self.now.plus(gap as Micros + 1);
            while let Some(&Reverse((due_at, broker, part, attempt, server, elapsed))) =
                self.answers.peek()
            {
                if due_at > at.min(end) {
                    break;
                }
                self.answers.pop();
                self.now = due_at;
                let is_unanswered = self.response_times.get(&server) == Some(&UNANSWERED);
                let outcome = if is_unanswered {
                    Outcome::Timeout
                } else {
                    Outcome::Ok
                };
                let event = finished(part, attempt, server, outcome, elapsed);
                self.turn(broker, vec![event]);
            }
            self.now = at.min(end);
            if at >= end {
                break;
            }
            let broker = self.rng.usize(0..self.brokers.len());
            self.query(broker);
            // Whoever waits for an allowance looks at it now and then.
            if self.next.is_multiple_of(8) {
                (0..self.brokers.len()).for_each(|b| self.turn(b, vec![Event::Wake]));
            }
        }
    }

    /// Asserts that a server which began cold never got more in a second, for so long, than this
    /// many times what it could do then; one that is warm is two thirds busy with `load` parts a
    /// second.
    fn assert_not_overloaded(
        &self,
        server: u32,
        started_at: Time,
        time: Micros,
        load: f64,
        times: f64,
    ) {
        for ms in (0..time / MS).step_by(100) {
            let from = started_at.plus(ms * MS);
            let level = 0.32 + 0.68 * ms as f64 / 18_000.0;
            let sent = self.parts_to(server, from, from.plus(SECOND)) as f64;
            assert!(
                sent < times * level * load * 1.5,
                "{sent} parts a second at {server}, {ms} ms after its start"
            );
        }
    }

    /// Parts sent to a server between two times.
    fn parts_to(&self, server: u32, from: Time, to: Time) -> usize {
        self.sent
            .iter()
            .filter(|s| s.2 == ServerId(server) && s.0 >= from && s.0 < to)
            .count()
    }
}

/// How long an attempt's answer is waited for.
fn timeout(actions: &[Action], wanted_part: u64) -> Micros {
    let wait = |a: &Action| match a {
        Action::Send { part, timeout, .. } if part.0 == wanted_part => Some(*timeout),
        _ => None,
    };
    actions.iter().find_map(wait).unwrap_or(UNANSWERED)
}

#[test]
fn warming_server_of_a_large_fleet_gets_work_by_its_capacity() {
    let mut fleet = Fleet::new(100, 20, 6);
    // 60 parts a second at each server; warm ones are taken to be two thirds busy with them.
    let (rate, load) = (200.0, 60.0);
    fleet.play(rate, 6 * SECOND);
    let started_at = fleet.now;
    fleet.replace(5, 25);
    fleet.play(rate, 6 * SECOND);
    fleet.assert_not_overloaded(25, started_at, 5 * SECOND, load, 2.0);
    // A warm one gets 360 in that time; this one can do 0.32 to 0.55 of what warm ones can.
    let sent = fleet.parts_to(25, started_at, fleet.now);
    assert!(sent > 180, "{sent} parts in 6 s");
}

#[test]
fn rarely_used_slow_server_is_not_probed_by_every_broker() {
    let mut fleet = Fleet::new(100, 20, 6);
    fleet.response_times.insert(ServerId(5), 400 * MS);
    fleet.play(200.0, 8 * SECOND);
    let learnt_at = fleet.now;
    fleet.play(200.0, 12 * SECOND);
    // Sound ones get 60 a second. What is held against it must last until a broker would meet it
    // again.
    let sent = fleet.parts_to(5, learnt_at, fleet.now) as f64 / 12.0;
    assert!(sent < 15.0, "{sent:.1} parts a second");
    // And it is not left out for ever: once it is well, it is met again and trusted.
    fleet.response_times.clear();
    fleet.play(200.0, 30 * SECOND);
    let recovered_at = fleet.now;
    fleet.play(200.0, 10 * SECOND);
    let sent = fleet.parts_to(5, recovered_at, fleet.now) as f64 / 10.0;
    assert!(sent > 40.0, "{sent:.1} parts a second");
}

#[test]
fn replacing_six_in_ten_servers_leaves_no_state_and_no_burst() {
    let mut fleet = Fleet::new(100, 20, 6);
    let (rate, load) = (200.0, 60.0);
    fleet.play(rate, 5 * SECOND);
    let mut started_at = Vec::new();
    for cell in (0..20).filter(|c| c % 5 < 3) {
        started_at.push((cell, fleet.now));
        fleet.replace(cell, cell + 20);
        fleet.play(rate, 7 * SECOND / 12);
    }
    fleet.play(rate, 5 * SECOND);
    for (cell, at) in started_at {
        assert_eq!(
            fleet.parts_to(cell, at, fleet.now),
            0,
            "nothing goes to {cell} once it is gone"
        );
        fleet.assert_not_overloaded(cell + 20, at, 6 * SECOND, load, 3.0);
        let last = fleet.now.minus(2 * SECOND);
        let sent = fleet.parts_to(cell + 20, last, fleet.now);
        assert!(
            sent > 30,
            "{cell} gets its share: {sent} parts in two seconds"
        );
    }
}

#[test]
fn unresponsive_zone_is_avoided_and_returns_without_a_burst() {
    let mut fleet = Fleet::new(100, 21, 6);
    let (rate, load) = (200.0, 57.0);
    fleet.play(rate, 5 * SECOND);
    let unresponsive_cells: Vec<u32> = (0..21).filter(|cell| cell % 3 == 1).collect();
    for cell in &unresponsive_cells {
        fleet.response_times.insert(ServerId(*cell), UNANSWERED);
    }
    let all = |fleet: &Fleet, from: Time| -> usize {
        unresponsive_cells
            .iter()
            .map(|cell| fleet.parts_to(*cell, from, fleet.now))
            .sum()
    };
    fleet.play(rate, 2 * SECOND);
    let learnt_at = fleet.now;
    fleet.play(rate, 2 * SECOND);
    let share = all(&fleet, learnt_at) as f64 / (2.0 * load * unresponsive_cells.len() as f64);
    assert!(
        share < 0.35,
        "{share:.2} of their usual parts two seconds after they fell silent"
    );
    // The list tells; then they are back, each as a new machine.
    let started_at = fleet.now;
    for &cell in &unresponsive_cells {
        fleet.replace(cell, cell + 21);
    }
    fleet.play(rate, 6 * SECOND);
    assert_eq!(all(&fleet, started_at), 0);
    for cell in &unresponsive_cells {
        fleet.assert_not_overloaded(cell + 21, started_at, 5 * SECOND, load, 3.0);
    }
}

/// When the first of two steps is answered in part, as a share of the aim, by one of so many
/// brokers at three servers which it meets this often; one of four parts is silent, and so is its
/// copy.
fn first_step_share_of_target(instances: u32, query_interval: Micros) -> f64 {
    let mut stage = Stage::new(Settings {
        instances,
        ..settings(Class {
            second_step: 2,
            floor: 0.7,
            ..class()
        })
    });
    let step = 10 * MS;
    for _ in 0..20 {
        let (id, events) = stage.query(&[0]);
        let server = sends(&stage.after(query_interval / 3, events))[0].1;
        stage.after(step, vec![finished(id + 1, 0, server, Outcome::Ok, step)]);
        stage.turn(vec![Event::Hangup(QueryId(id))]);
    }
    let (id, events) = stage.query(&[0, 1, 2, 3]);
    let first = sends(&stage.after(step, events));
    let started_at = stage.now;
    let answers = first.iter().filter(|s| s.0 != id + 4);
    let answers = answers
        .map(|s| finished(s.0, 0, s.1, Outcome::Ok, step))
        .collect();
    let mut actions = stage.after(step, answers);
    while !actions.contains(&Action::Answer {
        query: QueryId(id),
        whole: false,
    }) {
        assert!(stage.now.since(started_at) < LATENCY_TARGET, "never closed");
        actions = stage.after(step, vec![Event::Wake]);
    }
    stage.now.since(started_at) as f64 / LATENCY_TARGET as f64
}

#[test]
fn first_step_waits_less_where_many_brokers_use_servers_rarely() {
    let (many, few) = (
        first_step_share_of_target(100, 3 * SECOND),
        first_step_share_of_target(3, 3 * SECOND),
    );
    assert!((0.47..0.5).contains(&many), "{many}");
    assert!(
        (0.59..0.62).contains(&few),
        "three brokers wait as ever: {few}"
    );
    let many_often = first_step_share_of_target(100, SECOND / 10);
    assert!(
        (0.59..0.62).contains(&many_often),
        "and so do many that meet servers often: {many_often}"
    );
}
