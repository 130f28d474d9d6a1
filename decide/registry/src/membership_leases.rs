//! Leases of routers. A router is a member while its lease has not expired.

use lichenswitch_interface::{Micros, Time};
use std::collections::BTreeMap;

/// A router process that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Random number that identifies the process for its lifetime. It is not the operating system's
    /// process id.
    pub process: u64,
    /// Name of the node that runs the process, from the setting `nodeName`.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// When the process joined.
    pub joined_at: Time,
    /// When the process last renewed its lease. The lease duration counts from here.
    pub renewed_at: Time,
}

/// The members and their leases, ordered by process number.
#[derive(Clone, Debug)]
pub struct MembershipLeases {
    lease_duration: Micros,
    by_process: BTreeMap<u64, Member>,
}

impl MembershipLeases {
    /// Creates an empty set of members whose leases last for `lease_duration`.
    #[must_use]
    pub fn new(lease_duration: Micros) -> MembershipLeases {
        MembershipLeases {
            lease_duration,
            by_process: BTreeMap::new(),
        }
    }

    /// Handles a process that joins or renews its lease, and returns whether it has joined. A new
    /// process replaces an earlier process of the same node at once, because a node runs one
    /// process.
    pub fn on_renewal(&mut self, now: Time, process: u64, node: &str, zone: &str) -> bool {
        if let Some(member) = self.by_process.get_mut(&process) {
            member.renewed_at = member.renewed_at.max(now);
            return false;
        }
        self.by_process.retain(|_, member| member.node != node);
        let member = Member {
            process,
            node: node.to_owned(),
            zone: zone.to_owned(),
            joined_at: now,
            renewed_at: now,
        };
        self.by_process.insert(process, member);
        true
    }

    /// Removes a process that has left, and returns whether it was a member.
    pub fn on_leave(&mut self, process: u64) -> bool {
        self.by_process.remove(&process).is_some()
    }

    /// Removes and returns the members whose lease has expired.
    pub fn tick(&mut self, now: Time) -> Vec<Member> {
        let lease_duration = self.lease_duration;
        let expired: Vec<u64> = self
            .by_process
            .values()
            .filter(|member| expires_at(member, lease_duration) <= now)
            .map(|member| member.process)
            .collect();
        expired
            .iter()
            .filter_map(|process| self.by_process.remove(process))
            .collect()
    }

    /// Returns when the next lease expires unless it is renewed; `None` if there is no member.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.by_process
            .values()
            .map(|member| expires_at(member, self.lease_duration))
            .min()
    }

    /// Returns the number of members, including those whose lease has expired since the last tick.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_process.len()
    }

    /// Returns an iterator over the members in the order of their process numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_process.values()
    }
}

fn expires_at(member: &Member, lease_duration: Micros) -> Time {
    member.renewed_at.plus(lease_duration)
}

#[cfg(test)]
mod tests;
