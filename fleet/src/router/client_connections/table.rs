//! The table of clients' connections: accept, limits, timers and close.

use super::connection::{ClientConnection, ClientEvent, ConnectionPhase};
use crate::router::reactor::{Net, SocketOwner, Timer};
use crate::router::request_reader::RequestReader;
use lichenswitch_configuration::Limits;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::ConnId;
use std::collections::HashMap;

/// Clients reuse connections that were idle for up to four fifths of the idle timeout. Connections are
/// kept this long beyond the whole timeout, since the clients' clocks start later (microseconds).
const IDLE_TIMEOUT_MARGIN_US: Micros = 1_000_000;

/// How long a client may take to end its side once its last response is written (microseconds).
const LINGER_TIMEOUT_US: Micros = 1_000_000;

/// A client that takes nothing of a response for this long is disconnected (microseconds).
const CLIENT_STALL_TIMEOUT_US: Micros = 10_000_000;

/// The connections of clients, by id.
pub(crate) struct ClientConnections {
    pub connections: HashMap<ConnId, ClientConnection>,
    pub limits: Limits,
    /// Bytes buffered of incomplete requests.
    pub incomplete_bytes: usize,
    /// Upper bound on them.
    pub max_incomplete_bytes: usize,
    /// The process shuts down: connections are closed after their response.
    pub is_stopping: bool,
}

impl ClientConnections {
    /// An empty table that buffers at most this many bytes of incomplete requests.
    #[must_use]
    pub(crate) fn new(max_incomplete_bytes: usize) -> ClientConnections {
        let limits = Limits::default();
        ClientConnections {
            connections: HashMap::new(),
            limits,
            incomplete_bytes: 0,
            max_incomplete_bytes,
            is_stopping: false,
        }
    }

    /// Sets the limits for requests that begin from now on.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// From now on connections are closed after their response.
    pub(crate) fn begin_shutdown(&mut self) {
        self.is_stopping = true;
    }

    /// How many connections are open.
    #[must_use]
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// How many clients wait for a response, or for the rest of one.
    #[must_use]
    pub(crate) fn waiting_count(&self) -> usize {
        let waits = |connection: &&ClientConnection| {
            matches!(
                connection.phase,
                ConnectionPhase::AwaitingResponse | ConnectionPhase::Responding { .. }
            )
        };
        self.connections.values().filter(waits).count()
    }

    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self, net: &mut Net) {
        for id in net.accept(SocketOwner::Client) {
            let phase_started_at = net.clock.now();
            let connection = ClientConnection {
                phase: ConnectionPhase::Reading,
                reader: RequestReader::new(&self.limits),
                phase_started_at,
                is_receiving: false,
                closes_after_response: false,
                is_head_request: false,
                timer_at: None,
            };
            self.connections.insert(id, connection);
            self.arm_timer(net, id);
        }
    }

    /// Closes up to an eighth of all connections, the longest idle first, to make room for clients
    /// that wait to be accepted.
    pub(crate) fn close_idle_connections(&mut self, net: &mut Net) {
        let is_idle = |id: &ConnId, connection: &ClientConnection| {
            let has_no_bytes = net
                .get(*id)
                .is_some_and(|conn| conn.input.is_empty() && conn.flushed());
            connection.phase == ConnectionPhase::Reading && !connection.is_receiving && has_no_bytes
        };
        let mut idle: Vec<(Time, ConnId)> = self
            .connections
            .iter()
            .filter(|(id, connection)| is_idle(id, connection))
            .map(|(id, connection)| (connection.phase_started_at, *id))
            .collect();
        idle.sort_unstable();
        for (_, id) in idle.into_iter().take(self.connections.len().div_ceil(8)) {
            self.close(net, id);
        }
    }

    /// How many connections have something left to be read, answered or written.
    #[must_use]
    pub(crate) fn busy_count(&self, net: &Net) -> usize {
        let unwritten = |id: &ConnId| net.get(*id).is_some_and(|conn| !conn.flushed());
        let is_busy = |id: &ConnId, connection: &ClientConnection| match connection.phase {
            ConnectionPhase::Reading => connection.is_receiving || unwritten(id),
            ConnectionPhase::AwaitingResponse | ConnectionPhase::Responding { .. } => true,
            ConnectionPhase::Closing => unwritten(id),
            ConnectionPhase::Lingering => false,
        };
        self.connections
            .iter()
            .filter(|(id, connection)| is_busy(id, connection))
            .count()
    }

    /// Closes a connection and forgets what was buffered on it.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.incomplete_bytes -= connection.reader.buffered_bytes();
        }
        net.close(id);
    }

    /// Closes a connection that has failed or ended; reports it if a response was pending.
    pub(super) fn disconnect(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        if matches!(
            self.connections.get(&id).map(|connection| connection.phase),
            Some(ConnectionPhase::AwaitingResponse | ConnectionPhase::Responding { .. })
        ) {
            events.push(ClientEvent::Disconnected { client: id });
        }
        self.close(net, id);
    }

    /// When a connection times out, as it stands.
    pub(super) fn deadline(&self, net: &Net, id: ConnId) -> Option<Time> {
        let (connection, conn) = (self.connections.get(&id)?, net.get(id)?);
        let idle = self.limits.idle_timeout_ms.saturating_mul(1_000);
        let head = self.limits.header_timeout_ms.saturating_mul(1_000);
        Some(match connection.phase {
            ConnectionPhase::Reading if !conn.flushed() => {
                conn.last_active_at.plus(CLIENT_STALL_TIMEOUT_US)
            }
            ConnectionPhase::Reading if connection.is_receiving && connection.reader.has_head() => {
                conn.last_read_at.plus(idle)
            }
            ConnectionPhase::Reading if connection.is_receiving => {
                connection.phase_started_at.plus(head)
            }
            ConnectionPhase::Reading => connection
                .phase_started_at
                .plus(idle)
                .plus(IDLE_TIMEOUT_MARGIN_US),
            // The request's own deadline ends it.
            ConnectionPhase::AwaitingResponse => return None,
            ConnectionPhase::Responding { .. } if conn.flushed() => return None,
            ConnectionPhase::Responding { .. } | ConnectionPhase::Closing => {
                conn.last_active_at.plus(CLIENT_STALL_TIMEOUT_US)
            }
            ConnectionPhase::Lingering => connection.phase_started_at.plus(LINGER_TIMEOUT_US),
        })
    }

    /// Sets a connection's timer, unless one is set that fires before its deadline.
    pub(super) fn arm_timer(&mut self, net: &mut Net, id: ConnId) {
        let Some(due) = self.deadline(net, id) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.timer_at.is_none_or(|at| due < at) {
            connection.timer_at = Some(due);
            net.wheel.set(due, Timer::Client(id));
        }
    }
}
