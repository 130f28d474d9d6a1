//! Plans two-phase queries: how long the first phase may take, what the second phase asks for, and
//! which of its parts are withdrawn because they can no longer change the answer.
//!
//! The [`Planner`] decides when a first phase is closed, which parts the second phase has, and
//! which of them are no longer needed. The `policy` module still chooses servers, copies and
//! further attempts. The planner receives events with their time and returns [`Verdict`]s with the
//! figures that led to them. A class without [`Rules`] is not planned; its queries follow the
//! settings.
//!
//! - [`budget`] estimates the value of waiting and how much of a second phase fits into the
//!   remaining time.
//! - [`latency`] records the latencies of parts and derives probabilities from them.
//! - [`prune`] finds slices that can't change a sorted answer.
//!
//! The package has no I/O, no clock and no threads.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod latency;
mod planner;
pub mod prune;
mod query;
mod ranking;
mod rules;
mod verdict;

pub use planner::Planner;
pub use query::{AttemptTiming, PartRef, Phase, WeightedSlice};
pub use rules::Rules;
pub use verdict::{FirstAnswer, Goal, Plan, PlannedPart, Reason, Verdict};
