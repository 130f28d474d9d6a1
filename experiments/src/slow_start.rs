//! The load that all brokers of a fleet together send to a server in slow start, in virtual time.
//! Its neighbours in the ring drain while it warms up, so that all requests for its shards may go
//! to it. Counted against the allowance of the settings.

mod brokers;
mod simulation;

use serde::Serialize;
use simulation::{simulate_start, StartResult};

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
impl Plan {
    /// Share of its capacity that a server has as it starts.
    fn share(&self) -> f64 {
        self.budget / (self.capacity * self.multiple)
    }
}
/// The worst of this many seeds.
#[must_use]
pub fn worst(seed: u64, seeds: u64, plan: &Plan) -> Figures {
    let results: Vec<StartResult> = (seed..seed + seeds)
        .map(|seed| simulate_start(seed, plan))
        .collect();
    let mean =
        |share: fn(&StartResult) -> f64| results.iter().map(share).sum::<f64>() / seeds as f64;
    Figures {
        brokers: plan.brokers,
        budget: plan.budget,
        uneven: plan.uneven,
        worst: results
            .iter()
            .map(|result| result.worst_excess)
            .fold(f64::MIN, f64::max),
        broken: results.iter().filter(|result| result.is_broken).count(),
        got: mean(|result| result.received_share),
        served: mean(|result| result.answered_share),
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
    let mut text = format!(
        "{:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
        "brokers", "budget", "uneven", "worst", "broken", "got", "served"
    );
    for f in all {
        text += &format!(
            "{:>8} {:>8} {:>7} {:>7.2} {:>7} {:>7.2} {:>7.3}\n",
            f.brokers, f.budget, f.uneven, f.worst, f.broken, f.got, f.served
        );
    }
    text
}
