//! A world in virtual time round `core` and the decision module: clients, a network and data nodes.
//! The same seed and scenario give the same events; two variants of the broker meet the same
//! queries, work and troubles.

mod scenario;

pub use scenario::{Mix, Scenario, Tally, Trouble};

use crate::node::{Left, Node, Task};
use lichenswitch::contract::Contracts;
use lichenswitch::core::{Command, Core, Dispatch, Offer, Reply, Request, Value};
use lichenswitch::decide::phases::prune::{SortDirection, SortKey};
use lichenswitch::decide::phases::Planner;
use lichenswitch::interface::{
    Class, ListedServer, Micros, Outcome, Placement, QueryId, ServerId, ServerListUpdate,
    ServerMode, Settings, Shard, Time,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Instant;

/// One millisecond.
pub const MS: Micros = 1_000;
/// The world begins here: no time is before the clock's zero.
pub const START: Time = Time(1_000_000 * MS);

/// What the front and the upstream know of a query.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the query in the order of arrival.
    pub serial: u32,
}

struct Held {
    class: usize,
    first_shard: u32,
    parts: u32,
    arrived: Time,
    deadline: Time,
    /// Shards in at the end of the first phase, and whether that was whole.
    first: Option<(usize, bool)>,
    /// Shards of the second phase that were sent.
    second: BTreeSet<u32>,
    ended: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    /// Reaches a data node.
    Reaches(u32, u64),
    /// Is over at a data node.
    Over(u32, u64),
    /// Reaches the broker.
    Back(u64),
    TimedOut(u64),
    GivenUp(u32, u64),
}

struct Flight {
    server: u32,
    task: Task,
    serial: u32,
    shard: u32,
    most: usize,
}

/// The world.
pub struct World {
    scenario: Scenario,
    seed: u64,
    core: Core<Job>,
    classes: Vec<Class>,
    now: Time,
    heap: BinaryHeap<Reverse<(Time, u64, SimulationEvent)>>,
    order: u64,
    arrivals: Xoshiro256PlusPlus,
    nodes: Vec<Node>,
    slow_first: Vec<f64>,
    flights: HashMap<u64, Flight>,
    queries: Vec<Held>,
    by_id: HashMap<QueryId, u32>,
    shards: u32,
    /// What is counted.
    pub tally: Tally,
}

/// Mixes figures into one that looks random: a step of FNV-1a by words, then the finish of
/// `splitmix64`.
#[must_use]
pub fn mixed(words: &[u64]) -> u64 {
    let mut z = words.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, w| {
        (h ^ w).wrapping_mul(0x100_0000_01b3)
    });
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn rng(words: &[u64]) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(mixed(words))
}

/// A log-normal figure with this mean and spread.
fn lognormal(rng: &mut Xoshiro256PlusPlus, mean: f64, cv: f64) -> f64 {
    let variance = (1.0 + cv * cv).ln();
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).map_or(mean, |d| d.sample(rng))
}

/// The list of so many sound data nodes that take the cells in turn, and three zones.
#[must_use]
pub fn whole_fleet(nodes: u32, cells: u32) -> ServerListUpdate {
    let line = |id| ListedServer {
        server: ServerId(id),
        cell: id % cells,
        zone: id % 3,
        mode: ServerMode::Ready,
        started: None,
    };
    ServerListUpdate::Complete((0..nodes).map(line).collect())
}

/// The first `k` elements, as queries ask for them: the largest keys first.
fn best_first(k: usize) -> (usize, SortDirection) {
    (k, SortDirection::Descending)
}

impl World {
    /// A world whose broker works by these settings.
    #[must_use]
    pub fn new(seed: u64, scenario: Scenario, settings: Settings, planner: Planner) -> World {
        let (shards, cells) = (settings.layout.shards, settings.layout.cells);
        let classes = settings.classes.clone();
        let mut core = Core::new(seed, settings, Contracts::default(), 1 << 30);
        core.plan_by(planner, false);
        core.listed(whole_fleet(scenario.nodes, cells));
        let trouble = scenario.trouble;
        let ill = (f64::from(scenario.nodes) * trouble.share).round() as u32;
        let mut nodes = Vec::new();
        for id in 0..scenario.nodes {
            let mut pauses = Vec::new();
            if id < ill && trouble.pause_ms > 0.0 && trouble.pause_every_s > 0.0 {
                let mut rng = rng(&[seed, 2, u64::from(id)]);
                let mut at = rng.random_range(0.0..trouble.pause_every_s);
                while at < scenario.seconds + 10.0 {
                    let from = START.plus((at * 1e6) as Micros);
                    pauses.push((from, from.plus((trouble.pause_ms * 1e3) as Micros)));
                    at += trouble.pause_every_s * rng.random_range(0.7..1.3);
                }
            }
            nodes.push(Node::new(scenario.cores, pauses));
        }
        let slow = |id| {
            if id < ill && trouble.slow_first >= 1.0 {
                trouble.slow_first
            } else {
                1.0
            }
        };
        let mut world = World {
            seed,
            core,
            classes,
            now: START,
            heap: BinaryHeap::new(),
            order: 0,
            arrivals: rng(&[seed, 1]),
            nodes,
            slow_first: (0..scenario.nodes).map(slow).collect(),
            flights: HashMap::new(),
            queries: Vec::new(),
            by_id: HashMap::new(),
            shards,
            tally: Tally::default(),
            scenario,
        };
        world.at(START, SimulationEvent::Arrival);
        world
    }

