//! The table of connections to servers, by connection, attempt and server, and the attempts that wait
//! for one.

use super::attempt::{Attempt, ServerEvent};
use super::carried_ids::{CarriedIds, IdDigest, IdDigester};
use super::in_flight::InFlightRequest;
use crate::router::ids::AttemptId;
use crate::router::reactor::{Net, Timer};
use lichenswitch_interface::{Outcome, ServerId, Time};
use lichenswitch_net::ConnId;
use std::collections::{HashMap, VecDeque};

/// What a connection is used for.
#[derive(Debug)]
pub(crate) enum ConnectionState {
    /// It is being opened for this attempt.
    Opening(Box<Attempt>),
    /// A request is in flight on it.
    Busy(Box<InFlightRequest>),
    /// It is kept for the next request.
    Idle {
        /// When it became idle.
        since: Time,
        /// How long it may be reused.
        usable_until: Time,
    },
}

/// A connection to a server.
pub(crate) struct PooledConnection {
    pub server: ServerId,
    pub state: ConnectionState,
    /// The requests that were written on it.
    pub(super) carried_ids: CarriedIds,
    /// The earliest timer that is set for it.
    pub timer_at: Option<Time>,
}

/// All connections to servers.
#[derive(Default)]
pub(crate) struct ServerConnections {
    pub connections: HashMap<ConnId, PooledConnection>,
    pub by_attempt: HashMap<AttemptId, ConnId>,
    /// Connections of each server, in any state.
    pub by_server: HashMap<ServerId, Vec<ConnId>>,
    /// Attempts that wait for a connection, by server.
    pub queued: HashMap<ServerId, VecDeque<Attempt>>,
    /// What became of attempts, to be taken.
    pub events: Vec<ServerEvent>,
    pub(super) id_digester: IdDigester,
}

impl ServerConnections {
    /// Takes what became of attempts since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<ServerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether there is something to take.
    #[must_use]
    pub(crate) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// The state of a connection.
    pub(super) fn state(&self, id: ConnId) -> Option<&ConnectionState> {
        self.connections
            .get(&id)
            .map(|connection| &connection.state)
    }

    /// Whether a connection has carried a request with this id: a response on it may be an extra one
    /// to the earlier send.
    pub(super) fn has_carried(&self, id: ConnId, digest: IdDigest) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.carried_ids.contains(digest))
    }

    /// Reports that an attempt ended without a complete response.
    pub(super) fn report_failure(&mut self, id: AttemptId, outcome: Outcome) {
        self.by_attempt.remove(&id);
        self.events.push(ServerEvent::AttemptFailed {
            attempt: id,
            outcome,
        });
    }

    /// Removes an attempt from the queue; `false` if it was not queued.
    pub(super) fn remove_queued(&mut self, id: AttemptId) -> bool {
        let before = self.queued.values().map(VecDeque::len).sum::<usize>();
        self.queued
            .values_mut()
            .for_each(|queue| queue.retain(|attempt| attempt.id != id));
        self.queued.retain(|_, queue| !queue.is_empty());
        self.queued.values().map(VecDeque::len).sum::<usize>() < before
    }

    /// Sets a connection's timer, unless one is set that fires before.
    pub(super) fn arm_timer(&mut self, net: &mut Net, id: ConnId, at: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.timer_at.is_none_or(|set| at < set) {
            connection.timer_at = Some(at);
            net.wheel.set(at, Timer::Server(id));
        }
    }
}

/// Whether a connection has no unread bytes and has not ended.
pub(crate) fn is_quiet(net: &Net, id: ConnId) -> bool {
    net.get(id)
        .is_some_and(|conn| conn.input.is_empty() && !conn.ended)
}
