//! Queries, parts, attempts and their outcomes: what joins the fronts, the decision module and the
//! data nodes. It knows no wire: a front hands in a [`Request`] with a job of its own kind,
//! the upstream of the same kind carries out [`Command::Send`], and the answer goes back as a
//! [`Reply`].
//!
//! A query goes through `intake`, `dispatch`, `collect` and `answer`, one file each; `phases` asks
//! the planner of queries of two steps. Time is an argument.
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

/// A query as a front hands it in.
#[derive(Clone, Debug)]
pub struct Request<J> {
    /// Index of its class.
    pub class: usize,
    /// When its client gives up.
    pub deadline: Time,
    /// What it is about; 0: not known.
    pub key: u64,
    /// Which of equal servers it goes to.
    pub placement: Placement,
    /// Marked by the client as a retry.
    pub is_retry: bool,
    /// Index of the tenant that asks, among those of the settings; `u32::MAX`: none of them.
    pub tenant: u32,
    /// Team that asks, where teams have contracts.
    pub team: Option<String>,
    /// Its shards, each with the weight of its part.
    pub parts: Vec<(Shard, f64)>,
    /// Set where only the first so many elements are wanted, in that order of their keys: the
    /// second step then goes to the shards that can have any of them.
    pub top: Option<(usize, SortDirection)>,
    /// What front and upstream know of it.
    pub job: J,
}

/// What a data node answered for a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Value {
    /// Its score: the second step goes to the shards that have the best.
    pub score: f64,
    /// Its bytes, unchanged.
    pub bytes: Vec<u8>,
    /// Where the answer is sorted: what its elements are sorted by.
    pub sorted: Option<SortedElements>,
}

/// The elements of a value, where an answer is sorted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SortedElements {
    /// Their keys, in the order of the value.
    pub keys: Vec<SortKey>,
    /// Elements that the shard has in all, where it told.
    pub matched: Option<u64>,
}

/// The final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answered from these parts.
    Served {
        /// Whether nothing that a whole answer needs is missing.
        whole: bool,
        /// The parts that are in.
        values: Vec<(Shard, Value)>,
        /// Shards of which something is missing.
        missing_shards: Vec<Shard>,
    },
    /// Turned away: asking again is harmless, after this long where advice is given.
    Refused(Option<Micros>),
    /// Given up.
    Failed,
}

/// What the second step of a query knows of its first.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstStep {
    /// Shards that were in.
    pub shards: Vec<Shard>,
    /// Whether the first step was whole.
    pub whole: bool,
}

/// One attempt to be made.
#[derive(Clone, Debug)]
pub struct Dispatch<J> {
    /// Names the attempt.
    pub attempt: u64,
    /// What front and upstream know of the query.
    pub job: Rc<J>,
    /// Index of the query's class.
    pub class: usize,
    /// The part's shard.
    pub shard: Shard,
    /// Set for parts of the second step.
    pub first: Option<Rc<FirstStep>>,
    /// Elements that are asked for, in the second step of a sorted answer.
    pub max_elements: Option<usize>,
    /// How long its answer will be waited for.
    pub timeout: Micros,
    /// Where an attempt before it may have run and a repeat is dropped for a time only: the moment
    /// in which the module lets a repeat leave at the latest.
    pub send_by: Option<Time>,
}

