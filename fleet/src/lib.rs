//! The router fleet: a router on each edge machine, control machines that keep its configuration
//! and know its servers.
//!
//! It owns what joins the packages below it: settings, the log, and a role each in [`router`] and
//! [`control`]. The program in `main.rs` picks one of them by its subcommand.
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
