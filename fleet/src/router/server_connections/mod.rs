//! Connections to model servers: one request at a time on each.
//!
//! It owns every connection to a server. It promises:
//! - an answer is given out only for the request that is out on its connection, and only if it
//!   bears that request's `Attempt-Id`;
//! - a connection is used again only after a whole, framed answer with nothing behind it, and
//!   closed after anything odd;
//! - a request that may not run twice is written only on a connection that is new or was used a
//!   moment ago;
//! - an attempt is told as never sent only while no byte of its request has been given to the
//!   system;
//! - nothing is sent to a server that drains or is gone, however long the attempt had waited.

mod attempt;
mod exchange;
mod in_flight;
mod pool;
mod table;

pub(crate) use attempt::{Attempt, ServerEvent};
pub(crate) use table::ServerConnections;
