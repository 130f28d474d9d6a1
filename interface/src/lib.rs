//! Input and output types of the decision module: settings, events and actions.
//!
//! A *query* is split into *parts*, one for each *shard*. Any *replica* of a shard can answer a
//! part. Each send of a part is an *attempt* with one *outcome*.
//!
//! The package holds only these types and their defaults, without state that changes by itself. It
//! depends on no other package: the module, the core and every package of `decide` may use it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// A point on the caller's clock, in microseconds. The clock only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A duration in microseconds.
pub type Micros = u64;

impl Time {
    /// Returns the point `by` microseconds later, saturating at the maximum.
    #[must_use]
    pub fn plus(self, by: Micros) -> Time {
        Time(self.0.saturating_add(by))
    }
    /// Returns the point `by` microseconds earlier, saturating at zero.
    #[must_use]
    pub fn minus(self, by: Micros) -> Time {
        Time(self.0.saturating_sub(by))
    }
    /// Returns the microseconds from `earlier` to this point, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identifier of a query, unique within an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// Identifier of a part, unique over all queries of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// Identifier of a server. It does not encode the server's location, kind or age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Number of a shard, counted from 0 and below [`Layout::shards`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

/// Effect of sending a part again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A repeat has no further effect.
    Safe,
    /// The replicas drop a repeat within this window, which starts at the first attempt that may
    /// have run.
    Keyed(Micros),
    /// A repeat has its effect a second time.
    Unsafe,
}

/// Default share of the latency target that the first of two steps may take.
pub const FIRST_SHARE: f64 = 0.6;

/// Class of queries that share a latency target, a value and a rule on retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time within which an answer earns the full value.
    pub latency_target: Micros,
    /// Time that a client waits over all its tries.
    pub deadline: Micros,
    /// Effect of sending a part again, which decides whether it may be retried or copied.
    pub retry_safety: RetrySafety,
    /// Value of a complete answer within the latency target.
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns (0 to 1).
    pub late_share: f64,
    /// Weight of answered parts that makes an answer complete (0 to 1).
    pub need: f64,
    /// Minimum weight of answered parts for a partial answer (0 to 1).
    pub floor: f64,
    /// A partial answer earns the value times this factor and its share of [`Class::need`].
    pub partial: f64,
    /// Number of parts of the second step; 0 for classes of one step.
    pub second_step: u32,
    /// Share of the latency target that the first of two steps may take (0 to 1).
    pub first_share: f64,
    /// Maximum attempts of one part; `None` selects [`Limits::attempts`].
    pub attempts: Option<u32>,
}

/// Retry budget: limit on attempts beyond the first of each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Sliding window over which retries and admitted requests are counted.
    pub window: Micros,
    /// Retries allowed within the window regardless of traffic.
    pub min_retries: f64,
    /// Retries allowed for each query or part that is admitted within the window.
    pub share: f64,
}

/// Permissions and limits of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum attempts of one part, unless [`Class::attempts`] is set.
    pub attempts: u32,
    /// Maximum queries and parts held at once; further queries are refused at intake.
    pub max_held: u32,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed; the module sends no probes.
    pub may_probe: bool,
    /// Whether two attempts of a part may be in flight at once.
    pub second_copies: bool,
    /// Maximum retry-after advice that clients follow; `None` if advice is not passed on.
    pub retry_after: Option<Micros>,
    /// Retry budget; `None` leaves retries limited by [`Limits::attempts`] alone.
    pub budget: Option<Budget>,
}

/// Capacity of a newly started server while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Minimum share of its capacity that a server has at its start (0 to 1).
    pub share: f64,
    /// Time after the start by which a server has its full capacity.
    pub warm_after: Micros,
    /// Multiple of its current capacity above which load makes a server fail ...
    pub fall_multiple: f64,
    /// ... if the load lasts this long.
    pub fall_after: Micros,
}

/// Source of changes to the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a request.
    Push,
    /// Changes arrive only after a subscription. An instance without one asks at this interval.
    Ask(Micros),
}

/// Assignment of shards to cells of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of cells. Shard `s` is held by the cells `(s + j) mod cells`, for `j` below `width`.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub width: u32,
    /// Number of shards; valid shard numbers are below it.
    pub shards: u32,
    /// Maximum parts in one call to a server.
    pub parts_a_call: u32,
}

