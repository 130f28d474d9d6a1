//! The load that all brokers of a fleet together send to a server in slow start, in virtual time.
//! Its neighbours in the ring drain while it warms up, so that all requests for its shards may go
//! to it. Counted against the allowance of the settings.

use lichenswitch::interface::{
    Action, Class, Event, Layout, ListedServer, Micros, Outcome, PartId, QueryId, RetrySafety,
    ServerId, ServerListUpdate, ServerMode, Settings, Shard, SlowStart, Time,
};
use lichenswitch::policy::Coordinator;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const START: Time = Time(1_000 * SECOND);
const CELLS: u32 = 12;
/// How long the brokers learn their traffic before the cold server starts.
const LEARNING_PERIOD: Micros = 6 * SECOND;
/// How long the cold server is observed from its start.
const OBSERVATION_PERIOD: Micros = 6 * SECOND;
/// From the cold server's start until its neighbours drain.
const NEIGHBOUR_DRAIN_DELAY: Micros = 2 * SECOND;

/// A fleet and its servers.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Brokers.
    pub brokers: u32,
    /// Parts that the rule allows the server in its window just after the start.
    pub budget: f64,
    /// Whether some brokers get several times the traffic of others.
    pub uneven: bool,
    /// Cores of a server.
    pub cores: u32,
    /// Parts that a warm server can do in a second.
    pub capacity: f64,
    /// How busy servers are in the mean, as a share of what they can do.
    pub load: f64,
    /// Multiple of its present capacity that the rule allows.
    pub multiple: f64,
}

/// The worst of some seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Brokers.
    pub brokers: u32,
    /// See [`Plan::budget`].
    pub budget: f64,
    /// See [`Plan::uneven`].
    pub uneven: bool,
    /// Most parts in any window beyond what was allowed in it, in roots of that; below 0: never
    /// beyond it.
    pub worst: f64,
    /// Seeds in which a window held more than N + 2 root N + 2.
    pub broken: usize,
    /// Parts that came in the mean, as a share of what was allowed.
    pub got: f64,
    /// Queries that were answered, as a share.
    pub served: f64,
}

/// A response in flight: its arrival time, broker, part, attempt and server.
type PendingResponse = (Time, usize, u64, u16, u32);

struct World {
    brokers: Vec<Coordinator>,
    pending_responses: BinaryHeap<Reverse<PendingResponse>>,
    attempts: BTreeMap<u64, u16>,
    service_time: Micros,
    cold_server: u32,
    /// When parts arrived at the cold server.
    cold_arrivals: Vec<Time>,
    answered_queries: usize,
}

impl World {
    fn handle_events(&mut self, now: Time, broker: usize, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.brokers[broker].turn(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { part, server, .. } => {
                    let attempt = self.attempts.entry(part.0).or_insert(0);
                    let due = now.plus(self.service_time);
                    self.pending_responses
                        .push(Reverse((due, broker, part.0, *attempt, server.0)));
                    *attempt += 1;
                    if server.0 == self.cold_server {
                        self.cold_arrivals.push(now);
                    }
                }
                Action::Answer { .. } => self.answered_queries += 1,
                _ => {}
            }
        }
    }

    fn update_servers(&mut self, now: Time, lines: &[ListedServer], is_complete: bool) {
        for broker in 0..self.brokers.len() {
            let lines = lines.to_vec();
            let update = if is_complete {
                ServerListUpdate::Complete(lines)
            } else {
                ServerListUpdate::Changes(lines)
            };
            self.handle_events(now, broker, vec![Event::List(update)]);
        }
    }

    /// Delivers the responses that are due by a time.
    fn deliver_responses_until(&mut self, at: Time) {
        while let Some(&Reverse((due, broker, part, attempt, server))) =
            self.pending_responses.peek()
        {
            if due > at {
                return;
            }
            self.pending_responses.pop();
            let (part, server, outcome) = (PartId(part), ServerId(server), Outcome::Ok);
            let finished = Event::Finished {
                part,
                attempt,
                server,
                outcome,
                elapsed: self.service_time,
            };
            self.handle_events(due, broker, vec![finished]);
        }
    }
}

