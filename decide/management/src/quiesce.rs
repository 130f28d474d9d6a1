//! How clients are treated while they are sent away.
//!
//! The front layer asks for readiness every 0.1 s and distributes connections for 0.2 s more: a
//! connection that is closed sooner than that may return to this broker at once. So clients are
//! notified with their answers first; then idle connections are closed; and last nothing new is
//! accepted, so that after four seconds only requests are left that were accepted long before.

use lichenswitch_interface::{Micros, Time};

/// This long after the call no client connects any more that follows the front layer (microseconds):
/// idle connections are closed.
pub const NOTICE_PERIOD: Micros = 500_000;
/// From then on nothing new is accepted (microseconds): four seconds after the call no connection
/// may have a request of the last two.
pub const ACCEPT_PERIOD: Micros = 1_700_000;

/// How far quiescing has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuiesceStage {
    /// Clients are served as always.
    Serving,
    /// The process is not ready any more; each answer is the last one of its connection.
    Notifying,
    /// Idle connections are closed too.
    ClosingIdle,
    /// Requests are rejected at once, and those that are still arriving are ended.
    Rejecting,
}

/// The stage of clients that are sent away since then; `None`: they are not.
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
