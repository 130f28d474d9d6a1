//! Replicates updates about model servers to other control machines and routers.

use super::clock::elapsed;
use super::group::Group;
use super::node::ControlNode;
use super::peer_table::Peer;
use super::pending_updates::{ReplicationOutcome, ReplicationTargets};
use super::responses::{heartbeat_acknowledged, heartbeat_rejected, HeartbeatRejection};
use lichenswitch_interface::Time;
use lichenswitch_messages::PeerMessage;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time for which a silent voter keeps its vote.
const VOTER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(5);

impl ControlNode {
    /// Sends updates about servers and due acknowledgements. Responds to the heartbeats whose
    /// updates have an outcome. Returns whether it has responded to any.
    pub(super) fn replicate_server_updates(&mut self, now: Time) -> bool {
        if self.servers.has_changes() {
            self.send_server_changes(now);
        }
        self.servers.advance(now);
        for (id, ack) in self.servers.take_acks(now) {
            self.send_to(id, PeerMessage::ServersAck { ack });
        }
        let outcomes = self.servers.take_outcomes();
        let has_responded = !outcomes.is_empty();
        for (caller, outcome) in outcomes {
            let response = match outcome {
                ReplicationOutcome::Replicated => heartbeat_acknowledged(),
                ReplicationOutcome::NotReplicated => {
                    heartbeat_rejected(HeartbeatRejection::NotReplicated)
                }
            };
            self.callers.respond(&mut self.net, caller, &response);
        }
        has_responded
    }

    fn send_server_changes(&mut self, now: Time) {
        let targets = self.replication_targets();
        let (changes, ack) = self.servers.take_changes(now, targets);
        let messages = self.routers.push_servers(&changes.records);
        self.send_to_routers(messages);
        // The machine that received an update from the server sends it to all others itself. Only
        // departures are relayed, in case that machine was cut off before it reached the others.
        let departures = self.servers.take_relayed_departures();
        let records = match ack {
            0 => departures,
            _ => changes.updates_for_peers().to_vec(),
        };
        if ack != 0 || !records.is_empty() {
            self.send_to_peers(&PeerMessage::Servers {
                ack,
                records,
                is_complete: false,
            });
        }
    }

    /// Returns the machines that an update is sent to now, and the acknowledgements that it
    /// requires.
    fn replication_targets(&self) -> ReplicationTargets {
        let notified: BTreeSet<SocketAddr> =
            self.peers.connected().map(|(address, _)| address).collect();
        let is_voter = self.group.as_ref().is_some_and(Group::is_voter);
        let voters: BTreeSet<SocketAddr> = self.voters().into_iter().collect();
        match is_voter {
            // This machine is the only voter, so an acknowledgement of any other machine counts.
            true if voters.len() < 2 => ReplicationTargets::any_of(notified),
            true => ReplicationTargets {
                counted: &notified & &voters,
                required: voters.len() / 2,
                notified,
            },
            // A machine without a vote does not know the voters. It requires a majority of the
            // machines with a disk instead, including those that were connected recently.
            false => match self.recent_durable_peer_count() {
                0 => ReplicationTargets::any_of(notified),
                known => ReplicationTargets {
                    required: known / 2 + 1,
                    counted: self.durable_peers().into_iter().collect(),
                    notified,
                },
            },
        }
    }

    /// Returns the number of machines with a disk from which a message has arrived recently. They
    /// may still be voters.
    fn recent_durable_peer_count(&self) -> usize {
        let now = self.net.clock.now();
        let is_recent = |peer: &Peer| {
            peer.last_received_at()
                .is_some_and(|received_at| elapsed(received_at, now) < VOTER_REMOVAL_TIMEOUT)
        };
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_eligible() && is_recent(peer))
            .count()
    }
}
