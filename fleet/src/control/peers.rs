//! The other control machines: where they are, which connections there are to them, and when to try
//! again.
//!
//! It owns the table and the rule of which connection carries what is sent. It promises that both
//! ends of a pair choose the same one, that a peer that is heard on no connection is dialled again
//! within half a second, and that addresses which nobody answers at are forgotten.

use super::program::{after, elapsed, sooner};
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use lichenswitch_net::ConnId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two tries to connect, at the least and at the most.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));
/// A connection that is not up after this time is tried anew: the opening packet may have been
/// lost, and is sent again only after a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection on which nothing came for so long is closed: each end speaks every
/// [`super::DIGEST_INTERVAL`].
pub(super) const SILENCE: Duration = Duration::from_millis(1_500);
/// An address that was not heard for so long is forgotten, unless a seed or a voter has it.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Most addresses that are known. Guards against talk of addresses that breeds more of them.
const MOST: usize = 64;

/// What the other end said of itself in its first message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Introduction {
    pub(super) node: String,
    pub(super) identity: u64,
    pub(super) eligible: bool,
}

/// One control machine.
#[derive(Debug)]
pub(super) struct Peer {
    /// The connection that was made to it, and since when.
    dialled: Option<(ConnId, Time)>,
    /// The one that it made.
    accepted: Option<ConnId>,
    /// Whether the first message has come on the dialled one.
    greeted: bool,
    /// What it said of itself last.
    pub(super) introduction: Option<Introduction>,
    /// When it was heard last, or became known.
    heard: Time,
    /// Whether it was ever heard.
    reached: bool,
    next_dial: Time,
    failures: u32,
    /// Whether it was in contact with a confirmed primary when it spoke last.
    pub(super) in_contact: bool,
    /// Routers that were connected to it then.
    pub(super) routers: u32,
    /// Its last answer to the word that the primary is confirmed.
    pub(super) stamp: Option<ProcessInstant>,
}