impl Plan {
    /// Share of its capacity that a server has as it starts.
    fn share(&self) -> f64 {
        self.budget / (self.capacity * self.multiple)
    }
}

fn settings(plan: &Plan) -> Settings {
    let class = Class {
        latency_target: 1_500 * MILLISECOND,
        deadline: 4 * SECOND,
        repeat: RetrySafety::Safe,
        late_share: 0.1,
        ..Settings::default().classes.remove(0)
    };
    let mut set = Settings {
        classes: vec![class],
        instances: plan.brokers,
        ..Settings::default()
    };
    set.layout = Layout {
        cells: CELLS,
        width: 2,
        shards: 2 * CELLS,
        parts_a_call: 8,
    };
    set.cold = SlowStart {
        share: plan.share(),
        warm_after: 18 * SECOND,
        fall_multiple: plan.multiple,
        fall_after: SECOND,
    };
    set.limits.attempts = 4;
    set.limits.cancel = true;
    set.limits.second_copies = true;
    set.resolution = 5 * MILLISECOND;
    set
}

/// Simulates one start. Returns the excess over the allowance in the worst window (in roots of the
/// allowance), whether that broke the rule, the parts that arrived as a share of the allowance, and
/// the share of the queries that were answered.
#[expect(
    clippy::too_many_lines,
    reason = "an experiment is read from top to bottom"
)]
fn simulate_start(seed: u64, plan: &Plan) -> (f64, bool, f64, f64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let capacity = plan.capacity;
    let set = settings(plan);
    let brokers: Vec<Coordinator> = (0..plan.brokers)
        .map(|i| Coordinator::new(seed << 16 | u64::from(i), set.clone()))
        .collect();
    let service_time = (f64::from(plan.cores) / capacity * 1e6) as Micros;
    let mut world = World {
        brokers,
        pending_responses: BinaryHeap::new(),
        attempts: BTreeMap::new(),
        service_time,
        cold_server: CELLS,
        cold_arrivals: Vec::new(),
        answered_queries: 0,
    };
    let skew = LogNormal::new(0.0, if plan.uneven { 1.0 } else { 0.05 }).expect("a sound spread");
    let weights: Vec<f64> = (0..plan.brokers).map(|_| skew.sample(&mut rng)).collect();
    let sum: f64 = weights.iter().sum();
    let parts = 3;
    let rate = capacity * plan.load * f64::from(CELLS) / f64::from(parts);
    let gap = Exp::new(rate / 1e6).expect("a sound rate");
    let line = |id: u32, mode, started| ListedServer {
        server: ServerId(id),
        cell: id % CELLS,
        zone: 0,
        mode,
        started,
    };
    let all: Vec<ListedServer> = (0..CELLS)
        .map(|id| line(id, ServerMode::Ready, None))
        .collect();
    let mut now = START;
    world.update_servers(now, &all, true);
    let (begun, end) = (
        START.plus(LEARNING_PERIOD),
        START.plus(LEARNING_PERIOD + OBSERVATION_PERIOD),
    );
    let (mut replaced, mut drained, mut next, mut query_count) = (false, false, 1_u64, 0);
    while now < end {
        now = now.plus((gap.sample(&mut rng) as Micros).max(1));
        world.deliver_responses_until(now);
        if !replaced && now >= begun {
            replaced = true;
            world.update_servers(
                now,
                &[
                    line(0, ServerMode::Gone, None),
                    line(CELLS, ServerMode::Ready, Some(begun)),
                ],
                false,
            );
        }
        if !drained && now >= begun.plus(NEIGHBOUR_DRAIN_DELAY) {
            drained = true;
            let neighbours = [
                line(1, ServerMode::Draining, None),
                line(CELLS - 1, ServerMode::Draining, None),
            ];
            world.update_servers(now, &neighbours, false);
        }
        let mut sample = rng.random::<f64>() * sum;
        let broker = weights.iter().position(|w| {
            sample -= w;
            sample < 0.0
        });
        let broker = broker.unwrap_or(0);
        let (id, first) = (next, rng.random_range(0..2 * CELLS));
        next += 8;
        query_count += 1;
        let (query, number, deadline) = (QueryId(id), id as u32, now.plus(4 * SECOND));
        let mut events = vec![Event::Query {
            query,
            number,
            class: 0,
            deadline,
            key: 0,
            again: false,
            tenant: u32::MAX,
        }];
        events.extend((0..parts).map(|i| Event::Part {
            part: PartId(id + 1 + u64::from(i)),
            number,
            shard: Shard((first + i) % (2 * CELLS)),
            weight: 1.0 / f64::from(parts),
        }));
        world.handle_events(now, broker, events);
        // Whoever waits for an allowance looks at it now and then.
        if next % 64 < 8 {
            (0..world.brokers.len()).for_each(|b| world.handle_events(now, b, vec![Event::Wake]));
        }
    }
    let level = |at: Time| {
        plan.share() + (1.0 - plan.share()) * at.since(begun) as f64 / (18 * SECOND) as f64
    };
    let (mut worst, mut broken, mut from) = (-capacity.sqrt(), false, 0);
    for (i, &at) in world.cold_arrivals.iter().enumerate() {
        while world.cold_arrivals[from].plus(SECOND) < at {
            from += 1;
        }
        // The allowance of the window's beginning, the least of it.
        let allowed = capacity * plan.multiple * level(at.minus(SECOND).max(begun));
        let sent = (i + 1 - from) as f64;
        worst = worst.max((sent - allowed) / allowed.sqrt());
        broken |= sent > allowed + 2.0 * allowed.sqrt() + 2.0;
    }
    let mean = capacity
        * plan.multiple
        * level(begun.plus(OBSERVATION_PERIOD / 2))
        * OBSERVATION_PERIOD as f64
        / 1e6;
    (
        worst,
        broken,
        world.cold_arrivals.len() as f64 / mean,
        world.answered_queries as f64 / f64::from(query_count),
    )
}

