//! `replay`: random days for the decision module alone, as a digest of every action. Two versions
//! of the module that decide alike give the same digests for the same seeds.

use crate::world::{hash_words, healthy_fleet, MS};
use lichenswitch::interface::{
    Action, Budget, Class, Discovery, Event, Layout, Limits, ListedServer, Outcome, PartId,
    QueryId, RetrySafety, ServerId, ServerListUpdate, ServerMode, Settings, Shard, SlowStart, Time,
    FIRST_SHARE,
};
use lichenswitch::policy::Coordinator;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::collections::BTreeMap;

/// The result of a day.
#[derive(Debug, PartialEq, Serialize)]
pub struct Day {
    /// Seed of the day.
    pub seed: u64,
    /// Events that the module received.
    pub events: u64,
    /// Actions that it requested.
    pub actions: u64,
    /// Digest of all actions in order, with their turns.
    pub digest: String,
}

fn class(repeat: RetrySafety, second_step: u32, floor: f64) -> Class {
    Class {
        latency_target: 1_000 * MS,
        deadline: 3_000 * MS,
        retry_safety: repeat,
        value: 1.0 + f64::from(second_step),
        late_share: 0.1,
        need: 1.0,
        floor,
        partial: 0.8,
        second_step,
        first_share: FIRST_SHARE,
        attempts: None,
    }
}

fn settings(rng: &mut Xoshiro256PlusPlus) -> Settings {
    let cells = rng.random_range(2..30);
    let budget = Budget {
        window: 1_000 * MS,
        min_retries: 3.0,
        share: 0.2,
    };
    Settings {
        classes: vec![
            class(RetrySafety::Safe, 0, 1.0),
            class(RetrySafety::Safe, 5, 0.8),
            class(RetrySafety::Keyed(800 * MS), 0, 1.0),
            class(RetrySafety::Unsafe, 0, 0.5),
        ],
        limits: Limits {
            attempts: rng.random_range(1..5),
            max_held: 100_000,
            may_cancel: rng.random_bool(0.8),
            may_probe: false,
            second_copies: rng.random_bool(0.8),
            retry_after: rng.random_bool(0.5).then_some(500 * MS),
            budget: rng.random_bool(0.4).then_some(budget),
        },
        layout: Layout {
            cells,
            width: 2,
            shards: cells * 3,
            parts_a_call: rng.random_range(1..9),
        },
        discovery: Discovery::Ask(1_000 * MS),
        slow_start: SlowStart {
            share: 0.3,
            warm_after: 5_000 * MS,
            fall_multiple: 3.0,
            fall_after: 1_000 * MS,
        },
        resolution: 5 * MS,
        marks_retry: rng.random_bool(0.5),
        instances: 3,
        ..Settings::default()
    }
}

/// A query that has not ended.
struct OpenQuery {
    number: u32,
    class: usize,
    parts: BTreeMap<PartId, PartProgress>,
    /// Whether its second step has begun.
    is_in_second_step: bool,
}

/// A part of a query.
struct PartProgress {
    shard: Shard,
    is_answered: bool,
}

/// An attempt, and how it will end.
#[derive(Clone, Copy)]
struct InFlightAttempt {
    part: PartId,
    attempt: u16,
    server: ServerId,
    sent_at: Time,
    ends_at: Time,
    outcome: Outcome,
}

impl InFlightAttempt {
    /// The event of its end, with this outcome, at this time.
    fn finished(&self, at: Time, outcome: Outcome) -> Event {
        Event::Finished {
            part: self.part,
            attempt: self.attempt,
            server: self.server,
            outcome,
            elapsed: at.since(self.sent_at),
        }
    }
}

/// The module on a random day.
struct Replay {
    rng: Xoshiro256PlusPlus,
    settings: Settings,
    module: Coordinator,
    now: Time,
    open: BTreeMap<QueryId, OpenQuery>,
    in_flight: Vec<InFlightAttempt>,
    /// Attempts of each part so far.
    attempts: BTreeMap<PartId, u16>,
    last_id: u64,
    /// Number of the query that arrived last.
    last_number: u32,
    day: Day,
    digest: u64,
}

