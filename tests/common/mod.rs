//! Test support for the decision module: settings, a virtual clock, and constructors of events and
//! actions.
#![allow(dead_code)]

use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;

/// A millisecond in microseconds.
pub const MS: Micros = 1_000;
/// Latency target of [`class`], in microseconds.
pub const LATENCY_TARGET: Micros = 1_000 * MS;

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

pub struct Stage {
    pub broker: Coordinator,
    pub now: Time,
    next: u64,
}

pub fn line(id: u32, cell: u32) -> ListedServer {
    ListedServer {
        server: ServerId(id),
        cell,
        zone: cell,
        mode: ServerMode::Ready,
        started: None,
    }
}

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
            broker: Coordinator::new(7, settings),
            now: Time(1_000_000 * MS),
            next: 1,
        };
        stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![
            line(1, 0),
            line(2, 1),
            line(3, 2),
        ]))]);
        stage
    }
    pub fn turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut out = Vec::new();
        self.broker.turn(self.now, events, &mut out);
        out
    }
    pub fn after(&mut self, by: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.plus(by);
        self.turn(events)
    }
    /// Events of a new query: its id, then the parts' ids are the numbers that follow.
    pub fn query(&mut self, shards: &[u32]) -> (u64, Vec<Event>) {
        let id = self.next;
        self.next += 1 + shards.len() as u64;
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
    /// Sends a query of one part and answers it after `took`.
    pub fn serve(&mut self, took: Micros) {
        let (id, events) = self.query(&[0]);
        let server = sends(&self.turn(events))[0].1;
        self.after(took, vec![finished(id + 1, 0, server, Outcome::Ok, took)]);
    }
}

/// Makes the query that these events begin one of the class `index`.
pub fn of_class(events: &mut [Event], index: u16) {
    if let Event::Query { class, .. } = &mut events[0] {
        *class = index;
    }
}

pub fn sends(actions: &[Action]) -> Vec<(u64, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { part, server, .. } => Some((part.0, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn finals(actions: &[Action]) -> Vec<(u64, bool)> {
    let end = |a: &Action| match a {
        Action::Answer { query, .. } => Some((query.0, true)),
        Action::Refuse { query, .. } | Action::Fail(query) => Some((query.0, false)),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}
