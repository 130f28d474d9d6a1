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

/// How far a request has come.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// Nothing has been answered.
    Pending,
    /// An answer is being passed on.
    Relaying(ActiveRelay),
    /// A stream was cut, and is to go on at another server.
    Resuming {
        /// The id of the last event that was passed on.
        last_event_id: Vec<u8>,
    },
}

/// An answer that is being passed on.
#[derive(Debug)]
pub(crate) struct ActiveRelay {
    /// The attempt that brings it.
    pub attempt: AttemptId,
    /// Its server.
    pub server: ServerId,
    /// The id of the last event that was passed on.
    pub last_event_id: Option<Vec<u8>>,
    /// Its server is not read from, since the client is slow.
    pub is_paused: bool,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Its server.
    pub server: ServerId,
}

/// A request that is held.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// Whose it is.
    pub client: ConnId,
    /// The request.
    pub client_request: Rc<ClientRequest>,
    /// What its route said when it came.
    pub terms: RouteTerms,
    /// The service that was drawn for it.
    pub service: ServiceId,
    /// What the core calls it, as long as it has neither its answer nor its end from there.
    pub core_query: Option<QueryId>,
    /// Index of its class there.
    pub class_index: u16,
    /// Who sent it, where it bears a key that a tenant holds.
    pub sender: Option<Rc<Sender>>,
    /// When its last byte was read.
    pub received_at: Time,
    /// Version of the configuration that it was taken under.
    pub configuration_version: u64,
    /// When its time is over: the client's, or the route's.
    pub deadline: Time,
    /// How far it has come.
    pub phase: RequestPhase,
    /// Attempts that are out.
    pub in_flight: Vec<InFlightAttempt>,
    /// Attempts made that are not known never to have run.
    pub possible_executions: u32,
    /// Servers to which it was sent, whether it ran there or not.
    pub send_count: u32,
    /// The last failure that a server answered, to be passed on if nothing better comes.
    pub last_failure: Option<BufferedResponse>,
}

impl RequestState {
    /// An attempt has ended in this way.
    pub(crate) fn on_attempt_ended(&mut self, id: AttemptId, outcome: Outcome) {
        let before = self.in_flight.len();
        self.in_flight.retain(|attempt| attempt.id != id);
        let known = self.in_flight.len() < before;
        if known && outcome.never_ran() {
            self.possible_executions = self.possible_executions.saturating_sub(1);
        }
        if known && outcome == Outcome::Moot {
            self.send_count = self.send_count.saturating_sub(1);
        }
    }

    /// An attempt is being made.
    pub(crate) fn on_attempt_started(&mut self, attempt: InFlightAttempt) {
        self.in_flight.push(attempt);
        self.possible_executions += 1;
        self.send_count += 1;
    }

    /// Whether the rules allow that it is sent once more.
    #[must_use]
    pub(crate) fn may_start_attempt(&self) -> bool {
        (self.terms.is_idempotent || self.possible_executions == 0)
            && self.send_count < self.terms.max_attempts.max(1)
    }

    /// Whether this attempt's answer is being passed on.
    #[must_use]
    pub(crate) fn is_relayed_from(&self, id: AttemptId) -> bool {
        matches!(&self.phase, RequestPhase::Relaying(relay) if relay.attempt == id)
    }

    /// Who sent it, where that is known.
    #[must_use]
    pub(crate) fn sender(&self) -> Option<&Sender> {
        self.sender.as_deref()
    }
}

/// All requests that are held.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestState>,
    by_client: HashMap<ConnId, RequestId>,
    by_attempt: HashMap<AttemptId, RequestId>,
    bytes: usize,
    next: u64,
}

impl RequestTable {
    /// How many are held.
    #[must_use]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none is held.
    #[must_use]
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Bytes of the requests that are held.
    #[must_use]
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.bytes
    }

    /// Adds one.
    pub(crate) fn insert(&mut self, request: RequestState) -> RequestId {
        let id = self.next_id();
        self.next += 1;
        self.bytes += request.client_request.buffered_bytes();
        self.by_client.insert(request.client, id);
        self.requests.insert(id, request);
        id
    }

    /// What the next one that is added will be called.
    #[must_use]
    pub(crate) fn next_id(&self) -> RequestId {
        RequestId(self.next)
    }

    /// One that is held.
    #[must_use]
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// The same, to change it.
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

    /// An attempt of a request is being made.
    pub(crate) fn on_attempt_started(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.on_attempt_started(attempt);
            self.by_attempt.insert(attempt.id, id);
        }
    }

    /// An attempt has ended; tells its request, if that is still held.
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

    /// An attempt of a request brings its answer, which is passed on from now on. Tells the others
    /// that are out for it.
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

    /// The answer that was passed on broke off: the request goes on behind this event.
    pub(crate) fn on_relay_interrupted(&mut self, id: RequestId, last_event_id: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before =
            std::mem::replace(&mut request.phase, RequestPhase::Resuming { last_event_id });
        if let RequestPhase::Relaying(relay) = before {
            self.by_attempt.remove(&relay.attempt);
        }
    }

    /// Takes one out: the one place where it is given back.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        self.bytes -= request.client_request.buffered_bytes();
        self.by_client.remove(&request.client);
        for attempt in &request.in_flight {
            self.by_attempt.remove(&attempt.id);
        }
        if let RequestPhase::Relaying(relay) = &request.phase {
            self.by_attempt.remove(&relay.attempt);
        }
        Some(request)
    }

    /// All that are held, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestState> {
        self.requests.values()
    }

    /// Their names.
    #[must_use]
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests;
