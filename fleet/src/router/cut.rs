//! The end of an answer that has begun and can't be brought to its end: the client sees its
//! connection close in the middle of it.
//!
//! It promises that every such end is logged once, with its reason and with what tells the reasons
//! apart: how old the request was, how long this process had been ending, and which configuration
//! the request was taken under.

use super::exchange::RequestState;
use super::ids::RequestId;
use super::Router;
use lichenswitch_interface::{Micros, Outcome};
use std::fmt;

/// Why an answer that had begun was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbortReason {
    /// Its server ended it like this, and it could not go on at another one.
    ServerEnded(Outcome),
    /// It went on at another server, which did not bring the rest.
    NotResumed,
    /// The time of the request was over.
    Deadline,
    /// It was to go on at another server, and its key is served no more.
    KeyDenied,
    /// This process ends.
    Shutdown,
    /// This process ends, and the client may go on behind the last event at another router.
    HandedOver,
}

impl fmt::Display for AbortReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AbortReason::ServerEnded(outcome) => write!(f, "server ended it: {outcome:?}"),
            AbortReason::NotResumed => f.write_str("not resumed at another server"),
            AbortReason::Deadline => f.write_str("deadline"),
            AbortReason::KeyDenied => f.write_str("key no longer served"),
            AbortReason::Shutdown => f.write_str("shutdown"),
            AbortReason::HandedOver => f.write_str("shutdown, to be resumed elsewhere"),
        }
    }
}

impl Router {
    /// Cuts an answer off that has begun.
    pub(super) fn cut(&mut self, id: RequestId, reason: AbortReason) {
        let Some(exchange) = self.finish(id) else {
            return;
        };
        self.log_cut(&exchange, reason);
        match reason {
            AbortReason::HandedOver => self
                .clients
                .cut_behind_written(&mut self.net, exchange.client),
            _ => self.clients.cut(&mut self.net, exchange.client),
        }
    }

    fn log_cut(&self, exchange: &RequestState, reason: AbortReason) {
        let now = self.net.clock.now();
        let in_force = self
            .configuration
            .get()
            .map_or(0, |in_force| in_force.document().version());
        log::info!(
            reason:% = reason,
            attempt_id = exchange.request.attempt_id.as_deref().unwrap_or_default(),
            route:% = exchange.terms.route,
            resumable = exchange.terms.resumable,
            age_ms = millis(now.since(exchange.taken)),
            left_ms = millis(exchange.deadline.since(now)),
            stopping_ms = self.shutdown.map_or(0, |shutdown| millis(now.since(shutdown.began()))),
            taken_under = exchange.configuration,
            in_force = in_force;
            "answer cut off"
        );
    }
}

/// Whole milliseconds, as logs tell times.
fn millis(time: Micros) -> u64 {
    time / 1_000
}
