//! Connections of clients: requests are read from them, and responses written.
//!
//! It owns each connection from its accept to its close. It promises: one request at a time on a
//! connection, the next one only after the response to the one before; a response that ends early
//! never looks complete; a disconnect is reported at once, also while its request waits; the bytes
//! buffered of incomplete requests are bounded; an idle connection is kept for as long as the
//! configuration says.
//!
//! Its parts: `connection` (one connection), `table` (all of them, with their timers), `reading` and
//! `writing` (methods of the table).

mod connection;
mod reading;
mod table;
mod writing;

pub(crate) use connection::ClientEvent;
pub(crate) use table::ClientConnections;
