//! The other control machines: their addresses, the connections to them, and when they are dialled.
//!
//! It owns the table and the rule by which one connection of a pair carries the messages. It promises
//! that both ends of a pair choose the same one, that a peer without a connection is dialled again
//! within half a second, and that unreachable addresses are forgotten.

use super::clock::{after, earlier, elapsed};
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use lichenswitch_net::ConnId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Least and longest delay before a peer is dialled again.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(60);
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(500);
/// A connection that is not up after this time is dialled again: its opening packet may have been
/// lost, and TCP repeats it only after a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection on which nothing arrives for this time is closed: each end sends a digest every
/// [`super::timing::DIGEST_INTERVAL`].
pub(super) const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An address from which nothing arrives for this time is forgotten, unless it is a seed's or a
/// voter's.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);
/// Most addresses that are known. Bounds the addresses that peers report to each other.
const MAX_PEERS: usize = 64;

/// What a control machine reports of itself in its first message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerHandshake {
    /// Name of its node.
    pub(super) node: String,
    /// Identity of its disk, or of its process.
    pub(super) identity: u64,
    /// Whether it has a disk, or its loss is counted.
    pub(super) is_eligible: bool,
}

/// One control machine.
#[derive(Debug)]
pub(super) struct Peer {
    /// The connection that this machine has dialled, and when.
    dialled: Option<(ConnId, Time)>,
    /// The connection that it has dialled.
    accepted: Option<ConnId>,
    /// Whether its handshake has arrived on the dialled connection.
    is_handshake_received: bool,
    /// Its last handshake.
    pub(super) handshake: Option<PeerHandshake>,
    /// When a message arrived last, or it became known.
    last_received_at: Time,
    /// Whether a message has ever arrived.
    was_reached: bool,
    next_dial_at: Time,
    dial_failures: u32,
    /// Whether it was in contact when it last reported.
    pub(super) in_contact: bool,
    /// Routers that were connected to it when it last reported.
    pub(super) routers: u32,
    /// Its last acknowledgement that the primary is confirmed.
    pub(super) confirmation_ack: Option<ProcessInstant>,
}

/// All control machines but this one.
pub(super) struct PeerTable {
    local_address: SocketAddr,
    /// Addresses of the seeds, without those that have turned out to be this machine.
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl PeerTable {
    pub(super) fn new(local_address: SocketAddr, seeds: Vec<SocketAddr>, now: Time) -> PeerTable {
        let mut peers = PeerTable {
            local_address,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
        };
        peers.on_seeds(seeds, now);
        peers
    }

    /// The settings name these seeds.
    pub(super) fn on_seeds(&mut self, seeds: Vec<SocketAddr>, now: Time) {
        seeds.iter().for_each(|seed| self.learn(*seed, now));
        self.seeds = seeds;
    }

    /// Adds an address that the settings, the group or a peer has named.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Time) {
        if address == self.local_address || address.port() == 0 || address.ip().is_unspecified() {
            return;
        }
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&address) {
            self.peers.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// Adds the addresses of a message. Invalid ones are passed over.
    pub(super) fn learn_all(&mut self, addresses: &[String], now: Time) {
        addresses
            .iter()
            .filter_map(|text| text.parse().ok())
            .for_each(|address| self.learn(address, now));
    }

    /// The peer at an address.
    pub(super) fn get(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// The peer at an address, to be updated.
    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    /// All peers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Peers with a connection that carries messages.
    pub(super) fn connected(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.iter()
            .filter(|(address, peer)| peer.connection(self.local_address, *address).is_some())
    }

    /// The connection that carries messages to this peer.
    pub(super) fn connection(&self, address: SocketAddr) -> Option<ConnId> {
        self.peers
            .get(&address)?
            .connection(self.local_address, address)
    }

    /// Addresses of the peers that have been reached, without this machine.
    pub(super) fn reached_addresses(&self) -> Vec<String> {
        self.iter()
            .filter(|(_, peer)| peer.was_reached)
            .map(|(address, _)| address.to_string())
            .collect()
    }

    /// Peers that have to be dialled now.
    pub(super) fn due_dials(&self, now: Time) -> Vec<SocketAddr> {
        let due_dials = |(address, peer): &(SocketAddr, &Peer)| {
            peer.next_dial_at(self.local_address, *address)
                .is_some_and(|at| at <= now)
        };
        self.iter()
            .filter(due_dials)
            .map(|(address, _)| address)
            .collect()
    }

    /// A peer is being dialled.
    pub(super) fn on_dial_started(&mut self, address: SocketAddr, id: ConnId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.dialled, peer.is_handshake_received) = (Some((id, now)), false);
        }
    }

