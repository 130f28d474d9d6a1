//! Decides what operators' calls change at a broker, without I/O or a clock.
//!
//! - [`call`] parses the line of an operator's call.
//! - [`desired_state`] holds the state that calls change and defines its stored form: which servers
//!   are cordoned, and whether the broker is quiesced. It is separate from the discovered servers.
//! - [`quiesce`] defines how clients are treated while the broker is quiesced.
//! - [`health`] decides whether a process is ready to serve.
//! - [`processes`] divides the limits between several processes of one broker during an upgrade,
//!   and decides which of them serves the backlog.
//!
//! Equal input gives equal decisions, each with its reason. The caller reads files, clocks and
//! sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod desired_state;
pub mod health;
pub mod processes;
pub mod quiesce;
