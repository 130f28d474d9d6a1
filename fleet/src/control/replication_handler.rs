//! Handles messages to the replica, and its outputs.

use super::clock::to_replica_time;
use super::node::ControlNode;
use super::{replica_notices, status};
use lichenswitch_interface::Time;
use lichenswitch_messages::{Envelope, PeerMessage};
use lichenswitch_replication::{Body, Identity, Message, Output};
use log::warn;
use std::net::SocketAddr;

impl ControlNode {
    /// Handles the outputs of the replica. Returns whether there were any.
    pub(super) fn handle_replica_outputs(&mut self, now: Time) -> bool {
        let Some(group) = &mut self.group else {
            return false;
        };
        let outputs = group.take_outputs(now);
        let has_outputs = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_replication(&to, &message, now),
                Output::Completed { request, outcome } => {
                    if let Some(group) = &mut self.group {
                        let status = |replica: &_| status::group(replica, now).into_bytes();
                        let replica = &mut group.replica;
                        self.calls.on_request_completed(
                            to_replica_time(now),
                            request,
                            &outcome,
                            replica,
                            status,
                        );
                    }
                }
                Output::Notice(notice) => replica_notices::log(&notice),
                // Commits are applied later in the same iteration of the event loop. The group has
                // already submitted the writes.
                Output::Committed(_) | Output::Persist { .. } => {}
            }
        }
        has_outputs
    }

    /// Sends a message of the replica, if its receiver is connected.
    fn send_replication(&mut self, to: &str, message: &Message, now: Time) {
        let Ok(address) = to.parse() else { return };
        self.peers.learn(address, now);
        let Some(id) = self.peers.connection(address) else {
            return;
        };
        if matches!(message.body, Body::Append(_)) && !self.is_member_or_applicant(address, now) {
            return;
        }
        let envelope = Envelope::Peer(PeerMessage::Replication(message.encode()));
        // The replica repeats heartbeats and their responses, and sends records and snapshots again
        // after the next heartbeat. Only the messages that it does not repeat must not be dropped.
        match message.body {
            Body::TakeOver { .. } | Body::LeaveRequest | Body::LeaveResponse { .. } => {
                self.connections.send(&mut self.net, id, &envelope);
            }
            _ => self
                .connections
                .send_repeatable(&mut self.net, id, &envelope),
        }
    }

    /// Whether the machine at an address is a member, or has applied to become one.
    ///
    /// A voter that has lost its disk restarts at the same address with a new identity. If it
    /// received a heartbeat for the old identity, it would assume that it is a member and stop
    /// applying.
    fn is_member_or_applicant(&self, address: SocketAddr, now: Time) -> bool {
        let handshake = self
            .peers
            .get(address)
            .and_then(|peer| peer.handshake.as_ref());
        let (Some(handshake), Some(group)) = (handshake, &self.group) else {
            return false;
        };
        let identity = Identity(handshake.identity);
        let is_member = group.replica.membership().member(identity).is_some();
        is_member
            || group
                .replica
                .status(to_replica_time(now))
                .peers
                .iter()
                .any(|peer| peer.identity == identity)
    }

    /// Passes a message of another replica to the local one. Ignores a message whose sender does
    /// not match the handshake and the address of the connection.
    pub(super) fn on_replication(&mut self, from: SocketAddr, bytes: &[u8], now: Time) {
        let Some(group) = &mut self.group else { return };
        let message = match Message::decode(bytes) {
            Ok(message) => message,
            Err(e) => {
                return warn!(target: "control", error = e.to_string().as_str(); "replication message can't be decoded")
            }
        };
        let handshake = self
            .peers
            .get(from)
            .and_then(|peer| peer.handshake.as_ref());
        let is_sender = handshake.is_some_and(|peer| peer.identity == message.from.identity.0);
        if is_sender && message.from.address.parse() == Ok(from) {
            group.replica.on_message(to_replica_time(now), message);
        }
    }

    /// Passes the addresses of reached machines to the replica, which may apply there to join.
    pub(super) fn update_replica_addresses(&mut self) {
        if let Some(group) = &mut self.group {
            let known = self
                .peers
                .iter()
                .filter(|(_, peer)| peer.last_received_at().is_some());
            let known = known.map(|(address, _)| address.to_string()).collect();
            group.replica.add_peer_addresses(known);
        }
    }
}
