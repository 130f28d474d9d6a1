//! Answers: what the decision module wants is done, and what servers answer becomes each request's
//! one final answer.
//!
//! It promises that a refusal (503) leaves only for a request that has not run and never will, that
//! a success leaves only as the server gave it, whole, and that every attempt's end is told to the
//! core once.

use super::cut::AbortReason;
use super::exchange::{meaning, InFlightAttempt, RequestPhase, ResponseOutcome};
use super::ids::{AttemptId, RequestId, ServiceId};
use super::intake::{nearly, RejectionReason};
use super::program::Timer;
use super::response::LocalResponse;
use super::server_connections::{Attempt, BufferedResponse, ServerEvent};
use super::tenants::KeyDenial;
use super::Router;
use lichenswitch_core::{Command, Dispatch, Reply};
use lichenswitch_interface::{Micros, Outcome, QueryId, ServerId};

impl Router {
    /// Takes in what servers have answered.
    pub(super) fn take_server_events(&mut self) {
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

    /// Lets the module decide, where it is time, and does what it says.
    pub(super) fn take_turns(&mut self) {
        let now = self.net.clock.now();
        if self.services.next_turn().is_none_or(|at| at > now) {
            return;
        }
        for (service, command) in self.services.turn(now) {
            match command {
                Command::Send(server, parts) => {
                    for part in parts {
                        self.dispatch(service, server, &part);
                    }
                }
                Command::Withdraw(number) | Command::Recall(number) => {
                    self.connections
                        .withdraw(&mut self.net, AttemptId { service, number });
                }
                Command::CloseIdle(server) => self.connections.close_idle(&mut self.net, server),
                Command::Reply(query, reply) => {
                    let id = self
                        .services
                        .get_mut(service)
                        .and_then(|s| s.exchange_of(query));
                    if let Some(id) = id {
                        self.decided(id, query, reply);
                    }
                }
                // Trust in servers changes often in trouble, on every router at once.
                Command::Log(line) => log::debug!("{line}"),
                // Lists are pushed by control.
                Command::Subscribe => {}
            }
        }
    }

    /// Makes an attempt, if the rules allow it as things stand now.
    fn dispatch(&mut self, service: ServiceId, server: ServerId, part: &Dispatch<RequestId>) {
        let (now, id) = (self.net.clock.now(), *part.job);
        let attempt = AttemptId {
            service,
            number: part.attempt,
        };
        let endpoint = self
            .servers
            .endpoint(server)
            .filter(|endpoint| !endpoint.leaving);
        let max_connections = self
            .services
            .get_mut(service)
            .map_or(1, |s| s.max_connections());
        let exchange = self
            .exchanges
            .get(id)
            .filter(|exchange| exchange.may_send());
        let (Some(exchange), Some(endpoint)) = (exchange, endpoint) else {
            return self.tell_core(attempt, Outcome::Moot);
        };
        if let Err(denial) = self.check_sender(exchange.sender()) {
            self.tell_core(attempt, Outcome::Moot);
            return self.deny(id, denial);
        }
        let resume_after = match &exchange.phase {
            RequestPhase::Resuming { last_event_id } => Some(last_event_id.clone()),
            _ => None,
        };
        let made = Attempt {
            id: attempt,
            server,
            endpoint,
            request: exchange.request.clone(),
            deadline: exchange.deadline,
            idempotent: exchange.terms.idempotent,
            priority: exchange.terms.rank,
            resume_after,
            sender: exchange.sender.clone(),
            max_connections,
        };
        self.exchanges.on_sent(
            id,
            InFlightAttempt {
                id: attempt,
                server,
            },
        );
        self.net
            .wheel
            .set(now.plus(part.wait), Timer::AttemptTimeout(attempt));
        self.connections.send(&mut self.net, made);
        self.plan_backlog_report();
    }

    /// The key of a request that is held is served no more: unless an attempt is out that was sent
    /// before, it ends at once.
    fn deny(&mut self, id: RequestId, denial: KeyDenial) {
        let Some(exchange) = self
            .exchanges
            .get(id)
            .filter(|exchange| exchange.out.is_empty())
        else {
            return;
        };
        match exchange.phase {
            RequestPhase::Pending if exchange.may_have_run > 0 => self.answer_given_up(id, None),
            RequestPhase::Pending => {
                if let Some(exchange) = self.finish(id) {
                    self.turn_away(exchange.client, &RejectionReason::of(denial));
                }
            }
            RequestPhase::Relaying(_) | RequestPhase::Resuming { .. } => {
                self.cut(id, AbortReason::KeyDenied)
            }
        }
    }

    /// The time that the module gave an attempt is over.
    pub(super) fn timed_out(&mut self, id: AttemptId) {
        let waits =
            |exchange: &super::exchange::RequestState| exchange.out.iter().any(|out| out.id == id);
        let held = self
            .exchanges
            .of_attempt(id)
            .and_then(|e| self.exchanges.get(e))
            .is_some_and(waits);
        if held {
            self.connections.withdraw(&mut self.net, id);
            self.exchanges.on_ended(id, Outcome::Timeout);
            self.tell_core(id, Outcome::Timeout);
        }
    }

    pub(super) fn tell_core(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.net.clock.now();
        if let Some(service) = self.services.get_mut(id.service) {
            service.ended(now, id.number, outcome);
        }
    }

    /// An attempt ended without an answer.
    fn failed(&mut self, id: AttemptId, outcome: Outcome) {
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
    fn answered(&mut self, id: AttemptId, answer: BufferedResponse) {
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

    fn answered_finally(
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
    fn pass_on(&mut self, id: RequestId, answer: &BufferedResponse) {
        let Some(exchange) = self.finish(id) else {
            return;
        };
        let (head, has_body) = (answer.head.encode(), answer.head.has_body);
        let (client, events) = (exchange.client, &mut self.client_events);
        self.clients
            .answer_whole(&mut self.net, client, &head, &answer.body, has_body, events);
    }

    /// Takes a request out that has its answer: what else is out for it is given up.
    pub(super) fn finish(&mut self, id: RequestId) -> Option<super::exchange::RequestState> {
        self.drop_exchange(id)
    }

    /// The module has ended a request, or has its answer.
    fn decided(&mut self, id: RequestId, query: QueryId, reply: Reply) {
        // What was answered meanwhile, or goes on under another number, is not concerned.
        let Some(exchange) = self
            .exchanges
            .get_mut(id)
            .filter(|e| e.query == Some(query))
        else {
            return;
        };
        exchange.query = None;
        let after = match reply {
            Reply::Served { .. } => return,
            Reply::Refused(after) => after,
            Reply::Failed => None,
        };
        match exchange.phase {
            RequestPhase::Pending => self.answer_given_up(id, after),
            RequestPhase::Resuming { .. } => self.cut(id, AbortReason::NotResumed),
            RequestPhase::Relaying(_) => {}
        }
    }

    /// Gives a request that gets no answer from a server its final answer: a refusal only where it
    /// has not run.
    pub(super) fn answer_given_up(&mut self, id: RequestId, after: Option<Micros>) {
        let now = self.net.clock.now();
        let Some(exchange) = self.finish(id) else {
            return;
        };
        let (client, ran) = (exchange.client, exchange.may_have_run > 0);
        let events = &mut self.client_events;
        match exchange.failure {
            Some(failure) if ran => {
                let (head, has_body) = (failure.head.encode(), failure.head.has_body);
                self.clients.answer_whole(
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
                    false => LocalResponse::refused(after),
                    true if nearly(exchange.deadline, now) => LocalResponse::plain(504),
                    true => LocalResponse::plain(502),
                };
                self.clients
                    .answer_own(&mut self.net, client, &answer, events);
            }
        }
    }
}
