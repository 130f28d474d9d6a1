//! The part that a machine has in the group of voters, as it takes it and gives it up; what it has
//! is decided by [`lichenswitch_control::GroupMembership`].

use super::group::{to_replica, Group};
use super::links::End;
use super::machine::Machine;
use super::program::{after, Net};
use super::Environment;
use crate::settings::Settings;
use lichenswitch_control::{Eligibility, GroupView, MembershipAction};
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use lichenswitch_replication::Identity;
use log::{info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A disk that could not be read or prepared is tried again after this time.
pub(super) const DISK_PAUSE: Duration = Duration::from_secs(1);

/// The part of a machine that has just started. A disk that can't be used now does not end the
/// process: it relays meanwhile.
pub(super) fn begin(
    settings: &Settings,
    environment: &Environment,
    address: SocketAddr,
    net: &mut Net,
    now: Time,
) -> Option<Group> {
    match Group::start(settings, environment, address.to_string(), net, now) {
        Ok(group) => Some(group),
        Err(e) => {
            warn!(target: "control", error = e.to_string().as_str(); "the disk can't be used: this machine only relays for now");
            None
        }
    }
}

impl Machine {
    /// Takes part where that is due, and leaves the group to machines with a disk where this one
    /// only stood in for them.
    pub(super) fn look_at_own_part(&mut self, now: Time) {
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
        match self.own_part.next_action(to_replica(now), view) {
            Some(MembershipAction::Join) if self.next_try_at_disk <= now => self.take_part(now),
            Some(MembershipAction::Leave) => {
                if let Some(group) = &mut self.group {
                    group.replica.leave(to_replica(now));
                }
            }
            Some(MembershipAction::BecomeRelay) => {
                info!(target: "control", "leaves the group to the machines with a disk");
                self.group = None;
            }
            Some(MembershipAction::Join) | None => {}
        }
    }

    fn take_part(&mut self, now: Time) {
        self.next_try_at_disk = after(now, DISK_PAUSE);
        if self.leaving.is_some() {
            return;
        }
        self.group = begin(
            &self.settings,
            &self.environment,
            self.address,
            &mut self.net,
            now,
        );
        let Some(group) = &self.group else { return };
        self.identity = group.identity().0;
        self.renew_quotas();
        self.tell_who_lacks_a_disk();
        info!(target: "control", "takes part in the group");
        // Peers know this machine by the identity of its process: they are to hear that of its
        // disk.
        let peers = |(_, end, _): &(ConnId, End, Time)| matches!(end, End::Peer(_));
        let links: Vec<ConnId> = self.links.iter().filter(peers).map(|(id, ..)| id).collect();
        links
            .into_iter()
            .for_each(|id| self.close_link(id, "this machine has another identity now"));
    }

    /// Tells the replica which members have no disk, as far as they have said who they are.
    pub(super) fn tell_who_lacks_a_disk(&mut self) {
        let Some(group) = &mut self.group else { return };
        let introduced = self
            .peers
            .iter()
            .filter_map(|(_, peer)| peer.introduction.as_ref());
        let lacking = introduced.filter(|introduction| !introduction.eligible);
        let mut without_disk: BTreeSet<Identity> = lacking
            .map(|introduction| Identity(introduction.identity))
            .collect();
        if self.own_part.eligibility() != Eligibility::Durable {
            without_disk.insert(group.identity());
        }
        group.replica.set_diskless_members(without_disk);
    }

    /// Machines with a disk, or whose loss is counted, that are connected.
    pub(super) fn durable_peers(&self) -> Vec<SocketAddr> {
        let durable = self
            .peers
            .connected()
            .filter(|(_, peer)| peer.introduction.as_ref().is_some_and(|i| i.eligible));
        durable.map(|(address, _)| address).collect()
    }
}
