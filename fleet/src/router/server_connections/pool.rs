//! Which connection an attempt gets (one that is idle, a new one, or a place in the queue), and which
//! ones are closed.

use super::attempt::Attempt;
use super::carried_ids::CarriedIds;
use super::table::{is_quiet, ConnectionState, PooledConnection, ServerConnections};
use crate::router::ids::AttemptId;
use crate::router::reactor::{Net, SocketOwner, Timer};
use lichenswitch_interface::{Micros, Outcome, ServerId};
use lichenswitch_net::{ConnId, ConnectError, TransferProgress};

/// A connection that is not up after this long counts as failed (microseconds). Connects within a
/// region take milliseconds; a lost SYN is sent again after a second.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;

/// How long a connection may have been idle when a request that is not idempotent is written on it
/// (microseconds). Servers may drop idle connections silently; those that close sooner than this
/// can't advertise it in whole seconds.
const UNSAFE_REUSE_WINDOW_US: Micros = 400_000;

/// How long an attempt waits while all connections to its server are in use (microseconds).
const CONNECTION_WAIT_TIMEOUT_US: Micros = 100_000;

impl ServerConnections {
    /// An idle connection on which this attempt may be written: the last used one that has not
    /// carried its request before, so that others fall out of use.
    pub(super) fn idle_connection(&mut self, net: &mut Net, attempt: &Attempt) -> Option<ConnId> {
        let now = net.clock.now();
        let digest = self.id_digester.digest(&attempt.request);
        let known = self.by_server.get(&attempt.server)?;
        let idle = known.iter().filter_map(|id| match self.state(*id)? {
            ConnectionState::Idle {
                since,
                usable_until,
            } => Some((*since, *usable_until, *id)),
            ConnectionState::Opening(_) | ConnectionState::Busy(_) => None,
        });
        let (since, usable_until, id) = idle
            .filter(|(.., id)| !self.has_carried(*id, digest))
            .max_by_key(|(since, ..)| *since)?;
        let limit = if attempt.is_idempotent {
            usable_until
        } else {
            usable_until.min(since.plus(UNSAFE_REUSE_WINDOW_US))
        };
        if now >= limit {
            return None;
        }
        // The server may have closed it since the poller was last asked.
        if net.transfer(id, 1) == TransferProgress::Alive && is_quiet(net, id) {
            return Some(id);
        }
        self.close(net, id);
        None
    }

    /// Opens a connection for an attempt; closes an idle one if descriptors are short.
    pub(super) fn open_connection(&mut self, net: &mut Net, attempt: Attempt) {
        let mut connected = net.connect(SocketOwner::Server, attempt.endpoint.address);
        if matches!(connected, Err(ConnectError::NoDescriptor(_))) && self.close_longest_idle(net) {
            connected = net.connect(SocketOwner::Server, attempt.endpoint.address);
        }
        match connected {
            Ok(id) => {
                let server = attempt.server;
                self.by_attempt.insert(attempt.id, id);
                self.by_server.entry(server).or_default().push(id);
                let up = net.get(id).is_some_and(|conn| conn.up);
                let state = ConnectionState::Opening(Box::new(attempt));
                self.connections.insert(
                    id,
                    PooledConnection {
                        server,
                        state,
                        carried_ids: CarriedIds::default(),
                        timer_at: None,
                    },
                );
                self.arm_timer(net, id, net.clock.now().plus(CONNECT_TIMEOUT_US));
                if up {
                    self.on_opened(net, id, &TransferProgress::Alive);
                }
            }
            // This process has no descriptor left: that says nothing about the server.
            Err(ConnectError::NoDescriptor(_)) => {
                self.report_failure(attempt.id, Outcome::NeverSent)
            }
            Err(ConnectError::Failed(_)) => self.report_failure(attempt.id, Outcome::ConnectFailed),
        }
    }

