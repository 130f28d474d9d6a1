//! Intake: a request that has been read becomes one that is held, or is answered at once.
//!
//! It promises that a request which is turned away here has been sent to nobody, so that each of these refusals is a promise.

use super::clients::ClientEvent;
use super::configuration::Terms;
use super::cut::CutReason;
use super::exchange::{Exchange, Phase};
use super::ids::{ExchangeId, ServiceId};
use super::program::{micros, Timer};
use super::request::ClientRequest;
use super::response::OwnAnswer;
use super::service::Ask;
use super::Router;
use lichenswitch_core::Refusal;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::ConnId;
use std::rc::Rc;

/// Advice to clients while no configuration is known, or nothing more can be held (microseconds).
const RETRY_AFTER: Micros = 200_000;
/// Advice to clients of a process that ends: other routers are ready now, and tries that follow go to them (microseconds).
const RETRY_ELSEWHERE: Micros = 20_000;

/// Why a request is answered at once.
enum Turned {
    /// No configuration is known yet, there is no room, or this process is about to end.
    Away(Option<Micros>),
    /// The configuration in force has no route for it.
    NoRoute,
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
        let answer = match self.admit(client, request) {
            Ok(()) => return,
            Err(Turned::Away(after)) => OwnAnswer::refused(after),
            Err(Turned::NoRoute) => OwnAnswer::plain(404),
            Err(Turned::Malformed) => OwnAnswer::plain(400),
        };
        self.clients.answer_own(&mut self.net, client, &answer, &mut self.client_events);
    }

    fn admit(&mut self, client: ConnId, request: ClientRequest) -> Result<(), Turned> {
        let now = self.net.clock.now();
        let (terms, service, configuration) = self.route(&request)?;
        let deadline =
            now.plus(request.deadline.map_or(terms.timeout, |left| micros(left).min(terms.timeout)));
        if self.shutdown.is_some_and(|shutdown| !shutdown.takes(now, deadline)) {
            return Err(Turned::Away(Some(RETRY_ELSEWHERE)));
        }
        self.check_room(&request)?;
        let id = self.exchanges.next_id();
        let core = self.services.get_mut(service).ok_or(Turned::Away(Some(RETRY_AFTER)))?;
        let ask = Ask { exchange: id, terms: &terms, prefix: request.prefix, deadline };
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

    /// The route's terms, the service, drawn once by weight, and the version of the configuration that says so.
    fn route(&mut self, request: &ClientRequest) -> Result<(Terms, ServiceId, u64), Turned> {
        let in_force = self.configuration.get().ok_or(Turned::Away(Some(RETRY_AFTER)))?;
        let random = self.rng.u64(..);
        let (terms, service) =
            in_force.route(&request.host, request.path(), random).ok_or(Turned::NoRoute)?;
        let service = self.services.id_of(service).ok_or(Turned::Away(Some(RETRY_AFTER)))?;
        Ok((terms, service, in_force.document().version()))
    }

    /// Guards memory: what is held is bounded.
    fn check_room(&self, request: &ClientRequest) -> Result<(), Turned> {
        let capacity = self.options.capacity;
        let full = self.exchanges.len() >= capacity.requests as usize
            || self.exchanges.bytes() + request.bytes() > capacity.bytes;
        match full {
            true => Err(Turned::Away(Some(RETRY_AFTER))),
            false => Ok(()),
        }
    }

    /// A client has left: there is nobody to answer, and nothing more is sent for it.
    fn client_left(&mut self, client: ConnId) {
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
        if self.exchanges.get(id).is_some_and(|exchange| exchange.deadline <= now) {
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
