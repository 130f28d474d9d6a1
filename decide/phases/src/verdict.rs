//! What the planner is told of first-phase answers, and what it decides, with the figures that led to
//! it.

use crate::prune::{Bound, SortDirection};
use lichenswitch_interface::{Micros, QueryId};
use std::fmt;

/// Why something was decided, with the figures that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The first phase has had its largest share of the latency target.
    FirstShare {
        /// Time since the query came, microseconds.
        took: Micros,
        /// Weight that is in.
        have: f64,
    },
    /// Waiting for what is missing takes more from the second phase than it brings.
    Worth {
        /// Weight that is in.
        have: f64,
        /// Expected worth of going on now.
        now: f64,
        /// Expected worth of waiting, at best.
        waiting: f64,
    },
    /// So many parts fit into the time that is left, each with the stated probability.
    Fits {
        /// Parts that are sent.
        sent: usize,
        /// Parts of a whole second phase.
        wanted: usize,
        /// Slices that were proved to be unneeded.
        unneeded: usize,
        /// Time left to the latency target, microseconds.
        left: Micros,
        /// Chance of the least likely part.
        weakest: f64,
    },
    /// Other slices have `k` elements before all that this one can still give.
    Bound {
        /// The slice.
        slice: u32,
        /// Elements that are asked for.
        k: usize,
    },
    /// A slice gave something better than its bound.
    WrongBound {
        /// The slice.
        slice: u32,
    },
    /// What can still be earned is too little for the work.
    TooLittle {
        /// Expected worth, as a share of a whole answer in time.
        expected: f64,
        /// The least that is worked for.
        least: f64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |t: &Micros| *t as f64 / 1e3;
        match self {
            Reason::FirstShare { took, have } => {
                write!(f, "first phase closed with {have:.3} in: it has had its share of the aim, {:.0} ms", ms(took))
            }
            Reason::Worth { have, now, waiting } => write!(
                f,
                "first phase closed with {have:.3} in: expected worth {now:.3} now, {waiting:.3} with waiting"
            ),
            Reason::Fits { sent, wanted, unneeded, left, weakest } => write!(
                f,
                "second phase of {sent} parts of {wanted}, {unneeded} proved unneeded: {:.0} ms left, the least likely \
                 part ends in them with {weakest:.2}",
                ms(left)
            ),
            Reason::Bound { slice, k } => write!(f, "slice {slice} can't change the first {k}"),
            Reason::WrongBound { slice } => write!(f, "slice {slice} gave something better than its bound"),
            Reason::TooLittle { expected, least } => {
                write!(f, "given up: expected worth {expected:.3}, least {least:.3}")
            }
        }
    }
}

/// What becomes of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The first phase ends with what is in.
    Close {
        /// The query.
        query: QueryId,
        /// Why.
        reason: Reason,
    },
    /// A second-phase part is proved to be unneeded: it counts as in.
    Unneeded {
        /// The query.
        query: QueryId,
        /// The slice of the part.
        slice: u32,
        /// Why.
        reason: Reason,
    },
    /// The answer can't be called complete any more.
    Doubt {
        /// The query.
        query: QueryId,
        /// Why.
        reason: Reason,
    },
    /// The query gets its final answer now: none.
    GiveUp {
        /// The query.
        query: QueryId,
        /// Why.
        reason: Reason,
    },
}

/// A part of the second phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedPart {
    /// Its slice.
    pub slice: u32,
    /// How many elements to ask for, where the answer is sorted.
    pub max_elements: Option<usize>,
}

/// What the second phase of a query is to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The parts, the best first.
    pub parts: Vec<PlannedPart>,
    /// Parts of a complete second phase; each weighs one of so many.
    pub wanted: usize,
    /// Slices that were left out for time.
    pub left_out: Vec<u32>,
    /// Slices that were proved to be unneeded.
    pub unneeded: Vec<u32>,
    /// Set: rather than being sent, the query is given up.
    pub give_up: bool,
    /// The reasons.
    pub reasons: Vec<Reason>,
}

/// The first-phase answer of a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstAnswer {
    /// The slice.
    pub slice: u32,
    /// The better, the sooner it is fetched from, where nothing is sorted.
    pub score: f64,
    /// Its best element, where the answer is sorted.
    pub bound: Option<Bound>,
}

/// What the second phase is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Goal {
    /// Details from the slices with the best scores, as many as the class says.
    BestScores,
    /// The first elements by their keys.
    Top {
        /// How many.
        k: usize,
        /// In which direction they are sorted.
        direction: SortDirection,
    },
}
