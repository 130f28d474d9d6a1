//! What becomes of clients while they are sent away.
//!
//! The front layer asks for readiness every 0.1 s and deals connections out for 0.2 s more: a
//! connection that is closed sooner than that may come back to this broker at once. So clients are
//! told with their answers first; then what rests is closed; and last nothing new is taken, so that
//! after four seconds nothing is here but requests that were taken long before.

use lichenswitch_interface::{Micros, Time};

/// So long after the call nobody comes any more who keeps to the front layer's notice; connections
/// that rest are closed.
pub const NOTICED: Micros = 500_000;
/// From then on nothing new is taken: four seconds after the call no connection may have a request
/// of the last two.
pub const LAST: Micros = 1_700_000;

/// How far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Clients are served as always.
    Served,
    /// Not ready any more; each answer is the last one of its connection.
    Told,
    /// Connections between requests are closed too.
    Closed,
    /// Requests are refused at once, and those that are still arriving are ended.
    Refused,
}

/// The stage of clients that have been sent away since then; `None`: they are not.
#[must_use]
pub fn stage(quiesced: Option<Time>, now: Time) -> Stage {
    match quiesced.map(|since| now.since(since)) {
        None => Stage::Served,
        Some(0..NOTICED) => Stage::Told,
        Some(NOTICED..LAST) => Stage::Closed,
        Some(_) => Stage::Refused,
    }
}

#[cfg(test)]
mod tests;
