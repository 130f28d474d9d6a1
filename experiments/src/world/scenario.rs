//! What is simulated, and what came of it.

use lichenswitch::interface::Micros;
use std::time::Duration;

/// One kind of query.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Share of the queries.
    pub share: f64,
    /// Parts of a query, at neighbouring shards.
    pub parts: u32,
    /// Work of a part in its first phase, in milliseconds.
    pub work_ms: f64,
    /// Work of a part in its second phase, as a share of the first.
    pub second: f64,
    /// Spread of the work: standard deviation over mean.
    pub cv: f64,
    /// Set where only the first so many elements are wanted, the largest first.
    pub top: Option<usize>,
}

/// The faults of a share of the data nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeFaults {
    /// Share of the data nodes.
    pub share: f64,
    /// Factor of the work of the first of two phases there; below 1.0: none.
    pub slow_first: f64,
    /// Length of a pause in milliseconds, and seconds between two pauses; none where either is 0.
    pub pause_ms: f64,
    /// See `pause_ms`.
    pub pause_every_s: f64,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Virtual seconds in which queries arrive.
    pub seconds: f64,
    /// Queries a second.
    pub rate: f64,
    /// Data nodes; they take the cells of the layout in turn.
    pub nodes: u32,
    /// Cores of each.
    pub cores: usize,
    /// Work of a call beside its parts, in microseconds.
    pub call_overhead: Micros,
    /// Kinds of queries, by class.
    pub mix: Vec<Mix>,
    /// Faults of the data nodes.
    pub node_faults: NodeFaults,
    /// One-way delay of the network, in microseconds.
    pub network_delay: Micros,
}

/// What came of all queries.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Queries that arrived.
    pub queries: u64,
    /// Answered within the latency target.
    pub on_time: u64,
    /// Answered whole.
    pub whole: u64,
    /// Value of all queries, and value that was earned.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
    /// Work of the second phase, microseconds.
    pub second_work: Micros,
    /// Of it, done after the query's latency target.
    pub second_after_target: Micros,
    /// Parts sent in the second phase, copies and further attempts included.
    pub second_parts: u64,
    /// Parts sent in all.
    pub parts: u64,
    /// Queries of two phases.
    pub two_phase: u64,
    /// Answers below the least share.
    pub below_floor: u64,
    /// Answers marked whole that are not.
    pub falsely_whole: u64,
    /// Queries without exactly one final answer before their deadline.
    pub lost: u64,
    /// Sorted answers marked whole that are not the first elements of all slices.
    pub wrong: u64,
    /// Refused or failed.
    pub given_up: u64,
    /// Time on the machine's clock in `core` and the module, and the longest turn.
    pub wall_time: Duration,
    /// See `wall_time`.
    pub worst_turn: Duration,
    /// A digest of all commands of the broker, in order.
    pub digest: u64,
}
