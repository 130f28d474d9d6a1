//! Connections of clients: requests are read from them, and answers written.
//!
//! It owns each connection from its accept to its close. It promises: one request at a time on a
//! connection, the next one only after the answer to the one before; an answer that ends early
//! never looks complete; a client that leaves is told of at once, also while its request waits;
//! what is held of requests that are not whole is bounded; a connection that rests is kept for as
//! long as the configuration says.

mod connection;
mod reading;
mod table;
mod writing;

pub(crate) use connection::ClientEvent;
pub(crate) use table::ClientConnections;
