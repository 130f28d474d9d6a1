//! Membership of routers by leases.

use lichenswitch_interface::{Micros, Time};
use std::collections::BTreeMap;

/// A process that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// A random number that identifies the process for its lifetime.
    pub process: u64,
    /// `nodeName` of its settings.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// When it joined.
    pub joined_at: Time,
    /// When it last renewed its lease.
    pub renewed_at: Time,
}

/// The members and their leases, by process.
#[derive(Clone, Debug)]
pub struct MembershipLeases {
    lease_duration: Micros,
    by_process: BTreeMap<u64, Member>,
}

impl MembershipLeases {
    /// Without any member; a lease lasts so long.
    #[must_use]
    pub fn new(lease_duration: Micros) -> MembershipLeases {
        MembershipLeases {
            lease_duration,
            by_process: BTreeMap::new(),
        }
    }

    /// A process has joined or renewed its lease; returns whether it is new. An earlier process of
    /// the same node is removed at once: a node runs one.
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

    /// A process has left; returns whether it was a member.
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

    /// When the next lease expires, unless it is renewed before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.by_process
            .values()
            .map(|member| expires_at(member, self.lease_duration))
            .min()
    }

    /// Number of members.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_process.len()
    }

    /// All members, by process.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_process.values()
    }
}

fn expires_at(member: &Member, lease_duration: Micros) -> Time {
    member.renewed_at.plus(lease_duration)
}

#[cfg(test)]
mod tests;
