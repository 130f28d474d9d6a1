//! Handles messages of other control machines.

use super::clock::to_replica_time;
use super::internal_connections::RemoteRole;
use super::node::ControlNode;
use super::peer_table::PeerHandshake;
use super::rejections::ConnectionRejection;
use lichenswitch_control::Eligibility;
use lichenswitch_interface::Time;
use lichenswitch_messages::{Envelope, PeerMessage, ServerRecord, PROTOCOL_VERSION};
use lichenswitch_net::ConnId;
use log::info;
use std::net::SocketAddr;

impl ControlNode {
    /// Returns the handshake of this machine.
    pub(super) fn handshake(&self) -> PeerMessage {
        PeerMessage::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: self.settings.node_name.clone(),
            address: self.address.to_string(),
            identity: self.identity,
            eligible: self.group_membership.eligibility() == Eligibility::Durable,
            known_peers: self.peers.reached_addresses(),
        }
    }

    /// Handles the handshake of a control machine, and learns the addresses of the machines that it
    /// has reached. Sends the initial state on the first connection to that machine.
    pub(super) fn on_handshake(
        &mut self,
        id: ConnId,
        remote_role: RemoteRole,
        address: SocketAddr,
        handshake: PeerHandshake,
        known_peers: &[String],
        now: Time,
    ) -> Result<(), ConnectionRejection> {
        if handshake.identity == self.identity || address == self.address {
            if let RemoteRole::Peer(dialled) = remote_role {
                self.peers.forget(dialled);
            }
            return Err(ConnectionRejection::OwnAddress);
        }
        if let RemoteRole::Peer(dialled) = remote_role {
            if dialled != address {
                return Err(ConnectionRejection::OtherAddress { dialled, address });
            }
        }
        let was_connected = self.peers.connection(address).is_some();
        let node = handshake.node.clone();
        if handshake.is_eligible {
            self.group_membership
                .on_durable_peer_connected(self.group.is_some());
        }
        let replaced = self.peers.on_handshake(address, id, handshake, now);
        self.update_diskless_members();
        if remote_role == RemoteRole::Unknown {
            self.connections
                .set_remote_role(id, RemoteRole::Peer(address));
            let handshake = Envelope::Peer(self.handshake());
            self.connections.send(&mut self.net, id, &handshake);
        }
        if let Some(replaced) = replaced {
            self.close_connection(replaced, "replaced by a newer connection");
        }
        self.peers.learn_all(known_peers, now);
        if !was_connected {
            info!(target: "control", node = node.as_str(), address = address.to_string().as_str(); "peer connected");
            self.send_initial_state(id, now);
            self.update_replica_addresses();
        }
        Ok(())
    }

    /// Sends the initial state to a peer: the contact of this machine, its complete table of
    /// servers, and then the servers that are known only from its disk.
    fn send_initial_state(&mut self, id: ConnId, now: Time) {
        let contact = self.contact_message(now);
        self.send_to(id, contact);
        let table = self.complete_server_table(now);
        self.send_to(id, table);
        let cached = self.servers.cached();
        if !cached.is_empty() {
            self.send_to(id, PeerMessage::CachedServers(cached));
        }
    }

    fn complete_server_table(&self, now: Time) -> PeerMessage {
        PeerMessage::Servers {
            ack: 0,
            records: self.servers.snapshot(now),
            is_complete: true,
        }
    }

    /// Handles a message of a control machine whose handshake has arrived.
    pub(super) fn on_peer(&mut self, from: SocketAddr, message: PeerMessage, now: Time) {
        match message {
            // `on_envelope` passes handshakes to `on_handshake`.
            PeerMessage::Hello { .. } => {}
            PeerMessage::Replication(bytes) => self.on_replication(from, &bytes, now),
            PeerMessage::Call { id, call } => self.on_relayed_call(from, id, call, now),
            PeerMessage::CallResponse { id, response } => {
                self.calls
                    .on_response(to_replica_time(now), &from, id, response)
            }
            PeerMessage::Servers {
                ack,
                records,
                is_complete,
            } => self.on_server_records(from, ack, &records, is_complete, now),
            PeerMessage::CachedServers(records) => self.servers.on_cached_servers(now, &records),
            PeerMessage::ServersAck { ack } => {
                self.servers.on_ack(from, ack, self.is_in_contact(from))
            }
            PeerMessage::HeartbeatDigest(digest) => {
                if self.servers.on_heartbeat_digest(now, &digest) {
                    self.send_to_peer(from, PeerMessage::ServerTableRequest);
                }
            }
            PeerMessage::ServerTableRequest => {
                let table = self.complete_server_table(now);
                self.send_to_peer(from, table);
            }
            PeerMessage::Contact {
                in_contact,
                primary,
                connected_routers,
                known_peers,
            } => {
                if let Some(peer) = self.peers.get_mut(from) {
                    (peer.in_contact, peer.router_count) = (in_contact, connected_routers);
                }
                self.on_peer_contact(from, in_contact, primary.as_deref(), now);
                self.peers.learn_all(&known_peers, now);
            }
            PeerMessage::Confirmed { echo } => {
                let instant = self.primary_tracker.on_confirmed(now, echo);
                self.send_to_peer(from, PeerMessage::ConfirmedAck(instant));
            }
            PeerMessage::ConfirmedAck(instant) => self.on_confirmation_ack(now, from, instant),
            PeerMessage::Configuration { position, document } => {
                self.on_configuration(position, document)
            }
        }
    }

    /// Handles a report of a control machine about its contact with the group and its primary.
    fn on_peer_contact(
        &mut self,
        from: SocketAddr,
        in_contact: bool,
        primary: Option<&str>,
        now: Time,
    ) {
        let primary = primary.and_then(|address| address.parse().ok());
        self.primary_tracker
            .on_contact(now, from, in_contact, primary);
    }

    /// Handles records of servers from a control machine, which awaits an acknowledgement unless
    /// `ack` is 0.
    fn on_server_records(
        &mut self,
        from: SocketAddr,
        ack: u64,
        records: &[ServerRecord],
        is_complete: bool,
        now: Time,
    ) {
        let in_contact = self.is_in_contact(from);
        self.servers
            .on_records(now, records, is_complete, in_contact);
        if let Some(id) = self.peers.connection(from).filter(|_| ack != 0) {
            self.servers.on_ack_requested(now, id, ack, records);
        }
    }
}
