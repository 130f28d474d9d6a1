//! What operators want of a broker by hand, decided without input, output or clock.
//!
//! - [`call`] reads the line of an operator's call.
//! - [`wanted`] is the wanted state that the calls change, and how it is kept: which servers are
//!   cordoned, whether clients are sent away. It is apart from what discovery lists.
//! - [`leave`] says what becomes of clients while they are sent away.
//! - [`health`] says whether a process is ready to serve.
//! - [`processes`] says what several processes of one broker share during an upgrade, and which of
//!   them serves the backlog.
//!
//! It owns these rules and promises that equal input gives equal verdicts, each with its reason. It
//! touches nothing: the caller reads files, clocks and sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod health;
pub mod leave;
pub mod processes;
pub mod wanted;
