//! Bookkeeping of queries, parts, attempts and outcomes between the fronts, the decision module and
//! the data nodes. The core is independent of wire formats: a front submits a [`Request`] with a
//! job of its own type, the upstream for that type carries out [`Command::Send`], and the answer is
//! returned as a [`Reply`].
//!
//! A query passes through `intake`, `dispatch`, `collect` and `answer`, one file each; `phases`
//! connects the planner of two-step queries. The caller passes the current time as an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod collect;
pub mod contract;
mod dispatch;
mod intake;
mod phases;
#[cfg(test)]
mod tests;

use lichenswitch_interface::{
    Budget, Class, Event, Load, Micros, PartId, Placement, ProcessShares, QueryId, ServerId,
    ServerListUpdate, Settings, Shard, Time, SINGLE_PROCESS,
};
use lichenswitch_phases::prune::{SortDirection, SortKey};
use lichenswitch_phases::Planner;
use lichenswitch_policy::Coordinator;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

pub use contract::Contracts;
pub use intake::Refusal;

/// Query as submitted by a front.
#[derive(Clone, Debug)]
pub struct Request<J> {
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Time at which its client abandons it.
    pub deadline: Time,
    /// Key of the queried data; 0: unknown.
    pub key: u64,
    /// Preferences among servers that are equal otherwise.
    pub placement: Placement,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Index of the tenant in [`Settings::quotas`]; `u32::MAX` for a query without a tenant.
    pub tenant: u32,
    /// Name of the client's team, checked against its contract if contracts are configured.
    pub team: Option<String>,
    /// Shards to query, each with the weight of its part; the weights sum to 1.
    pub parts: Vec<(Shard, f64)>,
    /// Number of elements wanted and the order of their keys, for a sorted query. The second step
    /// then goes to the shards that may hold any of these elements.
    pub top: Option<(usize, SortDirection)>,
    /// Data of the front and the upstream that the core passes through.
    pub job: J,
}

/// Answer of a data node to a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// Score of the shard; the second step goes to the shards with the highest scores.
    pub score: f64,
    /// Payload as received.
    pub bytes: Vec<u8>,
    /// Sort keys of its elements, if the answer is sorted.
    pub sorted: Option<SortedElements>,
}

/// Sort keys of the elements of a sorted answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SortedElements {
    /// Keys in the order of the elements in the payload.
    pub keys: Vec<SortKey>,
    /// Total number of matching elements in the shard, if it reported one.
    pub matched: Option<u64>,
}

/// Final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Complete or partial answer.
    Served {
        /// Whether the answer is complete.
        whole: bool,
        /// Answered shards and their values.
        values: Vec<(Shard, Value)>,
        /// Shards of which an answer is missing, ascending.
        missing_shards: Vec<Shard>,
    },
    /// The query was refused and a retry is harmless; holds the retry-after advice, if any.
    Refused(Option<Micros>),
    /// The query failed; its parts may or may not have taken effect.
    Failed,
}

/// Result of the first step, available to the second.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstStep {
    /// Shards that answered.
    pub shards: Vec<Shard>,
    /// Whether the first step was complete.
    pub whole: bool,
}

/// Attempt to be sent.
#[derive(Clone, Debug)]
pub struct Dispatch<J> {
    /// Identifier of the attempt.
    pub attempt: u64,
    /// Job of the query, from [`Request::job`].
    pub job: Rc<J>,
    /// Index of the query's class.
    pub class: usize,
    /// Shard of the part.
    pub shard: Shard,
    /// Result of the first step, for parts of the second.
    pub first: Option<Rc<FirstStep>>,
    /// Maximum elements to request, in the second step of a sorted query.
    pub max_elements: Option<usize>,
    /// Time to wait for the answer.
    pub timeout: Micros,
    /// Latest time to send a repeat of a part that may have run, while replicas still drop it as a
    /// duplicate; see [`lichenswitch_interface::RetrySafety::Keyed`].
    pub send_by: Option<Time>,
}

/// Counters of a class since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Queries answered, completely or in part.
    pub served: u64,
    /// Queries refused; a retry is harmless.
    pub refused: u64,
    /// Queries failed.
    pub failed: u64,
    /// Attempts whose request was completely written to a data node.
    pub attempts: u64,
}

