//! What the decision module is told and what it may ask for: settings, events and actions.
//!
//! The words are those of the field: a *query* is split into *parts*, one for each *shard*; any
//! *replica* of a shard can answer a part; each send of a part is an *attempt* with one *outcome*.
//!
//! It owns these types and their defaults, and promises that they hold no state that changes by
//! itself. It touches nothing else: the module, the core and every package of `decide` may use it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// A point on the caller's clock, in microseconds. The clock only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
pub type Micros = u64;

impl Time {
    /// This point moved `by` microseconds into the future.
    #[must_use]
    pub fn plus(self, by: Micros) -> Time {
        Time(self.0.saturating_add(by))
    }
    /// This point moved `by` microseconds into the past, not beyond the clock's zero.
    #[must_use]
    pub fn minus(self, by: Micros) -> Time {
        Time(self.0.saturating_sub(by))
    }
    /// Microseconds from `earlier` to this point; zero if `earlier` is not earlier.
    #[must_use]
    pub fn since(self, earlier: Time) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}

/// Names a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// Names a part of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// Names a server. Says nothing of its place, kind or age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Number of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

/// What repeating a part of a class can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Harmless.
    Safe,
    /// Dropped by the holders of the shard, within the window (from the first attempt that may have
    /// run).
    Keyed(Micros),
    /// Has its effect again.
    Unsafe,
}

/// Share of the aim that the first of two steps may take where nothing else is set.
pub const FIRST_SHARE: f64 = 0.6;

/// One class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Micros,
    /// How long a client waits, all its tries together.
    pub deadline: Micros,
    /// Whether a part may be sent again.
    pub repeat: RetrySafety,
    /// Worth of a whole answer in time.
    pub value: f64,
    /// Share of the worth that is left after the aim.
    pub late_share: f64,
    /// Weight of parts that makes an answer whole.
    pub need: f64,
    /// Least weight of parts that may be answered.
    pub floor: f64,
    /// An answer that is not whole earns this times its share of the need.
    pub partial: f64,
    /// Parts of the second step; 0 where there is none.
    pub second_step: u32,
    /// Share of the aim that the first of two steps may take (0 to 1).
    pub first_share: f64,
    /// Attempts for one part; `None`: as [`Limits::attempts`] says.
    pub attempts: Option<u32>,
}

/// Limit on attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Window over which both sides are counted.
    pub window: Micros,
    /// Allowed however little traffic there is.
    pub least: f64,
    /// Allowed for each query or part taken.
    pub share: f64,
}

/// What this instance may do and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts for one part of a class that names none of its own.
    pub attempts: u32,
    /// Queries and parts held at once; beyond it queries are turned away unseen.
    pub max_held: u32,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probe: bool,
    /// Whether two attempts of a part may be out at once.
    pub second_copies: bool,
    /// Longest retry-after advice that clients heed; `None` where advice is not passed on.
    pub retry_after: Option<Micros>,
    /// Budget for further attempts, where one is set.
    pub budget: Option<Budget>,
}

/// How a newly started server has to be treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it has at least at its start.
    pub share: f64,
    /// It is warm after this time at the latest.
    pub warm_after: Micros,
    /// It falls over when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_after: Micros,
}

/// How the list of servers is learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Push,
    /// Changes come only after a subscription; one without it must ask this often.
    Ask(Micros),
}

/// How shards are spread over cells of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of cells. Shard `s` is held by the cells `(s + j) mod cells`, for `j` below `width`.
    pub cells: u32,
    /// Consecutive cells that hold a shard.
    pub width: u32,
    /// Number of shards, which are numbered from 0.
    pub shards: u32,
    /// Parts that can share one call to a server.
    pub parts_a_call: u32,
}

/// All that an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of queries, by index.
    pub classes: Vec<Class>,
    /// Permissions and limits.
    pub limits: Limits,
    /// Shards and cells.
    pub layout: Layout,
    /// Source of the list.
    pub discovery: Discovery,
    /// Newly started servers.
    pub cold: SlowStart,
    /// Zone of this instance.
    pub zone: u32,
    /// Shortest time between two turns.
    pub resolution: Micros,
    /// Whether clients mark their further tries.
    pub marks_retry: bool,
    /// Whether worth is counted for each unit of work, not for each query.
    pub worth_by_work: bool,
    /// Number of instances that serve the same servers, this one included.
    pub instances: u32,
    /// What each tenant may ask of all instances together, queries a second; empty: there are none.
    pub quotas: Vec<f64>,
    /// Worth of what a tenant asks beyond that, as a share of its class's worth.
    pub over_quota: f64,
}

impl Settings {
    /// Attempts for one part of this class.
    #[must_use]
    pub fn attempts_of(&self, class: usize) -> u32 {
        self.classes
            .get(class)
            .and_then(|c| c.attempts)
            .unwrap_or(self.limits.attempts)
    }
}

/// One class that is never repeated, one cell, no permissions: what is safe where nothing is known.
impl Default for Settings {
    fn default() -> Self {
        let class = Class {
            latency_target: 1_000_000,
            deadline: 3_000_000,
            repeat: RetrySafety::Unsafe,
            value: 1.0,
            late_share: 0.0,
            need: 1.0,
            floor: 1.0,
            partial: 0.0,
            second_step: 0,
            first_share: FIRST_SHARE,
            attempts: None,
        };
        Settings {
            classes: vec![class],
            limits: Limits {
                attempts: 1,
                max_held: 1_000,
                cancel: false,
                probe: false,
                second_copies: false,
                retry_after: None,
                budget: None,
            },
            layout: Layout {
                cells: 1,
                width: 1,
                shards: u32::MAX,
                parts_a_call: 1,
            },
            discovery: Discovery::Push,
            cold: SlowStart {
                share: 0.1,
                warm_after: 30_000_000,
                fall_multiple: 1.0,
                fall_after: 1_000_000,
            },
            zone: 0,
            resolution: 1_000,
            marks_retry: false,
            worth_by_work: false,
            instances: 1,
            quotas: Vec::new(),
            over_quota: 1.0,
        }
    }
}

