//! `replay`: random days for the decision module alone, as a digest of every action. Two versions
//! of the module that decide alike give the same digests for the same seeds.

use crate::world::{mixed, whole_fleet, MS};
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

/// What a day came to.
#[derive(Debug, PartialEq, Serialize)]
pub struct Day {
    /// Seed of the day.
    pub seed: u64,
    /// Events that the module was told.
    pub events: u64,
    /// Actions that it asked for.
    pub actions: u64,
    /// Digest of all actions in order, with their turns.
    pub digest: String,
}

fn class(repeat: RetrySafety, second_step: u32, floor: f64) -> Class {
    Class {
        latency_target: 1_000 * MS,
        deadline: 3_000 * MS,
        repeat,
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
        least: 3.0,
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
            cancel: rng.random_bool(0.8),
            probe: false,
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
        cold: SlowStart {
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

struct Open {
    number: u32,
    class: usize,
    parts: BTreeMap<PartId, (Shard, bool)>,
    second: bool,
}

struct Stage {
    rng: Xoshiro256PlusPlus,
    settings: Settings,
    module: Coordinator,
    now: Time,
    open: BTreeMap<QueryId, Open>,
    /// Attempts that are out: part, number, server, sent, ends, how.
    out: Vec<(PartId, u16, ServerId, Time, Time, Outcome)>,
    tries: BTreeMap<PartId, u16>,
    next: u64,
    number: u32,
    day: Day,
    digest: u64,
}

impl Stage {
    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
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
            started,
        }
    }

    fn arrive(&mut self, events: &mut Vec<Event>) {
        let (query, class) = (QueryId(self.id()), self.rng.random_range(0..4usize));
        self.number += 1;
        let number = self.number;
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
            again,
            tenant: u32::MAX,
        });
        self.open.insert(
            query,
            Open {
                number,
                class,
                parts: BTreeMap::new(),
                second: false,
            },
        );
        for i in 0..count {
            self.part(
                query,
                Shard((first + i) % shards),
                1.0 / f64::from(count),
                events,
            );
        }
    }

    fn part(&mut self, query: QueryId, shard: Shard, weight: f64, events: &mut Vec<Event>) {
        let part = PartId(self.id());
        if let Some(open) = self.open.get_mut(&query) {
            open.parts.insert(part, (shard, false));
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
                self.digest = mixed(&[self.digest, self.now.0, word]);
            }
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => self.sent(part, server, timeout),
                Action::Cancel { part, attempt } => {
                    let at = self.out.iter().position(|o| (o.0, o.1) == (part, attempt));
                    let Some(at) = at else { continue };
                    let (_, _, server, sent, ..) = self.out.remove(at);
                    let (outcome, elapsed) = (Outcome::Cancelled, self.now.since(sent));
                    events.push(Event::Finished {
                        part,
                        attempt,
                        server,
                        outcome,
                        elapsed,
                    });
                }
                Action::Answer { query, .. } => self.answered(query, events),
                Action::Refuse { query, .. } | Action::Fail(query) => {
                    self.open.remove(&query);
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, part: PartId, server: ServerId, timeout: u64) {
        let attempt = self.tries.entry(part).or_default();
        let number = *attempt;
        *attempt += 1;
        let bad = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
        ];
        // Some servers are slow or mute, by turns of five seconds.
        let mood = mixed(&[u64::from(server.0), self.now.0 / 5_000_000, self.day.seed]) % 12;
        let (took, how) = match self.rng.random_range(0..20) {
            0 => (
                self.rng.random_range(1..50) * MS,
                bad[self.rng.random_range(0..4)],
            ),
            _ if mood == 0 => (timeout, Outcome::Timeout),
            _ if mood == 1 => (self.rng.random_range(300..1_500) * MS, Outcome::Ok),
            _ => (self.rng.random_range(20..200) * MS, Outcome::Ok),
        };
        let (took, how) = if took >= timeout {
            (timeout, Outcome::Timeout)
        } else {
            (took, how)
        };
        self.out
            .push((part, number, server, self.now, self.now.plus(took), how));
    }

    /// The end of a query, or of its first step: the second goes to a few of the shards that are
    /// in.
    fn answered(&mut self, query: QueryId, events: &mut Vec<Event>) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        let wanted = self.settings.classes[open.class].second_step as usize;
        if wanted == 0 || std::mem::replace(&mut open.second, true) {
            self.open.remove(&query);
            return;
        }
        let shards: Vec<Shard> = open
            .parts
            .values()
            .filter(|p| p.1)
            .map(|p| p.0)
            .take(wanted)
            .collect();
        for &shard in &shards {
            self.part(query, shard, 1.0 / shards.len() as f64, events);
        }
    }

    fn turn(&mut self, pending: &mut Vec<Event>) {
        let mut events = std::mem::take(pending);
        let now = self.now;
        let due: Vec<_> = self.out.iter().filter(|o| o.4 <= now).copied().collect();
        self.out.retain(|o| o.4 > now);
        for (part, attempt, server, sent, ends, outcome) in due {
            if outcome == Outcome::Ok {
                let mut all = self.open.values_mut();
                if let Some(p) = all.find_map(|o| o.parts.get_mut(&part)) {
                    p.1 = true;
                }
            }
            events.push(Event::Finished {
                part,
                attempt,
                server,
                outcome,
                elapsed: ends.since(sent),
            });
        }
        if self.rng.random_bool(0.15) {
            self.arrive(&mut events);
        }
        if self.rng.random_bool(0.003) {
            let gone = self.open.keys().nth(self.rng.random_range(0..5)).copied();
            events.extend(gone.map(Event::Hangup));
            gone.map(|id| self.open.remove(&id));
        }
        if self.rng.random_bool(0.01) {
            let server = self.rng.random_range(0..self.settings.layout.cells * 2);
            let line = self.line(server);
            events.push(Event::List(ServerListUpdate::Changes(vec![line])));
        }
        events.push(Event::Wake);
        self.day.events += events.len() as u64;
        let mut actions = Vec::new();
        self.module.turn(now, events, &mut actions);
        self.execute_actions(actions, pending);
    }
}

/// Plays one day of so many turns.
#[must_use]
pub fn day(seed: u64, turns: u32) -> Day {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(mixed(&[seed, 77]));
    let settings = settings(&mut rng);
    let cells = settings.layout.cells;
    let mut pending = vec![Event::List(whole_fleet(cells * 2, cells))];
    let mut stage = Stage {
        rng,
        module: Coordinator::new(seed, settings.clone()),
        settings,
        now: Time(1_000_000 * MS),
        open: BTreeMap::new(),
        out: Vec::new(),
        tries: BTreeMap::new(),
        next: 0,
        number: 0,
        day: Day {
            seed,
            events: 0,
            actions: 0,
            digest: String::new(),
        },
        digest: 0,
    };
    for _ in 0..turns {
        stage.now = stage.now.plus(5 * MS);
        stage.turn(&mut pending);
    }
    stage.day.digest = format!("{:016x}", stage.digest);
    stage.day
}

/// Plays twenty days.
#[must_use]
pub fn run(seed: u64) -> Vec<Day> {
    (0..20).map(|i| day(seed * 1_000 + i, 4_000)).collect()
}
