//! Intake: a request that has been read enters the request table, or is answered at once.
//!
//! It promises that a request which is rejected here has been sent to no server, so that each of these
//! rejections is a promise.

use crate::router::admission::Admission;
use crate::router::client_connections::ClientEvent;
use crate::router::client_request::ClientRequest;
use crate::router::local_response::{LocalResponse, RETRY_AFTER};
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
pub(crate) const RETRY_ELSEWHERE: Micros = 20_000;

impl Router {
    /// Takes in what clients have done.
    pub(crate) fn take_client_events(&mut self) {
        while !self.client_events.is_empty() {
            for event in std::mem::take(&mut self.client_events) {
                match event {
                    ClientEvent::RequestReceived(client, request) => self.take(client, *request),
                    ClientEvent::Disconnected(client) => self.client_left(client),
                    ClientEvent::OutputDrained(client) => self.client_drained(client),
                }
            }
        }
    }

    pub(super) fn take(&mut self, client: ConnId, request: ClientRequest) {
        if let Err(turned) = self.admit(client, request) {
            self.turn_away(client, &turned);
        }
    }

    /// Answers a request at once.
    pub(crate) fn turn_away(&mut self, client: ConnId, turned: &RejectionReason) {
        self.counters.on_turned(turned);
        let answer = match turned {
            RejectionReason::Unavailable(after) => LocalResponse::refused(*after),
            RejectionReason::NoRoute => LocalResponse::plain(404),
            RejectionReason::UnknownKey => LocalResponse::plain(401),
            RejectionReason::QuotaExceeded(after) => LocalResponse::beyond_quota(*after),
            RejectionReason::Malformed => LocalResponse::plain(400),
        };
        self.clients
            .answer_own(&mut self.net, client, &answer, &mut self.client_events);
    }

    pub(super) fn admit(
        &mut self,
        client: ConnId,
        request: ClientRequest,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let admission = self.examine(now, &request)?;
        if self
            .shutdown
            .is_some_and(|shutdown| !shutdown.takes(now, admission.deadline))
        {
            return Err(RejectionReason::Unavailable(Some(RETRY_ELSEWHERE)));
        }
        self.check_room(&request)?;
        self.admit_by_quota(client, request, admission)
    }

    /// Holds a request that may go, and hands it to its service.
    pub(crate) fn hold(
        &mut self,
        client: ConnId,
        request: ClientRequest,
        admission: Admission,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let Admission {
            terms,
            service,
            configuration,
            sender,
            deadline,
        } = admission;
        let id = self.exchanges.next_id();
        let core = self
            .services
            .get_mut(service)
            .ok_or(RejectionReason::Unavailable(Some(RETRY_AFTER)))?;
        let ask = RouteRequest {
            exchange: id,
            terms: &terms,
            prompt: request.prompt,
            deadline,
        };
        let (query, class) = core.take(now, &ask).map_err(|refusal| match refusal {
            Refusal::Busy(after) => RejectionReason::Unavailable(after),
            Refusal::Stopping | Refusal::Contract(_) => {
                RejectionReason::Unavailable(Some(RETRY_AFTER))
            }
            Refusal::Malformed(_) => RejectionReason::Malformed,
        })?;
        self.exchanges.insert(RequestState {
            client,
            request: Rc::new(request),
            terms,
            service,
            sender,
            query: Some(query),
            class,
            taken: now,
            configuration,
            deadline,
            phase: RequestPhase::Pending,
            out: Vec::new(),
            may_have_run: 0,
            sends: 0,
            failure: None,
        });
        self.net.wheel.set(deadline, Timer::RequestDeadline(id));
        Ok(())
    }

    /// The route's terms, the service, drawn once by weight, the sender, and the version of the
    /// configuration that says so.
    pub(super) fn examine(
        &mut self,
        now: Time,
        request: &ClientRequest,
    ) -> Result<Admission, RejectionReason> {
        let random = self.rng.u64(..);
        let in_force = self
            .configuration
            .get()
            .ok_or(RejectionReason::Unavailable(Some(RETRY_AFTER)))?;
        let route = in_force
            .route(&request.host, request.path())
            .ok_or(RejectionReason::NoRoute)?;
        let sender = self.authenticate(in_force, route.public_access, request.key)?;
        let tenant = sender
            .as_ref()
            .and_then(|sender| in_force.tenant(&sender.tenant));
        let terms = in_force.terms(route, tenant);
        let service = self
            .services
            .id_of(route.draw(random))
            .ok_or(RejectionReason::Unavailable(Some(RETRY_AFTER)))?;
        let deadline = now.plus(
            request
                .deadline
                .map_or(terms.timeout, |left| micros(left).min(terms.timeout)),
        );
        let configuration = in_force.document().version();
        Ok(Admission {
            terms,
            service,
            configuration,
            sender,
            deadline,
        })
    }

    /// Guards memory: what is held is bounded.
    pub(super) fn check_room(&self, request: &ClientRequest) -> Result<(), RejectionReason> {
        let capacity = self.options.capacity;
        let full = self.exchanges.len() + self.awaiting_quota.len() >= capacity.requests as usize
            || self.exchanges.bytes() + request.bytes() > capacity.bytes;
        match full {
            true => Err(RejectionReason::Unavailable(Some(RETRY_AFTER))),
            false => Ok(()),
        }
    }

    /// A client has left: there is nobody to answer, and nothing more is sent for it.
    pub(super) fn client_left(&mut self, client: ConnId) {
        if self.awaiting_quota.remove(&client).is_some() {
            self.allowances.cancel(client);
        }
        if let Some(id) = self.exchanges.of_client(client) {
            self.drop_exchange(id);
        }
    }
}
