//! Opens, reads and closes the connections between processes of the fleet.

use super::backlogs::BacklogSource;
use super::clock::elapsed;
use super::internal_connections::{ConnectionInfo, RemoteRole};
use super::net_program::Owner;
use super::node::ControlNode;
use super::peer_table::{PeerHandshake, CONNECT_TIMEOUT, PEER_IDLE_TIMEOUT};
use super::rejections::{check_protocol, ConnectionRejection};
use crate::envelopes::Incoming;
use lichenswitch_interface::Time;
use lichenswitch_messages::{Envelope, PeerMessage};
use lichenswitch_net::ConnId;
use log::info;
use std::net::SocketAddr;

impl ControlNode {
    /// Opens a connection to a peer.
    pub(super) fn dial(&mut self, address: SocketAddr, now: Time) {
        match self
            .net
            .connect(Owner::Dialled, self.settings.reachable_address(address))
        {
            Ok(id) => {
                self.connections.insert(id, RemoteRole::Peer(address), now);
                self.peers.on_dial_started(address, id, now);
                self.on_connection_ready(id);
            }
            Err(_) => self.peers.on_dial_failed(address, now),
        }
    }

    /// Handles a connection that can be read or written: processes its messages, and closes it on
    /// an error.
    pub(super) fn on_connection_ready(&mut self, id: ConnId) {
        let now = self.net.clock.now();
        let events = self.connections.process_ready(&mut self.net, id);
        if events.has_connected {
            self.on_connected(id);
        }
        for message in events.messages {
            match message {
                Incoming::Tenant(message) => self.on_tenant_message(id, message, now),
                Incoming::Backlog(report) => self.on_backlog_report(id, &report),
                Incoming::Envelope(envelope) => {
                    if let Err(reason) = self.on_envelope(id, envelope, now) {
                        return self.close_connection(id, &reason.to_string());
                    }
                }
            }
        }
        if let Some(reason) = events.close_reason {
            self.close_connection(id, &reason.to_string());
        }
    }

    /// Sends the handshake of this machine on a dialled connection that is established.
    fn on_connected(&mut self, id: ConnId) {
        if matches!(self.connections.remote_role(id), Some(RemoteRole::Peer(_))) {
            let handshake = Envelope::Peer(self.handshake());
            self.connections.send(&mut self.net, id, &handshake);
        }
    }

    fn on_envelope(
        &mut self,
        id: ConnId,
        envelope: Envelope,
        now: Time,
    ) -> Result<(), ConnectionRejection> {
        match (envelope, self.connections.remote_role(id)) {
            (
                Envelope::Peer(PeerMessage::Hello {
                    protocol_version,
                    node_name: node,
                    address,
                    identity,
                    eligible,
                    known_peers,
                }),
                Some(remote_role),
            ) => {
                check_protocol(protocol_version, &node)?;
                let Ok(address) = address.parse() else {
                    return Err(ConnectionRejection::InvalidAddress { node, address });
                };
                self.on_handshake(
                    id,
                    remote_role,
                    address,
                    PeerHandshake {
                        node,
                        identity,
                        is_eligible: eligible,
                    },
                    &known_peers,
                    now,
                )
            }
            (Envelope::Peer(message), Some(RemoteRole::Peer(address))) => {
                self.peers.on_message_received(address, now);
                self.on_peer(address, message, now);
                Ok(())
            }
            (Envelope::FromRouter(message), Some(RemoteRole::Unknown | RemoteRole::Router)) => {
                self.on_router(id, message, now)
            }
            _ => Err(ConnectionRejection::UnexpectedMessage),
        }
    }

    /// Sends a message to the control machine at the other end of a connection.
    pub(super) fn send_to(&mut self, id: ConnId, message: PeerMessage) {
        self.connections
            .send(&mut self.net, id, &Envelope::Peer(message));
    }

    /// Sends a message to a control machine, if it is connected.
    pub(super) fn send_to_peer(&mut self, address: SocketAddr, message: PeerMessage) {
        if let Some(id) = self.peers.connection(address) {
            self.send_to(id, message);
        }
    }

    /// Sends a message to all connected control machines.
    pub(super) fn send_to_peers(&mut self, message: &PeerMessage) {
        let connections: Vec<ConnId> = self
            .peers
            .connected()
            .filter_map(|(address, _)| self.peers.connection(address))
            .collect();
        if connections.is_empty() {
            return;
        }
        self.connections.send_to_all(
            &mut self.net,
            &connections,
            &Envelope::Peer(message.clone()),
        );
    }

    /// Closes connections that have been idle for too long, or were not established in time.
    pub(super) fn close_idle_connections(&mut self, now: Time) {
        let net = &self.net;
        let is_idle = |connection: &ConnectionInfo| {
            let Some(conn) = net.get(connection.id) else {
                return true;
            };
            match connection.remote_role {
                _ if !conn.up => elapsed(connection.opened_at, now) > CONNECT_TIMEOUT,
                // Routers send few messages. The TCP user timeout detects a failed one.
                RemoteRole::Router => false,
                RemoteRole::Peer(_) | RemoteRole::Unknown => {
                    elapsed(conn.last_read_at, now) > PEER_IDLE_TIMEOUT
                }
            }
        };
        let idle: Vec<ConnId> = self
            .connections
            .iter()
            .filter(is_idle)
            .map(|connection| connection.id)
            .collect();
        idle.into_iter()
            .for_each(|id| self.close_connection(id, "idle timeout expired"));
    }

    /// Removes peers that have been unreachable for too long.
    pub(super) fn forget_unreachable_peers(&mut self, now: Time) {
        let voters = self.voters();
        for address in self.peers.forget_unreachable(&voters, now) {
            info!(target: "control", address = address.to_string().as_str(); "peer forgotten");
        }
    }

    /// Closes a connection, and notifies the modules that used it. The reason is logged if the peer
    /// has no other connection.
    pub(super) fn close_connection(&mut self, id: ConnId, reason: &str) {
        let now = self.net.clock.now();
        match self.connections.close(&mut self.net, id) {
            Some(RemoteRole::Peer(address)) => {
                let was_connected = self.peers.connection(address).is_some();
                self.peers.on_closed(address, id, now);
                if was_connected && self.peers.connection(address).is_none() {
                    info!(target: "control", address = address.to_string().as_str(), reason = reason; "peer disconnected");
                    self.calls.on_peer_disconnected(&address);
                    self.servers.on_peer_disconnected(address);
                    self.on_owner_disconnected(address, now);
                    self.backlogs.on_disconnected(BacklogSource::Peer(address));
                }
            }
            Some(RemoteRole::Router) => {
                self.routers.on_closed(id);
                self.backlogs.on_disconnected(BacklogSource::Router(id));
            }
            Some(RemoteRole::Unknown) | None => {}
        }
    }
}