/// Configuration that an instance receives at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of queries; a query refers to its class by index.
    pub classes: Vec<Class>,
    /// Permissions and limits of this instance.
    pub limits: Limits,
    /// Assignment of shards to cells.
    pub layout: Layout,
    /// Source of the server list.
    pub discovery: Discovery,
    /// Capacity of newly started servers.
    pub slow_start: SlowStart,
    /// Zone of this instance; servers of the same zone are preferred among equals.
    pub zone: u32,
    /// Minimum time between two turns.
    pub resolution: Micros,
    /// Whether clients mark retries, see [`Event::Query`].
    pub marks_retry: bool,
    /// Whether a class's value is already given per unit of work rather than per query.
    pub worth_by_work: bool,
    /// Number of instances that send to the same servers, including this one.
    pub instances: u32,
    /// Quota of each tenant over all instances (queries per second); empty without tenants.
    pub quotas: Vec<f64>,
    /// Share of its class's value that a query beyond its tenant's quota has (0 to 1).
    pub over_quota: f64,
}

impl Settings {
    /// Returns the maximum attempts of one part of this class.
    #[must_use]
    pub fn attempts_of(&self, class: usize) -> u32 {
        self.classes
            .get(class)
            .and_then(|c| c.attempts)
            .unwrap_or(self.limits.attempts)
    }
}

/// Safe defaults when nothing is configured: one class without retries, one cell, no permissions.
impl Default for Settings {
    fn default() -> Self {
        let class = Class {
            latency_target: 1_000_000,
            deadline: 3_000_000,
            retry_safety: RetrySafety::Unsafe,
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
                may_cancel: false,
                may_probe: false,
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
            slow_start: SlowStart {
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

/// Shares of a broker's limits that one of its processes has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessShares {
    /// Divisor of limits on held resources (connections, memory, held queries).
    pub capacity_divisor: u32,
    /// Divisor of limits on rates (sends to servers in slow start, retries). `None` if this process
    /// is about to end and has no share of them.
    pub rate_divisor: Option<u32>,
}

/// Shares of a process that is the broker's only one.
pub const SINGLE_PROCESS: ProcessShares = ProcessShares {
    capacity_divisor: 1,
    rate_divisor: Some(1),
};

/// State of a server according to the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// The server accepts new work.
    #[default]
    Ready,
    /// The server accepts work but will be removed soon. It is chosen only if no healthy replica
    /// can take the part.
    Leaving,
    /// The server finishes its work in flight; nothing new may be sent.
    Draining,
    /// The server has been removed.
    Gone,
}

/// Entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// Identifier of the server.
    pub server: ServerId,
    /// Cell of the server, which determines the shards that it holds, see [`Layout`].
    pub cell: u32,
    /// Zone of the server.
    pub zone: u32,
    /// State of the server, from the source of the list.
    pub mode: ServerMode,
    /// Time of its last start; `None` if it is not known to have started recently.
    pub started_at: Option<Time>,
}

/// Update of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListUpdate {
    /// Changed entries only.
    Changes(Vec<ListedServer>),
    /// The complete list: servers that are absent from it are gone.
    Complete(Vec<ListedServer>),
    /// The complete list as saved before this instance started, possibly outdated.
    Cached(Vec<ListedServer>),
    /// The request failed or the subscription broke; the known list stays in use.
    Failed,
}

/// Result of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Ok,
    /// The server returned an error.
    Error,
    /// The server rejected it before running it.
    Rejected,
    /// The timeout of the attempt expired without an answer.
    Timeout,
    /// No connection was established in time; it never ran.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// This instance cancelled it.
    Cancelled,
    /// It was dropped before it was sent; it never ran.
    NeverSent,
}

impl Outcome {
    /// Returns whether the attempt is known not to have run.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent
        )
    }
}

/// Preferences of a query among servers that are equal otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Hash of a prompt prefix shared with other queries, which servers cache. Queries of the same
    /// prefix go to the same server. 0: no shared prefix.
    pub prefix: u64,
    /// Width of a backlog level, in the unit of [`Load::backlog`]. Servers of the lowest level are
    /// preferred. 0: backlog is ignored.
    pub backlog_step: u32,
}

