//! Relay: an answer that is passed on as it comes.
//!
//! It promises that a client gets whole events in order, each at once; that an answer whose server
//! breaks off goes on at the next event of another server or is cut, but never ended as complete;
//! and that what a slow client has not taken is bounded.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::{AttemptId, RequestId};
use crate::router::request_table::{ActiveRelay, RequestPhase};
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead};
use crate::router::service::RouteRequest;
use crate::router::state::Router;
use lichenswitch_interface::{Micros, Outcome};
use lichenswitch_net::ConnId;

/// Reading of a server rests while its client has so many bytes still to take.
const UNWRITTEN_MOST: usize = 128 * 1_024;

/// A stream that has less time left than this is not taken up elsewhere (microseconds).
const RESUME_LEAST: Micros = 50_000;

impl Router {
    /// An answer has begun that is passed on as it comes.
    pub(crate) fn begun(
        &mut self,
        id: AttemptId,
        head: ResponseHead,
        length: Option<u64>,
        part: BodyChunk,
    ) {
        // An attempt that nobody waits for has been given up, and its connection closed.
        let Some(exchange_id) = self.exchanges.of_attempt(id) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let (client, service) = (exchange.client, exchange.service);
        let Some(server) = exchange
            .out
            .iter()
            .find(|out| out.id == id)
            .map(|out| out.server)
        else {
            return;
        };
        let resumes = match &exchange.phase {
            RequestPhase::Pending => false,
            RequestPhase::Resuming { last_event_id } if goes_on(last_event_id, &head, &part) => {
                true
            }
            RequestPhase::Resuming { .. } | RequestPhase::Relaying(_) => {
                // A second answer, or one that does not go on where the first broke off.
                self.connections.withdraw(&mut self.net, id);
                self.exchanges.on_ended(id, Outcome::Cancelled);
                return self.tell_core(id, Outcome::Error);
            }
        };
        let last_event_id = part.last_event_id.clone();
        let relay = ActiveRelay {
            attempt: id,
            server,
            last_event_id,
            paused: false,
        };
        // The module gives the others up as well, a turn later.
        for loser in self.exchanges.on_begun(exchange_id, relay) {
            self.connections.withdraw(&mut self.net, loser);
        }
        self.tell_core(id, Outcome::Ok);
        if let Some(exchange) = self.exchanges.get_mut(exchange_id) {
            exchange.query = None;
        }
        if let Some(service) = self.services.get_mut(service) {
            service.on_load(head.load);
            service.stream_begun(server);
        }
        if !resumes {
            self.clients
                .begin(&mut self.net, client, &head.encode(), length);
        }
        self.clients.pass(&mut self.net, client, &part.bytes);
        self.flush(exchange_id, client);
    }

    /// More of an answer that is being passed on.
    pub(crate) fn more(&mut self, id: AttemptId, part: BodyChunk) {
        // An attempt that nobody waits for has been given up, and its connection closed.
        let Some(exchange_id) = self.exchanges.of_attempt(id) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut exchange.phase else {
            return;
        };
        if part.last_event_id.is_some() {
            relay.last_event_id = part.last_event_id;
        }
        let client = exchange.client;
        self.clients.pass(&mut self.net, client, &part.bytes);
        self.flush(exchange_id, client);
    }

    /// An answer that is being passed on is complete.
    pub(crate) fn completed(&mut self, id: AttemptId, rest: &[u8]) {
        let Some(exchange_id) = self.exchanges.of_attempt(id) else {
            return;
        };
        let Some(exchange) = self.finish(exchange_id) else {
            return;
        };
        self.clients.pass(&mut self.net, exchange.client, rest);
        self.clients
            .end(&mut self.net, exchange.client, &mut self.client_events);
    }

    /// The server of an answer that is being passed on broke off.
    pub(crate) fn broken_off(&mut self, id: RequestId, outcome: Outcome) {
        if !self.resume(id) {
            self.cut(id, AbortReason::ServerEnded(outcome));
        }
    }

    /// Asks for the rest of a stream at another server, where the rules and the budget allow it.
    fn resume(&mut self, id: RequestId) -> bool {
        let now = self.net.clock.now();
        let Some(exchange) = self.exchanges.get(id) else {
            return false;
        };
        let RequestPhase::Relaying(relay) = &exchange.phase else {
            return false;
        };
        let in_time = exchange.deadline.since(now) >= RESUME_LEAST;
        let Some(last_event_id) = relay.last_event_id.clone() else {
            return false;
        };
        if !exchange.terms.resumable || !exchange.may_send() || !in_time {
            return false;
        }
        let (server, deadline, prompt) = (relay.server, exchange.deadline, exchange.request.prompt);
        let mut terms = exchange.terms.clone();
        // The module begins anew: it gets what is left of the route's attempts.
        terms.max_attempts -= exchange.sends.min(terms.max_attempts - 1);
        let Some(service) = self.services.get_mut(exchange.service) else {
            return false;
        };
        let ask = RouteRequest {
            exchange: id,
            terms: &terms,
            prompt,
            deadline,
        };
        let Some((query, class)) = service.take_resumed(now, &ask) else {
            return false;
        };
        service.stream_ended(server);
        self.exchanges.on_broken_off(id, last_event_id);
        let Some(exchange) = self.exchanges.get_mut(id) else {
            return false;
        };
        service.release(std::mem::replace(&mut exchange.class, class));
        exchange.query = Some(query);
        true
    }

    /// A stream that goes on elsewhere came to its end there at once, or can't go on.
    pub(crate) fn resumed_whole(&mut self, id: RequestId, answer: &BufferedResponse) {
        let nothing_more = answer.head.event_stream
            && (200..300).contains(&answer.head.status)
            && answer.body.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        if !nothing_more {
            return self.cut(id, AbortReason::NotResumed);
        }
        if let Some(exchange) = self.finish(id) {
            self.clients
                .end(&mut self.net, exchange.client, &mut self.client_events);
        }
    }

    /// Writes what has been passed on; its server rests while the client is behind.
    fn flush(&mut self, id: RequestId, client: ConnId) {
        let unwritten = self
            .clients
            .flush(&mut self.net, client, &mut self.client_events);
        self.set_paused(id, unwritten > UNWRITTEN_MOST);
    }

    /// A client has taken all that was written so far.
    pub(crate) fn client_drained(&mut self, client: ConnId) {
        if let Some(id) = self.exchanges.of_client(client) {
            self.set_paused(id, false);
        }
    }

    fn set_paused(&mut self, id: RequestId, on: bool) {
        let Some(exchange) = self.exchanges.get_mut(id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut exchange.phase else {
            return;
        };
        if std::mem::replace(&mut relay.paused, on) != on {
            self.connections.pause(&mut self.net, relay.attempt, on);
        }
    }
}

/// Whether an answer goes on behind this event: a stream of events whose ids are beyond it, where
/// both are numbers.
fn goes_on(last: &[u8], head: &ResponseHead, part: &BodyChunk) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.trim().parse::<u64>().ok();
    let beyond = match (number(last), part.last_event_id.as_deref().and_then(number)) {
        (Some(last), Some(next)) => next > last,
        _ => part.last_event_id.as_deref() != Some(last),
    };
    head.event_stream && (200..300).contains(&head.status) && beyond
}
