//! Intake: a request that has been read becomes one that is held, or is answered at once.
//!
//! It promises that a request which is turned away here has been sent to nobody, so that each of
//! these refusals is a promise.

use super::clients::ClientEvent;
use super::cut::CutReason;
use super::exchange::{Exchange, Phase};
use super::ids::ExchangeId;
use super::program::{micros, Timer};
use super::request::ClientRequest;
use super::response::OwnAnswer;
use super::service::Ask;
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
pub(super) enum Turned {
    /// No configuration is known yet, there is no room, or this process is about to end.
    Away(Option<Micros>),
    /// The configuration in force has no route for it.
    NoRoute,
    /// It needs a key that a tenant holds, and bears none.
    NoHolder,
    /// Its tenant sends more than its quota; when it may come back.
    BeyondQuota(Micros),
    /// The request makes no sense.
    Malformed,
}

impl Router {
    /// Takes in what clients have done.
    pub(super) fn take_client_events(&mut self) {
        while !self.client_events.is_empty() {
            for event in std::mem::take(&mut self.client_events) {
                match event {
                    ClientEvent::Request(client, request) => self.take(client, *request),
                    ClientEvent::Left(client) => self.client_left(client),
                    ClientEvent::Drained(client) => self.client_drained(client),
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
    pub(super) fn turn_away(&mut self, client: ConnId, turned: &Turned) {
        self.counters.on_turned(turned);
        let answer = match turned {
            Turned::Away(after) => OwnAnswer::refused(*after),
            Turned::NoRoute => OwnAnswer::plain(404),
            Turned::NoHolder => OwnAnswer::plain(401),
            Turned::BeyondQuota(after) => OwnAnswer::beyond_quota(*after),
            Turned::Malformed => OwnAnswer::plain(400),
        };
        self.clients
            .answer_own(&mut self.net, client, &answer, &mut self.client_events);
    }

    fn admit(&mut self, client: ConnId, request: ClientRequest) -> Result<(), Turned> {
        let now = self.net.clock.now();
        let admission = self.examine(now, &request)?;
        if self
            .shutdown
            .is_some_and(|shutdown| !shutdown.takes(now, admission.deadline))
        {
            return Err(Turned::Away(Some(RETRY_ELSEWHERE)));
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
    ) -> Result<(), Turned> {
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
            .ok_or(Turned::Away(Some(RETRY_AFTER)))?;
        let ask = Ask {
            exchange: id,
            terms: &terms,
            prompt: request.prompt,
            deadline,
        };
        let (query, class) = core.take(now, &ask).map_err(|refusal| match refusal {
            Refusal::Busy(after) => Turned::Away(after),
            Refusal::Stopping | Refusal::Contract(_) => Turned::Away(Some(RETRY_AFTER)),
            Refusal::Malformed(_) => Turned::Malformed,
        })?;
        self.exchanges.insert(Exchange {
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
            phase: Phase::Held,
            out: Vec::new(),
            may_have_run: 0,
            sends: 0,
            failure: None,
        });
        self.net.wheel.set(deadline, Timer::Exchange(id));
        Ok(())
    }

    /// The route's terms, the service, drawn once by weight, the sender, and the version of the
    /// configuration that says so.
    fn examine(&mut self, now: Time, request: &ClientRequest) -> Result<Admission, Turned> {
        let random = self.rng.u64(..);
        let in_force = self
            .configuration
            .get()
            .ok_or(Turned::Away(Some(RETRY_AFTER)))?;
        let route = in_force
            .route(&request.host, request.path())
            .ok_or(Turned::NoRoute)?;
        let sender = self.authenticate(in_force, route.public_access, request.key)?;
        let tenant = sender
            .as_ref()
            .and_then(|sender| in_force.tenant(&sender.tenant));
        let terms = in_force.terms(route, tenant);
        let service = self
            .services
            .id_of(route.draw(random))
            .ok_or(Turned::Away(Some(RETRY_AFTER)))?;
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
    fn check_room(&self, request: &ClientRequest) -> Result<(), Turned> {
        let capacity = self.options.capacity;
        let full = self.exchanges.len() + self.awaiting_quota.len() >= capacity.requests as usize
            || self.exchanges.bytes() + request.bytes() > capacity.bytes;
        match full {
            true => Err(Turned::Away(Some(RETRY_AFTER))),
            false => Ok(()),
        }
    }

    /// A client has left: there is nobody to answer, and nothing more is sent for it.
    fn client_left(&mut self, client: ConnId) {
        if self.awaiting_quota.remove(&client).is_some() {
            self.allowances.cancel(client);
        }
        if let Some(id) = self.exchanges.of_client(client) {
            self.drop_exchange(id);
        }
    }

    /// Takes a request out of the table, and gives up all that is out for it.
    pub(super) fn drop_exchange(&mut self, id: ExchangeId) -> Option<Exchange> {
        let mut exchange = self.exchanges.remove(id)?;
        for out in std::mem::take(&mut exchange.out) {
            if self.connections.withdraw(&mut self.net, out.id) {
                exchange.may_have_run = exchange.may_have_run.saturating_sub(1);
            }
        }
        let service = self.services.get_mut(exchange.service);
        if let Phase::Relaying(relay) = &exchange.phase {
            self.connections.withdraw(&mut self.net, relay.attempt);
        }
        if let Some(service) = service {
            service.release(exchange.class);
            if let Phase::Relaying(relay) = &exchange.phase {
                service.stream_ended(relay.server);
            }
            if let Some(query) = exchange.query {
                service.hangup(query);
            }
        }
        Some(exchange)
    }

    /// The time of a request is over.
    pub(super) fn overdue(&mut self, id: ExchangeId) {
        let now = self.net.clock.now();
        if self
            .exchanges
            .get(id)
            .is_some_and(|exchange| exchange.deadline <= now)
        {
            self.end_now(id, CutReason::Deadline);
        }
    }

    /// Gives a request its end at once: a final answer, or the cut of the one that has begun.
    pub(super) fn end_now(&mut self, id: ExchangeId, reason: CutReason) {
        match self.exchanges.get(id).map(|exchange| &exchange.phase) {
            Some(Phase::Held) => self.answer_given_up(id, None),
            Some(Phase::Relaying(_) | Phase::Resuming { .. }) => self.cut(id, reason),
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