/// Load of a server other than this instance's parts in flight there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Streams still running whose parts count as answered. Each counts as a pending call.
    pub streams: u32,
    /// Work queued at the server by all instances, as far as known. It decides among servers that
    /// are equal otherwise, see [`Placement::backlog_step`].
    pub backlog: u32,
}

/// Input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A query has arrived; its parts follow in the same turn.
    Query {
        /// Identifier of the query.
        query: QueryId,
        /// Number by which its parts refer to it.
        number: u32,
        /// Index of its class in [`Settings::classes`].
        class: u16,
        /// Time at which the client abandons this try.
        deadline: Time,
        /// Key of the queried data; queries with the same key need the same shards. 0: unknown.
        key: u64,
        /// Whether the client marked the query as a retry.
        is_retry: bool,
        /// Index of the tenant in [`Settings::quotas`]; ignored if it is out of range.
        tenant: u32,
    },
    /// Preferences among equal servers for a query of this turn. Precedes the parts of the query.
    Placement {
        /// Number of the query, from [`Event::Query`].
        number: u32,
        /// Preferences that apply to all parts of the query.
        placement: Placement,
    },
    /// A part of a held query, of its first or second step.
    Part {
        /// Identifier of the part.
        part: PartId,
        /// Number of its query, from [`Event::Query`].
        number: u32,
        /// Shard that the part reads.
        shard: Shard,
        /// Weight of the part; the weights of a step sum to 1.
        weight: f64,
    },
    /// The client of a query has disconnected.
    Hangup(QueryId),
    /// The first step of a query ends now if the answered parts suffice for a partial answer.
    Close(QueryId),
    /// A query ends now, refused or failed.
    GiveUp(QueryId),
    /// A part was proved unneeded for the answer; it counts as answered.
    Unneeded(PartId),
    /// An attempt has ended.
    Finished {
        /// Part that the attempt belongs to.
        part: PartId,
        /// Index of the attempt among those of the part, from 0.
        attempt: u16,
        /// Server that the attempt was sent to.
        server: ServerId,
        /// Result of the attempt.
        outcome: Outcome,
        /// Time since the send.
        elapsed: Micros,
    },
    /// A probe has ended.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// Result of the probe.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Micros,
    },
    /// The list of servers has changed.
    List(ServerListUpdate),
    /// Replaces the classes. There are never fewer than before. A class that differs from the one
    /// previously at its index is a new class without statistics.
    Classes(Vec<Class>),
    /// Replaces the retry budget.
    Budget(Option<Budget>),
    /// Replaces the load of a server other than this instance's parts in flight there.
    Load {
        /// Server that the load applies to.
        server: ServerId,
        /// Current total; it replaces the previous one.
        load: Load,
    },
    /// Number of processes that share this instance's limits equally, including this one. `None` if
    /// this process is about to end and has no share.
    Processes(Option<u32>),
    /// A wake-up requested by [`Action::Wake`] is due.
    Wake,
}

/// Output of the decision module, carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a part to a server as a new attempt.
    Send {
        /// Part to send.
        part: PartId,
        /// Server to send it to.
        server: ServerId,
        /// Time after which the attempt ends with [`Outcome::Timeout`].
        timeout: Micros,
    },
    /// Answers a query, or the first step of a two-step query, from the answered parts.
    Answer {
        /// Query to answer.
        query: QueryId,
        /// Whether the answer is complete, see [`Class::need`].
        whole: bool,
    },
    /// Refuses a query; a retry by the client is harmless.
    Refuse {
        /// Query to refuse.
        query: QueryId,
        /// Time that the client should wait before a retry; 0: no advice.
        retry_after: Micros,
    },
    /// Fails a query; its parts may or may not have taken effect.
    Fail(QueryId),
    /// Cancels one attempt in flight.
    Cancel {
        /// Part that the attempt belongs to.
        part: PartId,
        /// Index of the attempt among those of the part, from 0.
        attempt: u16,
    },
    /// Probes a server.
    Probe(ServerId),
    /// Closes this instance's idle connections to a server, so that the next send opens a new one.
    CloseIdle(ServerId),
    /// Subscribes to changes of the server list.
    Subscribe,
    /// Requests an [`Event::Wake`] after this time.
    Wake(Micros),
    /// Writes a line to the operator's log.
    Log(String),
}
