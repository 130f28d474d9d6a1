//! Experiments: the broker's `core` and its decisions in virtual time, at large size, from a seed; and
//! fleets of broker processes under faults from a seed.
//!
//! Each module is one experiment with its figures. In virtual time the same seed gives the same
//! figures; with processes it gives the same faults.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod consensus;
pub mod discovery;
mod error;
pub mod fleet;
pub mod members;
pub mod node;
pub mod replay;
pub mod scale;
pub mod slow_start;
pub mod two_phase;
pub mod world;

pub use error::ExperimentError;
