//! Intake: a request that has been read becomes one that is held, or is answered at once.
//!
//! It promises that a request which is turned away here has been sent to nobody, so that each of
//! these refusals is a promise.

use super::clients::ClientEvent;
use super::cut::AbortReason;
use super::exchange::{RequestPhase, RequestState};
use super::ids::RequestId;
use super::program::{micros, Timer};
use super::request::ClientRequest;
use super::response::LocalResponse;
use super::service::RouteRequest;
use super::tenants::Admission;
use super::Router;
use lichenswitch_core::Refusal;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::ConnId;
use std::rc::Rc;

/// Advice to clients while no configuration is known, or nothing more can be held (microseconds).
const RETRY_AFTER: Micros = 200_000;
/// Advice to clients of a process that ends: other routers are ready now, and tries that follow go
/// to them (microseconds).
const RETRY_ELSEWHERE: Micros = 20_000;

/// Why a request is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionReason {
    /// No configuration is known yet, there is no room, or this process is about to end.
    Unavailable(Option<Micros>),
    /// The configuration in force has no route for it.
    NoRoute,
    /// It needs a key that a tenant holds, and bears none.
    UnknownKey,
    /// Its tenant sends more than its quota; when it may come back.
    QuotaExceeded(Micros),
    /// The request makes no sense.
    Malformed,
}

impl Router {
    /// Takes in what clients have done.
    pub(super) fn take_client_events(&mut self) {
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

    fn take(&mut self, client: ConnId, request: ClientRequest) {
        if let Err(turned) = self.admit(client, request) {
            self.turn_away(client, &turned);
        }
    }

    /// Answers a request at once.
    pub(super) fn turn_away(&mut self, client: ConnId, turned: &RejectionReason) {
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

    fn admit(&mut self, client: ConnId, request: ClientRequest) -> Result<(), RejectionReason> {
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
    pub(super) fn hold(
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
    fn examine(
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
    fn check_room(&self, request: &ClientRequest) -> Result<(), RejectionReason> {
        let capacity = self.options.capacity;
        let full = self.exchanges.len() + self.awaiting_quota.len() >= capacity.requests as usize
            || self.exchanges.bytes() + request.bytes() > capacity.bytes;
        match full {
            true => Err(RejectionReason::Unavailable(Some(RETRY_AFTER))),
            false => Ok(()),
        }
    }

    /// A client has left: there is nobody to answer, and nothing more is sent for it.
    fn client_left(&mut self, client: ConnId) {
        if self.awaiting_quota.remove(&client).is_some() {
            self.allowances.leave(client);
        }
        if let Some(id) = self.exchanges.of_client(client) {
            self.drop_exchange(id);
        }
    }

    /// Takes a request out of the table, and gives up all that is out for it.
    pub(super) fn drop_exchange(&mut self, id: RequestId) -> Option<RequestState> {
        let mut exchange = self.exchanges.remove(id)?;
        for out in std::mem::take(&mut exchange.out) {
            if self.connections.withdraw(&mut self.net, out.id) {
                exchange.may_have_run = exchange.may_have_run.saturating_sub(1);
            }
        }
        let service = self.services.get_mut(exchange.service);
        if let RequestPhase::Relaying(relay) = &exchange.phase {
            self.connections.withdraw(&mut self.net, relay.attempt);
        }
        if let Some(service) = service {
            service.release(exchange.class);
            if let RequestPhase::Relaying(relay) = &exchange.phase {
                service.stream_ended(relay.server);
            }
            if let Some(query) = exchange.query {
                service.hangup(query);
            }
        }
        Some(exchange)
    }

    /// The time of a request is over.
    pub(super) fn overdue(&mut self, id: RequestId) {
        let now = self.net.clock.now();
        if self
            .exchanges
            .get(id)
            .is_some_and(|exchange| exchange.deadline <= now)
        {
            self.end_now(id, AbortReason::Deadline);
        }
    }

    /// Gives a request its end at once: a final answer, or the cut of the one that has begun.
    pub(super) fn end_now(&mut self, id: RequestId, reason: AbortReason) {
        match self.exchanges.get(id).map(|exchange| &exchange.phase) {
            Some(RequestPhase::Pending) => self.answer_given_up(id, None),
            Some(RequestPhase::Relaying(_) | RequestPhase::Resuming { .. }) => self.cut(id, reason),
            None => {}
        }
    }
}

/// Whether a point has come, but for a moment.
pub(super) fn nearly(point: Time, now: Time) -> bool {
    /// The module gives up two turns before the end.
    const NEARLY: Micros = 10_000;
    now.plus(NEARLY) >= point
}