/// Parts of what is allowed to one broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessShares {
    /// What is held, as connections and memory, is cut into so many.
    pub held: u32,
    /// What may be done, as sends to cold servers and further attempts, is cut into so many;
    /// `None`: nothing of it is this process's.
    pub done: Option<u32>,
}

/// Those of a process that runs alone.
pub const SINGLE_PROCESS: ProcessShares = ProcessShares {
    held: 1,
    done: Some(1),
};

/// State of a server as the list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Takes work.
    #[default]
    Ready,
    /// Takes work for a moment yet, before it is taken out: it is sent only what no other holder
    /// takes well.
    Leaving,
    /// Ends its work; nothing new may be sent.
    Draining,
    /// Is no longer there.
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// The server.
    pub server: ServerId,
    /// Its cell, which says what shards it holds.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its state.
    pub mode: ServerMode,
    /// Its last start; `None`: long ago.
    pub started: Option<Time>,
}

/// News of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListUpdate {
    /// Changed lines only.
    Changes(Vec<ListedServer>),
    /// The whole list: what is absent is gone.
    Complete(Vec<ListedServer>),
    /// The whole list as this instance last held it before its start, possibly old.
    Cached(Vec<ListedServer>),
    /// Asking failed or the subscription broke; nothing is known anew.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// The server returned an error.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer within the attempt's time.
    Timeout,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Withdrawn by this instance.
    Cancelled,
    /// Never sent; it never ran.
    NeverSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }
}

/// Which of several servers that are equal otherwise a query goes to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Names the beginning that the query shares with others, which servers keep once they have
    /// read it. Queries with the same one go to the same server. 0: it shares nothing.
    pub prefix: u64,
    /// So much backlog makes one level; servers of the lowest level come first. 0: levels are not
    /// told apart.
    pub backlog_step: u32,
}

/// What loads a server beside the parts that an instance has out there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Streams that run on there whose parts count as answered: they count as pending.
    pub streams: u32,
    /// Work that waits there for all instances, as far as that is known; it decides among servers
    /// that are equal otherwise.
    pub backlog: u32,
}

/// What an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A query was handed over; its parts follow in the same turn.
    Query {
        /// The query.
        query: QueryId,
        /// Number that its parts carry.
        number: u32,
        /// Index of its class.
        class: u16,
        /// When the client gives up this try.
        deadline: Time,
        /// What the query is about; queries with the same key need the same shards. 0: not known.
        key: u64,
        /// Marked by the client as a further try.
        again: bool,
        /// Index of the tenant that asks; without meaning where there are none.
        tenant: u32,
    },
    /// Which of several equal servers a query that was handed over in this turn goes to. Comes
    /// before its parts.
    Placement {
        /// Number of the query.
        number: u32,
        /// What decides.
        placement: Placement,
    },
    /// A part of a query held, of its first or second step.
    Part {
        /// The part.
        part: PartId,
        /// Number of its query.
        number: u32,
        /// Its shard.
        shard: Shard,
        /// Its weight; those of a step sum to 1.
        weight: f64,
    },
    /// The client of a query has left.
    Hangup(QueryId),
    /// The first step of a query is to be answered from what is in, if that is enough.
    Close(QueryId),
    /// A query is to get its final answer now, without one.
    GiveUp(QueryId),
    /// A part was proved to be unneeded: it counts as answered.
    Unneeded(PartId),
    /// An attempt has ended.
    Finished {
        /// The part.
        part: PartId,
        /// Which of the part's attempts, from 0.
        attempt: u16,
        /// The server that it had been sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Micros,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe.
        elapsed: Micros,
    },
    /// News of the list of servers.
    List(ServerListUpdate),
    /// The classes from now on, by index. There are never fewer than before: one that differs from
    /// what was in its place is another class, of which nothing is known yet.
    Classes(Vec<Class>),
    /// The budget for further attempts from now on.
    Budget(Option<Budget>),
    /// What loads a server beside the parts that this instance has out there.
    Load {
        /// The server.
        server: ServerId,
        /// All of it, as it is now.
        load: Load,
    },
    /// What is allowed to this instance is shared alike by so many of its processes from now on,
    /// this one included; `None`: by others alone, as this one is about to end.
    Processes(Option<u32>),
    /// A wake-up asked for is due.
    Wake,
}

/// What an instance asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server (a new attempt).
    Send {
        /// The part.
        part: PartId,
        /// The server.
        server: ServerId,
        /// The attempt ends as a time-out after this long.
        timeout: Micros,
    },
    /// Final answer, or the first of a two-step query, from the parts that are in.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether it is whole.
        whole: bool,
    },
    /// Final answer: turned away, asking again is harmless.
    Refuse {
        /// The query.
        query: QueryId,
        /// The client should stay away this long; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail(QueryId),
    /// Withdraw one attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// Which of its attempts.
        attempt: u16,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close this instance's idle connections to a server: the next send opens a new one.
    CloseIdle(ServerId),
    /// Subscribe to changes of the list.
    Subscribe,
    /// Wake this instance after so long.
    Wake(Micros),
    /// A line for the operators.
    Log(String),
}
