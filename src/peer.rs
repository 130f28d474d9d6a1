//! The protocol between brokers: a listener for other brokers, and connections to them. What is sent
//! to a peer goes on a connection that was opened here, what it sends arrives on one that it opened:
//! a network that works in one direction alone is used in that one.
//!
//! It owns these connections and the frames that wait for them. It promises: what waits for a peer
//! is bounded, and droppable frames are dropped first; what is received is bounded too, in frames a
//! second; a peer that sends garbage, is of another cluster or version, does not complete its
//! frames, or does not read is disconnected with a log line that tells the reason; lost connections
//! are opened again after random delays, and only if something is to be sent.

mod config;
pub mod consensus;
pub mod group;
mod inbound;
mod journal;
mod outbound;
mod send_queue;
mod wire;

pub use config::PeersConfig;
pub use inbound::{Payload, ReceivedMessage};
pub use journal::PeerStats;
pub use send_queue::Delivery;

use crate::decide::failure_detector::Member;
use crate::interface::{Micros, Time};
use crate::net::{ConnId, Net};
use inbound::{InboundPeers, FRAME_TIMEOUT};
use journal::Journal;
use outbound::OutboundPeers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wire::{Frame, Greeting};

/// The most connections of peers to this broker, and of this broker to peers; among the latter the
/// one unused for longest makes room. Each member sends to some others in a second: with these a
/// fleet of any size is sent to in turn.
pub const MAX_CONNECTIONS: usize = 32;
/// Connections are checked for being expired this often (microseconds).
const CHECK_INTERVAL: Micros = FRAME_TIMEOUT / 4;

/// The protocol between brokers.
pub struct PeerProtocol {
    inbound: InboundPeers,
    outbound: OutboundPeers,
    check_at: Time,
    journal: Journal,
}

impl PeerProtocol {
    /// The protocol of the broker `own` in a cluster; `routes`: the addresses of some peers, by
    /// name, whatever they say of themselves.
    #[must_use]
    pub fn new(
        now: Time,
        cluster: String,
        own: Member,
        routes: BTreeMap<String, SocketAddr>,
        seed: u64,
    ) -> PeerProtocol {
        let greeting = Greeting {
            cluster: cluster.clone(),
            from: own,
        };
        PeerProtocol {
            inbound: InboundPeers::new(now, cluster),
            outbound: OutboundPeers::new(greeting, routes, seed),
            check_at: now.plus(CHECK_INTERVAL),
            journal: Journal::default(),
        }
    }

    /// Takes the log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.journal.log)
    }

    /// Its counters since the start.
    #[must_use]
    pub fn stats(&self) -> PeerStats {
        self.journal.stats
    }

    /// This broker goes on as another member: connections that are opened later say so.
    pub fn renew(&mut self, own: Member) {
        self.outbound.renew(own);
    }

    /// When [`PeerProtocol::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        [self.inbound.resume_at(), self.outbound.reconnect_at()]
            .into_iter()
            .flatten()
            .fold(self.check_at, Time::min)
    }

    /// Peers have connected.
    pub fn on_accepted(&mut self, net: &Net, ids: Vec<ConnId>) {
        self.inbound.on_accepted(net.clock.now(), ids);
    }

    /// Sends a message of the failure detector to a peer, now or once there is a connection. Returns
    /// `false` if there is no room for it.
    pub fn send_swim(
        &mut self,
        net: &mut Net,
        to: &Member,
        bytes: Vec<u8>,
        delivery: Delivery,
    ) -> bool {
        let frame = Frame::Swim(bytes);
        self.outbound
            .send(net, to, &frame, delivery, &mut self.journal)
    }

    /// Sends a message of the consensus, which may be dropped: the log sends it again.
    pub fn send_consensus(&mut self, net: &mut Net, to: &Member, bytes: Vec<u8>) -> bool {
        let frame = Frame::Consensus(bytes);
        self.outbound
            .send(net, to, &frame, Delivery::Droppable, &mut self.journal)
    }

    /// A connection is ready to be read or written. Returns what was received.
    pub fn on_ready(&mut self, net: &mut Net, id: ConnId) -> Vec<ReceivedMessage> {
        if self.inbound.contains(id) {
            return self.inbound.on_readable(net, id, &mut self.journal);
        }
        self.outbound.on_ready(net, id, &mut self.journal);
        Vec::new()
    }

    /// Does what is due: paused connections are read again, peers are connected to, expired
    /// connections are closed. Returns what was received.
    pub fn on_time(&mut self, net: &mut Net) -> Vec<ReceivedMessage> {
        let now = net.clock.now();
        let messages = self.inbound.resume(net, &mut self.journal);
        self.outbound.reconnect(net, &mut self.journal);
        if now >= self.check_at {
            self.check_at = now.plus(CHECK_INTERVAL);
            self.inbound.close_expired(net, now, &mut self.journal);
            self.outbound.close_expired(net, now, &mut self.journal);
        }
        messages
    }
}

#[cfg(test)]
mod tests;
