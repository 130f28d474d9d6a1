//! Connections to model servers: one request at a time on each.
//!
//! It owns every connection to a server. It promises:
//! - a response is given out only for the request in flight on its connection, and only if it bears
//!   that request's `Attempt-Id`;
//! - a connection carries each `Attempt-Id` once, so that an extra response to an earlier send of a
//!   request is never taken for the response to a later one;
//! - a connection is reused only after a complete, framed response with nothing behind it, and
//!   closed after anything unexpected;
//! - a request that is not idempotent is written only on a connection that is new or was used a
//!   moment ago;
//! - an attempt is reported as never sent only while no byte of its request has been given to the
//!   operating system;
//! - nothing is sent to a server that is draining or gone, however long the attempt was queued.
//!
//! Its parts: `attempt` (what is to be sent, and what became of it), `carried_ids` (which requests a
//! connection has carried), `in_flight` (a response as it is read), `failure_cause` (why a connection
//! was given up), `table` (all connections), `pool` (which connection an attempt gets), `exchange`
//! (request and response on it).

mod attempt;
mod carried_ids;
mod exchange;
mod failure_cause;
mod in_flight;
mod pool;
mod table;

pub(crate) use attempt::{Attempt, ServerEvent, StreamStart};
pub(crate) use table::ServerConnections;
