//! Intake: a request that has been read enters the request table, or is answered at once.
//!
//! It promises that a request which is rejected here has been sent to no server, so that each of these
//! rejections is a promise.

use crate::router::admission::Admission;
use crate::router::client_connections::ClientEvent;
use crate::router::client_request::ClientRequest;
use crate::router::local_response::{LocalResponse, DEFAULT_RETRY_AFTER_US};
use crate::router::reactor::Timer;
use crate::router::rejection::RejectionReason;
use crate::router::request_table::{RequestPhase, RequestState};
use crate::router::service::RouteRequest;
use crate::router::state::Router;
use crate::router::time::micros;
use lichenswitch_core::Refusal;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::ConnId;
use std::rc::Rc;

/// Advice to clients of a process that ends: other routers are ready now, and tries that follow go
/// to them (microseconds).
pub(crate) const SHUTDOWN_RETRY_AFTER_US: Micros = 20_000;

impl Router {
    /// Takes in what clients have done.
    pub(crate) fn handle_client_events(&mut self) {
        while !self.client_events.is_empty() {
            for event in std::mem::take(&mut self.client_events) {
                match event {
                    ClientEvent::RequestReceived(client, request) => {
                        self.on_request_received(client, *request)
                    }
                    ClientEvent::Disconnected(client) => self.on_client_disconnected(client),
                    ClientEvent::OutputDrained(client) => self.on_client_output_drained(client),
                }
            }
        }
    }

    pub(super) fn on_request_received(&mut self, client: ConnId, request: ClientRequest) {
        if let Err(reason) = self.admit(client, request) {
            self.reject(client, &reason);
        }
    }

    /// Answers a request at once.
    pub(crate) fn reject(&mut self, client: ConnId, reason: &RejectionReason) {
        self.counters.on_rejected(reason);
        let answer = match reason {
            RejectionReason::Unavailable(after) => LocalResponse::unavailable(*after),
            RejectionReason::NoRoute => LocalResponse::status_only(404),
            RejectionReason::UnknownKey => LocalResponse::status_only(401),
            RejectionReason::QuotaExceeded(after) => LocalResponse::too_many_requests(*after),
            RejectionReason::Malformed => LocalResponse::status_only(400),
        };
        self.clients
            .respond_locally(&mut self.net, client, &answer, &mut self.client_events);
    }

    pub(super) fn admit(
        &mut self,
        client: ConnId,
        request: ClientRequest,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let admission = self.resolve_route(now, &request)?;
        if self
            .shutdown
            .is_some_and(|shutdown| !shutdown.accepts(now, admission.deadline))
        {
            return Err(RejectionReason::Unavailable(Some(SHUTDOWN_RETRY_AFTER_US)));
        }
        self.check_capacity(&request)?;
        self.admit_within_quota(client, request, admission)
    }

    /// Holds a request that may go, and hands it to its service.
    pub(crate) fn accept_request(
        &mut self,
        client: ConnId,
        request: ClientRequest,
        admission: Admission,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let Admission {
            terms,
            service,
            configuration_version,
            sender,
            deadline,
        } = admission;
        let id = self.requests.next_id();
        let core = self
            .services
            .get_mut(service)
            .ok_or(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US)))?;
        let route_request = RouteRequest {
            request_id: id,
            terms: &terms,
            prompt: request.prompt,
            deadline,
        };
        let (query, class_index) =
            core.submit(now, &route_request)
                .map_err(|refusal| match refusal {
                    Refusal::Busy(after) => RejectionReason::Unavailable(after),
                    Refusal::Stopping | Refusal::Contract(_) => {
                        RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US))
                    }
                    Refusal::Malformed(_) => RejectionReason::Malformed,
                })?;
        self.requests.insert(RequestState {
            client,
            client_request: Rc::new(request),
            terms,
            service,
            sender,
            core_query: Some(query),
            class_index,
            received_at: now,
            configuration_version,
            deadline,
            phase: RequestPhase::Pending,
            in_flight: Vec::new(),
            possible_executions: 0,
            send_count: 0,
            last_failure: None,
        });
        self.net.wheel.set(deadline, Timer::RequestDeadline(id));
        Ok(())
    }

    /// The route's terms, the service, drawn once by weight, the sender, and the version of the
    /// configuration that says so.
    pub(super) fn resolve_route(
        &mut self,
        now: Time,
        request: &ClientRequest,
    ) -> Result<Admission, RejectionReason> {
        let random = self.rng.u64(..);
        let in_force = self
            .configuration
            .get()
            .ok_or(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US)))?;
        let route = in_force
            .route(&request.host, request.target())
            .ok_or(RejectionReason::NoRoute)?;
        let sender = self.authenticate(in_force, route.public_access, request.key)?;
        let tenant = sender
            .as_ref()
            .and_then(|sender| in_force.tenant(&sender.tenant));
        let terms = in_force.terms(route, tenant);
        let service = self
            .services
            .id_of(route.draw(random))
            .ok_or(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US)))?;
        let deadline = now.plus(
            request
                .deadline
                .map_or(terms.timeout, |left| micros(left).min(terms.timeout)),
        );
        let configuration_version = in_force.document().version();
        Ok(Admission {
            terms,
            service,
            configuration_version,
            sender,
            deadline,
        })
    }

    /// Guards memory: what is held is bounded.
    pub(super) fn check_capacity(&self, request: &ClientRequest) -> Result<(), RejectionReason> {
        let capacity = self.options.capacity;
        let full = self.requests.len() + self.quota_waiters.len() >= capacity.max_requests as usize
            || self.requests.buffered_bytes() + request.buffered_bytes() > capacity.max_bytes;
        match full {
            true => Err(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US))),
            false => Ok(()),
        }
    }

    /// A client has left: there is nobody to answer, and nothing more is sent for it.
    pub(super) fn on_client_disconnected(&mut self, client: ConnId) {
        if self.quota_waiters.remove(&client).is_some() {
            self.allowances.cancel(client);
        }
        if let Some(id) = self.requests.id_of_client(client) {
            self.remove_request(id);
        }
    }
}
