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
use crate::router::services::ServiceCommand;
use crate::router::state::Router;
use lichenswitch_core::{Command, Dispatch, Reply};
use lichenswitch_interface::{Outcome, QueryId, ServerId, Time};

/// Why an attempt is not started.
enum AttemptRefusal {
    /// Its request has ended or may have no further attempt, or its server is gone or leaving.
    NotPossible,
    /// The key of its request was revoked, or can't be checked.
    KeyDenied(KeyDenial),
}

impl Router {
    /// Runs the decision module's turns that are due, and carries out its commands.
    pub(super) fn run_decision_turns(&mut self) {
        let now = self.net.clock.now();
        if self.services.next_turn().is_none_or(|at| at > now) {
            return;
        }
        for ServiceCommand { service, command } in self.services.run_turns(now) {
            match command {
                Command::Send(server, dispatches) => {
                    for dispatch in dispatches {
                        self.start_attempt(service, server, &dispatch);
                    }
                }
                Command::Cancel(number) | Command::Recall(number) => {
                    self.connections
                        .withdraw(&mut self.net, AttemptId { service, number });
                }
                Command::CloseIdle(server) => {
                    self.connections.close_stale_idle(&mut self.net, server)
                }
                Command::Reply(query, reply) => {
                    let id = self
                        .services
                        .get_mut(service)
                        .and_then(|service| service.take_request_id(query));
                    if let Some(id) = id {
                        self.on_decision(id, query, &reply);
                    }
                }
                // Trust in servers changes often under faults, on every router at once.
                Command::Log(line) => log::debug!("{line}"),
                // Lists are pushed by control.
                Command::Subscribe => {}
            }
        }
    }

    /// Starts an attempt, if the rules still allow it.
    pub(super) fn start_attempt(
        &mut self,
        service: ServiceId,
        server: ServerId,
        dispatch: &Dispatch<RequestId>,
    ) {
        let times_out_at = self.net.clock.now().plus(dispatch.timeout);
        let id = AttemptId {
            service,
            number: dispatch.attempt,
        };
        match self.prepare_attempt(id, server, *dispatch.job) {
            Ok(attempt) => self.send_attempt(*dispatch.job, attempt, times_out_at),
            Err(AttemptRefusal::NotPossible) => self.report_outcome(id, Outcome::NeverSent),
            Err(AttemptRefusal::KeyDenied(denial)) => {
                self.report_outcome(id, Outcome::NeverSent);
                self.on_key_denied(*dispatch.job, denial);
            }
        }
    }

    /// An attempt at a server, with all that is to be sent, if the rules allow it.
    fn prepare_attempt(
        &mut self,
        id: AttemptId,
        server: ServerId,
        request: RequestId,
    ) -> Result<Attempt, AttemptRefusal> {
        let endpoint = self
            .servers
            .endpoint(server)
            .filter(|endpoint| !endpoint.is_leaving)
            .ok_or(AttemptRefusal::NotPossible)?;
        let max_connections = self
            .services
            .get_mut(id.service)
            .map_or(1, |service| service.max_connections());
        let request = self
            .requests
            .get(request)
            .filter(|request| request.may_start_attempt())
            .ok_or(AttemptRefusal::NotPossible)?;
        self.check_sender(request.sender())
            .map_err(AttemptRefusal::KeyDenied)?;
        let resume_after = match &request.phase {
            RequestPhase::Resuming { last_event_id } => Some(last_event_id.clone()),
            RequestPhase::Pending | RequestPhase::Relaying(_) => None,
        };
        Ok(Attempt {
            id,
            send_number: request.send_count + 1,
            server,
            endpoint,
            request: request.client_request.clone(),
            deadline: request.deadline,
            is_idempotent: request.terms.is_idempotent,
            priority: request.terms.rank,
            resume_after,
            sender: request.sender.clone(),
            max_connections,
        })
    }

    /// Records that an attempt is in flight, sets its timeout, and gives it to a connection.
    fn send_attempt(&mut self, request: RequestId, attempt: Attempt, times_out_at: Time) {
        let in_flight = InFlightAttempt {
            id: attempt.id,
            server: attempt.server,
        };
        self.requests.on_attempt_started(request, in_flight);
        self.net
            .wheel
            .set(times_out_at, Timer::AttemptTimeout(attempt.id));
        self.connections.start(&mut self.net, attempt);
        self.schedule_backlog_report();
    }

    /// The key of a request was revoked, or can't be checked: the request ends at once, unless an
    /// attempt from before is in flight.
    pub(super) fn on_key_denied(&mut self, id: RequestId, denial: KeyDenial) {
        let Some(request) = self
            .requests
            .get(id)
            .filter(|request| request.in_flight.is_empty())
        else {
            return;
        };
        match request.phase {
            RequestPhase::Pending if request.possible_executions > 0 => {
                self.respond_without_server(id, None)
            }
            RequestPhase::Pending => {
                if let Some(request) = self.remove_request(id) {
                    self.reject(request.client, &RejectionReason::from(denial));
                }
            }
            RequestPhase::Relaying(_) | RequestPhase::Resuming { .. } => {
                self.abort_response(id, AbortReason::KeyDenied)
            }
        }
    }

    /// The decision module's timeout for an attempt has passed.
    pub(super) fn on_attempt_timeout(&mut self, id: AttemptId) {
        let is_in_flight =
            |request: &RequestState| request.in_flight.iter().any(|attempt| attempt.id == id);
        let is_pending = self
            .requests
            .id_of_attempt(id)
            .and_then(|request| self.requests.get(request))
            .is_some_and(is_in_flight);
        if is_pending {
            self.connections.withdraw(&mut self.net, id);
            self.requests.on_attempt_ended(id, Outcome::Timeout);
            self.report_outcome(id, Outcome::Timeout);
        }
    }

    /// Reports an attempt's outcome to its service's core.
    pub(super) fn report_outcome(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.net.clock.now();
        if let Some(service) = self.services.get_mut(id.service) {
            service.on_attempt_ended(now, id.number, outcome);
        }
    }

    /// The decision module has ended a request, or has its response.
    pub(super) fn on_decision(&mut self, id: RequestId, query: QueryId, reply: &Reply) {
        // A request that was answered meanwhile, or continues under another query, is not concerned.
        let Some(request) = self
            .requests
            .get_mut(id)
            .filter(|request| request.core_query == Some(query))
        else {
            return;
        };
        request.core_query = None;
        let after = match reply {
            Reply::Served { .. } => return,
            Reply::Refused(after) => *after,
            Reply::Failed => None,
        };
        match request.phase {
            RequestPhase::Pending => self.respond_without_server(id, after),
            RequestPhase::Resuming { .. } => self.abort_response(id, AbortReason::NotResumed),
            RequestPhase::Relaying(_) => {}
        }
    }
}
