//! Decision module of the coordinator. Its events and actions are defined in the package
//! `interface`.
//!
//! The normal path is BASIC with REQS (Friedman and Mosse 1996): a part goes to the replica with
//! the fewest pending calls of this instance, is copied once at half its latency target (a hedged
//! request), and the slower of the two is cancelled. Everything else guards against a fault that is
//! described at the code.
//!
//! - `intake`: events of queries and parts;
//! - `selection`: the replica of each attempt, retry and copy;
//! - `outcomes`: ends of attempts; `health`: faults of servers and zones;
//! - `completion`: admission of queries, and their answers, refusals and failures;
//! - `server_list`: the list of servers and the slow start of new ones;
//! - `tuning`: tuned constants.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod completion;
mod health;
mod intake;
mod outcomes;
mod selection;
mod server_list;
mod tuning;

use completion::PoisonQuery;
use intake::RefusedQuery;
use lichenswitch_interface::{
    Action, Discovery, Event, Micros, PartId, QueryId, ServerId, Settings, Time,
};
use lichenswitch_stats::{
    DecayingMean, DecayingValue, InFlightAttempt, Query, SeededRng, Server, TenantQuotas,
    WindowCount,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tuning::{
    ADMISSION_INITIAL, CANCEL_PROPAGATION_TIME, MAX_CHECK_INTERVAL, MAX_COPY_TOKENS,
    SUBSCRIBE_BACKOFF_MIN,
};

/// Identifier of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    part: PartId,
    /// Index among the part's attempts, from 0.
    attempt: u16,
}

/// State of the decision module of one broker process.
#[derive(Default)]
pub struct Coordinator {
    settings: Settings,
    rng: SeededRng,
    seed: u64,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    /// Servers that accept work, by cell.
    servers_by_cell: BTreeMap<u32, Vec<ServerId>>,
    /// Number of servers that accept work.
    ready_servers: usize,
    /// Share of faults at all servers of a zone that affect every class.
    zones: BTreeMap<u32, DecayingValue>,
    /// Share of losses on connections in use (index 0) and on idle ones (index 1).
    losses: [DecayingValue; 2],
    queries: BTreeMap<QueryId, Query>,
    queries_by_number: BTreeMap<u32, QueryId>,
    /// Query of each part, and the part's index in it.
    parts: HashMap<PartId, (QueryId, usize)>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// Common response time by class and step (microseconds): index `2 * class + step - 1`.
    common_times: Vec<DecayingMean>,
    /// Identifier of the next call.
    next_call_id: u64,
    /// Identifier of the first call of this turn.
    first_call_of_turn: u64,
    /// Tokens for copies; each copy takes one.
    copy_tokens: f64,
    /// Share of copied parts whose first attempt proved lost or delayed alone.
    copy_usefulness: DecayingMean,
    /// Maximum forecast of a query at admission, as a share of its latency target.
    admission: f64,
    /// Mean value of queries per unit of work.
    mean_value: DecayingMean,
    /// Recently refused queries, to recognise their retries.
    recent_refusals: VecDeque<RefusedQuery>,
    quotas: TenantQuotas,
    /// Recently stopped queries that broke connections to several servers.
    poison_queries: Vec<PoisonQuery>,
    /// Number of processes that share this instance's limits.
    processes: u32,
    /// Time of the first turn.
    began: Time,
    /// Answers since the first turn.
    answer_count: u64,
    /// Time of the last answer.
    answered_at: Time,
    /// Admitted queries and parts within the window of the retry budget.
    recent_admissions: WindowCount,
    /// Retries and copies within the same window.
    recent_retries: WindowCount,
    /// Time of the earliest requested wake-up.
    wake_at: Option<Time>,
    /// Time of the next request for the server list.
    subscribe_at: Option<Time>,
    /// Delay before the next request for the list after a failure.
    subscribe_backoff: Micros,
}

impl Coordinator {
    /// Creates an instance without servers or statistics. The same seed, settings and events give
    /// the same actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Coordinator {
            rng: SeededRng(fastrand::Rng::with_seed(seed)),
            seed,
            common_times: vec![DecayingMean::default(); settings.classes.len() * 2],
            copy_tokens: MAX_COPY_TOKENS / 2.0,
            admission: ADMISSION_INITIAL,
            processes: 1,
            began: Time(u64::MAX),
            subscribe_at: Some(Time(0)),
            subscribe_backoff: SUBSCRIBE_BACKOFF_MIN,
            quotas: TenantQuotas::new(&settings.quotas, settings.instances),
            settings,
            ..Coordinator::default()
        }
    }

    /// Handles all events of a turn, then appends the resulting actions.
    pub fn turn(&mut self, now: Time, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.began = self.began.min(self.now);
        self.first_call_of_turn = self.next_call_id;
        for event in events {
            self.on_event(event, actions);
        }
        let due = self
            .queries
            .iter()
            .filter(|(_, q)| q.check_at <= self.now)
            .map(|(&id, _)| id);
        for id in due.collect::<Vec<_>>() {
            self.advance(id, actions);
        }
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            self.subscribe_at = None;
            actions.extend(
                matches!(self.settings.discovery, Discovery::Ask(_)).then_some(Action::Subscribe),
            );
        }
        self.schedule_wake(actions);
    }

    /// Returns the next check of a query: at its end, when a partial answer is allowed, when a part
    /// is to be copied, or soon if a send is withheld.
    fn check_time_of(&self, q: &Query) -> Time {
        let soon = self.now.plus(if self.settings.limits.second_copies {
            MAX_CHECK_INTERVAL
        } else {
            CANCEL_PROPAGATION_TIME
        });
        let partial = q.arrived_at.plus(self.partial_answer_delay(q));
        let mut check_at = self
            .end_time_of(q)
            .min(if partial > self.now { partial } else { soon });
        let again =
            |i: usize| q.parts[i].attempts_made() < self.settings.attempts_of(q.class) as usize;
        if q.checks.idle_parts().next().is_some() || q.checks.due_parts(self.now).any(again) {
            check_at = check_at.min(soon);
        }
        check_at = check_at.min(q.checks.next_check(self.now).unwrap_or(check_at));
        check_at
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let Some(check_at) = self
            .queries
            .values()
            .map(|q| q.check_at)
            .chain(self.subscribe_at)
            .min()
        else {
            return;
        };
        let check_at = check_at.max(self.now.plus(self.settings.resolution.max(1)));
        if self.wake_at.is_none_or(|at| check_at < at) {
            actions.push(Action::Wake(check_at.since(self.now).min(60_000_000)));
            self.wake_at = Some(check_at);
        }
    }
}
