//! What all brokers of a fleet together send to a server that has just started, in virtual time:
//! its neighbours in the ring drain while it is cold, so that all that its shards ask for may come
//! to it. Counted against what the settings allow it.

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

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const START: Time = Time(1_000 * SECOND);
const CELLS: u32 = 12;
/// The brokers learn their traffic for so long, and for so long the cold server is looked at; after
/// the second its neighbours drain.
const LEARN: Micros = 6 * SECOND;
const LOOK: Micros = 6 * SECOND;
const DRAIN: Micros = 2 * SECOND;

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

/// An answer to come: when, at which broker, of which part and attempt, and from which server.
type Answer = (Time, usize, u64, u16, u32);

struct World {
    brokers: Vec<Coordinator>,
    answers: BinaryHeap<Reverse<Answer>>,
    attempts: BTreeMap<u64, u16>,
    takes: Micros,
    watched: u32,
    /// When parts came to the server that is looked at.
    came: Vec<Time>,
    answered: usize,
}

impl World {
    fn turn(&mut self, now: Time, broker: usize, events: Vec<Event>) {
        let mut out = Vec::new();
        self.brokers[broker].turn(now, events, &mut out);
        for action in out {
            match action {
                Action::Send { part, server, .. } => {
                    let attempt = self.attempts.entry(part.0).or_insert(0);
                    let due = now.plus(self.takes);
                    self.answers
                        .push(Reverse((due, broker, part.0, *attempt, server.0)));
                    *attempt += 1;
                    if server.0 == self.watched {
                        self.came.push(now);
                    }
                }
                Action::Answer { .. } => self.answered += 1,
                _ => {}
            }
        }
    }

    fn list(&mut self, now: Time, lines: &[ListedServer], whole: bool) {
        for broker in 0..self.brokers.len() {
            let lines = lines.to_vec();
            let news = if whole {
                ServerListUpdate::Complete(lines)
            } else {
                ServerListUpdate::Changes(lines)
            };
            self.turn(now, broker, vec![Event::List(news)]);
        }
    }

    /// Answers and wake-ups up to a time.
    fn until(&mut self, at: Time) {
        while let Some(&Reverse((due, broker, part, attempt, server))) = self.answers.peek() {
            if due > at {
                return;
            }
            self.answers.pop();
            let (part, server, outcome) = (PartId(part), ServerId(server), Outcome::Ok);
            let finished = Event::Finished {
                part,
                attempt,
                server,
                outcome,
                elapsed: self.takes,
            };
            self.turn(due, broker, vec![finished]);
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
        latency_target: 1_500 * MS,
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
    set.resolution = 5 * MS;
    set
}

/// Plays one start: what came beyond the allowance in the worst window in roots of that allowance,
/// whether that broke the rule, what came as a share of the allowance, and the share of the queries
/// that were answered.
#[expect(
    clippy::too_many_lines,
    reason = "an experiment is read from top to bottom"
)]
fn play(seed: u64, plan: &Plan) -> (f64, bool, f64, f64) {
    let mut dice = Xoshiro256PlusPlus::seed_from_u64(seed);
    let capacity = plan.capacity;
    let set = settings(plan);
    let brokers: Vec<Coordinator> = (0..plan.brokers)
        .map(|i| Coordinator::new(seed << 16 | u64::from(i), set.clone()))
        .collect();
    let takes = (f64::from(plan.cores) / capacity * 1e6) as Micros;
    let mut world = World {
        brokers,
        answers: BinaryHeap::new(),
        attempts: BTreeMap::new(),
        takes,
        watched: CELLS,
        came: Vec::new(),
        answered: 0,
    };
    let skew = LogNormal::new(0.0, if plan.uneven { 1.0 } else { 0.05 }).expect("a sound spread");
    let weights: Vec<f64> = (0..plan.brokers).map(|_| skew.sample(&mut dice)).collect();
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
    world.list(now, &all, true);
    let (begun, end) = (START.plus(LEARN), START.plus(LEARN + LOOK));
    let (mut replaced, mut drained, mut next, mut asked) = (false, false, 1_u64, 0);
    while now < end {
        now = now.plus((gap.sample(&mut dice) as Micros).max(1));
        world.until(now);
        if !replaced && now >= begun {
            replaced = true;
            world.list(
                now,
                &[
                    line(0, ServerMode::Gone, None),
                    line(CELLS, ServerMode::Ready, Some(begun)),
                ],
                false,
            );
        }
        if !drained && now >= begun.plus(DRAIN) {
            drained = true;
            let neighbours = [
                line(1, ServerMode::Draining, None),
                line(CELLS - 1, ServerMode::Draining, None),
            ];
            world.list(now, &neighbours, false);
        }
        let mut place = dice.random::<f64>() * sum;
        let broker = weights.iter().position(|w| {
            place -= w;
            place < 0.0
        });
        let broker = broker.unwrap_or(0);
        let (id, first) = (next, dice.random_range(0..2 * CELLS));
        next += 8;
        asked += 1;
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
        world.turn(now, broker, events);
        // Whoever waits for an allowance looks at it now and then.
        if next % 64 < 8 {
            (0..world.brokers.len()).for_each(|b| world.turn(now, b, vec![Event::Wake]));
        }
    }
    let level = |at: Time| {
        plan.share() + (1.0 - plan.share()) * at.since(begun) as f64 / (18 * SECOND) as f64
    };
    let (mut worst, mut broken, mut from) = (-capacity.sqrt(), false, 0);
    for (i, &at) in world.came.iter().enumerate() {
        while world.came[from].plus(SECOND) < at {
            from += 1;
        }
        // The allowance of the window's beginning, the least of it.
        let allowed = capacity * plan.multiple * level(at.minus(SECOND).max(begun));
        let sent = (i + 1 - from) as f64;
        worst = worst.max((sent - allowed) / allowed.sqrt());
        broken |= sent > allowed + 2.0 * allowed.sqrt() + 2.0;
    }
    let mean = capacity * plan.multiple * level(begun.plus(LOOK / 2)) * LOOK as f64 / 1e6;
    (
        worst,
        broken,
        world.came.len() as f64 / mean,
        world.answered as f64 / f64::from(asked),
    )
}

/// The worst of so many seeds.
#[must_use]
pub fn worst(seed: u64, seeds: u64, plan: &Plan) -> Figures {
    let played: Vec<_> = (seed..seed + seeds).map(|seed| play(seed, plan)).collect();
    Figures {
        brokers: plan.brokers,
        budget: plan.budget,
        uneven: plan.uneven,
        worst: played.iter().map(|p| p.0).fold(f64::MIN, f64::max),
        broken: played.iter().filter(|p| p.1).count(),
        got: played.iter().map(|p| p.2).sum::<f64>() / seeds as f64,
        served: played.iter().map(|p| p.3).sum::<f64>() / seeds as f64,
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
    let mut out = format!(
        "{:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
        "brokers", "budget", "uneven", "worst", "broken", "got", "served"
    );
    for f in all {
        out += &format!(
            "{:>8} {:>8} {:>7} {:>7.2} {:>7} {:>7.2} {:>7.3}\n",
            f.brokers, f.budget, f.uneven, f.worst, f.broken, f.got, f.served
        );
    }
    out
}
