//! Joining and leaving the group of voters, as [`lichenswitch_control::GroupMembership`] decides.

use super::clock::{after, to_replica_time};
use super::group::{Group, DISK_RETRY_DELAY};
use super::internal_connections::RemoteRole;
use super::node::ControlNode;
use lichenswitch_control::{Eligibility, GroupView, MembershipAction};
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use lichenswitch_replication::Identity;
use log::info;
use std::collections::BTreeSet;

impl ControlNode {
    /// Joins the group when that is due. A temporary member leaves the group once machines with a
    /// disk can replace it.
    pub(super) fn update_group_membership(&mut self, now: Time) {
        let (durable, voters) = (self.durable_peers(), self.voters());
        let durable_voters = durable
            .iter()
            .filter(|address| voters.contains(address))
            .count();
        let has_left = self
            .group
            .as_ref()
            .is_some_and(|group| group.replica.has_left());
        let view = GroupView {
            is_member: self.group.is_some(),
            has_left,
            durable_voters,
        };
        match self
            .group_membership
            .next_action(to_replica_time(now), view)
        {
            Some(MembershipAction::Join) if self.next_disk_attempt_at <= now => {
                self.join_group(now)
            }
            Some(MembershipAction::Leave) => {
                if let Some(group) = &mut self.group {
                    group.replica.leave(to_replica_time(now));
                }
            }
            Some(MembershipAction::BecomeRelay) => {
                info!(target: "control", "left the group to the machines with a disk");
                self.group = None;
            }
            Some(MembershipAction::Join) | None => {}
        }
    }

    /// Joins the group, unless the disk can't be used yet.
    fn join_group(&mut self, now: Time) {
        self.next_disk_attempt_at = after(now, DISK_RETRY_DELAY);
        if self.shutdown_started_at.is_some() {
            return;
        }
        self.group = Group::open(
            &self.settings,
            &self.environment,
            self.address,
            &mut self.net,
            now,
        );
        let Some(group) = &self.group else { return };
        self.identity = group.identity().0;
        self.reset_quotas();
        self.update_diskless_members();
        info!(target: "control", "joined the group");
        // Peers know this machine by the identity of its process. Reconnecting makes it send a new
        // handshake with the identity of its disk.
        let connections: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|connection| matches!(connection.remote_role, RemoteRole::Peer(_)))
            .map(|connection| connection.id)
            .collect();
        connections
            .into_iter()
            .for_each(|id| self.close_connection(id, "the identity of this machine has changed"));
    }

    /// Tells the replica which machines have no disk, as far as their handshakes have arrived.
    pub(super) fn update_diskless_members(&mut self) {
        let Some(group) = &mut self.group else { return };
        let handshakes = self
            .peers
            .iter()
            .filter_map(|(_, peer)| peer.handshake.as_ref());
        let diskless = handshakes.filter(|handshake| !handshake.is_eligible);
        let mut diskless_members: BTreeSet<Identity> = diskless
            .map(|handshake| Identity(handshake.identity))
            .collect();
        if self.group_membership.eligibility() != Eligibility::Durable {
            diskless_members.insert(group.identity());
        }
        group.replica.set_diskless_members(diskless_members);
    }
}
