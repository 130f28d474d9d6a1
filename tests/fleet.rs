//! Many brokers at the same servers, in virtual time: what one does alone is counted over all of
//! them.

mod common;

use common::{class, sends, settings, Stage, LATENCY_TARGET, MS};
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000 * MS;
/// A server that answers nothing.
const SILENT: Micros = Micros::MAX;
const START: Time = Time(1_000_000 * MS);

/// An answer to come: when, at which broker, of which part and attempt, from which server and after
/// how long.
type Answer = (Time, usize, u64, u16, ServerId, Micros);

/// Brokers that share nothing but servers in a ring, each shard held by two. Every query wants some
/// neighbouring shards.
struct Fleet {
    brokers: Vec<Coordinator>,
    cells: u32,
    parts: u32,
    /// How long a server takes for a part.
    takes: BTreeMap<ServerId, Micros>,
    now: Time,
    next: u64,
    dice: fastrand::Rng,
    answers: BinaryHeap<Reverse<Answer>>,
    attempts: BTreeMap<u64, u16>,
    /// All sends: when, by which broker, and where to.
    sent: Vec<(Time, usize, ServerId)>,
}

impl Fleet {
    fn new(brokers: u32, cells: u32, parts: u32) -> Fleet {
        let mut set = settings(class());
        set.layout = Layout {
            cells,
            width: 2,
            shards: 2 * cells,
            parts_a_call: 8,
        };
        set.cold = SlowStart {
            share: 0.32,
            warm_after: 18 * SECOND,
            fall_multiple: 3.0,
            fall_after: SECOND,
        };
        set.instances = brokers;
        let broker = |i| {
            Coordinator::new(
                u64::from(i) + 1,
                Settings {
                    zone: i % 3,
                    ..set.clone()
                },
            )
        };
        let brokers = (0..brokers).map(broker).collect();
        let mut fleet = Fleet {
            brokers,
            cells,
            parts,
            takes: BTreeMap::new(),
            now: START,
            next: 1,
            dice: fastrand::Rng::with_seed(11),
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
            started,
        }
    }

