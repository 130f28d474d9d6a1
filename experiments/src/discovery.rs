//! How soon all brokers of a fleet know of a change after discovery was down, in virtual time: each
//! calls at its own pace, and discovery handles one call after another and fails those that have
//! waited too long.

use lichenswitch::decide::discovery::call_pacer::CallPacer;
use lichenswitch::interface::{Micros, Time};
use serde::Serialize;
use std::collections::VecDeque;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
/// When discovery goes down.
const OUTAGE_START: Time = Time(1_000 * SECOND);
/// When it is back, with a change.
const OUTAGE_END: Time = Time(1_010 * SECOND);
/// How long the brokers are observed from then on.
const OBSERVATION_PERIOD: Micros = 30 * SECOND;
/// All brokers should know of the change so long after discovery has it and can be reached.
const PROPAGATION_BOUND: Micros = 6 * SECOND;
/// Where nothing else is set, a broker that has not called for so long should know as well.
const CALL_INTERVAL: Micros = 10 * SECOND;
/// Calls of each broker that were answered before the outage.
const CALLS_BEFORE: usize = 50;
/// Discovery fails calls that have waited for so long (milliseconds).
const FAILURE_TIMEOUT_MS: u64 = 1_000;

/// How a discovery handles calls.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryModel {
    /// Calls that it handles in a second.
    pub rate: f64,
    /// Calls that have waited for so long fail (milliseconds).
    pub fails_after_ms: u64,
    /// Whether calls that failed or were given up are handled all the same.
    pub handles_abandoned_calls: bool,
}

/// The figures of a fleet and its discovery.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Brokers.
    pub brokers: u32,
    /// Calls that discovery handles in a second.
    pub rate: f64,
    /// See [`DiscoveryModel::handles_abandoned_calls`].
    #[serde(rename = "works_in_vain")]
    pub handles_abandoned_calls: bool,
    /// Calls a second while discovery is down, over all brokers.
    pub refused_per_s: f64,
    /// Calls after its return, and how many of them failed or were given up.
    pub calls: usize,
    /// See `calls`.
    pub failed: usize,
    /// Until half of the brokers knew of the change, and until the last one did (seconds; the end of
    /// the observation where it did not).
    pub half_s: f64,
    /// See `half_s`.
    pub last_s: f64,
    /// Brokers that did not know of the change within its bound.
    pub late: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum BrokerState {
    /// The next call is made at this time.
    Idle { call_at: Time },
    /// A call is in flight since this time.
    InFlight { sent_at: Time },
    /// It knows of the change.
    Informed,
}

/// A call that waits at discovery.
struct QueuedCall {
    sent_at: Time,
    broker: usize,
}

/// A fleet of brokers and its discovery.
struct Simulation {
    model: DiscoveryModel,
    /// How long a broker waits for a response.
    response_timeout: Micros,
    pacers: Vec<CallPacer>,
    states: Vec<BrokerState>,
    queue: VecDeque<QueuedCall>,
    /// When discovery can handle the next call.
    free_at: Time,
    refused: usize,
    calls: usize,
    failed: usize,
    /// When brokers got to know of the change, since the end of the outage.
    informed_after: Vec<Micros>,
}

impl Simulation {
    /// All watches end as discovery goes down; each of them was answered often before.
    fn new(seed: u64, brokers: u32, model: DiscoveryModel) -> Simulation {
        let mut pacers: Vec<CallPacer> = (0..brokers)
            .map(|i| CallPacer::new(seed << 16 | u64::from(i), brokers, CALL_INTERVAL))
            .collect();
        let response_timeout = pacers[0].watch_times().first_timeout();
        let mut states = Vec::new();
        for pacer in &mut pacers {
            for _ in 0..CALLS_BEFORE {
                pacer.on_response(OUTAGE_START);
            }
            states.push(BrokerState::Idle {
                call_at: pacer.on_failure(OUTAGE_START, OUTAGE_START).at,
            });
        }
        Simulation {
            model,
            response_timeout,
            pacers,
            states,
            queue: VecDeque::new(),
            free_at: OUTAGE_END,
            refused: 0,
            calls: 0,
            failed: 0,
            informed_after: Vec::new(),
        }
    }

    /// Runs until all brokers know of the change, or to the end of the observation.
    fn run(&mut self) {
        let mut now = OUTAGE_START;
        let end = OUTAGE_END.plus(OBSERVATION_PERIOD);
        while now < end && self.informed_after.len() < self.states.len() {
            for broker in 0..self.states.len() {
                self.advance_broker(now, broker);
            }
            self.handle_calls(now);
            now = now.plus(MILLISECOND);
        }
    }