/// The worst of so many seeds.
#[must_use]
pub fn worst(seed: u64, seeds: u64, plan: &Plan) -> Figures {
    let results: Vec<_> = (seed..seed + seeds)
        .map(|seed| simulate_start(seed, plan))
        .collect();
    Figures {
        brokers: plan.brokers,
        budget: plan.budget,
        uneven: plan.uneven,
        worst: results.iter().map(|p| p.0).fold(f64::MIN, f64::max),
        broken: results.iter().filter(|p| p.1).count(),
        got: results.iter().map(|p| p.2).sum::<f64>() / seeds as f64,
        served: results.iter().map(|p| p.3).sum::<f64>() / seeds as f64,
    }
}

/// Budgets just after a start, what a warm server can do, and the rule's multiple: slow servers and
/// a strict rule, common ones with a strict and a usual one, and fast ones.
pub const BUDGETS: [(f64, f64, f64); 5] = [
    (0.6, 5.0, 1.2),
    (4.0, 16.0, 2.5),
    (10.0, 25.0, 2.5),
    (25.0, 26.0, 3.0),
    (300.0, 600.0, 2.5),
];

/// All sizes of fleets and budgets, even and uneven.
#[must_use]
pub fn run(seed: u64, seeds: u64) -> Vec<Figures> {
    let mut all = Vec::new();
    for brokers in [2, 5, 20, 30, 100, 300] {
        for (budget, capacity, multiple) in BUDGETS {
            for uneven in [false, true] {
                let plan = Plan {
                    brokers,
                    budget,
                    uneven,
                    cores: 2,
                    capacity,
                    load: 0.6,
                    multiple,
                };
                all.push(worst(seed, seeds, &plan));
            }
        }
    }
    all
}

/// The figures as a table.
#[must_use]
pub fn table(all: &[Figures]) -> String {
    let mut actions = format!(
        "{:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
        "brokers", "budget", "uneven", "worst", "broken", "got", "served"
    );
    for f in all {
        actions += &format!(
            "{:>8} {:>8} {:>7} {:>7.2} {:>7} {:>7.2} {:>7.3}\n",
            f.brokers, f.budget, f.uneven, f.worst, f.broken, f.got, f.served
        );
    }
    actions
}
