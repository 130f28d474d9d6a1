//! Responses of servers: each one becomes its request's one final response, or a reason to go on.
//!
//! It promises that a success leaves only as the server gave it, complete.

use crate::router::ids::{AttemptId, RequestId};
use crate::router::request_table::RequestPhase;
use crate::router::response_outcome::ResponseOutcome;
use crate::router::server_connections::ServerEvent;
use crate::router::server_response::BufferedResponse;
use crate::router::state::Router;
use lichenswitch_interface::Outcome;

impl Router {
    /// Handles what became of attempts.
    pub(super) fn handle_server_events(&mut self) {
        for event in self.connections.take_events() {
            match event {
                ServerEvent::ResponseReceived { attempt, response } => {
                    self.on_response_received(attempt, response)
                }
                ServerEvent::StreamStarted { attempt, start } => {
                    self.on_stream_started(attempt, &start)
                }
                ServerEvent::ChunkReceived { attempt, chunk } => {
                    self.on_chunk_received(attempt, chunk)
                }
                ServerEvent::StreamCompleted {
                    attempt,
                    last_bytes,
                } => self.on_stream_completed(attempt, &last_bytes),
                ServerEvent::AttemptFailed { attempt, outcome } => {
                    self.on_attempt_failed(attempt, outcome)
                }
            }
        }
    }

    /// An attempt ended without a response.
    pub(super) fn on_attempt_failed(&mut self, id: AttemptId, outcome: Outcome) {
        let relayed = self.requests.id_of_attempt(id).filter(|request| {
            self.requests
                .get(*request)
                .is_some_and(|request| request.is_relayed_from(id))
        });
        if let Some(request) = relayed {
            return self.on_stream_interrupted(request, outcome);
        }
        self.requests.on_attempt_ended(id, outcome);
        self.report_outcome(id, outcome);
    }

    /// A server has sent a complete response.
    pub(super) fn on_response_received(&mut self, id: AttemptId, response: BufferedResponse) {
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(id.service) {
            service.on_server_load(response.head.load);
        }
        match ResponseOutcome::of(&response.head) {
            ResponseOutcome::NotExecuted => {
                self.requests.on_attempt_ended(id, Outcome::Rejected);
                self.report_outcome(id, Outcome::Rejected);
            }
            ResponseOutcome::Failure { can_forward } => {
                self.requests.on_attempt_ended(id, Outcome::Error);
                if let Some(request) = self.requests.get_mut(request_id).filter(|_| can_forward) {
                    request.last_failure = Some(response);
                }
                self.report_outcome(id, Outcome::Error);
            }
            ResponseOutcome::Final => self.on_final_response(request_id, id, &response),
        }
    }

    /// A response is final for its attempt: it is forwarded, unless another one has begun.
    pub(super) fn on_final_response(
        &mut self,
        request_id: RequestId,
        id: AttemptId,
        response: &BufferedResponse,
    ) {
        self.requests.on_attempt_ended(id, Outcome::Ok);
        self.report_outcome(id, Outcome::Ok);
        // The core has its outcome, and ends the query by itself.
        if let Some(request) = self.requests.get_mut(request_id) {
            request.core_query = None;
        }
        match self.requests.get(request_id).map(|request| &request.phase) {
            Some(RequestPhase::Pending) => self.forward_response(request_id, response),
            // The resumed stream has no more events, or can't continue here.
            Some(RequestPhase::Resuming { .. }) => self.on_resumed_response(request_id, response),
            Some(RequestPhase::Relaying(_)) | None => {}
        }
    }

    /// Forwards a complete response to the client.
    pub(super) fn forward_response(&mut self, id: RequestId, response: &BufferedResponse) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        let (head, has_body) = (response.head.encode(), response.head.has_body);
        let (client, events) = (request.client, &mut self.client_events);
        self.clients.respond_complete(
            &mut self.net,
            client,
            &head,
            &response.body,
            has_body,
            events,
        );
    }
}
