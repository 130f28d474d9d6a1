//! Every decision of the co-ordinator. Its types, events and actions are the package `interface`.
//!
//! The ordinary path is BASIC with REQS (Friedman and Mosse 1996): a part goes to the replica with
//! the fewest calls of this instance pending, is copied once at half its latency target (a hedged
//! request), and the loser of the two is cancelled. All else is a guard with its condition at the
//! code.
//!
//! - `intake`: events of queries and parts;
//! - `selection`: which replica gets an attempt, a retry or a copy;
//! - `outcomes`: how attempts ended; `health`: what that says of servers and zones;
//! - `completion`: when a query is answered, refused or failed, and whether it is admitted;
//! - `server_list`: the list of servers and the slow start of new ones;
//! - `tuning`: every tuned value.
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

/// Names an attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    part: PartId,
    /// Which of the part's attempts, from 0.
    attempt: u16,
}

/// One co-ordinator: the decisions of one broker.
#[derive(Default)]
pub struct Coordinator {
    settings: Settings,
    rng: SeededRng,
    seed: u64,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    /// The servers of each cell that take work.
    servers_by_cell: BTreeMap<u32, Vec<ServerId>>,
    /// How many there are in all.
    ready_servers: usize,
    /// Share of bad ends at the servers of each zone, for what befalls all classes.
    zones: BTreeMap<u32, DecayingValue>,
    /// Share of losses on connections in use and on those that had been idle.
    losses: [DecayingValue; 2],
    queries: BTreeMap<QueryId, Query>,
    queries_by_number: BTreeMap<u32, QueryId>,
    /// The query of each part, and its index there.
    parts: HashMap<PartId, (QueryId, usize)>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// Common response time by class and step (microseconds): index `2 * class + step - 1`.
    common_times: Vec<DecayingMean>,
    /// Number of the next call.
    next_call_id: u64,
    /// The first call of this turn.
    first_call_of_turn: u64,
    /// Copies that may be made now.
    copy_tokens: f64,
    /// Share of copied parts whose copy proved the first attempt lost or held up alone.
    copy_usefulness: DecayingMean,
    /// Share of its latency target that a query's forecast may take.
    admission: f64,
    /// Mean value of queries for their work.
    mean_value: DecayingMean,
    /// Queries that were refused lately.
    recent_refusals: VecDeque<RefusedQuery>,
    quotas: TenantQuotas,
    /// Queries that were stopped lately since servers broke under them.
    poison_queries: Vec<PoisonQuery>,
    /// Processes that share what is allowed to this instance.
    processes: u32,
    /// The first turn.
    began: Time,
    /// Answers since then.
    answer_count: u64,
    /// The last answer.
    answered_at: Time,
    /// Queries and parts within the window of the retry budget.
    recent_admissions: WindowCount,
    /// Retries and copies within the same window.
    recent_retries: WindowCount,
    /// When the last wake-up asked for is due.
    wake_at: Option<Time>,
    /// When to ask for the list of servers.
    subscribe_at: Option<Time>,
    /// How long to wait before asking again after a failure.
    subscribe_backoff: Micros,
}

impl Coordinator {
    /// A new instance that knows nothing yet. The same seed, settings and events give the same
    /// actions.
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

    /// Takes in all events of this turn, then decides.
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

    /// When a query has to be looked at again: at its end, when it may be answered in part, when a
    /// part is to be copied, and soon while something that it wants to send is withheld.
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
