//! Input and output types of the planner: first-phase answers, plans, and verdicts with the figures
//! that led to them.

use crate::prune::{Bound, SortDirection};
use lichenswitch_interface::{Micros, QueryId};
use std::fmt;

/// The reason for a decision, with the figures that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The first phase has used its maximum share of the latency target.
    FirstPhaseShareUsed {
        /// Time since the query arrived (microseconds).
        elapsed: Micros,
        /// Answered weight (0 to 1).
        answered_weight: f64,
    },
    /// Waiting for the missing parts costs the second phase more than it gains.
    WaitingNotWorthwhile {
        /// Answered weight (0 to 1).
        answered_weight: f64,
        /// Expected value of continuing now, as a share of a complete answer in time.
        now: f64,
        /// Expected value of the best wait, as a share of a complete answer in time.
        waiting: f64,
    },
    /// This number of parts fits into the remaining time, each with the required probability.
    Fits {
        /// Number of parts that are sent.
        sent: usize,
        /// Number of parts in a complete second phase.
        wanted: usize,
        /// Number of slices whose bounds prove that they can't change the answer.
        unneeded: usize,
        /// Time left until the latency target (microseconds).
        remaining: Micros,
        /// Probability that the least likely part ends in time (0 to 1).
        weakest: f64,
    },
    /// Other slices have `k` elements that precede all further elements of this slice.
    Bound {
        /// Number of the slice.
        slice: u32,
        /// Number of elements in the answer.
        k: usize,
    },
    /// A slice returned an element that contradicts its bound.
    WrongBound {
        /// Number of the slice.
        slice: u32,
    },
    /// The expected value is below the minimum for which a query is continued.
    TooLittle {
        /// Expected value, as a share of a complete answer in time.
        expected: f64,
        /// Minimum expected value, from [`Rules::least_gain`](crate::Rules::least_gain).
        least: f64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |t: &Micros| *t as f64 / 1e3;
        match self {
            Reason::FirstPhaseShareUsed { elapsed, answered_weight } => {
                write!(f, "first phase closed with {answered_weight:.3} in: it has used its share of the latency target, {:.0} ms", ms(elapsed))
            }
            Reason::WaitingNotWorthwhile { answered_weight, now, waiting } => write!(
                f,
                "first phase closed with {answered_weight:.3} in: expected worth {now:.3} now, {waiting:.3} with waiting"
            ),
            Reason::Fits { sent, wanted, unneeded, remaining, weakest } => write!(
                f,
                "second phase of {sent} parts of {wanted}, {unneeded} proved unneeded: {:.0} ms left, the least likely \
                 part ends in them with {weakest:.2}",
                ms(remaining)
            ),
            Reason::Bound { slice, k } => write!(f, "slice {slice} can't change the first {k}"),
            Reason::WrongBound { slice } => write!(f, "slice {slice} returned keys that contradict its bound"),
            Reason::TooLittle { expected, least } => {
                write!(f, "given up: expected worth {expected:.3}, least {least:.3}")
            }
        }
    }
}

/// A decision on a query or one of its parts.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The first phase ends with the answers received so far.
    Close {
        /// Id of the query.
        query: QueryId,
        /// Reason for the decision, for the log.
        reason: Reason,
    },
    /// A second-phase part can't change the answer and counts as answered.
    Unneeded {
        /// Id of the query.
        query: QueryId,
        /// The slice of the part.
        slice: u32,
        /// Reason for the decision, for the log.
        reason: Reason,
    },
    /// The answer may no longer be reported as complete.
    MarkIncomplete {
        /// Id of the query.
        query: QueryId,
        /// Reason for the decision, for the log.
        reason: Reason,
    },
    /// The query ends now without an answer.
    GiveUp {
        /// Id of the query.
        query: QueryId,
        /// Reason for the decision, for the log.
        reason: Reason,
    },
}

/// A second-phase part that the planner has chosen or considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedPart {
    /// The slice that the part queries.
    pub slice: u32,
    /// Maximum number of elements to ask for; `None` if the answer is not sorted.
    pub max_elements: Option<usize>,
}

/// The plan of a query's second phase.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Parts to send, best first.
    pub parts: Vec<PlannedPart>,
    /// Number of parts in a complete second phase; each has the weight `1 / wanted`.
    pub wanted: usize,
    /// Slices that are left out for lack of time.
    pub left_out: Vec<u32>,
    /// Slices whose bounds prove that they can't change the answer.
    pub unneeded: Vec<u32>,
    /// Whether the query is given up instead of sending the parts.
    pub give_up: bool,
    /// Reasons for the size of the phase and, if the query is given up, for that.
    pub reasons: Vec<Reason>,
}

/// The first-phase answer of a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstAnswer {
    /// Number of the slice.
    pub slice: u32,
    /// Score of the slice; slices with higher scores are chosen first if the answer is not sorted.
    pub score: f64,
    /// Bound from the slice's best element, if the answer is sorted.
    pub bound: Option<Bound>,
}

/// The goal of a second phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Goal {
    /// Fetch details from the slices with the best scores; the class sets their number.
    BestScores,
    /// Fetch the first `k` elements by their keys.
    Top {
        /// Number of elements.
        k: usize,
        /// Direction in which the elements are sorted.
        direction: SortDirection,
    },
}
