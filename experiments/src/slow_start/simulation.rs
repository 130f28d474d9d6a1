//! One start of a server, under the queries of the whole fleet.

use super::brokers::Brokers;
use super::Plan;
use lichenswitch::interface::{
    Class, Event, Layout, ListedServer, Micros, PartId, QueryId, RetrySafety, ServerId, ServerMode,
    Settings, Shard, SlowStart, Time,
};
use lichenswitch::policy::Coordinator;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;

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
/// Parts of a query.
const PARTS: u32 = 3;
/// Ids between two queries: that of the query and those of its parts.
const ID_STEP: u64 = 8;
/// Brokers that wait for an allowance are woken with every eighth query.
const WAKE_ID_STEP: u64 = 64;
/// Time until a cold server has its whole capacity.
const WARM_UP_PERIOD: Micros = 18 * SECOND;
/// The deadline of a query, from its arrival.
const DEADLINE: Micros = 4 * SECOND;
/// When the cold server starts.
const COLD_START: Time = Time(START.0 + LEARNING_PERIOD);
/// When the observation ends.
const END: Time = Time(COLD_START.0 + OBSERVATION_PERIOD);
/// The result of one start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartResult {
    /// The excess over the allowance in the worst window, in roots of the allowance.
    pub(super) worst_excess: f64,
    /// Whether a window held more than the rule allows.
    pub(super) is_broken: bool,
    /// Parts that arrived at the cold server, as a share of its allowance.
    pub(super) received_share: f64,
    /// Share of the queries that were answered.
    pub(super) answered_share: f64,
}
fn settings(plan: &Plan) -> Settings {
    let class = Class {
        latency_target: 1_500 * MILLISECOND,
        deadline: DEADLINE,
        retry_safety: RetrySafety::Safe,
        late_share: 0.1,
        ..Settings::default().classes.remove(0)
    };
    let mut settings = Settings {
        classes: vec![class],
        instances: plan.brokers,
        ..Settings::default()
    };
    settings.layout = Layout {
        cells: CELLS,
        width: 2,
        shards: 2 * CELLS,
        parts_a_call: 8,
    };
    settings.slow_start = SlowStart {
        share: plan.share(),
        warm_after: WARM_UP_PERIOD,
        fall_multiple: plan.multiple,
        fall_after: SECOND,
    };
    settings.limits.attempts = 4;
    settings.limits.may_cancel = true;
    settings.limits.second_copies = true;
    settings.resolution = 5 * MILLISECOND;
    settings
}
/// A start that is simulated.
struct Simulation<'a> {
    plan: &'a Plan,
    rng: Xoshiro256PlusPlus,
    brokers: Brokers,
    /// The traffic of each broker, relative to the others.
    weights: Vec<f64>,
    weight_sum: f64,
    is_server_replaced: bool,
    are_neighbours_draining: bool,
    next_id: u64,
    query_count: u32,
}

