//! Relay: a response that is forwarded as it arrives.
//!
//! It promises that a client gets complete events in order, each at once; that a response whose
//! server breaks off is resumed at another server behind its last event or aborted, but never ended
//! as complete; and that the bytes buffered for a slow client are bounded.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::{AttemptId, RequestId, ServiceId};
use crate::router::request_table::{ActiveRelay, RequestPhase};
use crate::router::server_connections::StreamStart;
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead, ServerLoad};
use crate::router::service::RouteRequest;
use crate::router::state::Router;
use lichenswitch_configuration::is_header_value;
use lichenswitch_interface::{Micros, Outcome};
use lichenswitch_net::ConnId;

/// Reading from a server is paused while more bytes than this are unwritten at its client.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1_024;

/// A stream with less time left than this is not resumed (microseconds).
const MIN_RESUME_TIME_US: Micros = 50_000;

impl Router {
    /// A response has begun that is forwarded as it arrives: the first one of a request, or one that
    /// continues an interrupted stream. Any other is withdrawn.
    pub(super) fn on_stream_started(&mut self, id: AttemptId, start: &StreamStart) {
        let StreamStart {
            head,
            content_length,
            first_chunk,
        } = start;
        // An attempt without a request was withdrawn, and its connection closed.
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
            .find(|attempt| attempt.id == id)
            .map(|attempt| attempt.server)
        else {
            return;
        };
        let is_resumed = match &request.phase {
            RequestPhase::Pending => false,
            RequestPhase::Resuming { last_event_id }
                if continues_after(last_event_id, head, first_chunk) =>
            {
                true
            }
            RequestPhase::Resuming { .. } | RequestPhase::Relaying(_) => {
                return self.withdraw_stream(id);
            }
        };
        let relay = ActiveRelay {
            attempt: id,
            server,
            last_event_id: first_chunk.last_event_id.clone(),
            is_paused: false,
        };
        self.start_relay(request_id, service, relay, head.load);
        if !is_resumed {
            self.clients
                .begin_response(&mut self.net, client, &head.encode(), *content_length);
        }
        self.clients
            .write_chunk(&mut self.net, client, &first_chunk.bytes);
        self.flush_relay(request_id, client);
    }

    /// Withdraws an attempt whose response is a second one, or does not continue behind the last
    /// event.
    fn withdraw_stream(&mut self, id: AttemptId) {
        self.connections.withdraw(&mut self.net, id);
        self.requests.on_attempt_ended(id, Outcome::Cancelled);
        self.report_outcome(id, Outcome::Error);
    }

    /// The response of an attempt is forwarded from now on: the other attempts are withdrawn, and the
    /// core has its outcome.
    fn start_relay(
        &mut self,
        request_id: RequestId,
        service: ServiceId,
        relay: ActiveRelay,
        load: Option<ServerLoad>,
    ) {
        let (attempt, server) = (relay.attempt, relay.server);
        // The decision module withdraws them as well, a turn later.
        for loser in self.requests.on_relay_started(request_id, relay) {
            self.connections.withdraw(&mut self.net, loser);
        }
        self.report_outcome(attempt, Outcome::Ok);
        if let Some(request) = self.requests.get_mut(request_id) {
            request.core_query = None;
        }
        if let Some(service) = self.services.get_mut(service) {
            service.on_server_load(load);
            service.on_stream_started(server);
        }
    }

