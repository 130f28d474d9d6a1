//! Connections to peers, and what waits to be sent on them.

use super::inbound::FRAME_TIMEOUT;
use super::journal::Journal;
use super::send_queue::{Delivery, SendQueue};
use super::wire::{self, Frame, Greeting};
use crate::decide::failure_detector::reconnect_backoff::ReconnectBackoff;
use crate::decide::failure_detector::Member;
use crate::interface::{Micros, Time};
use crate::net::{ConnId, ConnectError, Net, Owner, TransferProgress};
use crate::stats::SeededRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection is established within this time (microseconds).
const CONNECT_TIMEOUT: Micros = 500_000;
/// A peer that accepts no byte for this long does not read (microseconds).
const WRITE_TIMEOUT: Micros = 5_000_000;
/// A connection on which nothing was sent for this long is closed (microseconds).
const IDLE_TIMEOUT: Micros = 10_000_000;
/// The most bytes that are written to a connection before its peer has accepted the last ones.
const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// A peer that something is sent to.
#[derive(Default)]
pub(super) struct OutboundPeer {
    pub(super) conn: Option<ConnId>,
    address: Option<SocketAddr>,
    pub(super) queue: SendQueue,
    pub(super) backoff: ReconnectBackoff,
    /// When the connection was opened.
    opened_at: Time,
    /// That it can't be reached was logged.
    is_failure_logged: bool,
}

impl OutboundPeer {
    /// Whether frames wait for a connection.
    fn awaits_connection(&self) -> bool {
        self.conn.is_none() && !self.queue.is_empty()
    }
}

/// All peers that something is sent to.
pub(super) struct OutboundPeers {
    greeting: Greeting,
    /// The addresses of some peers, by name, whatever they say of themselves.
    routes: BTreeMap<String, SocketAddr>,
    pub(super) peers: BTreeMap<String, OutboundPeer>,
    rng: SeededRng,
}

impl OutboundPeers {
    /// Nothing is sent yet; connections begin with this greeting.
    pub(super) fn new(
        greeting: Greeting,
        routes: BTreeMap<String, SocketAddr>,
        seed: u64,
    ) -> OutboundPeers {
        OutboundPeers {
            greeting,
            routes,
            peers: BTreeMap::new(),
            rng: SeededRng(fastrand::Rng::with_seed(seed ^ 0x7065_6572)),
        }
    }

    /// Connections that are opened later greet as this member.
    pub(super) fn renew(&mut self, own: Member) {
        self.greeting.from = own;
    }

    /// When the next peer may be connected to again, if something waits for one.
    pub(super) fn reconnect_at(&self) -> Option<Time> {
        let waiting = self.peers.values().filter(|peer| peer.awaits_connection());
        waiting.map(|peer| peer.backoff.ready_at()).min()
    }

    /// Sends a frame to a peer, now or once there is a connection. Returns `false` if there is no
    /// room for it.
    pub(super) fn send(
        &mut self,
        net: &mut Net,
        to: &Member,
        frame: &Frame,
        delivery: Delivery,
        journal: &mut Journal,
    ) -> bool {
        let Some(bytes) = wire::encode_frame(frame) else {
            return false;
        };
        let peer = self.peers.entry(to.name.clone()).or_default();
        peer.address = Some(self.routes.get(&to.name).copied().unwrap_or(to.address));
        let dropped = peer.queue.dropped;
        let is_queued = peer.queue.push(bytes, delivery);
        journal.stats.dropped += peer.queue.dropped - dropped;
        self.flush_queue(net, &to.name, journal);
        is_queued
    }

    /// Writes what waits for a peer, as far as it accepts it, and opens a connection if there is
    /// none.
    fn flush_queue(&mut self, net: &mut Net, name: &str, journal: &mut Journal) {
        let now = net.clock.now();
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.queue.is_empty() {
            return;
        }
        let Some(id) = peer.conn else {
            if peer.backoff.is_ready(now) {
                self.connect(net, name, journal);
            }
            return;
        };
        let Some(conn) = net.get_mut(id) else {
            return self.disconnect(net, name, "it broke", journal);
        };
        if !conn.up || !conn.flushed() {
            return;
        }
        let mut written = 0;
        while written < MAX_UNSENT_BYTES {
            let Some(frame) = peer.queue.pop() else {
                break;
            };
            written += frame.len();
            journal.stats.sent += 1;
            journal.stats.sent_bytes += frame.len() as u64;
            conn.send(&frame);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            self.disconnect(net, name, "it broke", journal);
        }
    }

    fn connect(&mut self, net: &mut Net, name: &str, journal: &mut Journal) {
        let Some(address) = self.peers.get(name).and_then(|peer| peer.address) else {
            return;
        };
        let mut connected = net.connect(Owner::OutboundPeer, address);
        if matches!(connected, Err(ConnectError::NoDescriptor(_))) && self.close_least_used(net) {
            connected = net.connect(Owner::OutboundPeer, address);
        }
        match connected {
            Ok(id) => {
                let peer = self.peers.entry(name.into()).or_default();
                (peer.conn, peer.opened_at) = (Some(id), net.clock.now());
                if let Some(conn) = net.get_mut(id) {
                    conn.send(&wire::encode_greeting(&self.greeting));
                }
                if net.flush(id, false) != TransferProgress::Alive {
                    self.disconnect(net, name, "it broke", journal);
                }
            }
            Err(error) => self.disconnect(net, name, &error.to_string(), journal),
        }
    }

