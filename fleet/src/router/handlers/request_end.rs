//! The end of a request: it leaves the table, its attempts are withdrawn, and its client gets the final
//! response.
//!
//! It promises that a refusal (503) leaves only for a request that has not run and never will.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::local_response::LocalResponse;
use crate::router::request_table::{RequestPhase, RequestState};
use crate::router::state::Router;
use lichenswitch_interface::{Micros, Time};

impl Router {
    /// Removes a request from the table, and withdraws its attempts.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<RequestState> {
        let mut request = self.requests.remove(id)?;
        for attempt in std::mem::take(&mut request.in_flight) {
            if self.connections.withdraw(&mut self.net, attempt.id) {
                request.possible_executions = request.possible_executions.saturating_sub(1);
            }
        }
        let service = self.services.get_mut(request.service);
        if let RequestPhase::Relaying(relay) = &request.phase {
            self.connections.withdraw(&mut self.net, relay.attempt);
        }
        if let Some(service) = service {
            service.release(request.class_index);
            if let RequestPhase::Relaying(relay) = &request.phase {
                service.on_stream_ended(relay.server);
            }
            if let Some(query) = request.core_query {
                service.cancel(query);
            }
        }
        Some(request)
    }

    /// The deadline of a request has passed.
    pub(super) fn on_request_deadline(&mut self, id: RequestId) {
        let now = self.net.clock.now();
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.deadline <= now)
        {
            self.end_request(id, AbortReason::Deadline);
        }
    }

    /// Ends a request at once: with a final response, or by aborting the one that has begun.
    pub(super) fn end_request(&mut self, id: RequestId, reason: AbortReason) {
        match self.requests.get(id).map(|request| &request.phase) {
            Some(RequestPhase::Pending) => self.respond_without_server(id, None),
            Some(RequestPhase::Relaying(_) | RequestPhase::Resuming { .. }) => {
                self.abort_response(id, reason)
            }
            None => {}
        }
    }
    /// Answers a request that gets no response from a server: 503 only where it has not been
    /// executed, else the last failure of a server, 504 at its deadline, or 502.
    pub(super) fn respond_without_server(&mut self, id: RequestId, after: Option<Micros>) {
        let now = self.net.clock.now();
        let Some(request) = self.remove_request(id) else {
            return;
        };
        let (client, may_have_run) = (request.client, request.possible_executions > 0);
        let events = &mut self.client_events;
        match request.last_failure {
            Some(failure) if may_have_run => {
                let (head, has_body) = (failure.head.encode(), failure.head.has_body);
                self.clients.respond_complete(
                    &mut self.net,
                    client,
                    &head,
                    &failure.body,
                    has_body,
                    events,
                );
            }
            _ => {
                let response = match may_have_run {
                    false => LocalResponse::unavailable(after),
                    true if is_nearly_due(request.deadline, now) => LocalResponse::status_only(504),
                    true => LocalResponse::status_only(502),
                };
                self.clients
                    .respond_locally(&mut self.net, client, &response, events);
            }
        }
    }
}

/// Whether a deadline has passed, or nearly.
fn is_nearly_due(deadline: Time, now: Time) -> bool {
    /// The decision module gives up two turns before the deadline (microseconds).
    const TOLERANCE_US: Micros = 10_000;
    now.plus(TOLERANCE_US) >= deadline
}
