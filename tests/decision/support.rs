//! Test support for the decision module: settings, a virtual clock, and constructors of events and
//! actions.

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
        retry_safety: RetrySafety::Safe,
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
            may_cancel: true,
            may_probe: true,
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
        slow_start: SlowStart {
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
        started_at: None,
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
            is_retry: false,
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

/// Plays so many queries of one part, whose attempts end as `outcome_of` says, and counts the attempts
/// of each server.
pub fn send_counts(
    stage: &mut Stage,
    n: usize,
    outcome_of: impl Fn(ServerId) -> (Outcome, Micros),
) -> [usize; 4] {
    let mut sent_by_server = [0; 4];
    for _ in 0..n {
        let (_, events) = stage.query(&[0]);
        let mut open: Vec<(u64, u16, ServerId)> = sends(&stage.turn(events))
            .into_iter()
            .map(|(p, s)| (p, 0, s))
            .collect();
        while let Some((part, attempt, server)) = open.pop() {
            sent_by_server[server.0 as usize] += 1;
            let (outcome, elapsed) = outcome_of(server);
            let actions = stage.after(
                elapsed,
                vec![finished(part, attempt, server, outcome, elapsed)],
            );
            open.extend(
                sends(&actions)
                    .into_iter()
                    .map(|(p, s)| (p, attempt + 1, s)),
            );
        }
        stage.after(MS, vec![Event::Wake]);
    }
    sent_by_server
}

/// A fleet of one server for each cell, shards held by three in a row, parts that share no calls.
pub fn fleet(servers: u32, mut configuration: Settings) -> Stage {
    configuration.layout = Layout {
        cells: servers,
        width: 3,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let mut stage = Stage::new(configuration);
    let lines = (0..servers)
        .map(|i| ListedServer {
            zone: i % 2,
            ..line(100 + i, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Complete(lines))]);
    stage
}

/// Gives the query that these events begin a key, and the mark of a client's retry.
pub fn with_key(events: &mut [Event], query_key: u64, is_retry: bool) {
    if let Event::Query {
        key,
        is_retry: again,
        ..
    } = &mut events[0]
    {
        (*key, *again) = (query_key, is_retry);
    }
}

/// Plays a query to its end. `outcome_of` says how an attempt of a server ends; `None`: never. Returns
/// the servers that its attempts went to and whether it was answered.
pub fn play(
    stage: &mut Stage,
    shards: &[u32],
    key: u64,
    outcome_of: impl Fn(ServerId) -> Option<(Outcome, Micros)>,
) -> (Vec<ServerId>, bool) {
    let (id, mut events) = stage.query(shards);
    with_key(&mut events, key, false);
    let mut actions = stage.turn(events);
    let (mut servers_reached, mut open) = (Vec::new(), Vec::<(u64, u16, ServerId, Time)>::new());
    let mut attempts = std::collections::BTreeMap::<u64, u16>::new();
    for _ in 0..4_000 {
        for (part, server) in sends(&actions) {
            let attempt = attempts.entry(part).or_default();
            open.push((part, *attempt, server, stage.now));
            *attempt += 1;
            servers_reached.push(server);
        }
        let mut events = vec![Event::Wake];
        for action in &actions {
            if let Action::Cancel { part, attempt } = action {
                open.retain(|o| (o.0, o.1) != (part.0, *attempt));
                events.push(finished(
                    part.0,
                    *attempt,
                    ServerId(100),
                    Outcome::Cancelled,
                    MS,
                ));
            }
        }
        if let Some((_, answered)) = finals(&actions).first() {
            // What is still out ends as its server has it, so that nothing stays behind.
            for (part, attempt, server, _) in open {
                let (outcome, elapsed) = outcome_of(server).unwrap_or((Outcome::Cancelled, MS));
                stage.turn(vec![finished(part, attempt, server, outcome, elapsed)]);
            }
            return (servers_reached, *answered);
        }
        stage.now = stage.now.plus(5 * MS);
        open.retain(|&(part, attempt, server, sent)| {
            let due = outcome_of(server).filter(|&(_, elapsed)| stage.now >= sent.plus(elapsed));
            events.extend(
                due.map(|(outcome, elapsed)| finished(part, attempt, server, outcome, elapsed)),
            );
            due.is_none()
        });
        actions = stage.turn(events);
    }
    panic!("query {id} never ended");
}

/// A server that answers soon.
pub fn healthy(_: ServerId) -> Option<(Outcome, Micros)> {
    Some((Outcome::Ok, 50 * MS))
}

/// A ring of cells of one server each, three of which hold a shard; no call is shared.
pub fn ring(cells: u32) -> Stage {
    let mut configuration = settings(class());
    configuration.layout = Layout {
        cells,
        width: 3,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let mut stage = Stage::new(configuration);
    let lines = (0..cells)
        .map(|i| ListedServer {
            zone: 9,
            ..line(i + 1, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Complete(lines))]);
    stage
}

/// Makes the query that these events begin one of a tenant.
pub fn of_tenant(events: &mut [Event], index: u32) {
    if let Event::Query { tenant, .. } = &mut events[0] {
        *tenant = index;
    }
}

/// Wakes the module every 10 ms for so long, and returns all its actions.
pub fn wake_repeatedly(stage: &mut Stage, by: Micros) -> Vec<Action> {
    let mut all = Vec::new();
    for _ in 0..by / (10 * MS) {
        all.extend(stage.after(10 * MS, vec![Event::Wake]));
    }
    all
}

/// Whether an answer among the actions is complete; `None`: there is none.
pub fn answer_of(actions: &[Action]) -> Option<bool> {
    actions.iter().find_map(|a| {
        if let Action::Answer { whole, .. } = a {
            Some(*whole)
        } else {
            None
        }
    })
}
