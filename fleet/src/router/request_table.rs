//! Requests in hand, from their last byte to the last byte of their response.
//!
//! It owns the table and what each request has met so far. It promises that what is recorded of a
//! request's runs errs on one side only: it counts as run unless every attempt is known not to have
//! run.

use super::client_request::ClientRequest;
use super::configuration::RouteTerms;
use super::ids::{AttemptId, RequestId, ServiceId};
use super::sender::Sender;
use super::server_response::BufferedResponse;
use lichenswitch_interface::{Outcome, QueryId, ServerId, Time};
use lichenswitch_net::ConnId;
use std::collections::HashMap;
use std::rc::Rc;

/// How far a request has got.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// Nothing has been sent to its client.
    Pending,
    /// A response is being forwarded.
    Relaying(ActiveRelay),
    /// Its stream was interrupted, and is to be resumed at another server.
    Resuming {
        /// The id of the last event that was forwarded.
        last_event_id: Vec<u8>,
    },
}

/// A response that is being forwarded.
#[derive(Debug)]
pub(crate) struct ActiveRelay {
    /// Its attempt.
    pub attempt: AttemptId,
    /// Its server.
    pub server: ServerId,
    /// The id of the last event that was forwarded.
    pub last_event_id: Option<Vec<u8>>,
    /// Reading from its server is paused, since the client is slow.
    pub is_paused: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Its server.
    pub server: ServerId,
}

/// A request in hand.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// The connection of its client.
    pub client: ConnId,
    /// The request.
    pub client_request: Rc<ClientRequest>,
    /// The terms of its route when it was received.
    pub terms: RouteTerms,
    /// The service that was chosen for it.
    pub service: ServiceId,
    /// Its query in the core, until the core has its outcome or has ended it.
    pub core_query: Option<QueryId>,
    /// Index of its request class in the service.
    pub class_index: usize,
    /// Its sender, where it bears the key of a tenant.
    pub sender: Option<Rc<Sender>>,
    /// When its last byte was read.
    pub received_at: Time,
    /// Version of the configuration that it was received under.
    pub configuration_version: u64,
    /// Its deadline: the client's or the route's, whichever is earlier.
    pub deadline: Time,
    /// How far it has got.
    pub phase: RequestPhase,
    /// Attempts that have not ended.
    pub in_flight: Vec<InFlightAttempt>,
    /// Attempts that may have been executed: all that are not known not to have been.
    pub possible_executions: u32,
    /// Servers to which it was sent, whether it was executed there or not.
    pub send_count: u32,
    /// The last failure that a server sent, to be forwarded if nothing better comes.
    pub last_failure: Option<BufferedResponse>,
}

impl RequestState {
    /// An attempt has ended with this outcome. Only its first end counts.
    pub(crate) fn on_attempt_ended(&mut self, id: AttemptId, outcome: Outcome) {
        let before = self.in_flight.len();
        self.in_flight.retain(|attempt| attempt.id != id);
        let was_in_flight = self.in_flight.len() < before;
        if was_in_flight && outcome.never_ran() {
            self.possible_executions = self.possible_executions.saturating_sub(1);
        }
        if was_in_flight && outcome == Outcome::NeverSent {
            self.send_count = self.send_count.saturating_sub(1);
        }
    }

    /// An attempt has been started.
    pub(crate) fn on_attempt_started(&mut self, attempt: InFlightAttempt) {
        self.in_flight.push(attempt);
        self.possible_executions += 1;
        self.send_count += 1;
    }

    /// Whether the rules allow another attempt.
    #[must_use]
    pub(crate) fn may_start_attempt(&self) -> bool {
        (self.terms.is_idempotent || self.possible_executions == 0)
            && self.send_count < self.terms.max_attempts.max(1)
    }

    /// Whether the response of this attempt is being forwarded.
    #[must_use]
    pub(crate) fn is_relayed_from(&self, id: AttemptId) -> bool {
        matches!(&self.phase, RequestPhase::Relaying(relay) if relay.attempt == id)
    }

    /// Its sender, where it bears the key of a tenant.
    #[must_use]
    pub(crate) fn sender(&self) -> Option<&Sender> {
        self.sender.as_deref()
    }
}

/// All requests in hand.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestState>,
    by_client: HashMap<ConnId, RequestId>,
    by_attempt: HashMap<AttemptId, RequestId>,
    buffered_bytes: usize,
    next_id: u64,
}

impl RequestTable {
    /// The number of requests.
    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are none.
    #[must_use]
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Bytes that the requests take.
    #[must_use]
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Adds a request; returns its id.
    pub(crate) fn insert(&mut self, request: RequestState) -> RequestId {
        let id = self.next_id();
        self.next_id += 1;
        self.buffered_bytes += request.client_request.buffered_bytes();
        self.by_client.insert(request.client, id);
        self.requests.insert(id, request);
        id
    }

    /// The id of the next request that is added.
    #[must_use]
    pub(crate) fn next_id(&self) -> RequestId {
        RequestId(self.next_id)
    }

    /// A request by id.
    #[must_use]
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// A request by id, to change it.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// The request of a client.
    #[must_use]
    pub(crate) fn id_of_client(&self, client: ConnId) -> Option<RequestId> {
        self.by_client.get(&client).copied()
    }

    /// The request of an attempt.
    #[must_use]
    pub(crate) fn id_of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// An attempt of a request has been started.
    pub(crate) fn on_attempt_started(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.on_attempt_started(attempt);
            self.by_attempt.insert(attempt.id, id);
        }
    }

    /// An attempt has ended; returns its request, if that is still in the table.
    pub(crate) fn on_attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Option<RequestId> {
        let id = self.by_attempt.remove(&attempt)?;
        self.requests
            .get_mut(&id)?
            .on_attempt_ended(attempt, outcome);
        Some(id)
    }

    /// The response of an attempt is forwarded from now on; returns the other attempts in flight.
    pub(crate) fn on_relay_started(&mut self, id: RequestId, relay: ActiveRelay) -> Vec<AttemptId> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let others: Vec<AttemptId> = request
            .in_flight
            .drain(..)
            .map(|attempt| attempt.id)
            .filter(|other| *other != relay.attempt)
            .collect();
        others
            .iter()
            .for_each(|other| _ = self.by_attempt.remove(other));
        request.phase = RequestPhase::Relaying(relay);
        others
    }

    /// The forwarded response was interrupted: the request is to be resumed behind this event.
    pub(crate) fn on_relay_interrupted(&mut self, id: RequestId, last_event_id: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let previous =
            std::mem::replace(&mut request.phase, RequestPhase::Resuming { last_event_id });
        if let RequestPhase::Relaying(relay) = previous {
            self.by_attempt.remove(&relay.attempt);
        }
    }

    /// Removes a request with all that refers to it. Nothing else removes one.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        self.buffered_bytes -= request.client_request.buffered_bytes();
        self.by_client.remove(&request.client);
        for attempt in &request.in_flight {
            self.by_attempt.remove(&attempt.id);
        }
        if let RequestPhase::Relaying(relay) = &request.phase {
            self.by_attempt.remove(&relay.attempt);
        }
        Some(request)
    }

    /// All requests, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Their ids, in no order.
    #[must_use]
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests;