impl Replay {
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn line(&mut self, server: u32) -> ListedServer {
        let mode = [
            ServerMode::Ready,
            ServerMode::Ready,
            ServerMode::Ready,
            ServerMode::Draining,
            ServerMode::Gone,
        ];
        let mode = mode[self.rng.random_range(0..5)];
        let started = self.rng.random_bool(0.3).then_some(self.now);
        let cells = self.settings.layout.cells;
        ListedServer {
            server: ServerId(server),
            cell: server % cells,
            zone: server % 3,
            mode,
            started_at: started,
        }
    }

    fn arrive(&mut self, events: &mut Vec<Event>) {
        let (query, class) = (QueryId(self.new_id()), self.rng.random_range(0..4usize));
        self.last_number += 1;
        let number = self.last_number;
        let shards = self.settings.layout.shards;
        let wide = if class == 2 { 3 } else { shards };
        let (count, first) = (
            self.rng.random_range(1..=wide),
            self.rng.random_range(0..shards),
        );
        let deadline = self.now.plus(self.rng.random_range(500..3_000) * MS);
        let (key, again) = (self.rng.random_range(0..4), self.rng.random_bool(0.2));
        events.push(Event::Query {
            query,
            number,
            class: class as u16,
            deadline,
            key,
            is_retry: again,
            tenant: u32::MAX,
        });
        self.open.insert(
            query,
            OpenQuery {
                number,
                class,
                parts: BTreeMap::new(),
                is_in_second_step: false,
            },
        );
        for i in 0..count {
            self.add_part(
                query,
                Shard((first + i) % shards),
                1.0 / f64::from(count),
                events,
            );
        }
    }

    /// A part of a query arrives.
    fn add_part(&mut self, query: QueryId, shard: Shard, weight: f64, events: &mut Vec<Event>) {
        let part = PartId(self.new_id());
        if let Some(open) = self.open.get_mut(&query) {
            let progress = PartProgress {
                shard,
                is_answered: false,
            };
            open.parts.insert(part, progress);
            events.push(Event::Part {
                part,
                number: open.number,
                shard,
                weight,
            });
        }
    }

