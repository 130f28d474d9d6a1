//! The router fleet. A router runs on each edge machine. Control machines store the configuration
//! of the fleet and track its servers.
//!
//! This crate connects the other packages. It contains the settings, the log and the two roles,
//! [`router`] and [`control`]. The executable in `main.rs` selects a role by its subcommand.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod control;
pub mod envelopes;
pub mod invariants;
pub mod logging;
mod quota_messages;
pub mod router;
pub mod settings;
pub mod status;
