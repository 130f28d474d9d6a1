//! What this machine tells of itself and of what is committed: to routers, to other control
//! machines, and to those without a copy.

use super::calls::PrimaryLocation;
use super::group::{to_replica, Group};
use super::machine::Machine;
use super::on_call::{beat_acknowledged, beat_refused, BeatRefusal};
use super::peers::Peer;
use super::program::elapsed;
use super::routers::Push;
use super::servers::Audience;
use lichenswitch_control::{configuration_position, CommittedConfiguration};
use lichenswitch_interface::Time;
use lichenswitch_messages::{ControlToRouter, Envelope, PeerMessage, ProcessInstant};
use lichenswitch_net::ConnId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A voter that is silent keeps its vote for so long: it is removed after that at the earliest.
const VOTE_KEPT: Duration = Duration::from_secs(5);

/// What others were told last.
#[derive(Default)]
pub(super) struct Told {
    in_contact: bool,
    /// Machines without a copy: the version that was sent to each, and on which connection.
    relays: BTreeMap<SocketAddr, (ConnId, u64)>,
}

impl Machine {
    /// Whether what is told here is in touch with a quorum, and current.
    pub(super) fn in_contact(&self, now: Time) -> bool {
        let voter = self.group.as_ref().filter(|group| group.votes());
        let voter_is_current = voter.map(|group| group.replica.is_current(to_replica(now)));
        self.leaving.is_none() && is_told_of_contact(voter_is_current, self.feed.is_in_contact(now))
    }

    /// Tells at once that contact was lost or found.
    pub(super) fn look_at_contact(&mut self, now: Time) {
        let in_contact = self.in_contact(now);
        if std::mem::replace(&mut self.told.in_contact, in_contact) == in_contact {
            return;
        }
        log::info!(target: "control", in_contact = in_contact; "contact has changed");
        self.tell_routers(now);
        self.tell_peers(now);
    }

    /// Takes in what has been committed, and pushes it.
    pub(super) fn look_at_committed(&mut self, now: Time) {
        let Some(newest) = self.newest_committed() else {
            return;
        };
        log::info!(target: "control", version = newest.version; "configuration is committed");
        let pushes = self.routers.push_configuration(&newest);
        self.committed = Some(newest);
        self.tell_buckets_of_tenants();
        self.push_all(pushes);
        self.feed_relays(now);
    }

    /// What is committed and newer than what was pushed.
    fn newest_committed(&self) -> Option<CommittedConfiguration> {
        let known = self.committed.as_ref().map_or(0, |known| known.version);
        if let Some((position, state)) = self
            .group
            .as_ref()
            .and_then(|group| group.replica.committed())
        {
            if let Some(document) = state
                .0
                .document()
                .filter(|document| document.version() > known)
            {
                let (position, version) = (configuration_position(position), document.version());
                return Some(CommittedConfiguration {
                    position,
                    version,
                    document: document.to_json().into(),
                });
            }
        }
        self.feed
            .committed()
            .filter(|fed| fed.version > known)
            .cloned()
    }

    pub(super) fn push_all(&mut self, pushes: Vec<Push>) {
        for (id, message) in pushes {
            self.links
                .send(&mut self.net, id, &Envelope::ToRouter(message));
        }
    }

    /// A heartbeat to all routers.
    pub(super) fn tell_routers(&mut self, now: Time) {
        let connections = self.routers.connections();
        if connections.is_empty() {
            return;
        }
        if let Ok(bytes) = crate::envelopes::encode(&Envelope::ToRouter(self.router_heartbeat(now)))
        {
            connections
                .into_iter()
                .for_each(|id| self.links.send_bytes(&mut self.net, id, &bytes));
        }
    }

    pub(super) fn router_heartbeat(&self, now: Time) -> ControlToRouter {
        ControlToRouter::Heartbeat {
            in_contact: self.in_contact(now),
            control_addresses: self.control_machines(),
            router_count: self.routers_of_fleet(),
        }
    }

    /// Routers that are members here and at the other control machines.
    pub(super) fn routers_of_fleet(&self) -> u32 {
        let elsewhere: u32 = self.peers.connected().map(|(_, peer)| peer.routers).sum();
        elsewhere.saturating_add(u32::try_from(self.routers.count()).unwrap_or(u32::MAX))
    }