    /// A peer could not be dialled.
    pub(super) fn on_dial_failed(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.schedule_redial(now);
        }
    }

    /// The handshake has arrived on a connection. Returns the older connection that it replaces, to
    /// be closed.
    pub(super) fn on_handshake(
        &mut self,
        address: SocketAddr,
        id: ConnId,
        handshake: PeerHandshake,
        now: Time,
    ) -> Option<ConnId> {
        self.learn(address, now);
        let peer = self.peers.get_mut(&address)?;
        peer.handshake = Some(handshake);
        (peer.last_received_at, peer.was_reached, peer.dial_failures) = (now, true, 0);
        if peer.dialled.is_some_and(|dialled| dialled.0 == id) {
            peer.is_handshake_received = true;
            return None;
        }
        peer.accepted.replace(id).filter(|old| *old != id)
    }

    /// A message has arrived from a peer.
    pub(super) fn on_message_received(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.last_received_at, peer.was_reached) = (now, true);
        }
    }

    /// A connection is closed.
    pub(super) fn on_closed(&mut self, address: SocketAddr, id: ConnId, now: Time) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if peer.accepted == Some(id) {
            peer.accepted = None;
        }
        if peer.dialled.is_some_and(|dialled| dialled.0 == id) {
            (peer.dialled, peer.is_handshake_received) = (None, false);
        }
        peer.schedule_redial(now);
        if peer.dialled.is_none() && peer.accepted.is_none() {
            (peer.in_contact, peer.routers, peer.confirmation_ack) = (false, 0, None);
        }
    }

    /// The address has turned out to be this machine.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.peers.remove(&address);
        self.seeds.retain(|seed| *seed != address);
    }

    /// Forgets unreachable addresses, and returns them.
    pub(super) fn forget_unreachable(
        &mut self,
        voters: &[SocketAddr],
        now: Time,
    ) -> Vec<SocketAddr> {
        let unreachable = |(address, peer): &(SocketAddr, &Peer)| {
            let is_required = self.seeds.contains(address) || voters.contains(address);
            !is_required
                && peer.accepted.is_none()
                && elapsed(peer.last_received_at, now) > FORGET_TIMEOUT
        };
        let unreachable: Vec<SocketAddr> = self
            .iter()
            .filter(unreachable)
            .map(|(address, _)| address)
            .collect();
        unreachable
            .iter()
            .for_each(|address| drop(self.peers.remove(address)));
        unreachable
    }

    /// When a peer has to be dialled next.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.iter()
            .filter_map(|(address, peer)| peer.next_dial_at(self.local_address, address))
            .fold(None, |a, b| earlier(a, Some(b)))
    }
}

impl Peer {
    fn new(now: Time) -> Peer {
        Peer {
            dialled: None,
            accepted: None,
            is_handshake_received: false,
            handshake: None,
            last_received_at: now,
            was_reached: false,
            next_dial_at: now,
            dial_failures: 0,
            in_contact: false,
            routers: 0,
            confirmation_ack: None,
        }
    }

    /// The connection of the pair that both ends send on: the one dialled by the smaller address,
    /// where it is up. As both ends apply the same rule, the other connection becomes idle and is
    /// closed.
    fn connection(&self, local_address: SocketAddr, address: SocketAddr) -> Option<ConnId> {
        let dialled = self
            .dialled
            .filter(|_| self.is_handshake_received)
            .map(|dialled| dialled.0);
        match local_address < address {
            true => dialled.or(self.accepted),
            false => self.accepted.or(dialled),
        }
    }

    fn next_dial_at(&self, local_address: SocketAddr, address: SocketAddr) -> Option<Time> {
        let is_required =
            self.dialled.is_none() && self.connection(local_address, address).is_none();
        is_required.then_some(self.next_dial_at)
    }

    fn schedule_redial(&mut self, now: Time) {
        let delay = MIN_REDIAL_DELAY
            .saturating_mul(1 << self.dial_failures.min(4))
            .min(MAX_REDIAL_DELAY);
        self.dial_failures = self.dial_failures.saturating_add(1);
        // Jitter, so that machines that lost each other at the same time don't dial at the same time
        // again and again.
        self.next_dial_at = after(now, delay.mul_f64(0.5 + fastrand::f64() / 2.0));
    }

    /// Whether it has a disk, or its loss is counted, as far as its handshake has arrived.
    pub(super) fn is_eligible(&self) -> bool {
        self.handshake
            .as_ref()
            .is_some_and(|handshake| handshake.is_eligible)
    }

    /// When a message arrived last; `None`: never.
    pub(super) fn last_received_at(&self) -> Option<Time> {
        self.was_reached.then_some(self.last_received_at)
    }
}

#[cfg(test)]
mod tests;
