//! Calls on their way out: the connection for each, and what waits for one.

use super::link::{Call, Greeting, InFlightPart, Link};
use super::{
    EndedAttempt, NoConnection, ParkedCall, Pool, Wire, MAX_DESCRIPTOR_WAIT, SHORTAGE_LOG_INTERVAL,
};
use crate::core::Dispatch;
use crate::decide::descriptors::MAX_CONNECTIONS_PER_NODE;
use crate::interface::{Outcome, ServerId, Time};
use crate::net::{ConnId, ConnectError, Net, Timer, TransferProgress};
use std::collections::VecDeque;
use std::net::SocketAddr;

impl<W: Wire> Pool<W> {
    /// Sends one call: on a connection to the node, or once there is a descriptor for one.
    pub fn send(
        &mut self,
        net: &mut Net,
        server: ServerId,
        address: SocketAddr,
        parts: Vec<Dispatch<W::Job>>,
    ) {
        let now = net.clock.now();
        let call = ParkedCall {
            server,
            address,
            parts,
            parked_at: now,
        };
        // Those that wait already go first, but only a call that needs a new connection waits
        // behind them.
        if let Err(call) = self.assign_connection(net, call) {
            self.record_shortage(net, now);
            net.wheel
                .set(now.plus(MAX_DESCRIPTOR_WAIT), Timer::Parked(W::OWNER));
            self.parked.push_back(call);
        }
    }

    /// Gives a call to a connection, or ends it if its node takes none.
    ///
    /// # Errors
    /// The call, if it needs a descriptor and there is none.
    pub(super) fn assign_connection(
        &mut self,
        net: &mut Net,
        call: ParkedCall<W::Job>,
    ) -> Result<(), ParkedCall<W::Job>> {
        match self.connection_for_call(net, &call) {
            Ok(id) => {
                let Some(link) = self.links.get_mut(&id) else {
                    return Ok(());
                };
                self.attempts
                    .extend(call.parts.iter().map(|p| (p.attempt, id)));
                link.waiting.push_back(call.parts);
                self.write_waiting(net, id);
                Ok(())
            }
            Err(NoConnection::NodeRefuses) => {
                self.end_parts(&call.parts, Outcome::ConnectFailed);
                Ok(())
            }
            Err(NoConnection::NoDescriptor) => Err(call),
        }
    }

    pub(super) fn end_parts(&mut self, parts: &[Dispatch<W::Job>], outcome: Outcome) {
        self.ended.extend(parts.iter().map(|p| EndedAttempt {
            attempt: p.attempt,
            outcome,
            value: None,
        }));
    }

    /// Records that a call has to wait for a descriptor. Guards the log, which would have thousands
    /// of such lines.
    pub(super) fn record_shortage(&mut self, net: &Net, now: Time) {
        self.unlogged_shortages += 1;
        if self
            .shortage_logged_at
            .is_none_or(|at| now.since(at) >= SHORTAGE_LOG_INTERVAL)
        {
            let (count, reason) = (self.unlogged_shortages, net.node_capacity_reason());
            self.log.push(format!(
                "calls that had to wait for a descriptor: {count}; {reason}"
            ));
            (self.unlogged_shortages, self.shortage_logged_at) = (0, Some(now));
        }
    }

    /// Serves the calls that wait for a descriptor: in their order they get what has become free;
    /// those that have waited for too long are reported as never sent.
    pub fn serve_parked(&mut self, net: &mut Net) {
        let now = net.clock.now();
        while let Some(call) = self.parked.pop_front() {
            if let Err(call) = self.assign_connection(net, call) {
                self.parked.push_front(call);
                break;
            }
        }
        while self
            .parked
            .front()
            .is_some_and(|call| now.since(call.parked_at) >= MAX_DESCRIPTOR_WAIT)
        {
            let Some(call) = self.parked.pop_front() else {
                return;
            };
            self.end_parts(&call.parts, Outcome::NeverSent);
        }
    }

    /// Closes so many idle connections, those unused for longest first: second ones to a node
    /// before only ones, whose loss costs the next call there a handshake. Returns how many
    /// were closed.
    pub fn yield_idle(&mut self, net: &mut Net, count: usize) -> usize {
        let idle = self.links.iter().filter(|(_, link)| link.is_idle());
        let mut idle: Vec<(bool, Time, ConnId)> = idle
            .filter_map(|(id, link)| {
                let is_only = self
                    .by_server
                    .get(&link.server)
                    .is_none_or(|known| known.len() < 2);
                Some((is_only, net.get(*id)?.last_active_at, *id))
            })
            .collect();
        idle.sort_unstable();
        idle.truncate(count);
        idle.iter().for_each(|&(.., id)| self.drop_link(net, id));
        idle.len()
    }

