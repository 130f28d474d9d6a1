//! The laboratory: `core` and the decision module in virtual time, at large size, with seeds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cold;
pub mod council;
pub mod discovery;
mod error;
pub mod fleet;
pub mod members;
pub mod node;
pub mod replay;
pub mod scale;
pub mod two_phase;
pub mod world;

pub use error::ExperimentError;
