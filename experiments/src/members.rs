//! What failure detection costs and how soon it is right, in virtual time, by the size of the fleet:
//! brokers in a network that loses one message in a hundred, of which one after the other crashes.

use lichenswitch::decide::failure_detector::{DetectorAction, FailureDetector, Member, SwimConfig};
use lichenswitch::interface::{Micros, Time};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SECOND: Micros = 1_000_000;
const START: Time = Time(1_000 * SECOND);
/// The delay of a message, the probability that it is lost, and brokers that others know beforehand.
const LINK_DELAY: Micros = 1_000;
const LOSS_PROBABILITY: f64 = 0.01;
const SEED_COUNT: usize = 3;
/// The time without a fault in which bytes are counted, and the time after each crash.
const QUIET_TIME: Micros = 30 * SECOND;
const DETECTION_TIME: Micros = 12 * SECOND;

/// The figures of a fleet, printed and written by these names.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Brokers.
    pub brokers: usize,
    /// Until the view of each was complete, milliseconds.
    pub agreed_ms: u64,
    /// Bytes that each sends in a second without a fault.
    pub peer_bytes_per_s_each: f64,
    /// Crashes, and how many times one should have been declared and was.
    pub deaths: usize,
    /// See `deaths`.
    pub told: usize,
    /// See `deaths`.
    pub to_be_told: usize,
    /// From a crash to its declaration by one of the others, milliseconds: half of them, 99 in a
    /// hundred, all.
    pub detected_ms_p50: u64,
    /// See `detected_ms_p50`.
    pub detected_ms_p99: u64,
    /// See `detected_ms_p50`.
    pub detected_ms_most: u64,
    /// Deaths declared of brokers that run.
    pub false_deaths: usize,
}

type InFlightMessage = Reverse<(Time, u64, usize, Vec<u8>)>;

struct Network {
    detectors: Vec<Option<FailureDetector>>,
    timers: BinaryHeap<Reverse<(Time, usize)>>,
    in_flight: BinaryHeap<InFlightMessage>,
    rng: Xoshiro256PlusPlus,
    now: Time,
    sent_messages: u64,
    bytes: u64,
    down: Vec<(Time, usize, String)>,
}

impl Network {
    fn new(seed: u64, count: usize) -> Network {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let member = |i: usize, incarnation| Member {
            name: format!("n{i}"),
            address,
            zone: String::new(),
            incarnation,
        };
        let detector = |i: usize| {
            let seeds = (0..SEED_COUNT.min(count)).map(|s| member(s, 0)).collect();
            Some(FailureDetector::new(
                START,
                member(i, START.0),
                seeds,
                SwimConfig::default(),
                seed ^ (i as u64) << 20,
            ))
        };
        Network {
            detectors: (0..count).map(detector).collect(),
            timers: (0..count).map(|i| Reverse((START, i))).collect(),
            in_flight: BinaryHeap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: START,
            sent_messages: 0,
            bytes: 0,
            down: Vec::new(),
        }
    }

    fn apply_verdicts(&mut self, broker: usize, verdicts: Vec<DetectorAction>) {
        for verdict in verdicts {
            match verdict {
                DetectorAction::Send(to, bytes) => {
                    (self.sent_messages, self.bytes) =
                        (self.sent_messages + 1, self.bytes + bytes.len() as u64);
                    let to = to.name[1..].parse().unwrap_or(0);
                    if !self.rng.random_bool(LOSS_PROBABILITY) {
                        self.in_flight.push(Reverse((
                            self.now.plus(LINK_DELAY),
                            self.sent_messages,
                            to,
                            bytes,
                        )));
                    }
                }
                DetectorAction::Down(member, _) => self.down.push((self.now, broker, member.name)),
                DetectorAction::Up(..) | DetectorAction::Renewed(..) => {}
            }
        }
        if let Some(detector) = &self.detectors[broker] {
            self.timers.push(Reverse((detector.next(), broker)));
        }
    }

