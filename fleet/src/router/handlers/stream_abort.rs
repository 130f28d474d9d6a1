//! The end of a response that has begun and can't be brought to its end: the client sees its
//! connection close in the middle of it.
//!
//! It promises that every such end is logged once, with its reason and with what tells the reasons
//! apart: how old the request was, how long this process had been ending, and which configuration
//! the request was taken under.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::request_table::RequestState;
use crate::router::state::Router;
use lichenswitch_interface::Micros;

impl Router {
    /// Cuts an answer off that has begun.
    pub(crate) fn cut(&mut self, id: RequestId, reason: AbortReason) {
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
pub(crate) fn millis(time: Micros) -> u64 {
    time / 1_000
}
