//! Members by their leases: which routers there are.

use std::collections::BTreeMap;

/// A process that renews its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Drawn at the start of the process.
    pub process: u64,
    /// `nodeName` of its settings.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// When it joined (microseconds).
    pub joined_us: u64,
    /// When it last renewed its lease (microseconds).
    pub renewed_us: u64,
}

/// The members of a kind, by process.
#[derive(Clone, Debug)]
pub struct MembershipLeases {
    lease_us: u64,
    by_process: BTreeMap<u64, Member>,
}

impl MembershipLeases {
    /// None yet; a lease lasts so long (microseconds).
    #[must_use]
    pub fn new(lease_us: u64) -> MembershipLeases {
        MembershipLeases {
            lease_us,
            by_process: BTreeMap::new(),
        }
    }

    /// A process has joined or renewed its lease; tells whether it is new. An older process of the
    /// same node goes at once: a node runs one.
    pub fn on_renewal(&mut self, now: u64, process: u64, node: &str, zone: &str) -> bool {
        if let Some(member) = self.by_process.get_mut(&process) {
            member.renewed_us = member.renewed_us.max(now);
            return false;
        }
        self.by_process.retain(|_, member| member.node != node);
        let member = Member {
            process,
            node: node.to_owned(),
            zone: zone.to_owned(),
            joined_us: now,
            renewed_us: now,
        };
        self.by_process.insert(process, member);
        true
    }

    /// A process has left; tells whether it was a member.
    pub fn on_left(&mut self, process: u64) -> bool {
        self.by_process.remove(&process).is_some()
    }

    /// Takes out and returns those whose lease has run out.
    pub fn tick(&mut self, now: u64) -> Vec<Member> {
        let lease = self.lease_us;
        let expired: Vec<u64> = self
            .by_process
            .values()
            .filter(|member| ends(member, lease) <= now)
            .map(|m| m.process)
            .collect();
        expired
            .iter()
            .filter_map(|process| self.by_process.remove(process))
            .collect()
    }

    /// When the next lease runs out, if none is renewed before.
    #[must_use]
    pub fn next_wake(&self) -> Option<u64> {
        self.by_process
            .values()
            .map(|member| ends(member, self.lease_us))
            .min()
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_process.len()
    }

    /// All of them, by process.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_process.values()
    }
}

fn ends(member: &Member, lease_us: u64) -> u64 {
    member.renewed_us.saturating_add(lease_us)
}

#[cfg(test)]
mod tests;
