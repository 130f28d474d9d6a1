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
    ADMIT_INITIAL, CANCEL_PROPAGATION_TIME, COPY_SAVED, MAX_CHECK_INTERVAL, SUBSCRIBE_BACKOFF_MIN,
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
    salt: u64,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    /// The servers of each cell that take work.
    cells: BTreeMap<u32, Vec<ServerId>>,
    /// How many there are in all.
    ready: usize,
    /// Share of bad ends at the servers of each zone, for what befalls all classes.
    zones: BTreeMap<u32, DecayingValue>,
    /// Share of losses on connections in use and on those that had been idle.
    losses: [DecayingValue; 2],
    queries: BTreeMap<QueryId, Query>,
    numbers: BTreeMap<u32, QueryId>,
    /// The query of each part, and its index there.
    parts: HashMap<PartId, (QueryId, usize)>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// Common response time by class and step (microseconds): index `2 * class + step - 1`.
    common_times: Vec<DecayingMean>,
    /// Number of the next call.
    calls: u64,
    /// The first call of this turn.
    first_call: u64,
    /// Copies that may be made now.
    copy_tokens: f64,
    /// Share of copied parts whose copy proved the first attempt lost or held up alone.
    copy_usefulness: DecayingMean,
    /// Share of its latency target that a query's forecast may take.
    admit: f64,
    /// Mean value of queries for their work.
    value: DecayingMean,
    /// Queries that were refused lately.
    refused: VecDeque<RefusedQuery>,
    quotas: TenantQuotas,
    /// Queries that were stopped lately since servers broke under them.
    poison: Vec<PoisonQuery>,
    /// Processes that share what is allowed to this instance.
    processes: u32,
    /// The first turn.
    began: Time,
    /// Answers since then.
    answered: u64,
    /// The last answer.
    answered_at: Time,
    /// Queries and parts within the window of the retry budget.
    admitted: WindowCount,
    /// Retries and copies within the same window.
    retries: WindowCount,
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
            salt: seed,
            common_times: vec![DecayingMean::default(); settings.classes.len() * 2],
            copy_tokens: COPY_SAVED / 2.0,
            admit: ADMIT_INITIAL,
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
        self.first_call = self.calls;
        for event in events {
            self.on_event(event, actions);
        }
        let due = self
            .queries
            .iter()
            .filter(|(_, q)| q.next_look_at <= self.now)
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
    fn next_look_of(&self, q: &Query) -> Time {
        let soon = self.now.plus(if self.settings.limits.second_copies {
            MAX_CHECK_INTERVAL
        } else {
            CANCEL_PROPAGATION_TIME
        });
        let partial = q.arrived.plus(self.partial_after(q));
        let mut next_look_at = self
            .end_of(q)
            .min(if partial > self.now { partial } else { soon });
        let again =
            |i: usize| q.parts[i].attempts_made() < self.settings.attempts_of(q.class) as usize;
        if q.agenda.idle_parts().next().is_some() || q.agenda.due_parts(self.now).any(again) {
            next_look_at = next_look_at.min(soon);
        }
        next_look_at = next_look_at.min(q.agenda.next_check(self.now).unwrap_or(next_look_at));
        next_look_at
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let Some(next_look_at) = self
            .queries
            .values()
            .map(|q| q.next_look_at)
            .chain(self.subscribe_at)
            .min()
        else {
            return;
        };
        let next_look_at = next_look_at.max(self.now.plus(self.settings.resolution.max(1)));
        if self.wake_at.is_none_or(|at| next_look_at < at) {
            actions.push(Action::Wake(next_look_at.since(self.now).min(60_000_000)));
            self.wake_at = Some(next_look_at);
        }
    }
}
