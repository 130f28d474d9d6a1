//! Test support for the decision module: settings, a virtual clock, and constructors of events and
//! actions.
#![allow(dead_code, reason = "each test file uses a part of it")]

use lichenswitch::interface::{
    Action, Class, Discovery, Event, Layout, Limits, ListedServer, Micros, Outcome, PartId,
    QueryId, RetrySafety, ServerId, ServerListUpdate, ServerMode, Settings, Shard, SlowStart, Time,
    FIRST_SHARE,
};
use lichenswitch::policy::Coordinator;

/// A millisecond in microseconds.
pub const MS: Micros = 1_000;
/// Latency target of [`class`], in microseconds.
pub const LATENCY_TARGET: Micros = 1_000 * MS;

/// A class whose parts may be repeated, and whose answers need all of them.
pub fn class() -> Class {
    Class {
        latency_target: LATENCY_TARGET,
        deadline: 4 * LATENCY_TARGET,
        repeat: RetrySafety::Safe,
        value: 1.0,
        late_share: 0.2,
        need: 1.0,
        floor: 1.0,
        partial: 0.8,
        second_step: 0,
        first_share: FIRST_SHARE,
        attempts: None,
    }
}

/// Settings with this class alone, for three cells that all hold every shard.
pub fn settings(class: Class) -> Settings {
    Settings {
        classes: vec![class],
        limits: Limits {
            attempts: 3,
            max_held: 1_000,
            cancel: true,
            probe: true,
            second_copies: true,
            retry_after: Some(1_000 * MS),
            budget: None,
        },
        layout: Layout {
            cells: 3,
            width: 3,
            shards: u32::MAX,
            parts_a_call: 16,
        },
        discovery: Discovery::Push,
        cold: SlowStart {
            share: 0.25,
            warm_after: 15_000 * MS,
            fall_multiple: 2.5,
            fall_after: 2_000 * MS,
        },
        zone: 0,
        resolution: MS,
        marks_retry: false,
        worth_by_work: false,
        instances: 3,
        quotas: Vec::new(),
        over_quota: 1.0,
    }
}

/// The decision module with a virtual clock, before three servers.
pub struct Stage {
    pub coordinator: Coordinator,
    pub now: Time,
    next_id: u64,
}

/// A server that is ready, in the zone of its cell's number.
pub fn line(id: u32, cell: u32) -> ListedServer {
    ListedServer {
        server: ServerId(id),
        cell,
        zone: cell,
        mode: ServerMode::Ready,
        started: None,
    }
}

/// The end of an attempt.
pub fn finished(
    part: u64,
    attempt: u16,
    server: ServerId,
    outcome: Outcome,
    elapsed: Micros,
) -> Event {
    Event::Finished {
        part: PartId(part),
        attempt,
        server,
        outcome,
        elapsed,
    }
}

impl Stage {
    /// Three servers, one in each of three cells: all hold every shard.
    pub fn new(settings: Settings) -> Stage {
        let mut stage = Stage {
            coordinator: Coordinator::new(7, settings),
            now: Time(1_000_000 * MS),
            next_id: 1,
        };
        stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![
            line(1, 0),
            line(2, 1),
            line(3, 2),
        ]))]);
        stage
    }

    /// One turn of the module, now.
    pub fn turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.coordinator.turn(self.now, events, &mut actions);
        actions
    }

    /// One turn of the module, this much later.
    pub fn after(&mut self, step: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.plus(step);
        self.turn(events)
    }

    /// Events of a new query: its id, then the parts' ids are the numbers that follow.
    pub fn query(&mut self, shards: &[u32]) -> (u64, Vec<Event>) {
        let id = self.next_id;
        self.next_id += 1 + shards.len() as u64;
        let number = id as u32;
        let deadline = self.now.plus(4 * LATENCY_TARGET);
        let mut events = vec![Event::Query {
            query: QueryId(id),
            number,
            class: 0,
            deadline,
            key: 0,
            again: false,
            tenant: u32::MAX,
        }];
        let weight = 1.0 / shards.len() as f64;
        events.extend((id + 1..).zip(shards).map(|(part, &shard)| Event::Part {
            part: PartId(part),
            number,
            shard: Shard(shard),
            weight,
        }));
        (id, events)
    }

    /// Sends a query of one part and answers it after `elapsed`.
    pub fn serve(&mut self, elapsed: Micros) {
        let (id, events) = self.query(&[0]);
        let server = sends(&self.turn(events))[0].1;
        self.after(
            elapsed,
            vec![finished(id + 1, 0, server, Outcome::Ok, elapsed)],
        );
    }
}

/// Makes the query that these events begin one of the class `index`.
pub fn of_class(events: &mut [Event], index: u16) {
    if let Event::Query { class, .. } = &mut events[0] {
        *class = index;
    }
}

/// The parts that are sent, and where to.
pub fn sends(actions: &[Action]) -> Vec<(u64, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { part, server, .. } => Some((part.0, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The queries that end, and whether with an answer.
pub fn finals(actions: &[Action]) -> Vec<(u64, bool)> {
    let end = |a: &Action| match a {
        Action::Answer { query, .. } => Some((query.0, true)),
        Action::Refuse { query, .. } | Action::Fail(query) => Some((query.0, false)),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}
