//! What operators set by hand at a broker, decided without I/O or clock.
//!
//! - [`call`] parses the line of an operator's call.
//! - [`desired_state`] is the state that calls change, and its stored form: which servers are
//!   cordoned, whether clients are sent away. It is apart from what discovery lists.
//! - [`quiesce`] says how clients are treated while they are sent away.
//! - [`health`] says whether a process is ready to serve.
//! - [`processes`] says what several processes of one broker share during an upgrade, and which of
//!   them serves the backlog.
//!
//! It promises that equal input gives equal verdicts, each with its reason. The caller reads files,
//! clocks and sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod desired_state;
pub mod health;
pub mod processes;
pub mod quiesce;
