//! Determines contact with the group, and reports it to other control machines and to routers.

use super::call_types::PrimaryLocation;
use super::clock::to_replica_time;
use super::node::ControlNode;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ControlToRouter, Envelope, PeerMessage, ProcessInstant};
use lichenswitch_net::ConnId;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl ControlNode {
    /// Whether this machine is in contact with a quorum and its state is current. False during a
    /// shutdown.
    pub(super) fn in_contact(&self, now: Time) -> bool {
        let voter = self.group.as_ref().filter(|group| group.is_voter());
        let voter_is_current = voter.map(|group| group.replica.is_current(to_replica_time(now)));
        self.shutdown_started_at.is_none()
            && has_contact(voter_is_current, self.primary_tracker.is_in_contact(now))
    }

    /// Reports a loss or a return of contact to routers and peers at once.
    pub(super) fn update_contact(&mut self, now: Time) {
        let in_contact = self.in_contact(now);
        if std::mem::replace(&mut self.last_notified.in_contact, in_contact) == in_contact {
            return;
        }
        log::info!(target: "control", in_contact = in_contact; "contact changed");
        self.send_router_heartbeats(now);
        self.send_contact_to_peers(now);
    }

    /// Sends a heartbeat to all routers.
    pub(super) fn send_router_heartbeats(&mut self, now: Time) {
        let connections = self.routers.connections();
        if connections.is_empty() {
            return;
        }
        let heartbeat = Envelope::ToRouter(self.router_heartbeat(now));
        self.connections
            .send_to_all(&mut self.net, &connections, &heartbeat);
    }

    /// Returns the heartbeat for routers.
    pub(super) fn router_heartbeat(&self, now: Time) -> ControlToRouter {
        ControlToRouter::Heartbeat {
            in_contact: self.in_contact(now),
            control_addresses: self.control_machines(),
            router_count: self.routers_of_fleet(),
        }
    }

    /// Returns the number of routers of this machine and of the connected control machines.
    pub(super) fn routers_of_fleet(&self) -> u32 {
        let remote_count: u32 = self
            .peers
            .connected()
            .map(|(_, peer)| peer.router_count)
            .sum();
        remote_count.saturating_add(u32::try_from(self.routers.count()).unwrap_or(u32::MAX))
    }

    /// Returns the addresses of reachable control machines. Machines in contact come first, and
    /// among these voters come before others.
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
        if self.shutdown_started_at.is_none() {
            ranked.push(rank(&self.address, self.last_notified.in_contact));
        }
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|(.., address)| address.to_string())
            .collect()
    }

    /// Returns this machine's report about its contact, the primary, its routers and its peers.
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
            known_peers: self.peers.reached_addresses(),
        }
    }

    /// Sends the periodic digest to all other control machines: this machine's contact, and the
    /// ages of the server heartbeats that it has received.
    pub(super) fn send_digest(&mut self, now: Time) {
        self.send_contact_to_peers(now);
        let digest = self.servers.take_heartbeat_digest(now);
        if !digest.is_empty() {
            self.send_to_peers(&PeerMessage::HeartbeatDigest(digest));
        }
        self.update_replica_addresses();
    }

    fn send_contact_to_peers(&mut self, now: Time) {
        let message = self.contact_message(now);
        self.send_to_peers(&message);
    }

    /// Returns the connected machines that are not voters, with their connections.
    pub(super) fn relays(&self) -> Vec<(SocketAddr, ConnId)> {
        let voters = self.voters();
        let others = self
            .peers
            .connected()
            .filter(|(address, _)| !voters.contains(address));
        others
            .filter_map(|(address, _)| Some((address, self.peers.connection(address)?)))
            .collect()
    }

    /// Sends the committed configuration to relays, and then the confirmation that it is current.
    /// Does nothing unless this machine is the primary and in contact.
    pub(super) fn send_confirmation_to_relays(&mut self, now: Time) {
        if self.primary(now) != PrimaryLocation::Local || !self.in_contact(now) {
            return;
        }
        self.send_configuration_to_relays(now);
        let message = Envelope::Peer(self.contact_message(now));
        for (address, id) in self.relays() {
            let echo = self
                .peers
                .get(address)
                .and_then(|peer| peer.confirmation_ack);
            self.connections.send(&mut self.net, id, &message);
            self.connections.send(
                &mut self.net,
                id,
                &Envelope::Peer(PeerMessage::Confirmed { echo }),
            );
        }
    }

    /// Handles a relay's acknowledgement of [`PeerMessage::Confirmed`].
    pub(super) fn on_confirmation_ack(
        &mut self,
        now: Time,
        from: SocketAddr,
        instant: ProcessInstant,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if peer.confirmation_ack.replace(instant).is_none() {
            // After its first acknowledgement, the relay gains contact with the next confirmation.
            // Sends that at once.
            self.send_confirmation_to_relays(now);
        }
    }
}

/// Whether a machine is in contact. For a voter, only its replica decides. For another machine
/// (`None`), the primary's confirmations decide. A voter that lags receives confirmations too, but
/// they don't put it in contact.
fn has_contact(voter_is_current: Option<bool>, relay_in_contact: bool) -> bool {
    voter_is_current.unwrap_or(relay_in_contact)
}

#[cfg(test)]
mod tests;