    fn execute_actions(&mut self, actions: Vec<Action>, events: &mut Vec<Event>) {
        self.day.actions += actions.len() as u64;
        for action in actions {
            for word in format!("{action:?}").as_bytes().chunks(8) {
                let word = word.iter().fold(0, |w, &b| w << 8 | u64::from(b));
                self.digest = hash_words(&[self.digest, self.now.0, word]);
            }
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => self.send(part, server, timeout),
                Action::Cancel { part, attempt } => {
                    let mut in_flight = self.in_flight.iter();
                    let index = in_flight.position(|a| (a.part, a.attempt) == (part, attempt));
                    let Some(index) = index else { continue };
                    let cancelled = self.in_flight.remove(index);
                    events.push(cancelled.finished(self.now, Outcome::Cancelled));
                }
                Action::Answer { query, .. } => self.end_step(query, events),
                Action::Refuse { query, .. } | Action::Fail(query) => {
                    self.open.remove(&query);
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt, whose end is drawn.
    fn send(&mut self, part: PartId, server: ServerId, timeout: u64) {
        let attempts = self.attempts.entry(part).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let failures = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
        ];
        // Some servers are slow or unresponsive, in turns of five seconds.
        let condition =
            hash_words(&[u64::from(server.0), self.now.0 / 5_000_000, self.day.seed]) % 12;
        let (elapsed, outcome) = match self.rng.random_range(0..20) {
            0 => (
                self.rng.random_range(1..50) * MS,
                failures[self.rng.random_range(0..4)],
            ),
            _ if condition == 0 => (timeout, Outcome::Timeout),
            _ if condition == 1 => (self.rng.random_range(300..1_500) * MS, Outcome::Ok),
            _ => (self.rng.random_range(20..200) * MS, Outcome::Ok),
        };
        let (elapsed, outcome) = if elapsed >= timeout {
            (timeout, Outcome::Timeout)
        } else {
            (elapsed, outcome)
        };
        self.in_flight.push(InFlightAttempt {
            part,
            attempt,
            server,
            sent_at: self.now,
            ends_at: self.now.plus(elapsed),
            outcome,
        });
    }

    /// Ends a query, or its first step: the second one goes to a few of the shards that have answered.
    fn end_step(&mut self, query: QueryId, events: &mut Vec<Event>) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        let second_step = self.settings.classes[open.class].second_step as usize;
        if second_step == 0 || std::mem::replace(&mut open.is_in_second_step, true) {
            self.open.remove(&query);
            return;
        }
        let shards: Vec<Shard> = open
            .parts
            .values()
            .filter(|part| part.is_answered)
            .map(|part| part.shard)
            .take(second_step)
            .collect();
        for &shard in &shards {
            self.add_part(query, shard, 1.0 / shards.len() as f64, events);
        }
    }

    /// Runs a turn of the module. `pending`: events that the last turn resulted in, replaced by those
    /// of this one.
    fn turn(&mut self, pending: &mut Vec<Event>) {
        let mut events = std::mem::take(pending);
        self.finish_attempts(&mut events);
        if self.rng.random_bool(0.15) {
            self.arrive(&mut events);
        }
        if self.rng.random_bool(0.003) {
            let query = self.open.keys().nth(self.rng.random_range(0..5)).copied();
            events.extend(query.map(Event::Hangup));
            query.map(|id| self.open.remove(&id));
        }
        if self.rng.random_bool(0.01) {
            let server = self.rng.random_range(0..self.settings.layout.cells * 2);
            let line = self.line(server);
            events.push(Event::List(ServerListUpdate::Changes(vec![line])));
        }
        events.push(Event::Wake);
        self.day.events += events.len() as u64;
        let mut actions = Vec::new();
        self.module.turn(self.now, events, &mut actions);
        self.execute_actions(actions, pending);
    }

    /// Ends the attempts whose time has come.
    fn finish_attempts(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        let (finished, in_flight): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt| attempt.ends_at <= now);
        self.in_flight = in_flight;
        for attempt in finished {
            if attempt.outcome == Outcome::Ok {
                let mut open = self.open.values_mut();
                if let Some(part) = open.find_map(|query| query.parts.get_mut(&attempt.part)) {
                    part.is_answered = true;
                }
            }
            events.push(attempt.finished(attempt.ends_at, attempt.outcome));
        }
    }
}

/// Simulates one day of this many turns.
#[must_use]
pub fn day(seed: u64, turns: u32) -> Day {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(hash_words(&[seed, 77]));
    let settings = settings(&mut rng);
    let cells = settings.layout.cells;
    let mut pending = vec![Event::List(healthy_fleet(cells * 2, cells))];
    let mut replay = Replay {
        rng,
        module: Coordinator::new(seed, settings.clone()),
        settings,
        now: Time(1_000_000 * MS),
        open: BTreeMap::new(),
        in_flight: Vec::new(),
        attempts: BTreeMap::new(),
        last_id: 0,
        last_number: 0,
        day: Day {
            seed,
            events: 0,
            actions: 0,
            digest: String::new(),
        },
        digest: 0,
    };
    for _ in 0..turns {
        replay.now = replay.now.plus(5 * MS);
        replay.turn(&mut pending);
    }
    replay.day.digest = format!("{:016x}", replay.digest);
    replay.day
}

/// Simulates twenty days.
#[must_use]
pub fn run(seed: u64) -> Vec<Day> {
    (0..20).map(|i| day(seed * 1_000 + i, 4_000)).collect()
}
