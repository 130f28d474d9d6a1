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
    /// Takes a request out of the table, and gives up all that is out for it.
    pub(crate) fn remove_request(&mut self, id: RequestId) -> Option<RequestState> {
        let mut request = self.requests.remove(id)?;
        for out in std::mem::take(&mut request.in_flight) {
            if self.connections.withdraw(&mut self.net, out.id) {
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

    /// The time of a request is over.
    pub(crate) fn on_request_deadline(&mut self, id: RequestId) {
        let now = self.net.clock.now();
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.deadline <= now)
        {
            self.end_request(id, AbortReason::Deadline);
        }
    }

    /// Gives a request its end at once: a final answer, or the cut of the one that has begun.
    pub(crate) fn end_request(&mut self, id: RequestId, reason: AbortReason) {
        match self.requests.get(id).map(|request| &request.phase) {
            Some(RequestPhase::Pending) => self.respond_without_server(id, None),
            Some(RequestPhase::Relaying(_) | RequestPhase::Resuming { .. }) => {
                self.abort_response(id, reason)
            }
            None => {}
        }
    }
}

impl Router {
    /// Gives a request that gets no answer from a server its final answer: a refusal only where it
    /// has not run.
    pub(crate) fn respond_without_server(&mut self, id: RequestId, after: Option<Micros>) {
        let now = self.net.clock.now();
        let Some(request) = self.remove_request(id) else {
            return;
        };
        let (client, ran) = (request.client, request.possible_executions > 0);
        let events = &mut self.client_events;
        match request.last_failure {
            Some(failure) if ran => {
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
                let answer = match ran {
                    false => LocalResponse::unavailable(after),
                    true if is_nearly_due(request.deadline, now) => LocalResponse::status_only(504),
                    true => LocalResponse::status_only(502),
                };
                self.clients
                    .respond_locally(&mut self.net, client, &answer, events);
            }
        }
    }
}

/// Whether a point has come, but for a moment.
pub(crate) fn is_nearly_due(point: Time, now: Time) -> bool {
    /// The module gives up two turns before the end.
    const NEARLY: Micros = 10_000;
    now.plus(NEARLY) >= point
}
