//! The end of a response that has begun and can't be brought to its end: the client sees its
//! connection close in the middle of it.
//!
//! It promises that every such end is logged once, with its reason and with what tells the reasons
//! apart: how old the request was, how long this process had been ending, and which configuration
//! the request was received under.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::request_table::RequestState;
use crate::router::state::Router;
use lichenswitch_interface::Micros;

impl Router {
    /// Aborts a response that has begun, and logs why.
    pub(super) fn abort_response(&mut self, id: RequestId, reason: AbortReason) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        self.log_abort(&request, reason);
        match reason {
            AbortReason::ResumableElsewhere => self
                .clients
                .abort_after_flush(&mut self.net, request.client),
            _ => self.clients.abort(&mut self.net, request.client),
        }
    }

    fn log_abort(&self, request: &RequestState, reason: AbortReason) {
        let now = self.net.clock.now();
        let active = self
            .configuration
            .get()
            .map_or(0, |active| active.document().version());
        log::info!(
            reason:% = reason,
            attempt_id = request.client_request.attempt_id.as_deref().unwrap_or_default(),
            route:% = request.terms.route,
            resumable = request.terms.is_resumable,
            age_ms = to_millis(now.since(request.received_at)),
            left_ms = to_millis(request.deadline.since(now)),
            stopping_ms = self.shutdown.map_or(0, |shutdown| to_millis(now.since(shutdown.started_at()))),
            taken_under = request.configuration_version,
            active = active;
            "answer cut off"
        );
    }
}

/// Whole milliseconds, as logs show times.
fn to_millis(time: Micros) -> u64 {
    time / 1_000
}
