//! A world in virtual time round `core` and the decision module: clients, a network and data nodes.
//! The same seed and scenario give the same events; two variants of the broker receive the same
//! queries, and the data nodes have the same work and faults.

mod answers;
mod attempts;
mod queries;
mod random;
mod scenario;

pub use random::hash_words;
pub use scenario::{Mix, NodeFaults, Scenario, Totals};

use crate::node::{Node, Task};
use lichenswitch::contract::Contracts;
use lichenswitch::core::Core;
use lichenswitch::decide::phases::Planner;
use lichenswitch::interface::{
    Class, ListedServer, Micros, QueryId, ServerId, ServerListUpdate, ServerMode, Settings, Time,
};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use random::rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// One millisecond.
pub const MS: Micros = 1_000;
/// When the world begins: late enough that no time is before the clock's zero.
pub const START: Time = Time(1_000_000 * MS);

/// What the broker returns with each part of a query.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the query in the order of arrival.
    pub serial: u32,
}

/// A query, from its arrival on.
struct QueryRecord {
    class: usize,
    /// The first of its shards, which are neighbours.
    first_shard: u32,
    parts: u32,
    arrived: Time,
    deadline: Time,
    /// The end of its first phase, once a second one has begun.
    first_phase: Option<FirstPhase>,
    /// How many times it ended: once is right.
    end_count: u32,
}

/// The end of the first of two phases.
struct FirstPhase {
    /// Shards that had answered.
    shards: usize,
    is_complete: bool,
}

/// An event; attempts are named by their number, data nodes by their index.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// The next query arrives.
    Arrival,
    /// An attempt arrives at a data node.
    AttemptArrived(u32, u64),
    /// A data node has finished an attempt.
    AttemptFinished(u32, u64),
    /// The answer to an attempt arrives at the broker.
    AnswerArrived(u64),
    /// The broker's timeout for an attempt has passed.
    AttemptTimedOut(u64),
    /// The cancellation of an attempt arrives at a data node.
    CancellationArrived(u32, u64),
}

/// An attempt for which the broker waits.
struct InFlightAttempt {
    server: u32,
    task: Task,
    serial: u32,
    shard: u32,
    /// Elements that are requested at the most.
    max_elements: usize,
}

/// The world.
pub struct World {
    scenario: Scenario,
    seed: u64,
    core: Core<Job>,
    classes: Vec<Class>,
    now: Time,
    /// By time, and by number where that is the same.
    events: BinaryHeap<Reverse<(Time, u64, SimulationEvent)>>,
    /// Number of the event that was scheduled last.
    last_event: u64,
    /// Random numbers of the arrivals.
    arrivals: Xoshiro256PlusPlus,
    nodes: Vec<Node>,
    /// By data node: the factor of the work of first phases.
    first_phase_factors: Vec<f64>,
    in_flight: HashMap<u64, InFlightAttempt>,
    queries: Vec<QueryRecord>,
    /// The index of each query that has not ended.
    by_id: HashMap<QueryId, u32>,
    shards: u32,
    /// What came of all queries so far.
    pub totals: Totals,
}

/// A complete list of this many healthy data nodes, which take the cells in turn, in three zones.
#[must_use]
pub fn healthy_fleet(nodes: u32, cells: u32) -> ServerListUpdate {
    let line = |id| ListedServer {
        server: ServerId(id),
        cell: id % cells,
        zone: id % 3,
        mode: ServerMode::Ready,
        started_at: None,
    };
    ServerListUpdate::Complete((0..nodes).map(line).collect())
}

impl World {
    /// A world whose broker works by these settings.
    #[must_use]
    pub fn new(seed: u64, scenario: Scenario, settings: Settings, planner: Planner) -> World {
        let (shards, cells) = (settings.layout.shards, settings.layout.cells);
        let classes = settings.classes.clone();
        let mut core = Core::new(seed, settings, Contracts::default(), 1 << 30);
        core.set_planner(planner, false);
        core.on_server_list(healthy_fleet(scenario.nodes, cells));
        let faults = scenario.node_faults;
        let faulty = (f64::from(scenario.nodes) * faults.share).round() as u32;
        let node = |id| {
            let pauses = if id < faulty {
                random_pauses(seed, id, &faults, scenario.seconds)
            } else {
                Vec::new()
            };
            Node::new(scenario.cores, pauses)
        };
        let first_phase_factor = |id| {
            if id < faulty && faults.slow_first >= 1.0 {
                faults.slow_first
            } else {
                1.0
            }
        };
        let mut world = World {
            seed,
            core,
            classes,
            now: START,
            events: BinaryHeap::new(),
            last_event: 0,
            arrivals: rng(&[seed, 1]),
            nodes: (0..scenario.nodes).map(node).collect(),
            first_phase_factors: (0..scenario.nodes).map(first_phase_factor).collect(),
            in_flight: HashMap::new(),
            queries: Vec::new(),
            by_id: HashMap::new(),
            shards,
            totals: Totals::default(),
            scenario,
        };
        world.at(START, SimulationEvent::Arrival);
        world
    }

    /// Schedules an event.
    fn at(&mut self, time: Time, event: SimulationEvent) {
        self.last_event += 1;
        self.events.push(Reverse((time, self.last_event, event)));
    }

    /// Runs until no event is left.
    pub fn play(&mut self) {
        loop {
            let turn = self.core.next_turn();
            let next = self.events.peek().map(|Reverse((at, ..))| *at);
            // A turn follows the events that are earlier or at the same time.
            let next_turn = match (turn, next) {
                (Some(turn), Some(next)) if turn < next => Some(turn),
                (Some(turn), None) if !self.by_id.is_empty() => Some(turn),
                _ => None,
            };
            if let Some(turn) = next_turn {
                self.now = self.now.max(turn);
                self.turn();
            } else if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.on_event(event);
            } else {
                break;
            }
        }
        let unended = self.queries.iter().filter(|query| query.end_count != 1);
        self.totals.lost += unended.count() as u64;
    }

    /// Adds words and the time to the digest.
    fn record(&mut self, words: &[u64]) {
        let before = [self.totals.digest, self.now.0];
        self.totals.digest = hash_words(&[&before[..], words].concat());
    }
}

/// The pauses of a faulty data node, in order.
fn random_pauses(seed: u64, node: u32, faults: &NodeFaults, seconds: f64) -> Vec<(Time, Time)> {
    if faults.pause_ms <= 0.0 || faults.pause_every_s <= 0.0 {
        return Vec::new();
    }
    let mut rng = rng(&[seed, 2, u64::from(node)]);
    let mut pauses = Vec::new();
    let mut at = rng.random_range(0.0..faults.pause_every_s);
    while at < seconds + 10.0 {
        let from = START.plus((at * 1e6) as Micros);
        pauses.push((from, from.plus((faults.pause_ms * 1e3) as Micros)));
        at += faults.pause_every_s * rng.random_range(0.7..1.3);
    }
    pauses
}