    /// Runs until then, or until `done`.
    fn run(&mut self, until: Time, done: impl Fn(&Network) -> bool) {
        let mut checked_at = self.now;
        loop {
            let (arrival, timer) = (
                self.in_flight.peek().map(|w| w.0 .0),
                self.timers.peek().map(|t| t.0 .0),
            );
            let Some(at) = arrival
                .into_iter()
                .chain(timer)
                .min()
                .filter(|at| *at <= until)
            else {
                break;
            };
            self.now = self.now.max(at);
            if self.now >= checked_at.plus(SECOND / 10) {
                checked_at = self.now;
                if done(self) {
                    return;
                }
            }
            if arrival == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.in_flight.pop() else {
                    continue;
                };
                let verdicts = self.detectors[to]
                    .as_mut()
                    .map(|f| f.on_message(self.now, &bytes));
                verdicts
                    .into_iter()
                    .for_each(|verdicts| self.apply_verdicts(to, verdicts));
            } else if let Some(Reverse((_, i))) = self.timers.pop() {
                // A timer is set again whenever it changes: only one that is still due counts.
                let due = self.detectors[i].as_mut().filter(|f| f.next() <= self.now);
                let verdicts = due.map(|f| f.on_time(self.now));
                verdicts
                    .into_iter()
                    .for_each(|verdicts| self.apply_verdicts(i, verdicts));
            }
        }
        self.now = until;
    }

    fn is_consistent(&self) -> bool {
        let living = self.detectors.iter().flatten().count();
        self.detectors
            .iter()
            .flatten()
            .all(|f| f.alive().len() + 1 == living)
    }
}

/// One fleet, of which this many brokers crash.
#[must_use]
pub fn play(seed: u64, brokers: usize, deaths: usize) -> Figures {
    let mut network = Network::new(seed, brokers);
    network.run(START.plus(120 * SECOND), Network::is_consistent);
    let agreed_ms = network.now.since(START) / 1_000;
    // The updates of the start are passed on to the end.
    network.run(network.now.plus(20 * SECOND), |_| false);
    network.bytes = 0;
    network.run(network.now.plus(QUIET_TIME), |_| false);
    let each = network.bytes as f64 / brokers as f64 / (QUIET_TIME / SECOND) as f64;
    let mut figures = Figures {
        brokers,
        agreed_ms,
        peer_bytes_per_s_each: each,
        deaths,
        ..Figures::default()
    };
    let mut delays_ms = Vec::new();
    for crashed in (0..deaths).map(|d| brokers - 1 - d) {
        let crashed_at = network.now;
        network.detectors[crashed] = None;
        network.run(crashed_at.plus(DETECTION_TIME), |_| false);
        let name = format!("n{crashed}");
        let detections = network
            .down
            .iter()
            .filter(|d| d.2 == name && d.0 >= crashed_at);
        delays_ms.extend(detections.map(|d| d.0.since(crashed_at) / 1_000));
        figures.to_be_told += network.detectors.iter().flatten().count();
    }
    delays_ms.sort_unstable();
    let at = |share: f64| {
        delays_ms
            .get(((delays_ms.len() as f64 * share) as usize).min(delays_ms.len().max(1) - 1))
            .copied()
    };
    figures.told = delays_ms.len();
    figures.false_deaths = network.down.len() - delays_ms.len();
    figures.detected_ms_p50 = at(0.5).unwrap_or_default();
    figures.detected_ms_p99 = at(0.99).unwrap_or_default();
    figures.detected_ms_most = at(1.0).unwrap_or_default();
    figures
}

/// The figures as a table.
#[must_use]
pub fn table(fleets: &[Figures]) -> String {
    let mut text = format!(
        "{:>8} {:>10} {:>10} {:>22} {:>8} {:>6}\n",
        "brokers", "agreed ms", "bytes/s", "detected ms", "told", "false"
    );
    for fleet in fleets {
        let detected = format!(
            "{} / {} / {}",
            fleet.detected_ms_p50, fleet.detected_ms_p99, fleet.detected_ms_most
        );
        let told = format!("{}/{}", fleet.told, fleet.to_be_told);
        let bytes = fleet.peer_bytes_per_s_each;
        text += &format!(
            "{:>8} {:>10} {bytes:>10.0} {detected:>22} {told:>8} {:>6}\n",
            fleet.brokers, fleet.agreed_ms, fleet.false_deaths
        );
    }
    text
}
