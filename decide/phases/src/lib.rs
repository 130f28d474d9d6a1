//! Queries of two phases: how long the first may take, what the second asks for, and what is
//! withdrawn because it can no longer help.
//!
//! The module (`policy`) goes on to choose servers, copies and further attempts. The [`Planner`]
//! decides when a first phase is closed, which parts the second has, and which are not needed any
//! more. Events go in with their time; [`Verdict`]s come out with the figures behind them. Without
//! [`Rules`] for a class nothing is planned for it, and all is as the settings say.
//!
//! - [`budget`]: the value of waiting, and how much of a second phase fits into the time left.
//! - [`latency`]: latencies of parts, from which probabilities come.
//! - [`prune`]: slices that can't change a sorted answer.
//!
//! It is pure: no I/O, clock or threads.
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
