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
    pub(crate) fn take_server_events(&mut self) {
        for event in self.connections.take_events() {
            match event {
                ServerEvent::ResponseReceived(id, answer) => self.answered(id, answer),
                ServerEvent::StreamStarted(id, head, length, part) => {
                    self.begun(id, *head, length, part)
                }
                ServerEvent::ChunkReceived(id, part) => self.more(id, part),
                ServerEvent::StreamCompleted(id, rest) => self.completed(id, &rest),
                ServerEvent::AttemptFailed(id, outcome) => self.failed(id, outcome),
            }
        }
    }

    /// An attempt ended without an answer.
    pub(super) fn failed(&mut self, id: AttemptId, outcome: Outcome) {
        let relays = self.exchanges.of_attempt(id).filter(|e| {
            self.exchanges
                .get(*e)
                .is_some_and(|exchange| exchange.relays(id))
        });
        if let Some(exchange) = relays {
            return self.broken_off(exchange, outcome);
        }
        self.exchanges.on_ended(id, outcome);
        self.tell_core(id, outcome);
    }

    /// A server has answered, whole.
    pub(super) fn answered(&mut self, id: AttemptId, answer: BufferedResponse) {
        let Some(exchange_id) = self.exchanges.of_attempt(id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(id.service) {
            service.on_load(answer.head.load);
        }
        match meaning(&answer.head) {
            ResponseOutcome::NotExecuted => {
                self.exchanges.on_ended(id, Outcome::Rejected);
                self.tell_core(id, Outcome::Rejected);
            }
            ResponseOutcome::Failure { passes } => {
                self.exchanges.on_ended(id, Outcome::Error);
                if let Some(exchange) = self.exchanges.get_mut(exchange_id).filter(|_| passes) {
                    exchange.failure = Some(answer);
                }
                self.tell_core(id, Outcome::Error);
            }
            ResponseOutcome::Final => self.answered_finally(exchange_id, id, &answer),
        }
    }

    pub(super) fn answered_finally(
        &mut self,
        exchange_id: RequestId,
        id: AttemptId,
        answer: &BufferedResponse,
    ) {
        self.exchanges.on_ended(id, Outcome::Ok);
        self.tell_core(id, Outcome::Ok);
        // The module has its answer, and ends the query by itself.
        if let Some(exchange) = self.exchanges.get_mut(exchange_id) {
            exchange.query = None;
        }
        match self
            .exchanges
            .get(exchange_id)
            .map(|exchange| &exchange.phase)
        {
            Some(RequestPhase::Pending) => self.pass_on(exchange_id, answer),
            // The stream that goes on has nothing more, or can't go on here.
            Some(RequestPhase::Resuming { .. }) => self.resumed_whole(exchange_id, answer),
            Some(RequestPhase::Relaying(_)) | None => {}
        }
    }

    /// Gives a client a server's whole answer.
    pub(super) fn pass_on(&mut self, id: RequestId, answer: &BufferedResponse) {
        let Some(exchange) = self.finish(id) else {
            return;
        };
        let (head, has_body) = (answer.head.encode(), answer.head.has_body);
        let (client, events) = (exchange.client, &mut self.client_events);
        self.clients
            .answer_whole(&mut self.net, client, &head, &answer.body, has_body, events);
    }
}