impl Simulation<'_> {
    fn new(seed: u64, plan: &Plan) -> Simulation<'_> {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let settings = settings(plan);
        let service_time = f64::from(plan.cores) / plan.capacity * 1e6;
        let coordinators = (0..plan.brokers)
            .map(|i| Coordinator::new(seed << 16 | u64::from(i), settings.clone()))
            .collect();
        let spread = if plan.uneven { 1.0 } else { 0.05 };
        let skew = LogNormal::new(0.0, spread).expect("the spread is finite");
        let weights: Vec<f64> = (0..plan.brokers).map(|_| skew.sample(&mut rng)).collect();
        Simulation {
            plan,
            rng,
            brokers: Brokers::new(coordinators, service_time as Micros, CELLS),
            weight_sum: weights.iter().sum(),
            weights,
            is_server_replaced: false,
            are_neighbours_draining: false,
            next_id: 1,
            query_count: 0,
        }
    }

    fn run(&mut self) {
        let servers: Vec<ListedServer> = (0..CELLS)
            .map(|id| server_line(id, ServerMode::Ready, None))
            .collect();
        let mut now = START;
        self.brokers.update_servers(now, &servers, true);
        let plan = self.plan;
        let rate = plan.capacity * plan.load * f64::from(CELLS) / f64::from(PARTS);
        let gap = Exp::new(rate / 1e6).expect("the rate is positive");
        while now < END {
            now = now.plus((gap.sample(&mut self.rng) as Micros).max(1));
            self.brokers.deliver_responses_until(now);
            self.change_servers(now);
            self.send_query(now);
        }
    }

    /// Replaces a server by the cold one, and later lets the neighbours of that drain.
    fn change_servers(&mut self, now: Time) {
        if !self.is_server_replaced && now >= COLD_START {
            self.is_server_replaced = true;
            let lines = [
                server_line(0, ServerMode::Gone, None),
                server_line(CELLS, ServerMode::Ready, Some(COLD_START)),
            ];
            self.brokers.update_servers(now, &lines, false);
        }
        if !self.are_neighbours_draining && now >= COLD_START.plus(NEIGHBOUR_DRAIN_DELAY) {
            self.are_neighbours_draining = true;
            let neighbours = [
                server_line(1, ServerMode::Draining, None),
                server_line(CELLS - 1, ServerMode::Draining, None),
            ];
            self.brokers.update_servers(now, &neighbours, false);
        }
    }

    /// A query arrives at a broker, which is drawn by the brokers' weights.
    fn send_query(&mut self, now: Time) {
        let mut sample = self.rng.random::<f64>() * self.weight_sum;
        let broker = self.weights.iter().position(|weight| {
            sample -= weight;
            sample < 0.0
        });
        let first_shard = self.rng.random_range(0..2 * CELLS);
        let id = self.next_id;
        self.next_id += ID_STEP;
        self.query_count += 1;
        let events = query_events(now, id, first_shard);
        self.brokers.handle_events(now, broker.unwrap_or(0), events);
        if self.next_id % WAKE_ID_STEP < ID_STEP {
            for broker in 0..self.brokers.count() {
                self.brokers.handle_events(now, broker, vec![Event::Wake]);
            }
        }
    }

    /// The parts that the cold server is allowed in a second at a time.
    fn allowance_per_s(&self, at: Time) -> f64 {
        let plan = self.plan;
        let elapsed = at.since(COLD_START) as f64;
        let level = plan.share() + (1.0 - plan.share()) * elapsed / WARM_UP_PERIOD as f64;
        plan.capacity * plan.multiple * level
    }

    fn result(&self) -> StartResult {
        let arrivals = &self.brokers.cold_arrivals;
        let (mut worst_excess, mut is_broken) = (-self.plan.capacity.sqrt(), false);
        let mut window_start = 0;
        for (index, &at) in arrivals.iter().enumerate() {
            while arrivals[window_start].plus(SECOND) < at {
                window_start += 1;
            }
            // The allowance at the beginning of the window, which is the least in it.
            let allowed = self.allowance_per_s(at.minus(SECOND).max(COLD_START));
            let sent = (index + 1 - window_start) as f64;
            worst_excess = worst_excess.max((sent - allowed) / allowed.sqrt());
            is_broken |= sent > allowed + 2.0 * allowed.sqrt() + 2.0;
        }
        let mean_allowance = self.allowance_per_s(COLD_START.plus(OBSERVATION_PERIOD / 2))
            * OBSERVATION_PERIOD as f64
            / 1e6;
        StartResult {
            worst_excess,
            is_broken,
            received_share: arrivals.len() as f64 / mean_allowance,
            answered_share: self.brokers.answered_queries as f64 / f64::from(self.query_count),
        }
    }
}

fn server_line(id: u32, mode: ServerMode, started: Option<Time>) -> ListedServer {
    ListedServer {
        server: ServerId(id),
        cell: id % CELLS,
        zone: 0,
        mode,
        started_at: started,
    }
}

/// A query and its parts, at neighbouring shards.
fn query_events(now: Time, id: u64, first_shard: u32) -> Vec<Event> {
    let number = id as u32;
    let mut events = vec![Event::Query {
        query: QueryId(id),
        number,
        class: 0,
        deadline: now.plus(DEADLINE),
        key: 0,
        is_retry: false,
        tenant: u32::MAX,
    }];
    events.extend((0..PARTS).map(|i| Event::Part {
        part: PartId(id + 1 + u64::from(i)),
        number,
        shard: Shard((first_shard + i) % (2 * CELLS)),
        weight: 1.0 / f64::from(PARTS),
    }));
    events
}

/// Simulates one start.
pub(super) fn simulate_start(seed: u64, plan: &Plan) -> StartResult {
    let mut simulation = Simulation::new(seed, plan);
    simulation.run();
    simulation.result()
}