    /// Control machines that can be connected to: those in contact first, and voters before the
    /// others.
    fn control_machines(&self) -> Vec<String> {
        let voters: BTreeSet<SocketAddr> = self.voters().into_iter().collect();
        let rank = |address: &SocketAddr, in_contact: bool| {
            (!in_contact, !voters.contains(address), *address)
        };
        let mut ranked: Vec<_> = self
            .peers
            .connected()
            .map(|(address, peer)| rank(&address, peer.in_contact))
            .collect();
        if self.leaving.is_none() {
            ranked.push(rank(&self.address, self.told.in_contact));
        }
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|(.., address)| address.to_string())
            .collect()
    }

    /// What this machine knows of its own place.
    pub(super) fn contact_message(&self, now: Time) -> PeerMessage {
        let primary = match self.primary(now) {
            PrimaryLocation::Local => Some(self.address),
            PrimaryLocation::Remote(address) => Some(address),
            PrimaryLocation::Unknown => None,
        };
        PeerMessage::Contact {
            in_contact: self.in_contact(now),
            primary: primary.map(|address| address.to_string()),
            connected_routers: u32::try_from(self.routers.count()).unwrap_or(u32::MAX),
            known_peers: self.peers.known(),
        }
    }

    /// The word to all other control machines that is due now and then: place, and who was heard.
    pub(super) fn digest(&mut self, now: Time) {
        self.tell_peers(now);
        let heard = self.servers.take_digest(now);
        if !heard.is_empty() {
            self.send_to_peers(&PeerMessage::HeartbeatDigest(heard));
        }
        self.name_peers();
    }

    /// Tells the replica where it may ask to be let in.
    pub(super) fn name_peers(&mut self) {
        if let Some(group) = &mut self.group {
            let known = self.peers.iter().filter(|(_, peer)| peer.heard().is_some());
            let known = known.map(|(address, _)| address.to_string()).collect();
            group.replica.add_peer_addresses(known);
        }
    }

    pub(super) fn tell_peers(&mut self, now: Time) {
        let message = self.contact_message(now);
        self.send_to_peers(&message);
    }

    /// A message to all that are connected.
    pub(super) fn send_to_peers(&mut self, message: &PeerMessage) {
        let connections: Vec<ConnId> = self
            .peers
            .connected()
            .filter_map(|(address, _)| self.peers.connection(address))
            .collect();
        if connections.is_empty() {
            return;
        }
        if let Ok(bytes) = crate::envelopes::encode(&Envelope::Peer(message.clone())) {
            connections
                .into_iter()
                .for_each(|id| self.links.send_bytes(&mut self.net, id, &bytes));
        }
    }

    /// Machines that hold no copy of the state, and can be sent to.
    fn relays(&self) -> Vec<(SocketAddr, ConnId)> {
        let voters = self.voters();
        let others = self
            .peers
            .connected()
            .filter(|(address, _)| !voters.contains(address));
        others
            .filter_map(|(address, _)| Some((address, self.peers.connection(address)?)))
            .collect()
    }

    /// A primary in contact tells machines without a copy what is committed, and behind that that
    /// it is confirmed.
    pub(super) fn tell_relays(&mut self, now: Time) {
        if self.primary(now) != PrimaryLocation::Local || !self.in_contact(now) {
            return;
        }
        self.feed_relays(now);
        let message = Envelope::Peer(self.contact_message(now));
        for (address, id) in self.relays() {
            let echo = self.peers.get(address).and_then(|peer| peer.stamp);
            self.links.send(&mut self.net, id, &message);
            self.links.send(
                &mut self.net,
                id,
                &Envelope::Peer(PeerMessage::Confirmed { echo }),
            );
        }
    }

    /// A machine without a copy has answered [`PeerMessage::Confirmed`].
    pub(super) fn on_confirmed_heard(
        &mut self,
        now: Time,
        from: SocketAddr,
        stamp: ProcessInstant,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if peer.stamp.replace(stamp).is_none() {
            // It is in contact with the next word: it needn't wait for that.
            self.tell_relays(now);
        }
    }

    /// The primary sends what is committed to those that lack it.
    pub(super) fn feed_relays(&mut self, now: Time) {
        let Some(committed) = self
            .committed
            .clone()
            .filter(|_| self.primary(now) == PrimaryLocation::Local)
        else {
            return;
        };
        for (address, id) in self.relays() {
            if self.told.relays.get(&address) != Some(&(id, committed.version)) {
                self.told.relays.insert(address, (id, committed.version));
                let (position, document) = (committed.position, committed.document.to_vec());
                let message = Envelope::Peer(PeerMessage::Configuration { position, document });
                self.links.send(&mut self.net, id, &message);
            }
        }
    }

    /// Who is told of servers now.
    fn audience(&self) -> Audience {
        let told: BTreeSet<SocketAddr> =
            self.peers.connected().map(|(address, _)| address).collect();
        let votes = self.group.as_ref().is_some_and(Group::votes);
        let voters: BTreeSet<SocketAddr> = self.voters().into_iter().collect();
        match votes {
            // The sole voter: whoever else there is holds them too.
            true if voters.len() < 2 => Audience {
                needed: told.len().min(1),
                counted: told.clone(),
                told,
            },
            true => Audience {
                counted: &told & &voters,
                needed: voters.len() / 2,
                told,
            },
            // Who has no vote knows no voters: it goes by the machines with a disk, those that were
            // heard lately too.
            false => match self.durable_peers_heard_lately() {
                0 => Audience {
                    needed: told.len().min(1),
                    counted: told.clone(),
                    told,
                },
                known => Audience {
                    needed: known / 2 + 1,
                    counted: self.durable_peers().into_iter().collect(),
                    told,
                },
            },
        }
    }

    /// Machines with a disk that are connected, or were not long ago: they may vote still.
    fn durable_peers_heard_lately(&self) -> usize {
        let now = self.net.clock.now();
        let lately = |peer: &Peer| {
            peer.heard()
                .is_some_and(|heard| elapsed(heard, now) < VOTE_KEPT)
        };
        let durable = |peer: &Peer| {
            peer.introduction
                .as_ref()
                .is_some_and(|introduction| introduction.eligible)
        };
        self.peers
            .iter()
            .filter(|(_, peer)| durable(peer) && lately(peer))
            .count()
    }

    /// Tells what is new of servers, and answers the beats that brought it.
    pub(super) fn tell_servers(&mut self, now: Time) -> bool {
        if self.servers.has_changes() {
            let audience = self.audience();
            let (changes, ack) = self.servers.take_changes(now, audience);
            let pushes = self.routers.push_servers(&changes.records);
            self.push_all(pushes);
            // What came from another control machine was told to all by that one; that a server
            // leaves is told once more, in case it was cut off meanwhile.
            let (records, hearsay) = (
                changes.updates_for_peers().to_vec(),
                self.servers.take_hearsay(),
            );
            if ack != 0 {
                self.send_to_peers(&PeerMessage::Servers {
                    ack,
                    records,
                    is_complete: false,
                });
            } else if !hearsay.is_empty() {
                self.send_to_peers(&PeerMessage::Servers {
                    ack,
                    records: hearsay,
                    is_complete: false,
                });
            }
        }
        self.servers.settle(now);
        for (id, ack) in self.servers.take_confirmations(now) {
            self.send_to(id, PeerMessage::ServersAck { ack });
        }
        let answers = self.servers.take_answers();
        let busy = !answers.is_empty();
        for (caller, held) in answers {
            let response = match held {
                true => beat_acknowledged(),
                false => beat_refused(BeatRefusal::NotReplicated),
            };
            self.callers.answer(&mut self.net, caller, response);
        }
        busy
    }
}

/// Whether contact is given here: at a voter (`None`: this is none) by its replica alone, elsewhere
/// by what the primary tells relays. A voter that is behind hears that word too, and is not in
/// contact by it.
fn is_told_of_contact(voter_is_current: Option<bool>, relay_in_contact: bool) -> bool {
    voter_is_current.unwrap_or(relay_in_contact)
}

#[cfg(test)]
mod tests;
