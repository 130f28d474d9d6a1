//! What a day consists of, and what came of it.

use lichenswitch::interface::Micros;
use std::time::Duration;

/// One sort of query.
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

/// What a share of the data nodes suffers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Share of the data nodes.
    pub share: f64,
    /// Parts of the first of two phases take so many times as long there; below 1.0 stands for
    /// none.
    pub slow_first: f64,
    /// Length of a pause in milliseconds and seconds between two; none where either is 0.
    pub pause_ms: f64,
    /// See `pause_ms`.
    pub pause_every_s: f64,
}

/// A day in the laboratory.
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
    pub call: Micros,
    /// Sorts of queries, by class.
    pub mix: Vec<Mix>,
    /// What befalls the data nodes.
    pub trouble: Trouble,
    /// One way through the network, in microseconds.
    pub way: Micros,
}

/// What came of all queries.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Queries that arrived.
    pub queries: u64,
    /// Answered within the aim.
    pub on_time: u64,
    /// Answered whole.
    pub whole: u64,
    /// Worth asked for and worth earned.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
    /// Work of the second phase, microseconds.
    pub second_work: Micros,
    /// Of it, done after the query's aim.
    pub second_after_aim: Micros,
    /// Parts sent in the second phase, copies and further attempts included.
    pub second_parts: u64,
    /// Parts sent in all.
    pub parts: u64,
    /// Queries of two phases.
    pub two_phase: u64,
    /// Answers under the least share.
    pub below_floor: u64,
    /// Answers marked whole that are not.
    pub falsely_whole: u64,
    /// Queries without exactly one final answer before their deadline.
    pub lost: u64,
    /// Sorted answers called whole that are not the first elements of all slices.
    pub wrong: u64,
    /// Refused or failed.
    pub given_up: u64,
    /// Wall time spent in `core` and the module, and the longest turn.
    pub wall: Duration,
    /// See `wall`.
    pub worst_turn: Duration,
    /// A digest of all that the broker asked for, in order.
    pub digest: u64,
}
