//! Responses of servers: each one becomes its request's one final response, or a reason to go on.
//!
//! It promises that a success leaves only as the server gave it, complete.

use crate::router::ids::{AttemptId, RequestId};
use crate::router::request_table::RequestPhase;
use crate::router::response_outcome::{meaning, ResponseOutcome};
use crate::router::server_connections::ServerEvent;
use crate::router::server_response::BufferedResponse;
use crate::router::state::Router;
use lichenswitch_interface::Outcome;

impl Router {
    /// Takes in what servers have answered.
    pub(crate) fn handle_server_events(&mut self) {
        for event in self.connections.take_events() {
            match event {
                ServerEvent::ResponseReceived(id, answer) => self.on_response_received(id, answer),
                ServerEvent::StreamStarted(id, head, length, part) => {
                    self.on_stream_started(id, *head, length, part)
                }
                ServerEvent::ChunkReceived(id, part) => self.on_chunk_received(id, part),
                ServerEvent::StreamCompleted(id, rest) => self.on_stream_completed(id, &rest),
                ServerEvent::AttemptFailed(id, outcome) => self.on_attempt_failed(id, outcome),
            }
        }
    }

    /// An attempt ended without an answer.
    pub(super) fn on_attempt_failed(&mut self, id: AttemptId, outcome: Outcome) {
        let relays = self.requests.id_of_attempt(id).filter(|e| {
            self.requests
                .get(*e)
                .is_some_and(|request| request.is_relayed_from(id))
        });
        if let Some(request) = relays {
            return self.on_stream_interrupted(request, outcome);
        }
        self.requests.on_attempt_ended(id, outcome);
        self.report_outcome(id, outcome);
    }

    /// A server has answered, whole.
    pub(super) fn on_response_received(&mut self, id: AttemptId, answer: BufferedResponse) {
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(id.service) {
            service.on_server_load(answer.head.load);
        }
        match meaning(&answer.head) {
            ResponseOutcome::NotExecuted => {
                self.requests.on_attempt_ended(id, Outcome::Rejected);
                self.report_outcome(id, Outcome::Rejected);
            }
            ResponseOutcome::Failure { passes } => {
                self.requests.on_attempt_ended(id, Outcome::Error);
                if let Some(request) = self.requests.get_mut(request_id).filter(|_| passes) {
                    request.last_failure = Some(answer);
                }
                self.report_outcome(id, Outcome::Error);
            }
            ResponseOutcome::Final => self.on_final_response(request_id, id, &answer),
        }
    }

    pub(super) fn on_final_response(
        &mut self,
        request_id: RequestId,
        id: AttemptId,
        answer: &BufferedResponse,
    ) {
        self.requests.on_attempt_ended(id, Outcome::Ok);
        self.report_outcome(id, Outcome::Ok);
        // The module has its answer, and ends the query by itself.
        if let Some(request) = self.requests.get_mut(request_id) {
            request.core_query = None;
        }
        match self.requests.get(request_id).map(|request| &request.phase) {
            Some(RequestPhase::Pending) => self.forward_response(request_id, answer),
            // The stream that goes on has nothing more, or can't go on here.
            Some(RequestPhase::Resuming { .. }) => self.on_resumed_response(request_id, answer),
            Some(RequestPhase::Relaying(_)) | None => {}
        }
    }

    /// Gives a client a server's whole answer.
    pub(super) fn forward_response(&mut self, id: RequestId, answer: &BufferedResponse) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        let (head, has_body) = (answer.head.encode(), answer.head.has_body);
        let (client, events) = (request.client, &mut self.client_events);
        self.clients
            .respond_complete(&mut self.net, client, &head, &answer.body, has_body, events);
    }
}