    fn at(&mut self, time: Time, what: SimulationEvent) {
        self.order += 1;
        self.heap.push(Reverse((time, self.order, what)));
    }

    /// Plays until nothing happens any more.
    pub fn play(&mut self) {
        loop {
            let turn = self.core.next_turn();
            let next = self.heap.peek().map(|Reverse((at, ..))| *at);
            // The turn comes after all that happens before it or with it.
            let due = match (turn, next) {
                (Some(turn), Some(next)) if turn < next => Some(turn),
                (Some(turn), None) if !self.by_id.is_empty() => Some(turn),
                _ => None,
            };
            if let Some(turn) = due {
                self.now = self.now.max(turn);
                self.turn();
            } else if let Some(Reverse((at, _, what))) = self.heap.pop() {
                self.now = at;
                self.on_event(what);
            } else {
                break;
            }
        }
        self.tally.lost += self.queries.iter().filter(|q| q.ended != 1).count() as u64;
    }

    fn on_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrive(),
            SimulationEvent::Reaches(server, attempt) => {
                let Some(flight) = self.flights.get(&attempt) else {
                    return;
                };
                if let Some((attempt, ends)) =
                    self.nodes[server as usize].take(self.now, flight.task)
                {
                    self.at(ends, SimulationEvent::Over(server, attempt));
                }
            }
            SimulationEvent::Over(server, attempt) if self.nodes[server as usize].runs(attempt) => {
                self.over(server, attempt);
                self.at(
                    self.now.plus(self.scenario.way),
                    SimulationEvent::Back(attempt),
                );
            }
            SimulationEvent::Over(..) => {}
            SimulationEvent::Back(attempt) => {
                let Some(flight) = self.flights.remove(&attempt) else {
                    return;
                };
                let value = self.value(&flight);
                self.ended(attempt, Outcome::Ok, Some(value));
            }
            SimulationEvent::TimedOut(attempt) => {
                if let Some(flight) = self.flights.remove(&attempt) {
                    self.at(
                        self.now.plus(self.scenario.way),
                        SimulationEvent::GivenUp(flight.server, attempt),
                    );
                    self.ended(attempt, Outcome::Timeout, None);
                }
            }
            SimulationEvent::GivenUp(server, attempt) => self.over(server, attempt),
        }
    }

    /// A task leaves its data node, finished or given up.
    fn over(&mut self, server: u32, attempt: u64) {
        let Some(left) = self.nodes[server as usize].end(self.now, attempt) else {
            return;
        };
        let Left { phase, cost, next } = left;
        if phase == 2 {
            self.tally.second_work += cost.ran;
            self.tally.second_after_aim += cost.after_aim;
        }
        if let Some((attempt, ends)) = next {
            self.at(ends, SimulationEvent::Over(server, attempt));
        }
    }

    fn ended(&mut self, attempt: u64, outcome: Outcome, value: Option<Value>) {
        let began = Instant::now();
        self.core.ended(self.now, attempt, outcome, value);
        self.tally.wall += began.elapsed();
    }

    fn value(&self, flight: &Flight) -> Value {
        let score = mixed(&[
            self.seed,
            5,
            u64::from(flight.serial),
            u64::from(flight.shard),
        ]) >> 32;
        let held = &self.queries[flight.serial as usize];
        let offer = self.scenario.mix[held.class].top.map(|_| {
            let all = self.elements(flight.serial, flight.shard);
            let keys = all
                .iter()
                .take(flight.most)
                .map(|&n| SortKey::Number(n))
                .collect();
            Offer {
                keys,
                matched: Some(all.len() as u64),
            }
        });
        Value {
            score: score as f64,
            bytes: Vec::new(),
            offer,
        }
    }

    /// The elements that a slice has for a query, the largest first. How large they are, and how
    /// many, falls with the slice's place by Zipf's law.
    fn elements(&self, serial: u32, shard: u32) -> Vec<f64> {
        let mut rng = rng(&[self.seed, 6, u64::from(serial), u64::from(shard)]);
        let place = mixed(&[self.seed, 7, u64::from(shard)]) % u64::from(self.shards);
        let weight = 1.0 / (1.0 + place as f64);
        let count = 1 + (60.0 * weight) as usize + rng.random_range(0..5);
        let mut all: Vec<f64> = (0..count)
            .map(|_| weight * rng.random_range(0.0..1.0))
            .collect();
        all.sort_by(|a, b| b.total_cmp(a));
        all
    }

    /// Whether a sorted answer has the first `k` elements of all slices of its query.
    fn is_right(&self, serial: u32, k: usize, values: &[(Shard, Value)]) -> bool {
        let held = &self.queries[serial as usize];
        let slices = (0..held.parts).map(|i| (held.first_shard + i) % self.shards);
        let first = |mut all: Vec<(f64, u32)>| {
            all.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            all.truncate(k);
            all
        };
        let truth = slices.flat_map(|s| self.elements(serial, s).into_iter().map(move |e| (e, s)));
        let keys = |v: &Value| {
            v.offer
                .as_ref()
                .map_or_else(Vec::new, |offer| offer.keys.clone())
        };
        let given = values
            .iter()
            .flat_map(|(s, v)| keys(v).into_iter().map(|key| (key, s.0)));
        let number = |(key, s): (SortKey, u32)| match key {
            SortKey::Number(n) => Some((n, s)),
            _ => None,
        };
        first(given.filter_map(number).collect()) == first(truth.collect())
    }

    fn arrive(&mut self) {
        if self.now.since(START) as f64 >= self.scenario.seconds * 1e6 {
            return;
        }
        let gap = Exp::new(self.scenario.rate).map_or(1.0, |d| d.sample(&mut self.arrivals));
        self.at(
            self.now.plus((gap * 1e6) as Micros + 1),
            SimulationEvent::Arrival,
        );
        let mut pick = self.arrivals.random_range(0.0..1.0);
        let class = self.scenario.mix.iter().position(|m| {
            pick -= m.share;
            pick < 0.0
        });
        let class = class.unwrap_or(0);
        let first: u32 = self.arrivals.random_range(0..self.shards);
        let patience = self.arrivals.random_range(0.6..1.0);
        let parts = self.scenario.mix[class].parts.min(self.shards);
        let (serial, c) = (self.queries.len() as u32, &self.classes[class]);
        let deadline = self.now.plus((c.deadline as f64 * patience) as Micros);
        self.tally.queries += 1;
        self.tally.asked += c.value;
        self.tally.two_phase += u64::from(c.second_step > 0);
        let weight = 1.0 / f64::from(parts);
        let request = Request {
            class,
            deadline,
            key: 0,
            placement: Placement::default(),
            again: false,
            tenant: u32::MAX,
            team: None,
            parts: (0..parts)
                .map(|i| (Shard((first + i) % self.shards), weight))
                .collect(),
            top: self.scenario.mix[class].top.map(best_first),
            job: Job { serial },
        };
        let (second, arrived) = (BTreeSet::new(), self.now);
        let held = Held {
            class,
            first_shard: first,
            parts,
            arrived,
            deadline,
            first: None,
            second,
            ended: 0,
        };
        self.queries.push(held);
        let began = Instant::now();
        let taken = self.core.take(self.now, request);
        self.tally.wall += began.elapsed();
        match taken {
            Ok(id) => drop(self.by_id.insert(id, serial)),
            Err(_) => {
                self.queries[serial as usize].ended += 1;
                self.tally.given_up += 1;
            }
        }
    }

    fn note(&mut self, words: &[u64]) {
        self.tally.digest = mixed(&[&[self.tally.digest, self.now.0], words].concat());
    }

    fn turn(&mut self) {
        let began = Instant::now();
        let commands = self.core.turn(self.now);
        let took = began.elapsed();
        self.tally.wall += took;
        self.tally.worst_turn = self.tally.worst_turn.max(took);
        for command in commands {
            match command {
                Command::Send(server, parts) => self.send(server, &parts),
                Command::Withdraw(attempt) => {
                    self.note(&[2, attempt]);
                    if let Some(flight) = self.flights.remove(&attempt) {
                        self.at(
                            self.now.plus(self.scenario.way),
                            SimulationEvent::GivenUp(flight.server, attempt),
                        );
                    }
                }
                Command::Reply(query, reply) => self.reply(query, &reply),
                Command::CloseIdle(server) => self.note(&[4, u64::from(server.0)]),
                // Here an attempt leaves in the moment in which it is asked for.
                Command::Recall(_) => {}
                Command::Subscribe => self.note(&[5]),
                Command::Log(_) => self.note(&[6]),
            }
        }
    }

    fn send(&mut self, server: ServerId, parts: &[Dispatch<Job>]) {
        for (i, part) in parts.iter().enumerate() {
            let (serial, shard) = (part.job.serial, part.shard.0);
            self.note(&[
                1,
                u64::from(server.0),
                u64::from(shard),
                part.attempt,
                part.wait,
            ]);
            let phase = 1 + u8::from(part.first.is_some());
            let held = &mut self.queries[serial as usize];
            let mix = &self.scenario.mix[held.class];
            let mut rng = rng(&[
                self.seed,
                3,
                u64::from(serial),
                u64::from(shard),
                u64::from(phase),
            ]);
            let mut work = lognormal(&mut rng, mix.work_ms * 1e3, mix.cv);
            self.tally.parts += 1;
            if let Some(first) = &part.first {
                work *= mix.second;
                held.first = Some((first.shards.len(), first.whole));
                held.second.insert(shard);
                self.tally.second_parts += 1;
            } else if self.classes[held.class].second_step > 0 {
                work *= self.slow_first[server.0 as usize];
            }
            let call = if i == 0 { self.scenario.call } else { 0 };
            let aim_at = held.arrived.plus(self.classes[held.class].latency_target);
            let task = Task {
                attempt: part.attempt,
                work: work as Micros + call,
                phase,
                aim_at,
            };
            // The first phase of a sorted answer asks for the best alone.
            let most = part.most.unwrap_or(1);
            self.flights.insert(
                part.attempt,
                Flight {
                    server: server.0,
                    task,
                    serial,
                    shard,
                    most,
                },
            );
            self.at(
                self.now.plus(self.scenario.way),
                SimulationEvent::Reaches(server.0, part.attempt),
            );
            self.at(
                self.now.plus(part.wait),
                SimulationEvent::TimedOut(part.attempt),
            );
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one figure after another is taken from a reply"
    )]
    fn reply(&mut self, query: QueryId, reply: &Reply) {
        let kind = match reply {
            Reply::Served { whole, values, .. } => 10 + 2 * values.len() as u64 + u64::from(*whole),
            Reply::Refused(after) => 7 + after.unwrap_or(0),
            Reply::Failed => 8,
        };
        self.note(&[3, query.0, kind]);
        let Some(serial) = self.by_id.remove(&query) else {
            self.tally.lost += 1;
            return;
        };
        let held = &mut self.queries[serial as usize];
        held.ended += 1;
        if self.now > held.deadline {
            self.tally.lost += 1;
        }
        let class = &self.classes[held.class];
        let top = self.scenario.mix[held.class].top;
        let Reply::Served {
            whole,
            values,
            gaps,
        } = reply
        else {
            self.tally.given_up += 1;
            return;
        };
        let n = f64::from(held.parts);
        let (first, first_whole, second) = match held.first {
            None => (values.len() as f64 / n, true, 1.0),
            Some((_, whole)) if self.scenario.mix[held.class].top.is_some() => {
                (1.0 - gaps.len() as f64 / n, whole, 1.0)
            }
            Some((first, whole)) => {
                let wanted = (class.second_step as usize).min(first);
                (
                    first as f64 / n,
                    whole,
                    values.len() as f64 / wanted.max(1) as f64,
                )
            }
        };
        let slack = 1e-4;
        let floor = if class.floor < class.need {
            class.floor
        } else {
            1.0
        };
        self.tally.below_floor += u64::from(first + slack < class.floor || second + slack < floor);
        let complete = first + slack >= class.need && first_whole && second + slack >= 1.0;
        self.tally.falsely_whole += u64::from(*whole && !complete);
        self.tally.whole += u64::from(*whole);
        let earns = if *whole {
            1.0
        } else {
            class.partial * (first / class.need).min(1.0) * second
        };
        let on_time = self.now.since(held.arrived) <= class.latency_target;
        self.tally.on_time += u64::from(on_time);
        self.tally.earned += class.value * earns * if on_time { 1.0 } else { class.late_share };
        if let Some(k) = top.filter(|_| *whole) {
            self.tally.wrong += u64::from(!self.is_right(serial, k, values));
        }
    }
}
