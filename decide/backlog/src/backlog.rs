//! Work that waits at servers, summed over routers.
//!
//! Each router reports, by server, the tokens of its requests that were sent there and have not
//! begun to be answered. A control machine sums what its routers report, tells other control
//! machines that sum, and its routers the sum over all control machines.

use lichenswitch_interface::ServerId;
use std::collections::{BTreeMap, HashMap};

/// Work that waits at a server (tokens). 0: nothing is known to wait.
pub type Backlog = u32;
/// Servers whose backlog is another than was told last.
pub type Changes = Vec<(ServerId, Backlog)>;

/// What one audience was told last.
#[derive(Debug, Default)]
struct Told(BTreeMap<ServerId, Backlog>);

/// Sums of what sources report. `S` names a source: a router, or another control machine.
#[derive(Debug)]
pub struct BacklogTable<S> {
    routers: HashMap<S, BTreeMap<ServerId, Backlog>>,
    peers: HashMap<S, BTreeMap<ServerId, Backlog>>,
    to_peers: Told,
    to_routers: Told,
    changed: bool,
}

impl<S> Default for BacklogTable<S> {
    fn default() -> Self {
        BacklogTable {
            routers: HashMap::new(),
            peers: HashMap::new(),
            to_peers: Told::default(),
            to_routers: Told::default(),
            changed: false,
        }
    }
}

impl<S: Eq + std::hash::Hash> BacklogTable<S> {
    /// A router reports these; what it reported of others stands.
    pub fn on_router_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.routers.entry(source).or_default(), changes);
        self.changed = true;
    }

    /// Another control machine reports these sums of its routers; what it reported of others
    /// stands.
    pub fn on_peer_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.peers.entry(source).or_default(), changes);
        self.changed = true;
    }

    /// A source is gone, and what it reported with it.
    pub fn on_lost(&mut self, source: &S) {
        self.changed |= self.routers.remove(source).is_some() | self.peers.remove(source).is_some();
    }

    /// Whether anything was reported since changes were last taken.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// What other control machines, and what routers, are to be told now.
    pub fn take_changes(&mut self) -> (Changes, Changes) {
        self.changed = false;
        let mut sums = BTreeMap::new();
        self.routers
            .values()
            .for_each(|reported| add(&mut sums, reported));
        let to_peers = self.to_peers.update(&sums);
        self.peers
            .values()
            .for_each(|reported| add(&mut sums, reported));
        (to_peers, self.to_routers.update(&sums))
    }

    /// All that other control machines have been told: for one that has just connected.
    #[must_use]
    pub fn whole_for_peer(&self) -> Changes {
        self.to_peers.whole()
    }

    /// All that routers have been told: for one that has just connected.
    #[must_use]
    pub fn whole_for_router(&self) -> Changes {
        self.to_routers.whole()
    }
}

impl Told {
    fn update(&mut self, sums: &BTreeMap<ServerId, Backlog>) -> Changes {
        let gone = self
            .0
            .keys()
            .filter(|server| !sums.contains_key(server))
            .map(|server| (*server, 0));
        let mut changes: Changes = gone.collect();
        changes.extend(
            sums.iter()
                .map(|(s, b)| (*s, *b))
                .filter(|(s, b)| self.0.get(s) != Some(b)),
        );
        apply(&mut self.0, &changes);
        changes
    }

    fn whole(&self) -> Changes {
        self.0
            .iter()
            .map(|(server, backlog)| (*server, *backlog))
            .collect()
    }
}

fn apply(known: &mut BTreeMap<ServerId, Backlog>, changes: &[(ServerId, Backlog)]) {
    for (server, backlog) in changes {
        match backlog {
            0 => _ = known.remove(server),
            _ => _ = known.insert(*server, *backlog),
        }
    }
}

fn add(sums: &mut BTreeMap<ServerId, Backlog>, reported: &BTreeMap<ServerId, Backlog>) {
    for (server, backlog) in reported {
        let sum = sums.entry(*server).or_insert(0);
        *sum = sum.saturating_add(*backlog);
    }
}

#[cfg(test)]
mod tests;
