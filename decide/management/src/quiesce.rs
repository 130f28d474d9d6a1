//! Stages of quiescing, in which a broker sends its clients to other brokers.
//!
//! The front layer polls readiness every 0.1 s and may route new connections here for another 0.2
//! s. A client whose connection is closed earlier may reconnect to this broker at once. Quiescing
//! therefore has three stages: clients are first notified with their answers, then idle connections
//! are closed, and finally new requests are rejected. Four seconds after the call, the only
//! requests left are those that were accepted long before.

use lichenswitch_interface::{Micros, Time};

/// Time from the call until idle connections are closed (microseconds). By then, clients that
/// follow the front layer no longer connect to this broker.
pub const NOTICE_PERIOD: Micros = 500_000;
/// Time from the call until new requests are rejected (microseconds). Four seconds after the call,
/// no connection may have a request from the last two seconds.
pub const ACCEPT_PERIOD: Micros = 1_700_000;

/// A stage of quiescing, in the order in which they follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuiesceStage {
    /// The broker is not quiesced and serves clients normally.
    Serving,
    /// The process reports that it is not ready, and each answer is the last of its connection.
    Notifying,
    /// Idle connections are closed as well.
    ClosingIdle,
    /// New requests are rejected at once, and requests that are still arriving are terminated.
    Rejecting,
}

/// Returns the stage at `now`. `quiesced_at` is the time of the call, or `None` if the broker is
/// not quiesced.
#[must_use]
pub fn stage(quiesced_at: Option<Time>, now: Time) -> QuiesceStage {
    match quiesced_at.map(|at| now.since(at)) {
        None => QuiesceStage::Serving,
        Some(0..NOTICE_PERIOD) => QuiesceStage::Notifying,
        Some(NOTICE_PERIOD..ACCEPT_PERIOD) => QuiesceStage::ClosingIdle,
        Some(_) => QuiesceStage::Rejecting,
    }
}

#[cfg(test)]
mod tests;