    /// Writes the calls that wait for a connection, while it takes them.
    pub(super) fn write_waiting(&mut self, net: &mut Net, id: ConnId) {
        loop {
            let now = net.clock.now();
            let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
                return;
            };
            if !conn.up || !conn.flushed() || link.greeting == Greeting::Sent {
                return;
            }
            if link.greeting == Greeting::Due {
                // Guards queries that end meanwhile: a node that has yet to accept the connection,
                // or stands still, would read their parts long after.
                let greeting = self.wire.greeting();
                link.greeting = if greeting.is_some() {
                    Greeting::Sent
                } else {
                    Greeting::Done
                };
                conn.send(&greeting.unwrap_or_default());
                if net.flush(id, false) != TransferProgress::Alive {
                    return self.close_broken(net, id);
                }
                continue;
            }
            let Some(parts) = link.waiting.pop_front() else {
                return;
            };
            let parts = self.drop_late(now, parts);
            if parts.is_empty() {
                continue;
            }
            self.write_call(net, now, id, &parts);
            let flushed = net.flush(id, false);
            self.count_written(net, id);
            if flushed != TransferProgress::Alive {
                return self.close_broken(net, id);
            }
        }
    }

    /// Ends the parts that may not leave any more, and returns the others. Guards the rule on
    /// repeats: a connection that comes up late, or a node that is slow to answer its greeting, has
    /// held a call back for longer than the window bears.
    fn drop_late(&mut self, now: Time, parts: Vec<Dispatch<W::Job>>) -> Vec<Dispatch<W::Job>> {
        let max_wait = self.limits.connect_timeout + MAX_DESCRIPTOR_WAIT;
        let is_late = |p: &Dispatch<W::Job>| p.send_by.is_some_and(|at| now > at.plus(max_wait));
        let (late, in_time): (Vec<_>, Vec<_>) = parts.into_iter().partition(is_late);
        for part in late {
            self.end_attempt(part.attempt, Outcome::NeverSent, None);
        }
        in_time
    }

    /// Queues a call on a connection.
    fn write_call(&mut self, net: &mut Net, now: Time, id: ConnId, parts: &[Dispatch<W::Job>]) {
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        let mut bytes = Vec::new();
        let names = self.wire.encode_call(parts, link.address, &mut bytes);
        let in_flight = names
            .into_iter()
            .zip(parts)
            .map(|(part, p)| InFlightPart {
                part,
                attempt: p.attempt,
            })
            .collect();
        link.calls.push(Call {
            sent: now,
            end: conn.send(&bytes),
            parts: in_flight,
            unwritten: parts.iter().map(|p| p.class).collect(),
        });
    }

    /// A connection that can take a call: one that is up, one that is being opened, or a new one,
    /// for which an idle one to another node is closed if need be. None on which a part of the call
    /// has ended without a success.
    pub(super) fn connection_for_call(
        &mut self,
        net: &mut Net,
        call: &ParkedCall<W::Job>,
    ) -> Result<ConnId, NoConnection> {
        let (server, address) = (call.server, call.address);
        self.mark_mute(net, server);
        let max_streams = self.limits.max_streams.max(1);
        let known = self.by_server.entry(server).or_default();
        let is_usable = |id: &&ConnId| {
            let has_capacity = |link: &Link<W>| {
                let calls = link.calls.len() + link.waiting.len();
                calls < max_streams && link.address == address && !link.is_mute
            };
            // One that does not take what was written is left to those that wait for it.
            self.links
                .get(id)
                .is_some_and(|link| has_capacity(link) && !has_failed_part(&self.wire, link, call))
                && net
                    .get(**id)
                    .is_some_and(|c| !c.ended && (!c.up || c.flushed()))
        };
        let is_up = |id: &&ConnId| net.get(**id).is_some_and(|c| c.up);
        // The oldest that is up, so that those opened for a short rush fall idle again.
        let mut open = known.iter().filter(is_usable);
        if let Some(&id) = open.clone().find(is_up).or_else(|| open.next()) {
            return Ok(id);
        }
        let mut connected = match known.len() < MAX_CONNECTIONS_PER_NODE {
            true => net.connect(W::OWNER, address),
            false => Err(ConnectError::Failed(std::io::Error::other(
                "too many connections to it",
            ))),
        };
        if matches!(connected, Err(ConnectError::NoDescriptor(_))) && self.yield_idle(net, 1) > 0 {
            connected = net.connect(W::OWNER, address);
        }
        match connected {
            Ok(id) => {
                self.add_link(net, server, address, id);
                Ok(id)
            }
            Err(error) => Err(self.not_connected(server, error)),
        }
    }

    /// Adds a connection that is being opened.
    fn add_link(&mut self, net: &mut Net, server: ServerId, address: SocketAddr, id: ConnId) {
        let now = net.clock.now();
        // Guards memory: a node that is gone may be entered once more by what still breaks there.
        self.greeted_until.retain(|_, until| now < *until);
        let known = self.by_server.entry(server).or_default();
        // One beside others that are mute: the node itself may stand still.
        let is_beside_mute = known
            .iter()
            .any(|id| self.links.get(id).is_some_and(|l| l.is_mute));
        let greeting = if is_beside_mute || self.greeted_until.contains_key(&server) {
            Greeting::Due
        } else {
            Greeting::Done
        };
        known.push(id);
        let link = Link {
            server,
            address,
            waiting: VecDeque::new(),
            calls: Vec::new(),
            greeting,
            recently_completed: VecDeque::new(),
            unsuccessful: VecDeque::new(),
            response_started_at: None,
            is_mute: false,
            other_active_since: None,
        };
        self.links.insert(id, link);
        let at = net.clock.now().plus(self.limits.connect_timeout);
        net.wheel.set(at, Timer::Conn(id));
    }

    /// No connection could be opened.
    fn not_connected(&mut self, server: ServerId, error: ConnectError) -> NoConnection {
        if self.by_server.get(&server).is_none_or(Vec::is_empty) {
            self.by_server.remove(&server);
        }
        match error {
            ConnectError::NoDescriptor(_) => NoConnection::NoDescriptor,
            ConnectError::Failed(e) => {
                self.log
                    .push(format!("connect to server {} failed: {e}", server.0));
                NoConnection::NodeRefuses
            }
        }
    }
}

/// Whether a part of a call ended on a connection without a success: what still comes there for it may
/// be a second answer to that attempt.
fn has_failed_part<W: Wire>(wire: &W, link: &Link<W>, call: &ParkedCall<W::Job>) -> bool {
    !link.unsuccessful.is_empty()
        && call
            .parts
            .iter()
            .filter_map(|part| wire.answer_name(part))
            .any(|name| link.has_failed(&name))
}
