//! Intake: a request that has been read enters the request table, or is answered at once.
//!
//! It promises that a request which is rejected here has been sent to no server, so that each of these
//! rejections is a promise.

use crate::router::admission::Admission;
use crate::router::client_connections::ClientEvent;
use crate::router::client_request::ClientRequest;
use crate::router::local_response::LocalResponse;
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

/// When clients of a process that shuts down may retry: other routers are ready, and get the retries
/// (microseconds).
const SHUTDOWN_RETRY_AFTER_US: Micros = 20_000;

impl Router {
    /// Handles what clients have done, until nothing is left.
    pub(super) fn handle_client_events(&mut self) {
        while !self.client_events.is_empty() {
            for event in std::mem::take(&mut self.client_events) {
                match event {
                    ClientEvent::RequestReceived { client, request } => {
                        self.on_request_received(client, *request)
                    }
                    ClientEvent::Disconnected { client } => self.on_client_disconnected(client),
                    ClientEvent::OutputDrained { client } => self.on_client_output_drained(client),
                }
            }
        }
    }

    /// A client has sent a complete request.
    pub(super) fn on_request_received(&mut self, client: ConnId, request: ClientRequest) {
        if let Err(reason) = self.admit(client, request) {
            self.reject(client, &reason);
        }
    }

    /// Answers a request at once, and counts it.
    pub(super) fn reject(&mut self, client: ConnId, reason: &RejectionReason) {
        self.counters.on_rejected(reason);
        let response = match reason {
            RejectionReason::Unavailable(after) => LocalResponse::unavailable(*after),
            RejectionReason::NoRoute => LocalResponse::status_only(404),
            RejectionReason::UnknownKey => LocalResponse::status_only(401),
            RejectionReason::QuotaExceeded(after) => LocalResponse::too_many_requests(*after),
            RejectionReason::Malformed => LocalResponse::status_only(400),
        };
        self.clients
            .respond_locally(&mut self.net, client, &response, &mut self.client_events);
    }

    /// Admits a request: route, shutdown, capacity and quota are checked in this order.
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

    /// Enters an admitted request into the table, and submits it to its service.
    pub(super) fn accept_request(
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
            .ok_or(RejectionReason::RETRY_LATER)?;
        let route_request = RouteRequest {
            request_id: id,
            terms: &terms,
            prompt: request.prompt,
            deadline,
        };
        let submitted = core.submit(now, &route_request).map_err(rejection_of)?;
        self.requests.insert(RequestState {
            client,
            client_request: Rc::new(request),
            terms,
            service,
            sender,
            core_query: Some(submitted.query),
            class_index: submitted.class_index,
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

    /// Resolves the route's terms, the service (chosen once, by weight), the sender and the deadline.
    pub(super) fn resolve_route(
        &mut self,
        now: Time,
        request: &ClientRequest,
    ) -> Result<Admission, RejectionReason> {
        let random = self.rng.u64(..);
        let active = self
            .configuration
            .get()
            .ok_or(RejectionReason::RETRY_LATER)?;
        let route = active
            .route(&request.host, request.target())
            .ok_or(RejectionReason::NoRoute)?;
        let sender = self.authenticate(active, route.public_access, request.key)?;
        let tenant = sender
            .as_ref()
            .and_then(|sender| active.tenant(&sender.tenant));
        let terms = active.terms(route, tenant);
        let service = self
            .services
            .id_of(route.pick_service(random))
            .ok_or(RejectionReason::RETRY_LATER)?;
        let deadline = now.plus(request.deadline.map_or(terms.timeout, |remaining| {
            micros(remaining).min(terms.timeout)
        }));
        let configuration_version = active.document().version();
        Ok(Admission {
            terms,
            service,
            configuration_version,
            sender,
            deadline,
        })
    }

    /// Bounds memory: requests in hand and their bytes are limited.
    pub(super) fn check_capacity(&self, request: &ClientRequest) -> Result<(), RejectionReason> {
        let capacity = self.options.capacity;
        let is_full = self.requests.len() + self.quota_waiters.len()
            >= capacity.max_requests as usize
            || self.requests.buffered_bytes() + request.buffered_bytes() > capacity.max_bytes;
        match is_full {
            true => Err(RejectionReason::RETRY_LATER),
            false => Ok(()),
        }
    }

    /// A client has disconnected: its request is removed, and nothing more is sent for it.
    pub(super) fn on_client_disconnected(&mut self, client: ConnId) {
        if self.quota_waiters.remove(&client).is_some() {
            self.allowances.cancel(client);
        }
        if let Some(id) = self.requests.id_of_client(client) {
            self.remove_request(id);
        }
    }
}

/// Why a request is rejected that the core has refused.
fn rejection_of(refusal: Refusal) -> RejectionReason {
    match refusal {
        Refusal::Busy(after) => RejectionReason::Unavailable(after),
        Refusal::Stopping | Refusal::Contract(_) => RejectionReason::RETRY_LATER,
        Refusal::Malformed(_) => RejectionReason::Malformed,
    }
}