/// All control machines but this one.
pub(super) struct Peers {
    own: SocketAddr,
    /// Addresses that have turned out to be this machine.
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, seeds: Vec<SocketAddr>, now: Time) -> Peers {
        let mut peers = Peers {
            own,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
        };
        peers.on_seeds(seeds, now);
        peers
    }

    /// The settings name these.
    pub(super) fn on_seeds(&mut self, seeds: Vec<SocketAddr>, now: Time) {
        seeds.iter().for_each(|seed| self.learn(*seed, now));
        self.seeds = seeds;
    }

    /// An address that somebody named.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Time) {
        if address == self.own || address.port() == 0 || address.ip().is_unspecified() {
            return;
        }
        if self.peers.len() < MOST || self.peers.contains_key(&address) {
            self.peers.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// The same, as it comes in messages. What is no address is passed over.
    pub(super) fn learn_all(&mut self, addresses: &[String], now: Time) {
        addresses
            .iter()
            .filter_map(|text| text.parse().ok())
            .for_each(|address| self.learn(address, now));
    }

    pub(super) fn get(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Those that can be sent to.
    pub(super) fn connected(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.iter()
            .filter(|(address, peer)| peer.connection(self.own, *address).is_some())
    }

    /// The connection that carries what is sent to this one.
    pub(super) fn connection(&self, address: SocketAddr) -> Option<ConnId> {
        self.peers.get(&address)?.connection(self.own, address)
    }

    /// Peers that were heard lately, this machine not included.
    pub(super) fn known(&self) -> Vec<String> {
        self.iter()
            .filter(|(_, peer)| peer.reached)
            .map(|(address, _)| address.to_string())
            .collect()
    }

    /// Whom to connect to now.
    pub(super) fn due(&self, now: Time) -> Vec<SocketAddr> {
        let due = |(address, peer): &(SocketAddr, &Peer)| {
            peer.next_dial(self.own, *address)
                .is_some_and(|at| at <= now)
        };
        self.iter()
            .filter(due)
            .map(|(address, _)| address)
            .collect()
    }

    /// A try to connect has begun.
    pub(super) fn on_dial(&mut self, address: SocketAddr, id: ConnId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.dialled, peer.greeted) = (Some((id, now)), false);
        }
    }

    /// A try to connect could not even begin.
    pub(super) fn on_dial_failed(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.back_off(now);
        }
    }

    /// The first message on a connection has come. Tells which older connection of the same kind is
    /// to be closed.
    pub(super) fn on_hello(
        &mut self,
        address: SocketAddr,
        id: ConnId,
        introduction: Introduction,
        now: Time,
    ) -> Option<ConnId> {
        self.learn(address, now);
        let peer = self.peers.get_mut(&address)?;
        peer.introduction = Some(introduction);
        (peer.heard, peer.reached, peer.failures) = (now, true, 0);
        if peer.dialled.is_some_and(|dialled| dialled.0 == id) {
            peer.greeted = true;
            return None;
        }
        peer.accepted.replace(id).filter(|old| *old != id)
    }

    /// Something came from there.
    pub(super) fn on_heard(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.heard, peer.reached) = (now, true);
        }
    }

    /// A connection has gone.
    pub(super) fn on_closed(&mut self, address: SocketAddr, id: ConnId, now: Time) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if peer.accepted == Some(id) {
            peer.accepted = None;
        }
        if peer.dialled.is_some_and(|dialled| dialled.0 == id) {
            (peer.dialled, peer.greeted) = (None, false);
        }
        peer.back_off(now);
        if peer.dialled.is_none() && peer.accepted.is_none() {
            (peer.in_contact, peer.routers, peer.stamp) = (false, 0, None);
        }
    }

    /// The address is this machine's own, by another name.
    pub(super) fn forget(&mut self, address: SocketAddr) {
        self.peers.remove(&address);
        self.seeds.retain(|seed| *seed != address);
    }

    /// Forgets addresses that nobody answers at; tells which.
    pub(super) fn forget_dead(&mut self, voters: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        let dead = |(address, peer): &(SocketAddr, &Peer)| {
            let wanted = self.seeds.contains(address) || voters.contains(address);
            !wanted && peer.accepted.is_none() && elapsed(peer.heard, now) > FORGOTTEN
        };
        let dead: Vec<SocketAddr> = self
            .iter()
            .filter(dead)
            .map(|(address, _)| address)
            .collect();
        dead.iter()
            .for_each(|address| drop(self.peers.remove(address)));
        dead
    }

    /// When something is due by itself.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.iter()
            .filter_map(|(address, peer)| peer.next_dial(self.own, address))
            .fold(None, |a, b| sooner(a, Some(b)))
    }
}

impl Peer {
    fn new(now: Time) -> Peer {
        Peer {
            dialled: None,
            accepted: None,
            greeted: false,
            introduction: None,
            heard: now,
            reached: false,
            next_dial: now,
            failures: 0,
            in_contact: false,
            routers: 0,
            stamp: None,
        }
    }

    /// The connection of the pair that both ends send on: the one made by the smaller address,
    /// where it is up. A rule that is the same at both ends lets the other connection fall silent
    /// and be closed.
    fn connection(&self, own: SocketAddr, address: SocketAddr) -> Option<ConnId> {
        let dialled = self
            .dialled
            .filter(|_| self.greeted)
            .map(|dialled| dialled.0);
        match own < address {
            true => dialled.or(self.accepted),
            false => self.accepted.or(dialled),
        }
    }

    fn next_dial(&self, own: SocketAddr, address: SocketAddr) -> Option<Time> {
        let wanted = self.dialled.is_none() && self.connection(own, address).is_none();
        wanted.then_some(self.next_dial)
    }

    fn back_off(&mut self, now: Time) {
        let (least, most) = BACKOFF;
        let step = least.saturating_mul(1 << self.failures.min(4)).min(most);
        self.failures = self.failures.saturating_add(1);
        // Jitter, so that machines that lost each other at one moment don't meet at one moment for
        // ever.
        self.next_dial = after(now, step.mul_f64(0.5 + fastrand::f64() / 2.0));
    }

    /// When it was heard last; `None`: never.
    pub(super) fn heard(&self) -> Option<Time> {
        self.reached.then_some(self.heard)
    }
}

#[cfg(test)]
mod tests;
