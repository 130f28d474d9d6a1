//! The decisions of a co-ordinator of queries over replicated shards.
//!
//! A broker feeds [`policy::Coordinator`] with [`interface::Event`]s and carries out the
//! [`interface::Action`]s that come back. The library does no input or output and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod broker;
pub mod config;
pub mod decide;
pub mod discovery;
pub mod front;
pub mod inventory;
pub mod log_writer;
pub mod management;
pub mod net;
pub mod peer;
pub mod service;
pub mod upstream;

pub use lichenswitch_core as core;
pub use lichenswitch_core::contract;
pub use lichenswitch_http as http;
pub use lichenswitch_interface as interface;
pub use lichenswitch_policy as policy;
pub use lichenswitch_stats as stats;
#[cfg(test)]
use lichenswitch_testing as testing;

/// Compiles and runs the example of the README.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct ReadmeExample;
