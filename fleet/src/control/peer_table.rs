//! The other control machines: their addresses, the connections to them, and when they are dialled.
//!
//! Two machines may dial each other at the same time. This module decides which connection of the
//! pair carries the messages, and guarantees that both ends choose the same one. A peer without a
//! connection is dialled again within half a second. Unreachable addresses are removed.

use super::clock::{after, earlier, elapsed};
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use lichenswitch_net::ConnId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum delay before a peer is dialled again.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay before a peer is dialled again.
const MAX_REDIAL_DELAY: Duration = Duration::from_millis(500);
/// Timeout for establishing a connection, after which the peer is dialled again. The first packet
/// may have been lost, and TCP retransmits it only after a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a message after which a connection is closed. Each end sends a digest every
/// [`super::timing::DIGEST_INTERVAL`].
pub(super) const PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a message after which an address is removed, unless it belongs to a seed or a
/// voter.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of known addresses. Bounds the addresses that peers report to each other.
const MAX_PEERS: usize = 64;

/// The first message of a control machine on a connection, which describes its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PeerHandshake {
    /// Name of the sender's node.
    pub(super) node: String,
    /// Identity of the sender's disk, or of its process if it has no disk.
    pub(super) identity: u64,
    /// Whether the sender may become a voter: it has a disk, or its loss is counted.
    pub(super) is_eligible: bool,
}

/// Another control machine, as this machine sees it.
#[derive(Debug)]
pub(super) struct Peer {
    /// The connection that this machine has dialled, and the time at which it did.
    dialled: Option<(ConnId, Time)>,
    /// The connection that the peer has dialled.
    accepted: Option<ConnId>,
    /// Whether the peer's handshake has arrived on the dialled connection.
    is_handshake_received: bool,
    /// The last handshake of the peer, on either connection.
    pub(super) handshake: Option<PeerHandshake>,
    /// When the last message arrived. Until the first one, when the address was added.
    last_received_at: Time,
    /// Whether any message has arrived from the peer.
    was_reached: bool,
    next_dial_at: Time,
    dial_failures: u32,
    /// Whether the peer was in contact when it last reported.
    pub(super) in_contact: bool,
    /// Number of routers that were connected to the peer when it last reported.
    pub(super) router_count: u32,
    /// The last acknowledgement of the peer that the primary is confirmed.
    pub(super) confirmation_ack: Option<ProcessInstant>,
}

/// The other control machines, by address.
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

    /// Replaces the seeds by those of the settings, and adds their addresses.
    pub(super) fn on_seeds(&mut self, seeds: Vec<SocketAddr>, now: Time) {
        seeds.iter().for_each(|seed| self.learn(*seed, now));
        self.seeds = seeds;
    }

    /// Adds an address that the settings, the group or a peer has named. Ignores this machine's own
    /// address, unusable ones, and new ones once the table holds [`MAX_PEERS`].
    pub(super) fn learn(&mut self, address: SocketAddr, now: Time) {
        if address == self.local_address || address.port() == 0 || address.ip().is_unspecified() {
            return;
        }
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&address) {
            self.peers.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// Adds the addresses in a message. Ignores those that can't be parsed.
    pub(super) fn learn_all(&mut self, addresses: &[String], now: Time) {
        addresses
            .iter()
            .filter_map(|text| text.parse().ok())
            .for_each(|address| self.learn(address, now));
    }

    /// Returns the peer at an address.
    pub(super) fn get(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// Returns the peer at an address, for an update.
    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    /// Iterates over all peers, connected or not, in the order of their addresses.
    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Iterates over the peers that have a connection on which messages can be sent.
    pub(super) fn connected(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.iter()
            .filter(|(address, peer)| peer.connection(self.local_address, *address).is_some())
    }

    /// Returns the connection on which messages to a peer are sent, if it is established.
    pub(super) fn connection(&self, address: SocketAddr) -> Option<ConnId> {
        self.peers
            .get(&address)?
            .connection(self.local_address, address)
    }

    /// Returns the addresses of the peers from which a message has arrived.
    pub(super) fn reached_addresses(&self) -> Vec<String> {
        self.iter()
            .filter(|(_, peer)| peer.was_reached)
            .map(|(address, _)| address.to_string())
            .collect()
    }

    /// Returns the addresses of the peers that have to be dialled now.
    pub(super) fn due_dials(&self, now: Time) -> Vec<SocketAddr> {
        let is_due = |(address, peer): &(SocketAddr, &Peer)| {
            peer.next_dial_at(self.local_address, *address)
                .is_some_and(|at| at <= now)
        };
        self.iter()
            .filter(is_due)
            .map(|(address, _)| address)
            .collect()
    }

    /// Records the connection of a dial that has started.
    pub(super) fn on_dial_started(&mut self, address: SocketAddr, id: ConnId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.dialled, peer.is_handshake_received) = (Some((id, now)), false);
        }
    }

    /// Schedules the next dial after one that could not be started.
    pub(super) fn on_dial_failed(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.schedule_redial(now);
        }
    }

    /// Handles the handshake on a connection. Returns the older accepted connection that the new
    /// one replaces, which the caller has to close.
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

    /// Records that a message has arrived from a peer.
    pub(super) fn on_message_received(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.last_received_at, peer.was_reached) = (now, true);
        }
    }

    /// Handles the end of a connection: schedules the next dial and, after the last connection,
    /// clears what the peer has reported.
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
            (peer.in_contact, peer.router_count, peer.confirmation_ack) = (false, 0, None);
        }
    }

    /// Removes an address that has turned out to be this machine's own, also from the seeds.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.peers.remove(&address);
        self.seeds.retain(|seed| *seed != address);
    }

    /// Removes unreachable addresses, and returns them.
    pub(super) fn forget_unreachable(
        &mut self,
        voters: &[SocketAddr],
        now: Time,
    ) -> Vec<SocketAddr> {
        let is_unreachable = |(address, peer): &(SocketAddr, &Peer)| {
            let is_required = self.seeds.contains(address) || voters.contains(address);
            !is_required
                && peer.accepted.is_none()
                && elapsed(peer.last_received_at, now) > FORGET_TIMEOUT
        };
        let unreachable: Vec<SocketAddr> = self
            .iter()
            .filter(is_unreachable)
            .map(|(address, _)| address)
            .collect();
        unreachable
            .iter()
            .for_each(|address| drop(self.peers.remove(address)));
        unreachable
    }

    /// Returns when the next peer has to be dialled.
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
            router_count: 0,
            confirmation_ack: None,
        }
    }

    /// Returns the connection of the pair on which both ends send. It is the one that the machine
    /// with the smaller address has dialled, if it is established. Both ends apply the same rule,
    /// so the other connection becomes idle and is closed.
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
        // Adds jitter, so that machines that lost each other at the same time don't keep dialling
        // at the same time.
        self.next_dial_at = after(now, delay.mul_f64(0.5 + fastrand::f64() / 2.0));
    }

    /// Whether the peer may become a voter, according to its handshake. False before the handshake
    /// has arrived.
    pub(super) fn is_eligible(&self) -> bool {
        self.handshake
            .as_ref()
            .is_some_and(|handshake| handshake.is_eligible)
    }

    /// Returns when the last message arrived, or `None` if none has.
    pub(super) fn last_received_at(&self) -> Option<Time> {
        self.was_reached.then_some(self.last_received_at)
    }
}

#[cfg(test)]
mod tests;
