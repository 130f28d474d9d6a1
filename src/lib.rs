//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! A broker feeds [`policy::Coordinator`] with [`interface::Event`]s and carries out the
//! [`interface::Action`]s that come back. The library does no input or output and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod broker;
pub mod config;
pub mod contract;
pub mod core;
pub mod decide;
pub mod discovery;
pub mod front;
pub use lichenswitch_http as http;
pub use lichenswitch_interface as interface;
pub mod inventory;
pub mod lines;
pub mod management;
pub mod net;
pub mod peer;
pub mod policy;
pub mod stats;
#[cfg(test)]
use lichenswitch_testing as testing;
pub mod upstream;

/// Compiles and runs the example of the README.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct ReadmeExample;