    /// A chunk of a forwarded response.
    pub(super) fn on_chunk_received(&mut self, id: AttemptId, chunk: BodyChunk) {
        // An attempt without a request was withdrawn, and its connection closed.
        let Some(request_id) = self.requests.id_of_attempt(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(request_id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut request.phase else {
            return;
        };
        if chunk.last_event_id.is_some() {
            relay.last_event_id = chunk.last_event_id;
        }
        let client = request.client;
        self.clients
            .write_chunk(&mut self.net, client, &chunk.bytes);
        self.flush_relay(request_id, client);
    }

    /// A forwarded response is complete.
    pub(super) fn on_stream_completed(&mut self, id: AttemptId, rest: &[u8]) {
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

    /// The server of a forwarded response has broken off.
    pub(super) fn on_stream_interrupted(&mut self, id: RequestId, outcome: Outcome) {
        if !self.resume_stream(id) {
            self.abort_response(id, AbortReason::ServerEnded(outcome));
        }
    }

    /// Requests the rest of a stream from another server, where the rules and the budget allow it;
    /// `false` if they don't.
    fn resume_stream(&mut self, id: RequestId) -> bool {
        let now = self.net.clock.now();
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let RequestPhase::Relaying(relay) = &request.phase else {
            return false;
        };
        let has_time = request.deadline.since(now) >= MIN_RESUME_TIME_US;
        let Some(last_event_id) = relay.last_event_id.clone().filter(|id| can_be_sent(id)) else {
            return false;
        };
        if !request.terms.is_resumable || !request.may_start_attempt() || !has_time {
            return false;
        }
        let (server, deadline, prompt) = (
            relay.server,
            request.deadline,
            request.client_request.prompt,
        );
        let mut terms = request.terms.clone();
        // The core starts a new query: it gets what is left of the route's attempts.
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
        let Some(submitted) = service.submit_resumed(now, &route_request) else {
            return false;
        };
        service.on_stream_ended(server);
        self.requests.on_relay_interrupted(id, last_event_id);
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        service.release(std::mem::replace(
            &mut request.class_index,
            submitted.class_index,
        ));
        request.core_query = Some(submitted.query);
        true
    }

    /// A resumed stream ended without a further event, or can't be continued.
    pub(super) fn on_resumed_response(&mut self, id: RequestId, response: &BufferedResponse) {
        let is_at_end = response.head.is_event_stream
            && (200..300).contains(&response.head.status)
            && response
                .body
                .iter()
                .all(|byte| matches!(byte, b'\r' | b'\n'));
        if !is_at_end {
            return self.abort_response(id, AbortReason::NotResumed);
        }
        if let Some(request) = self.remove_request(id) {
            self.clients
                .end_response(&mut self.net, request.client, &mut self.client_events);
        }
    }

    /// Writes what is queued; pauses reading from the server while the client is behind.
    fn flush_relay(&mut self, id: RequestId, client: ConnId) {
        let unwritten = self
            .clients
            .flush(&mut self.net, client, &mut self.client_events);
        self.set_relay_paused(id, unwritten > MAX_UNWRITTEN_BYTES);
    }

    /// A client has taken all that was written so far: reading from its server resumes.
    pub(super) fn on_client_output_drained(&mut self, client: ConnId) {
        if let Some(id) = self.requests.id_of_client(client) {
            self.set_relay_paused(id, false);
        }
    }

    fn set_relay_paused(&mut self, id: RequestId, is_paused: bool) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let RequestPhase::Relaying(relay) = &mut request.phase else {
            return;
        };
        if std::mem::replace(&mut relay.is_paused, is_paused) != is_paused {
            self.connections
                .set_paused(&mut self.net, relay.attempt, is_paused);
        }
    }
}

/// Whether `Last-Event-Id` can carry the id of an event unchanged. A server that is told another id
/// would continue elsewhere in the stream.
fn can_be_sent(event_id: &[u8]) -> bool {
    std::str::from_utf8(event_id).is_ok_and(is_header_value)
}

/// Whether a response continues behind this event: an event stream whose first id is another one, and
/// a larger one where both are numbers.
fn continues_after(last: &[u8], head: &ResponseHead, chunk: &BodyChunk) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.trim().parse::<u64>().ok();
    let is_beyond = match (
        number(last),
        chunk.last_event_id.as_deref().and_then(number),
    ) {
        (Some(last), Some(next)) => next > last,
        _ => chunk.last_event_id.as_deref() != Some(last),
    };
    head.is_event_stream && (200..300).contains(&head.status) && is_beyond
}