/// What was counted of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests served, whole or in part.
    pub served: u64,
    /// Requests refused: trying again is harmless.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written whole to a data node.
    pub attempts: u64,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Command<J> {
    /// Send these parts to a server in one call.
    Send(ServerId, Vec<Dispatch<J>>),
    /// Cancel an attempt in flight. Its outcome is recorded already.
    Cancel(u64),
    /// The query of an attempt in flight has ended: where the attempt has not left yet it is not to
    /// leave any more, whether or not cancels are sent to servers.
    Recall(u64),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Give a client its final answer.
    Reply(QueryId, Reply),
    /// Ask for changes of the list of servers.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

struct Part {
    id: PartId,
    shard: Shard,
    weight: f64,
    is_second_step: bool,
    attempts: u16,
    /// How many of them never left: they count as none.
    never_left: u16,
    value: Option<Value>,
    /// Elements that are asked for, in the second step of a sorted answer.
    most: Option<usize>,
    /// Whether it was proved to be unneeded: it counts as answered.
    is_proved_unneeded: bool,
    /// The first of its attempts that may have run, and when that was sent.
    first_possible_run: Option<(u16, Time)>,
}

impl Part {
    fn is_in(&self) -> bool {
        self.value.is_some() || self.is_proved_unneeded
    }
}

struct Query<J> {
    number: u32,
    class: usize,
    deadline: Time,
    job: Rc<J>,
    parts: Vec<Part>,
    /// Set once the first of two steps has been answered.
    first: Option<Rc<FirstStep>>,
    top: Option<(usize, SortDirection)>,
    /// Shards that the second step leaves out for time.
    left_out: Vec<Shard>,
    /// Whether what its answer rests on has proved wrong: it is not complete.
    is_doubtful: bool,
}

struct Attempt {
    part: PartId,
    number: u16,
    server: ServerId,
    sent: Time,
    /// Parts of this core in flight at the server when it was sent.
    pending: u32,
}

/// The core of one service: its decision module, and the queries and attempts in hand.
pub struct Core<J> {
    settings: Settings,
    contracts: Contracts,
    module: Coordinator,
    planner: Planner,
    /// Whether the planner's reasons are logged.
    explain: bool,
    /// Log lines for the next turn.
    lines: Vec<String>,
    /// Parts in flight at each server.
    load: HashMap<ServerId, u32>,
    inbox: Vec<Event>,
    queries: BTreeMap<QueryId, Query<J>>,
    /// Queries by the end of their clients' patience.
    deadlines: BTreeSet<(Time, QueryId)>,
    /// The query of each part in hand, and its index there.
    parts: HashMap<PartId, (QueryId, usize)>,
    attempts: HashMap<u64, Attempt>,
    /// Attempts in flight, by part and number.
    in_flight: HashMap<(PartId, u16), u64>,
    /// Attempts that were in flight as their queries ended, not yet handed out.
    recalls: Vec<u64>,
    /// What ended since the counters were last taken, by class.
    counters: Vec<ClassCounters>,
    /// Queries and parts in hand.
    held_entries: usize,
    /// Bytes of their values.
    bytes: usize,
    /// Most bytes of values held for queries that wait for further parts.
    max_bytes: usize,
    next_id: u64,
    next_attempt: u64,
    next_number: u32,
    last_turn_at: Time,
    wake: Option<Time>,
    /// All that is taken must have ended by then.
    must_end_by: Option<Time>,
    /// This process's shares of what is allowed to the broker.
    process_shares: ProcessShares,
    /// Whether nothing is taken for now.
    is_paused: bool,
}

/// Query numbers stay below this: the module's wire carries them as 32-bit floats.
const NUMBERS: u32 = 1 << 24;

impl<J> Core<J> {
    /// A core that holds nothing, and at most a quarter of `memory` bytes in values.
    #[must_use]
    pub fn new(seed: u64, settings: Settings, contracts: Contracts, memory: usize) -> Self {
        Core {
            max_bytes: memory / 4,
            counters: vec![ClassCounters::default(); settings.classes.len()],
            module: Coordinator::new(seed, settings.clone()),
            settings,
            contracts,
            planner: Planner::default(),
            explain: false,
            lines: Vec::new(),
            load: HashMap::new(),
            inbox: Vec::new(),
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            in_flight: HashMap::new(),
            recalls: Vec::new(),
            held_entries: 0,
            bytes: 0,
            next_id: 1,
            next_attempt: 1,
            next_number: 0,
            last_turn_at: Time(0),
            wake: Some(Time(0)),
            must_end_by: None,
            process_shares: SINGLE_PROCESS,
            is_paused: false,
        }
    }

    /// Plans queries of two steps with this planner; `explain`: its reasons are logged.
    pub fn set_planner(&mut self, planner: Planner, explain: bool) {
        (self.planner, self.explain) = (planner, explain);
    }

    /// The settings that it works by.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The classes from now on. There are never fewer than before; a query that is held keeps its
    /// class for as long as its place is not given to another one.
    pub fn set_classes(&mut self, classes: Vec<Class>) {
        debug_assert!(
            classes.len() >= self.settings.classes.len(),
            "held queries know their class by its place"
        );
        self.counters.resize(
            classes.len().max(self.counters.len()),
            ClassCounters::default(),
        );
        let standing_classes = self
            .settings
            .classes
            .get(classes.len()..)
            .unwrap_or_default();
        self.settings.classes = [&classes, standing_classes].concat();
        self.inbox.push(Event::Classes(classes));
    }

    /// The retry budget from now on.
    pub fn set_budget(&mut self, budget: Option<Budget>) {
        if std::mem::replace(&mut self.settings.limits.budget, budget) != budget {
            self.inbox.push(Event::Budget(budget));
        }
    }

    /// What loads a server beside the parts that are out there.
    pub fn set_load(&mut self, server: ServerId, load: Load) {
        self.inbox.push(Event::Load { server, load });
    }

    /// From now on this process has these shares of what is allowed to the broker.
    pub fn set_process_shares(&mut self, parts: ProcessShares) {
        if std::mem::replace(&mut self.process_shares, parts).rate_divisor != parts.rate_divisor {
            self.inbox.push(Event::Processes(parts.rate_divisor));
        }
    }

    /// Most bytes of values that may be held now.
    fn max_bytes(&self) -> usize {
        self.max_bytes / self.process_shares.capacity_divisor as usize
    }

    /// How many of the servers in the list are passed over by choice now.
    #[must_use]
    pub fn avoided_servers(&self) -> usize {
        self.module.avoided_servers()
    }

    /// What ended, and what was written whole, since the last time, by class.
    pub fn take_counters(&mut self) -> Vec<ClassCounters> {
        let none = vec![ClassCounters::default(); self.counters.len()];
        std::mem::replace(&mut self.counters, none)
    }

    /// So many attempts of a class were written whole to data nodes.
    pub fn on_written(&mut self, class: usize, attempts: u64) {
        if let Some(counters) = self.counters.get_mut(class) {
            counters.attempts += attempts;
        }
    }

    /// Queries held.
    #[must_use]
    pub fn held_queries(&self) -> usize {
        self.queries.len()
    }

    /// An update of the list of servers.
    pub fn on_server_list(&mut self, listing: ServerListUpdate) {
        self.inbox.push(Event::List(listing));
    }

    /// When the next turn is to be taken: at once if something waits, but not sooner after the last
    /// turn than the resolution allows.
    #[must_use]
    pub fn next_turn(&self) -> Option<Time> {
        let soonest = self.last_turn_at.plus(self.settings.resolution);
        if !self.inbox.is_empty() {
            return Some(soonest);
        }
        let overdue = self.deadlines.first().map(|d| d.0);
        [self.wake, overdue, self.planner.next_wake()]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(soonest))
    }

    /// Hands all that has come to the module in one go, and returns what is to be done.
    pub fn turn(&mut self, now: Time) -> Vec<Command<J>> {
        self.last_turn_at = now;
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.inbox.push(Event::Wake);
        }
        let (mut actions, mut commands) = (Vec::new(), Vec::new());
        self.end_overdue(now, &mut commands);
        let verdicts = self.planner.tick(now);
        self.apply_verdicts(verdicts);
        let events = std::mem::take(&mut self.inbox);
        self.module.turn(now, events, &mut actions);
        self.execute_actions(now, actions, &mut commands);
        commands.extend(self.recalls.drain(..).map(Command::Recall));
        commands.extend(self.lines.drain(..).map(Command::Log));
        commands
    }

    /// Attempts to be recalled at once, ahead of the next turn, which may be some time off.
    pub fn take_recalls(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.recalls)
    }
}