/// Instruction of the core to its caller.
#[derive(Clone, Debug)]
pub enum Command<J> {
    /// Sends these parts to a server in one call.
    Send(ServerId, Vec<Dispatch<J>>),
    /// Cancels an attempt in flight, whose outcome is already recorded.
    Cancel(u64),
    /// Drops an attempt that has not been sent yet because its query has ended. Applies whether or
    /// not the settings allow cancels.
    Recall(u64),
    /// Closes idle connections to a server.
    CloseIdle(ServerId),
    /// Sends a client its final answer.
    Reply(QueryId, Reply),
    /// Subscribes to changes of the server list.
    Subscribe,
    /// Writes a line to the operator's log.
    Log(String),
}

struct Part {
    id: PartId,
    shard: Shard,
    weight: f64,
    is_second_step: bool,
    attempts: u16,
    /// Number of attempts that were never sent; they don't count to the limit.
    never_left: u16,
    value: Option<Value>,
    /// Maximum elements to request, in the second step of a sorted query.
    max_elements: Option<usize>,
    /// Whether the planner proved it unneeded; it counts as answered.
    is_proved_unneeded: bool,
    /// Index and send time of the first attempt that may have run.
    first_possible_run: Option<(u16, Time)>,
}

impl Part {
    fn is_answered(&self) -> bool {
        self.value.is_some() || self.is_proved_unneeded
    }
}

struct Query<J> {
    number: u32,
    class: usize,
    deadline: Time,
    job: Rc<J>,
    parts: Vec<Part>,
    /// Result of the first step, set when it ends.
    first: Option<Rc<FirstStep>>,
    top: Option<(usize, SortDirection)>,
    /// Shards that the second step skips for lack of time.
    skipped_shards: Vec<Shard>,
    /// Whether an assumption behind the plan proved wrong, so that the answer is incomplete.
    is_doubtful: bool,
}

struct Attempt {
    part: PartId,
    index: u16,
    server: ServerId,
    sent_at: Time,
    /// Parts of this core in flight at the server before the send.
    pending: u32,
}

/// State of one service: its decision module and the queries and attempts that it holds.
pub struct Core<J> {
    settings: Settings,
    contracts: Contracts,
    module: Coordinator,
    planner: Planner,
    /// Whether the planner's reasons are logged.
    logs_reasons: bool,
    /// Log lines for the next turn.
    log_lines: Vec<String>,
    /// Number of parts in flight at each server.
    parts_in_flight: HashMap<ServerId, u32>,
    pending_events: Vec<Event>,
    queries: BTreeMap<QueryId, Query<J>>,
    /// Held queries, ordered by deadline.
    deadlines: BTreeSet<(Time, QueryId)>,
    /// Query of each held part, and the part's index in it.
    parts: HashMap<PartId, (QueryId, usize)>,
    attempts: HashMap<u64, Attempt>,
    /// Identifiers of the attempts in flight, by part and index.
    attempt_ids: HashMap<(PartId, u16), u64>,
    /// Attempts that were in flight when their queries ended, not yet returned to the caller.
    recalls: Vec<u64>,
    /// Counters by class since they were last taken.
    counters: Vec<ClassCounters>,
    /// Number of held queries and parts.
    held_entries: usize,
    /// Total size of the held values.
    value_bytes: usize,
    /// Maximum total size of held values, over all processes of the broker.
    max_bytes: usize,
    next_id: u64,
    next_attempt: u64,
    next_number: u32,
    last_turn_at: Time,
    wake_at: Option<Time>,
    /// Time by which every query must have ended; `None` while the broker is not shutting down.
    end_time: Option<Time>,
    /// Shares of the broker's limits that this process has.
    process_shares: ProcessShares,
    /// Whether intake is paused.
    is_paused: bool,
}

/// Exclusive upper bound of query numbers: the module's wire format carries them as 32-bit floats.
const MAX_QUERY_NUMBERS: u32 = 1 << 24;

impl<J> Core<J> {
    /// Creates an empty core that holds at most a quarter of `memory` bytes in values.
    #[must_use]
    pub fn new(seed: u64, settings: Settings, contracts: Contracts, memory: usize) -> Self {
        Core {
            max_bytes: memory / 4,
            counters: vec![ClassCounters::default(); settings.classes.len()],
            module: Coordinator::new(seed, settings.clone()),
            settings,
            contracts,
            planner: Planner::default(),
            logs_reasons: false,
            log_lines: Vec::new(),
            parts_in_flight: HashMap::new(),
            pending_events: Vec::new(),
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            attempt_ids: HashMap::new(),
            recalls: Vec::new(),
            held_entries: 0,
            value_bytes: 0,
            next_id: 1,
            next_attempt: 1,
            next_number: 0,
            last_turn_at: Time(0),
            wake_at: Some(Time(0)),
            end_time: None,
            process_shares: SINGLE_PROCESS,
            is_paused: false,
        }
    }

