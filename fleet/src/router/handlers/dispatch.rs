//! Dispatch: the decisions of the decision module are carried out.
//!
//! It promises that an attempt is made only if the rules allow it at that moment, and that every
//! attempt's end is reported to the core once.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::{AttemptId, RequestId, ServiceId};
use crate::router::reactor::Timer;
use crate::router::rejection::RejectionReason;
use crate::router::request_table::{InFlightAttempt, RequestPhase, RequestState};
use crate::router::sender::KeyDenial;
use crate::router::server_connections::Attempt;
use crate::router::state::Router;
use lichenswitch_core::{Command, Dispatch, Reply};
use lichenswitch_interface::{Outcome, QueryId, ServerId};

impl Router {
    /// Lets the module decide, where it is time, and does what it says.
    pub(crate) fn take_turns(&mut self) {
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
    pub(super) fn dispatch(
        &mut self,
        service: ServiceId,
        server: ServerId,
        part: &Dispatch<RequestId>,
    ) {
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
    pub(super) fn deny(&mut self, id: RequestId, denial: KeyDenial) {
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
    pub(crate) fn timed_out(&mut self, id: AttemptId) {
        let waits = |exchange: &RequestState| exchange.out.iter().any(|out| out.id == id);
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

    pub(crate) fn tell_core(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.net.clock.now();
        if let Some(service) = self.services.get_mut(id.service) {
            service.ended(now, id.number, outcome);
        }
    }

    /// The module has ended a request, or has its answer.
    pub(super) fn decided(&mut self, id: RequestId, query: QueryId, reply: Reply) {
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
}