    /// Makes the call of a broker whose time has come, or ends one that has waited too long.
    fn advance_broker(&mut self, now: Time, broker: usize) {
        let pacer = &mut self.pacers[broker];
        let failure_timeout = self.model.fails_after_ms * MILLISECOND;
        let next_call = match self.states[broker] {
            BrokerState::Idle { call_at } if call_at <= now && now < OUTAGE_END => {
                self.refused += 1;
                pacer.on_failure(now, now)
            }
            BrokerState::Idle { call_at } if call_at <= now => {
                self.calls += 1;
                self.queue.push_back(QueuedCall {
                    sent_at: now,
                    broker,
                });
                self.states[broker] = BrokerState::InFlight { sent_at: now };
                return;
            }
            BrokerState::InFlight { sent_at } if now.since(sent_at) >= self.response_timeout => {
                self.failed += 1;
                pacer.on_timeout(now, sent_at)
            }
            BrokerState::InFlight { sent_at } if now.since(sent_at) >= failure_timeout => {
                self.failed += 1;
                pacer.on_failure(now, sent_at)
            }
            _ => return,
        };
        self.states[broker] = BrokerState::Idle {
            call_at: next_call.at,
        };
    }

    /// Discovery handles the calls that it has time for.
    fn handle_calls(&mut self, now: Time) {
        let handling_time = (1e6 / self.model.rate) as Micros;
        while self.free_at <= now {
            let Some(QueuedCall { sent_at, broker }) = self.queue.pop_front() else {
                return;
            };
            let is_awaited = self.states[broker] == BrokerState::InFlight { sent_at };
            if is_awaited {
                self.informed_after.push(now.since(OUTAGE_END));
                self.states[broker] = BrokerState::Informed;
                self.pacers[broker].on_response(now);
            }
            if is_awaited || self.model.handles_abandoned_calls {
                let started_at = self.free_at.max(now.minus(MILLISECOND));
                self.free_at = started_at.plus(handling_time);
            }
        }
    }

    fn figures(mut self) -> Figures {
        let brokers = self.states.len();
        let in_time = |after: &&Micros| **after <= PROPAGATION_BOUND;
        let late = brokers - self.informed_after.iter().filter(in_time).count();
        self.informed_after.resize(brokers, OBSERVATION_PERIOD);
        let seconds = |index: usize| self.informed_after[index] as f64 / 1e6;
        Figures {
            brokers: brokers as u32,
            rate: self.model.rate,
            handles_abandoned_calls: self.model.handles_abandoned_calls,
            refused_per_s: self.refused as f64 / (OUTAGE_END.since(OUTAGE_START) as f64 / 1e6),
            calls: self.calls,
            failed: self.failed,
            half_s: seconds(brokers / 2),
            last_s: seconds(brokers - 1),
            late,
        }
    }
}

/// Simulates one outage of discovery, of a fleet of this many brokers.
#[must_use]
pub fn play(seed: u64, brokers: u32, model: DiscoveryModel) -> Figures {
    let mut simulation = Simulation::new(seed, brokers, model);
    simulation.run();
    simulation.figures()
}

/// Calls that discovery handles in a second: one in a third of a second as in the smallest fleets, 16
/// as measured with 100 brokers, and as many as in the largest ones for complete lists and for changes
/// alone.
const RATES: [f64; 4] = [2.7, 16.0, 33.0, 128.0];

/// The worst of some seeds, by size of the fleet and model of discovery.
#[must_use]
pub fn run(seed: u64, seeds: u64) -> Vec<Figures> {
    let mut all = Vec::new();
    for brokers in [6, 20, 60, 100, 300] {
        for rate in RATES {
            for handles_abandoned_calls in [false, true] {
                let model = DiscoveryModel {
                    rate,
                    fails_after_ms: FAILURE_TIMEOUT_MS,
                    handles_abandoned_calls,
                };
                let figures = (seed..seed + seeds).map(|seed| play(seed, brokers, model));
                all.extend(figures.max_by(|a, b| a.last_s.total_cmp(&b.last_s)));
            }
        }
    }
    all
}

/// The figures as a table.
#[must_use]
pub fn table(all: &[Figures]) -> String {
    let mut text = format!(
        "{:>8} {:>8} {:>8} {:>10} {:>7} {:>7} {:>7} {:>7} {:>6}\n",
        "brokers", "calls/s", "in vain", "refused/s", "calls", "failed", "half s", "last s", "late"
    );
    for f in all {
        text += &format!(
            "{:>8} {:>8} {:>8} {:>10.1} {:>7} {:>7} {:>7.1} {:>7.1} {:>6}\n",
            f.brokers,
            f.rate,
            f.handles_abandoned_calls,
            f.refused_per_s,
            f.calls,
            f.failed,
            f.half_s,
            f.last_s,
            f.late
        );
    }
    text
}