    /// Sets the planner of two-step queries; with `explain`, its reasons are logged.
    pub fn set_planner(&mut self, planner: Planner, explain: bool) {
        (self.planner, self.logs_reasons) = (planner, explain);
    }

    /// Returns the current settings, including later changes of classes and budget.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the classes. There must not be fewer than before, as held queries refer to their
    /// class by index.
    pub fn set_classes(&mut self, classes: Vec<Class>) {
        debug_assert!(
            classes.len() >= self.settings.classes.len(),
            "held queries refer to their class by index"
        );
        self.counters.resize(
            classes.len().max(self.counters.len()),
            ClassCounters::default(),
        );
        let remaining_classes = self
            .settings
            .classes
            .get(classes.len()..)
            .unwrap_or_default();
        self.settings.classes = [&classes, remaining_classes].concat();
        self.pending_events.push(Event::Classes(classes));
    }

    /// Replaces the retry budget.
    pub fn set_budget(&mut self, budget: Option<Budget>) {
        if std::mem::replace(&mut self.settings.limits.budget, budget) != budget {
            self.pending_events.push(Event::Budget(budget));
        }
    }

    /// Replaces the load of a server other than this core's parts in flight there.
    pub fn set_load(&mut self, server: ServerId, load: Load) {
        self.pending_events.push(Event::Load { server, load });
    }

    /// Sets the shares of the broker's limits that this process has.
    pub fn set_process_shares(&mut self, parts: ProcessShares) {
        if std::mem::replace(&mut self.process_shares, parts).rate_divisor != parts.rate_divisor {
            self.pending_events
                .push(Event::Processes(parts.rate_divisor));
        }
    }

    /// Returns the maximum total size of held values in this process.
    fn max_bytes(&self) -> usize {
        self.max_bytes / self.process_shares.capacity_divisor as usize
    }

    /// Returns the number of ready servers that are passed over because of faults.
    #[must_use]
    pub fn avoided_servers(&self) -> usize {
        self.module.avoided_servers()
    }

    /// Returns the counters by class and resets them.
    pub fn take_counters(&mut self) -> Vec<ClassCounters> {
        let none = vec![ClassCounters::default(); self.counters.len()];
        std::mem::replace(&mut self.counters, none)
    }

    /// Adds to the attempts of a class that were completely written to data nodes.
    pub fn on_written(&mut self, class: usize, attempts: u64) {
        if let Some(counters) = self.counters.get_mut(class) {
            counters.attempts += attempts;
        }
    }

    /// Returns the number of held queries.
    #[must_use]
    pub fn held_queries(&self) -> usize {
        self.queries.len()
    }

    /// Passes an update of the server list to the module in the next turn.
    pub fn on_server_list(&mut self, listing: ServerListUpdate) {
        self.pending_events.push(Event::List(listing));
    }

    /// Returns the time of the next turn: immediately if events are pending, but not before the
    /// settings' resolution has passed since the last turn.
    #[must_use]
    pub fn next_turn(&self) -> Option<Time> {
        let soonest = self.last_turn_at.plus(self.settings.resolution);
        if !self.pending_events.is_empty() {
            return Some(soonest);
        }
        let overdue = self.deadlines.first().map(|d| d.0);
        [self.wake_at, overdue, self.planner.next_wake()]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(soonest))
    }

    /// Passes all pending events to the module and returns the resulting commands.
    pub fn turn(&mut self, now: Time) -> Vec<Command<J>> {
        self.last_turn_at = now;
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.pending_events.push(Event::Wake);
        }
        let (mut actions, mut commands) = (Vec::new(), Vec::new());
        self.end_overdue(now, &mut commands);
        let verdicts = self.planner.tick(now);
        self.apply_verdicts(verdicts);
        let events = std::mem::take(&mut self.pending_events);
        self.module.turn(now, events, &mut actions);
        self.execute_actions(now, actions, &mut commands);
        commands.extend(self.recalls.drain(..).map(Command::Recall));
        commands.extend(self.log_lines.drain(..).map(Command::Log));
        commands
    }

    /// Takes the attempts to be recalled, so that the caller need not wait for the next turn.
    pub fn take_recalls(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.recalls)
    }
}
