//! Connections that end: idle ones, broken ones, and those to nodes that are gone.

use super::link::Link;
use super::{written_bytes, Pool, Wire, GREETING_PERIOD};
use crate::interface::{Micros, Outcome, ServerId};
use crate::net::{ConnId, Net, Timer};

impl<W: Wire> Pool<W> {
    /// Forgets what is known of a node that is gone, and closes the connections to it that carry
    /// nothing.
    pub fn forget_node(&mut self, net: &mut Net, server: ServerId) {
        self.greeted_until.remove(&server);
        self.close_idle(net, server);
    }

    /// Idle connections are closed after this long: before the node does it, so that no call
    /// crosses its end.
    fn idle_timeout(&self) -> Micros {
        self.limits.idle_timeout / 5 * 4
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, net: &mut Net, server: ServerId) {
        let ids = self.by_server.get(&server).cloned().unwrap_or_default();
        for id in ids {
            if self.links.get(&id).is_some_and(Link::is_idle) {
                self.drop_link(net, id);
            }
        }
    }

    /// A connection's timer: it should be up by now, or may have been idle for too long.
    pub fn on_timer(&mut self, net: &mut Net, id: ConnId) {
        let (Some(conn), Some(link)) = (net.get(id), self.links.get(&id)) else {
            return;
        };
        let (now, idle_timeout) = (net.clock.now(), self.idle_timeout());
        let has_expired = link.is_idle() && now.since(conn.last_active_at) >= idle_timeout;
        if !conn.up || has_expired {
            return self.close_broken(net, id);
        }
        let next = conn.last_active_at.plus(idle_timeout);
        let next = next.max(now.plus(idle_timeout / 10));
        net.wheel.set(next, Timer::Conn(id));
    }

    /// Ends a connection. A call whose last byte was written may have run: it was reset; others
    /// never left.
    pub(super) fn close_broken(&mut self, net: &mut Net, id: ConnId) {
        let written = written_bytes(net, id);
        let Some(link) = self.links.get_mut(&id) else {
            return net.close(id);
        };
        let server = link.server;
        let is_failure = !link.is_idle() || link.is_mute;
        let unsent = link.waiting.drain(..).flatten();
        let mut ended: Vec<(u64, Outcome)> = unsent
            .map(|part| (part.attempt, Outcome::ConnectFailed))
            .collect();
        for call in link.calls.drain(..) {
            let outcome = if call.end <= written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            ended.extend(call.parts.iter().map(|part| (part.attempt, outcome)));
        }
        for (attempt, outcome) in ended {
            self.end_attempt(attempt, outcome, None);
        }
        if is_failure {
            self.greet_until(server, net.clock.now().plus(GREETING_PERIOD));
        }
        self.drop_link(net, id);
    }

    /// Removes a connection from the tables: the one place where it is given back.
    pub(super) fn drop_link(&mut self, net: &mut Net, id: ConnId) {
        if let Some(link) = self.links.remove(&id) {
            if let Some(known) = self.by_server.get_mut(&link.server) {
                known.retain(|&other| other != id);
                if known.is_empty() {
                    self.by_server.remove(&link.server);
                }
            }
        }
        net.close(id);
    }
}