    /// Queues an attempt until a connection to its server is free.
    pub(super) fn queue(&mut self, net: &mut Net, attempt: Attempt) {
        net.wheel.set(
            net.clock.now().plus(CONNECTION_WAIT_TIMEOUT_US),
            Timer::ConnectionWait(attempt.id),
        );
        self.queued
            .entry(attempt.server)
            .or_default()
            .push_back(attempt);
    }

    /// Whether the next attempt that waits for a connection to this server may not be written on
    /// this one.
    pub(super) fn next_queued_was_carried(&self, server: ServerId, id: ConnId) -> bool {
        self.queued
            .get(&server)
            .and_then(|queue| queue.front())
            .map(|next| self.id_digester.digest(&next.request))
            .is_some_and(|digest| self.has_carried(id, digest))
    }

    /// Takes the next attempt that waits for a connection to this server.
    pub(super) fn next_queued(&mut self, server: ServerId) -> Option<Attempt> {
        let queue = self.queued.get_mut(&server)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.queued.remove(&server);
        }
        next
    }

    /// Closes one idle connection to this server; `None` if there is none.
    pub(super) fn close_one_idle(&mut self, net: &mut Net, server: ServerId) -> Option<()> {
        let is_idle = |id: &&ConnId| matches!(self.state(**id), Some(ConnectionState::Idle { .. }));
        let id = *self.by_server.get(&server)?.iter().find(is_idle)?;
        self.close(net, id);
        Some(())
    }

    /// Closes the longest idle connection to any server; `false` if none is idle.
    pub(super) fn close_longest_idle(&mut self, net: &mut Net) -> bool {
        let idle = self
            .connections
            .iter()
            .filter_map(|(id, connection)| match connection.state {
                ConnectionState::Idle { since, .. } => Some((since, *id)),
                _ => None,
            });
        let Some((_, id)) = idle.min() else {
            return false;
        };
        self.close(net, id);
        true
    }

    /// Closes a connection and removes it from the table. Nothing else does that. The next queued
    /// attempt of its server gets a new one.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) {
        net.close(id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(known) = self.by_server.get_mut(&connection.server) {
            known.retain(|other| *other != id);
            if known.is_empty() {
                self.by_server.remove(&connection.server);
            }
        }
        if let Some(next) = self.next_queued(connection.server) {
            self.open_connection(net, next);
        }
    }

    /// Withdraws an attempt: its server sees the connection close, and nothing more is reported of
    /// it. `true` if no byte of it was sent.
    pub(crate) fn withdraw(&mut self, net: &mut Net, id: AttemptId) -> bool {
        if let Some(connection) = self.by_attempt.remove(&id) {
            let was_opening = matches!(self.state(connection), Some(ConnectionState::Opening(_)));
            self.close(net, connection);
            return was_opening;
        }
        self.remove_queued(id)
    }

    /// A server accepts no new requests: attempts that were not sent yet are reported as such, and its
    /// idle connections are closed.
    pub(crate) fn stop_sending_to(&mut self, net: &mut Net, server: ServerId) {
        for attempt in self.queued.remove(&server).unwrap_or_default() {
            self.report_failure(attempt.id, Outcome::NeverSent);
        }
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            match self.state(id) {
                Some(ConnectionState::Opening(attempt)) => {
                    let attempt = attempt.id;
                    self.report_failure(attempt, Outcome::NeverSent);
                    self.close(net, id);
                }
                Some(ConnectionState::Idle { .. }) => self.close(net, id),
                Some(ConnectionState::Busy(_)) | None => {}
            }
        }
    }

    /// Closes the connections to a server that have been idle: they may have been dropped silently.
    pub(crate) fn close_stale_idle(&mut self, net: &mut Net, server: ServerId) {
        let now = net.clock.now();
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            if matches!(self.state(id), Some(ConnectionState::Idle { since, .. }) if now.since(*since) > UNSAFE_REUSE_WINDOW_US)
            {
                self.close(net, id);
            }
        }
    }

    /// An attempt has waited for a connection for the longest time allowed.
    pub(crate) fn on_wait_timeout(&mut self, id: AttemptId) {
        if self.remove_queued(id) {
            self.report_failure(id, Outcome::NeverSent);
        }
    }
}
