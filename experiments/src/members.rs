//! What a view of the fleet costs and how soon it is right, in virtual time, by the size of the
//! fleet: brokers that talk over a network which loses one message in a hundred, and of which one
//! after the other dies.

use lichenswitch::decide::failure_detector::{FailureDetector, Member, SwimConfig, Verdict};
use lichenswitch::interface::{Micros, Time};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SECOND: Micros = 1_000_000;
const START: Time = Time(1_000 * SECOND);
/// Time on the way, share of messages that are lost, and brokers that others know beforehand.
const WAY: Micros = 1_000;
const LOST: f64 = 0.01;
const SEEDS: usize = 3;
/// Quiet time in which bytes are counted, and time after each death.
const QUIET: Micros = 30 * SECOND;
const DEATH: Micros = 12 * SECOND;

/// The figures of a fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Brokers.
    pub brokers: usize,
    /// Until all knew all, milliseconds.
    pub agreed_ms: u64,
    /// Bytes that each says in a second while nothing befalls it.
    pub peer_bytes_per_s_each: f64,
    /// Deaths, and how many times one should have been told and was.
    pub deaths: usize,
    /// See `deaths`.
    pub told: usize,
    /// See `deaths`.
    pub to_be_told: usize,
    /// From a death to the time when one of the others knew it, milliseconds: half of them, 99 in a
    /// hundred, all.
    pub detected_ms_p50: u64,
    /// See `detected_ms_p50`.
    pub detected_ms_p99: u64,
    /// See `detected_ms_p50`.
    pub detected_ms_most: u64,
    /// Deaths told of brokers that live.
    pub false_deaths: usize,
}

type Way = Reverse<(Time, u64, usize, Vec<u8>)>;

struct World {
    fleets: Vec<Option<FailureDetector>>,
    timers: BinaryHeap<Reverse<(Time, usize)>>,
    ways: BinaryHeap<Way>,
    dice: Xoshiro256PlusPlus,
    now: Time,
    sent: u64,
    bytes: u64,
    down: Vec<(Time, usize, String)>,
}

impl World {
    fn new(seed: u64, count: usize) -> World {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let member = |i: usize, incarnation| Member {
            name: format!("n{i}"),
            address,
            zone: String::new(),
            incarnation,
        };
        let fleet = |i: usize| {
            let seeds = (0..SEEDS.min(count)).map(|s| member(s, 0)).collect();
            Some(FailureDetector::new(
                START,
                member(i, START.0),
                seeds,
                SwimConfig::default(),
                seed ^ (i as u64) << 20,
            ))
        };
        World {
            fleets: (0..count).map(fleet).collect(),
            timers: (0..count).map(|i| Reverse((START, i))).collect(),
            ways: BinaryHeap::new(),
            dice: Xoshiro256PlusPlus::seed_from_u64(seed),
            now: START,
            sent: 0,
            bytes: 0,
            down: Vec::new(),
        }
    }

    fn carry(&mut self, by: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Send(to, bytes) => {
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
                    let to = to.name[1..].parse().unwrap_or(0);
                    if !self.dice.random_bool(LOST) {
                        self.ways
                            .push(Reverse((self.now.plus(WAY), self.sent, to, bytes)));
                    }
                }
                Verdict::Down(who, _) => self.down.push((self.now, by, who.name)),
                Verdict::Up(..) | Verdict::Renewed(..) => {}
            }
        }
        if let Some(fleet) = &self.fleets[by] {
            self.timers.push(Reverse((fleet.next(), by)));
        }
    }

    /// Plays until then, or until `done`.
    fn play(&mut self, until: Time, done: impl Fn(&World) -> bool) {
        let mut look = self.now;
        loop {
            let (way, timer) = (
                self.ways.peek().map(|w| w.0 .0),
                self.timers.peek().map(|t| t.0 .0),
            );
            let Some(at) = way.into_iter().chain(timer).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if self.now >= look.plus(SECOND / 10) {
                look = self.now;
                if done(self) {
                    return;
                }
            }
            if way == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.ways.pop() else {
                    continue;
                };
                let told = self.fleets[to]
                    .as_mut()
                    .map(|f| f.on_message(self.now, &bytes));
                told.into_iter().for_each(|told| self.carry(to, told));
            } else if let Some(Reverse((_, i))) = self.timers.pop() {
                // Each is entered anew whenever it changes: only one that is due still counts.
                let due = self.fleets[i].as_mut().filter(|f| f.next() <= self.now);
                let told = due.map(|f| f.on_time(self.now));
                told.into_iter().for_each(|told| self.carry(i, told));
            }
        }
        self.now = until;
    }

    fn agrees(&self) -> bool {
        let living = self.fleets.iter().flatten().count();
        self.fleets
            .iter()
            .flatten()
            .all(|f| f.alive().len() + 1 == living)
    }
}

/// One fleet, of which so many die.
#[must_use]
pub fn play(seed: u64, brokers: usize, deaths: usize) -> Figures {
    let mut world = World::new(seed, brokers);
    world.play(START.plus(120 * SECOND), World::agrees);
    let agreed_ms = world.now.since(START) / 1_000;
    // What was new at the start is told to the end.
    world.play(world.now.plus(20 * SECOND), |_| false);
    world.bytes = 0;
    world.play(world.now.plus(QUIET), |_| false);
    let each = world.bytes as f64 / brokers as f64 / (QUIET / SECOND) as f64;
    let mut figures = Figures {
        brokers,
        agreed_ms,
        peer_bytes_per_s_each: each,
        deaths,
        ..Figures::default()
    };
    let mut took = Vec::new();
    for dead in (0..deaths).map(|d| brokers - 1 - d) {
        let died = world.now;
        world.fleets[dead] = None;
        world.play(died.plus(DEATH), |_| false);
        let name = format!("n{dead}");
        let told = world.down.iter().filter(|d| d.2 == name && d.0 >= died);
        took.extend(told.map(|d| d.0.since(died) / 1_000));
        figures.to_be_told += world.fleets.iter().flatten().count();
    }
    took.sort_unstable();
    let at = |share: f64| {
        took.get(((took.len() as f64 * share) as usize).min(took.len().max(1) - 1))
            .copied()
    };
    figures.told = took.len();
    figures.false_deaths = world.down.len() - took.len();
    figures.detected_ms_p50 = at(0.5).unwrap_or_default();
    figures.detected_ms_p99 = at(0.99).unwrap_or_default();
    figures.detected_ms_most = at(1.0).unwrap_or_default();
    figures
}