    /// Closes the connection that was unused for longest. Returns `false` if there is none.
    fn close_least_used(&mut self, net: &mut Net) -> bool {
        let connected = self.peers.values_mut().filter(|peer| peer.conn.is_some());
        let last_active = |peer: &OutboundPeer| {
            let conn = peer.conn.and_then(|id| net.get(id));
            conn.map(|c| c.last_active_at)
        };
        let least_used = connected.min_by_key(|peer| last_active(peer));
        let closed = least_used.and_then(|peer| peer.conn.take());
        closed.into_iter().for_each(|id| net.close(id));
        closed.is_some()
    }

    /// The connection to a peer is lost, or could not be opened. Droppable frames are dropped, since
    /// they are about a moment that has passed.
    fn disconnect(&mut self, net: &mut Net, name: &str, reason: &str, journal: &mut Journal) {
        let now = net.clock.now();
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.conn.take().into_iter().for_each(|id| net.close(id));
        peer.backoff.on_failure(now, &mut self.rng);
        let dropped = peer.queue.dropped;
        peer.queue.drop_droppable();
        journal.stats.dropped += peer.queue.dropped - dropped;
        // Guards the log: an unreachable peer is logged once.
        if !std::mem::replace(&mut peer.is_failure_logged, true) {
            journal
                .log
                .push(format!("peer {name}: can't be spoken to: {reason}"));
        }
    }

    /// The connection to a peer is ready to be read or written.
    pub(super) fn on_ready(&mut self, net: &mut Net, id: ConnId, journal: &mut Journal) {
        let peer = self.peers.iter().find(|(_, peer)| peer.conn == Some(id));
        let Some(name) = peer.map(|(name, _)| name.clone()) else {
            net.close(id);
            return;
        };
        let progress = net.transfer(id, wire::MAX_FRAME_BYTES);
        match disconnect_reason(net, id, progress) {
            Some(reason) => self.disconnect(net, &name, &reason, journal),
            None => self.flush_queue(net, &name, journal),
        }
    }

    /// Connects to the peers that something waits for, if that may be done by now.
    pub(super) fn reconnect(&mut self, net: &mut Net, journal: &mut Journal) {
        let waiting = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.awaits_connection());
        let names: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.flush_queue(net, &name, journal);
        }
    }

    /// Closes connections that are idle, not established in time or not read, and forgets peers that
    /// nothing is sent to any more.
    pub(super) fn close_expired(&mut self, net: &mut Net, now: Time, journal: &mut Journal) {
        for name in self.peers.keys().cloned().collect::<Vec<_>>() {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            let Some(conn) = peer.conn.and_then(|id| net.get(id)) else {
                // Guards memory.
                if peer.queue.is_empty() && peer.backoff.is_ready(now) {
                    self.peers.remove(&name);
                }
                continue;
            };
            let idle = now.since(conn.last_active_at);
            let (is_up, is_flushed) = (conn.up, conn.flushed());
            // Guards against peers that accept connections and end them: only one that lasts is a
            // success.
            if is_up && is_flushed && now.since(peer.opened_at) >= FRAME_TIMEOUT {
                peer.backoff.on_success();
                if std::mem::take(&mut peer.is_failure_logged) {
                    journal
                        .log
                        .push(format!("peer {name}: can be spoken to again"));
                }
            }
            match (is_up, is_flushed) {
                (false, _) if idle >= CONNECT_TIMEOUT => {
                    self.disconnect(net, &name, "it never came up", journal);
                }
                (true, false) if idle >= WRITE_TIMEOUT => {
                    self.disconnect(net, &name, "it reads nothing", journal);
                }
                (true, true) if idle >= IDLE_TIMEOUT => {
                    peer.conn.take().into_iter().for_each(|id| net.close(id));
                }
                _ => {}
            }
        }
    }
}

/// Why a connection to a peer ends, if it does. A peer sends nothing on it but the reason for which
/// it has rejected this broker.
fn disconnect_reason(net: &Net, id: ConnId, progress: TransferProgress) -> Option<String> {
    let frame = net.get(id).and_then(|conn| {
        let frame = wire::split_frame(conn.input.bytes()).ok().flatten();
        frame.map(|(content, _)| wire::decode_frame(content))
    });
    let has_ended = net.get(id).is_none_or(|conn| conn.ended);
    match (frame, progress) {
        (Some(Ok(Frame::Rejected(reason))), _) => Some(format!("it refused: {reason}")),
        (Some(_), _) => Some("it said what makes no sense".into()),
        (None, TransferProgress::NeverConnected) => Some("it never came up".into()),
        (None, TransferProgress::Broken) => Some("it broke".into()),
        (None, TransferProgress::Alive) if has_ended => Some("it ended".into()),
        (None, TransferProgress::Alive) => None,
    }
}
