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
const MAX_UNWRITTEN_BYTES: usize = 128 * 1_024;

/// A stream that has less time left than this is not taken up elsewhere (microseconds).
const MIN_RESUME_TIME_US: Micros = 50_000;

impl Router {
    /// An answer has begun that is passed on as it comes.
    pub(crate) fn on_stream_started(
        &mut self,
        id: AttemptId,
        head: ResponseHead,
        length: Option<u64>,
        part: BodyChunk,
    ) {
        // An attempt that nobody waits for has been given up, and its connection closed.
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(request_id) else {
            return;
        };
        let (client, service) = (request.client, request.service);
        let Some(server) = request
            .in_flight
            .iter()
            .find(|out| out.id == id)
            .map(|out| out.server)
        else {
            return;
        };
        let resumes = match &request.phase {
            RequestPhase::Pending => false,
            RequestPhase::Resuming { last_event_id }
                if continues_after(last_event_id, &head, &part) =>
            {
                true
            }
            RequestPhase::Resuming { .. } | RequestPhase::Relaying(_) => {
                // A second answer, or one that does not go on where the first broke off.
                self.connections.withdraw(&mut self.net, id);
                self.requests.on_attempt_ended(id, Outcome::Cancelled);
                return self.report_outcome(id, Outcome::Error);
            }
        };
        let last_event_id = part.last_event_id.clone();
        let relay = ActiveRelay {
            attempt: id,
            server,
            last_event_id,
            is_paused: false,
        };
        // The module gives the others up as well, a turn later.
        for loser in self.requests.on_relay_started(request_id, relay) {
            self.connections.withdraw(&mut self.net, loser);
        }
        self.report_outcome(id, Outcome::Ok);
        if let Some(request) = self.requests.get_mut(request_id) {
            request.core_query = None;
        }
        if let Some(service) = self.services.get_mut(service) {
            service.on_server_load(head.load);
            service.on_stream_started(server);
        }
        if !resumes {
            self.clients
                .begin_response(&mut self.net, client, &head.encode(), length);
        }
        self.clients.write_chunk(&mut self.net, client, &part.bytes);
        self.flush_relay(request_id, client);
    }

    /// More of an answer that is being passed on.
    pub(crate) fn on_chunk_received(&mut self, id: AttemptId, part: BodyChunk) {
        // An attempt that nobody waits for has been given up, and its connection closed.
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(request_id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut request.phase else {
            return;
        };
        if part.last_event_id.is_some() {
            relay.last_event_id = part.last_event_id;
        }
        let client = request.client;
        self.clients.write_chunk(&mut self.net, client, &part.bytes);
        self.flush_relay(request_id, client);
    }

    /// An answer that is being passed on is complete.
    pub(crate) fn on_stream_completed(&mut self, id: AttemptId, rest: &[u8]) {
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        let Some(request) = self.remove_request(request_id) else {
            return;
        };
        self.clients
            .write_chunk(&mut self.net, request.client, rest);
        self.clients
            .end_response(&mut self.net, request.client, &mut self.client_events);
    }

    /// The server of an answer that is being passed on broke off.
    pub(crate) fn on_stream_interrupted(&mut self, id: RequestId, outcome: Outcome) {
        if !self.resume_stream(id) {
            self.abort_response(id, AbortReason::ServerEnded(outcome));
        }
    }

    /// Asks for the rest of a stream at another server, where the rules and the budget allow it.
    fn resume_stream(&mut self, id: RequestId) -> bool {
        let now = self.net.clock.now();
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let RequestPhase::Relaying(relay) = &request.phase else {
            return false;
        };
        let in_time = request.deadline.since(now) >= MIN_RESUME_TIME_US;
        let Some(last_event_id) = relay.last_event_id.clone() else {
            return false;
        };
        if !request.terms.resumable || !request.may_start_attempt() || !in_time {
            return false;
        }
        let (server, deadline, prompt) = (
            relay.server,
            request.deadline,
            request.client_request.prompt,
        );
        let mut terms = request.terms.clone();
        // The module begins anew: it gets what is left of the route's attempts.
        terms.max_attempts -= request.send_count.min(terms.max_attempts - 1);
        let Some(service) = self.services.get_mut(request.service) else {
            return false;
        };
        let route_request = RouteRequest {
            request_id: id,
            terms: &terms,
            prompt,
            deadline,
        };
        let Some((query, class)) = service.submit_resumed(now, &route_request) else {
            return false;
        };
        service.on_stream_ended(server);
        self.requests.on_relay_interrupted(id, last_event_id);
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        service.release(std::mem::replace(&mut request.class_index, class));
        request.core_query = Some(query);
        true
    }

    /// A stream that goes on elsewhere came to its end there at once, or can't go on.
    pub(crate) fn on_resumed_response(&mut self, id: RequestId, answer: &BufferedResponse) {
        let nothing_more = answer.head.event_stream
            && (200..300).contains(&answer.head.status)
            && answer.body.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        if !nothing_more {
            return self.abort_response(id, AbortReason::NotResumed);
        }
        if let Some(request) = self.remove_request(id) {
            self.clients
                .end_response(&mut self.net, request.client, &mut self.client_events);
        }
    }

    /// Writes what has been passed on; its server rests while the client is behind.
    fn flush_relay(&mut self, id: RequestId, client: ConnId) {
        let unwritten = self
            .clients
            .flush(&mut self.net, client, &mut self.client_events);
        self.set_relay_paused(id, unwritten > MAX_UNWRITTEN_BYTES);
    }

    /// A client has taken all that was written so far.
    pub(crate) fn on_client_output_drained(&mut self, client: ConnId) {
        if let Some(id) = self.requests.id_of_client(client) {
            self.set_relay_paused(id, false);
        }
    }

    fn set_relay_paused(&mut self, id: RequestId, on: bool) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut request.phase else {
            return;
        };
        if std::mem::replace(&mut relay.is_paused, on) != on {
            self.connections
                .set_paused(&mut self.net, relay.attempt, on);
        }
    }
}

/// Whether an answer goes on behind this event: a stream of events whose ids are beyond it, where
/// both are numbers.
fn continues_after(last: &[u8], head: &ResponseHead, part: &BodyChunk) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.trim().parse::<u64>().ok();
    let beyond = match (number(last), part.last_event_id.as_deref().and_then(number)) {
        (Some(last), Some(next)) => next > last,
        _ => part.last_event_id.as_deref() != Some(last),
    };
    head.event_stream && (200..300).contains(&head.status) && beyond
}
