//! The part that a machine has in the group of voters: from its start, later, or no more.

use super::group::{to_replica, Eligibility, Group};
use super::links::End;
use super::machine::Machine;
use super::program::{after, elapsed, Net};
use crate::settings::Settings;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use log::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// A disk that could not be read or prepared is tried again after this time.
pub(super) const DISK_PAUSE: Duration = Duration::from_secs(1);
/// A machine that may only stand in for those with a disk waits so long for one of them to show itself.
const STOPGAP_WAIT: Duration = Duration::from_secs(3);

/// The part of a machine that has just started. A disk that can't be used now does not end the process: it relays meanwhile.
pub(super) fn begin(settings: &Settings, address: SocketAddr, net: &mut Net, now: Time) -> Option<Group> {
    match Group::start(settings, address.to_string(), net, now) {
        Ok(group) => Some(group),
        Err(e) => {
            warn!(target: "control", error = e.to_string().as_str(); "the disk can't be used: this machine only relays for now");
            None
        }
    }
}

impl Machine {
    /// Takes part where that is due, and leaves the group to machines with a disk where this one only stood in for them.
    pub(super) fn look_at_own_part(&mut self, now: Time) {
        match (self.eligibility, &self.group) {
            (Eligibility::Durable, None) if self.next_try_at_disk <= now => self.take_part(now),
            (Eligibility::Stopgap, None) if self.is_needed_as_stopgap(now) => self.take_part(now),
            (Eligibility::Stopgap, Some(_)) => self.make_way(now),
            _ => {}
        }
    }

    /// A machine with a disk has shown itself: the state is its to hold, from now on and however long it is away. Guards against a vote
    /// for what ends with this process, in a group that has disks.
    pub(super) fn on_durable_peer(&mut self) {
        if self.eligibility == Eligibility::Stopgap && self.group.is_none() {
            self.eligibility = Eligibility::Relay;
        }
    }

    fn is_needed_as_stopgap(&self, now: Time) -> bool {
        elapsed(self.started, now) > STOPGAP_WAIT
    }

    fn take_part(&mut self, now: Time) {
        self.next_try_at_disk = after(now, DISK_PAUSE);
        if self.leaving.is_some() {
            return;
        }
        self.group = begin(&self.settings, self.address, &mut self.net, now);
        let Some(group) = &self.group else { return };
        self.identity = group.identity().0;
        self.renew_quotas();
        info!(target: "control", "takes part in the group");
        // Peers know this machine by the identity of its process: they are to hear that of its disk.
        let peers = |(_, end, _): &(ConnId, End, Time)| matches!(end, End::Peer(_));
        let links: Vec<ConnId> = self.links.iter().filter(peers).map(|(id, ..)| id).collect();
        links.into_iter().for_each(|id| self.close_link(id, "this machine has another identity now"));
    }

    /// A machine without a disk leaves once enough machines with one vote.
    fn make_way(&mut self, now: Time) {
        let (durable, voters) = (self.durable_peers(), self.voters());
        let enough = 2 * self.settings.fault_tolerance.machines + 1;
        let Some(group) = &mut self.group else { return };
        if group.replica.has_left() {
            info!(target: "control", "leaves the group to the machines with a disk");
            self.group = None;
            self.eligibility = Eligibility::Relay;
        } else if durable.iter().filter(|address| voters.contains(address)).count() >= enough {
            group.replica.leave(to_replica(now));
        }
    }

    /// Machines with a disk, or whose loss is counted, that are connected.
    pub(super) fn durable_peers(&self) -> Vec<SocketAddr> {
        let durable =
            self.peers.connected().filter(|(_, peer)| peer.introduction.as_ref().is_some_and(|i| i.eligible));
        durable.map(|(address, _)| address).collect()
    }
}