    /// Tells all brokers at once.
    fn list(&mut self, news: &ServerListUpdate) {
        for broker in 0..self.brokers.len() {
            self.turn(broker, vec![Event::List(news.clone())]);
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
        let mut out = Vec::new();
        self.brokers[broker].turn(self.now, events, &mut out);
        let sends = sends(&out);
        self.cancel(broker, &out);
        for (part, server) in sends {
            let attempt = self.attempts.entry(part).or_insert(0);
            let took = self.takes.get(&server).copied().unwrap_or(30 * MS);
            let took = took.min(timeout(&out, part));
            let answer = (self.now.plus(took), broker, part, *attempt, server, took);
            *attempt += 1;
            self.answers.push(Reverse(answer));
            self.sent.push((self.now, broker, server));
        }
    }

    /// What a broker withdraws is not answered any more.
    fn cancel(&mut self, broker: usize, out: &[Action]) {
        for action in out {
            let Action::Cancel { part, attempt } = action else {
                continue;
            };
            let is_it = |a: &Reverse<Answer>| (a.0 .2, a.0 .3) == (part.0, *attempt);
            let Some(&Reverse((due, .., server, took))) = self.answers.iter().find(|a| is_it(a))
            else {
                continue;
            };
            self.answers.retain(|a| !is_it(a));
            let elapsed = took - due.since(self.now);
            let event = common::finished(part.0, *attempt, server, Outcome::Cancelled, elapsed);
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
            again: false,
            tenant: u32::MAX,
        }];
        let (first, weight) = (
            self.dice.u32(0..2 * self.cells),
            1.0 / f64::from(self.parts),
        );
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
            let gap = -(1.0 - self.dice.f64()).ln() / rate * 1e6;
            let at = self.now.plus(gap as Micros + 1);
            while let Some(&Reverse((due, broker, part, attempt, server, took))) =
                self.answers.peek()
            {
                if due > at.min(end) {
                    break;
                }
                self.answers.pop();
                self.now = due;
                let silent = self.takes.get(&server) == Some(&SILENT);
                let outcome = if silent {
                    Outcome::Timeout
                } else {
                    Outcome::Ok
                };
                let event = common::finished(part, attempt, server, outcome, took);
                self.turn(broker, vec![event]);
            }
            self.now = at.min(end);
            if at >= end {
                break;
            }
            let broker = self.dice.usize(0..self.brokers.len());
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
    fn not_rushed(&self, server: u32, begun: Time, time: Micros, load: f64, times: f64) {
        for ms in (0..time / MS).step_by(100) {
            let from = begun.plus(ms * MS);
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
fn timeout(out: &[Action], which: u64) -> Micros {
    let wait = |a: &Action| match a {
        Action::Send { part, timeout, .. } if part.0 == which => Some(*timeout),
        _ => None,
    };
    out.iter().find_map(wait).unwrap_or(SILENT)
}

#[test]
fn warming_server_of_a_large_fleet_gets_work_by_its_capacity() {
    let mut fleet = Fleet::new(100, 20, 6);
    // 60 parts a second at each server; warm ones are taken to be two thirds busy with them.
    let (rate, load) = (200.0, 60.0);
    fleet.play(rate, 6 * SECOND);
    let begun = fleet.now;
    fleet.replace(5, 25);
    fleet.play(rate, 6 * SECOND);
    fleet.not_rushed(25, begun, 5 * SECOND, load, 2.0);
    // A warm one gets 360 in that time; this one can do 0.32 to 0.55 of what warm ones can.
    let sent = fleet.parts_to(25, begun, fleet.now);
    assert!(sent > 180, "{sent} parts in 6 s");
}

#[test]
fn rarely_used_slow_server_is_not_probed_by_every_broker() {
    let mut fleet = Fleet::new(100, 20, 6);
    fleet.takes.insert(ServerId(5), 400 * MS);
    fleet.play(200.0, 8 * SECOND);
    let learnt = fleet.now;
    fleet.play(200.0, 12 * SECOND);
    // Sound ones get 60 a second. What is held against it must last until a broker would meet it
    // again.
    let sent = fleet.parts_to(5, learnt, fleet.now) as f64 / 12.0;
    assert!(sent < 15.0, "{sent:.1} parts a second");
    // And it is not left out for ever: once it is well, it is met again and trusted.
    fleet.takes.clear();
    fleet.play(200.0, 30 * SECOND);
    let well = fleet.now;
    fleet.play(200.0, 10 * SECOND);
    let sent = fleet.parts_to(5, well, fleet.now) as f64 / 10.0;
    assert!(sent > 40.0, "{sent:.1} parts a second");
}

#[test]
fn replacing_six_in_ten_servers_leaves_no_state_and_no_burst() {
    let mut fleet = Fleet::new(100, 20, 6);
    let (rate, load) = (200.0, 60.0);
    fleet.play(rate, 5 * SECOND);
    let mut begun = Vec::new();
    for cell in (0..20).filter(|c| c % 5 < 3) {
        begun.push((cell, fleet.now));
        fleet.replace(cell, cell + 20);
        fleet.play(rate, 7 * SECOND / 12);
    }
    fleet.play(rate, 5 * SECOND);
    for (cell, at) in begun {
        assert_eq!(
            fleet.parts_to(cell, at, fleet.now),
            0,
            "nothing goes to {cell} once it is gone"
        );
        fleet.not_rushed(cell + 20, at, 6 * SECOND, load, 3.0);
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
    let lost: Vec<u32> = (0..21).filter(|cell| cell % 3 == 1).collect();
    for cell in &lost {
        fleet.takes.insert(ServerId(*cell), SILENT);
    }
    let all = |fleet: &Fleet, from: Time| -> usize {
        lost.iter()
            .map(|cell| fleet.parts_to(*cell, from, fleet.now))
            .sum()
    };
    fleet.play(rate, 2 * SECOND);
    let learnt = fleet.now;
    fleet.play(rate, 2 * SECOND);
    let share = all(&fleet, learnt) as f64 / (2.0 * load * lost.len() as f64);
    assert!(
        share < 0.35,
        "{share:.2} of their usual parts two seconds after they fell silent"
    );
    // The list tells; then they are back, each as a new machine.
    let begun = fleet.now;
    for &cell in &lost {
        fleet.replace(cell, cell + 21);
    }
    fleet.play(rate, 6 * SECOND);
    assert_eq!(all(&fleet, begun), 0);
    for cell in &lost {
        fleet.not_rushed(cell + 21, begun, 5 * SECOND, load, 3.0);
    }
}

/// When the first of two steps is answered in part, as a share of the aim, by one of so many
/// brokers at three servers which it meets this often; one of four parts is silent, and so is its
/// copy.
fn first_step_closed_at(instances: u32, between: Micros) -> f64 {
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
        let server = sends(&stage.after(between / 3, events))[0].1;
        stage.after(
            step,
            vec![common::finished(id + 1, 0, server, Outcome::Ok, step)],
        );
        stage.turn(vec![Event::Hangup(QueryId(id))]);
    }
    let (id, events) = stage.query(&[0, 1, 2, 3]);
    let first = sends(&stage.after(step, events));
    let begun = stage.now;
    let answers = first.iter().filter(|s| s.0 != id + 4);
    let answers = answers
        .map(|s| common::finished(s.0, 0, s.1, Outcome::Ok, step))
        .collect();
    let mut out = stage.after(step, answers);
    while !out.contains(&Action::Answer {
        query: QueryId(id),
        whole: false,
    }) {
        assert!(stage.now.since(begun) < LATENCY_TARGET, "never closed");
        out = stage.after(step, vec![Event::Wake]);
    }
    stage.now.since(begun) as f64 / LATENCY_TARGET as f64
}

#[test]
fn first_step_waits_less_where_many_brokers_use_servers_rarely() {
    let (many, few) = (
        first_step_closed_at(100, 3 * SECOND),
        first_step_closed_at(3, 3 * SECOND),
    );
    assert!((0.47..0.5).contains(&many), "{many}");
    assert!(
        (0.59..0.62).contains(&few),
        "three brokers wait as ever: {few}"
    );
    let often = first_step_closed_at(100, SECOND / 10);
    assert!(
        (0.59..0.62).contains(&often),
        "and so do many that meet servers often: {often}"
    );
}
