//! Backlogs of servers, summed over routers.
//!
//! Each router reports, by server, the prompt tokens of its requests that were sent there and have not
//! begun to be answered. A control machine sums what its routers report, sends that sum to other
//! control machines, and sends its routers the sum over all control machines.

use lichenswitch_interface::ServerId;
use std::collections::{BTreeMap, HashMap};

/// The backlog of a server (tokens). 0: nothing is known to be pending.
pub type Backlog = u32;
/// Servers whose backlog has changed, with its new value.
pub type BacklogChanges = Vec<(ServerId, Backlog)>;

/// The backlogs that were last reported to one kind of receiver.
#[derive(Debug, Default)]
struct LastReported(BTreeMap<ServerId, Backlog>);

/// Sums of the backlogs that sources report. `S` identifies a source: a router, or another control
/// machine.
#[derive(Debug)]
pub struct BacklogTable<S> {
    /// What each router reported last.
    by_router: HashMap<S, BTreeMap<ServerId, Backlog>>,
    /// What each control machine reported last.
    by_peer: HashMap<S, BTreeMap<ServerId, Backlog>>,
    /// Sent to other control machines.
    last_to_peers: LastReported,
    /// Sent to routers.
    last_to_routers: LastReported,
    has_changed: bool,
}

impl<S> Default for BacklogTable<S> {
    fn default() -> Self {
        BacklogTable {
            by_router: HashMap::new(),
            by_peer: HashMap::new(),
            last_to_peers: LastReported::default(),
            last_to_routers: LastReported::default(),
            has_changed: false,
        }
    }
}

impl<S: Eq + std::hash::Hash> BacklogTable<S> {
    /// A router reports these backlogs. What it reported of other servers stays.
    pub fn on_router_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.by_router.entry(source).or_default(), changes);
        self.has_changed = true;
    }

    /// Another control machine reports these sums over its routers. What it reported of other servers
    /// stays.
    pub fn on_peer_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.by_peer.entry(source).or_default(), changes);
        self.has_changed = true;
    }

    /// A source is lost: what it reported is removed.
    pub fn on_source_lost(&mut self, source: &S) {
        self.has_changed |=
            self.by_router.remove(source).is_some() | self.by_peer.remove(source).is_some();
    }

    /// Whether anything was reported since [`BacklogTable::take_changes`].
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// The changes to be sent now to other control machines, and to routers.
    pub fn take_changes(&mut self) -> (BacklogChanges, BacklogChanges) {
        self.has_changed = false;
        let mut sums = BTreeMap::new();
        self.by_router
            .values()
            .for_each(|reported| add(&mut sums, reported));
        let to_peers = self.last_to_peers.update(&sums);
        self.by_peer
            .values()
            .for_each(|reported| add(&mut sums, reported));
        (to_peers, self.last_to_routers.update(&sums))
    }

    /// All that was sent to other control machines: for one that has just connected.
    #[must_use]
    pub fn snapshot_for_peer(&self) -> BacklogChanges {
        self.last_to_peers.snapshot()
    }

    /// All that was sent to routers: for one that has just connected.
    #[must_use]
    pub fn snapshot_for_router(&self) -> BacklogChanges {
        self.last_to_routers.snapshot()
    }
}

impl LastReported {
    /// Replaces it by these sums; returns what has changed, with 0 for what is gone.
    fn update(&mut self, sums: &BTreeMap<ServerId, Backlog>) -> BacklogChanges {
        let ended = self
            .0
            .keys()
            .filter(|server| !sums.contains_key(server))
            .map(|server| (*server, 0));
        let mut changes: BacklogChanges = ended.collect();
        changes.extend(
            sums.iter()
                .map(|(server, backlog)| (*server, *backlog))
                .filter(|(server, backlog)| self.0.get(server) != Some(backlog)),
        );
        apply(&mut self.0, &changes);
        changes
    }

    fn snapshot(&self) -> BacklogChanges {
        self.0
            .iter()
            .map(|(server, backlog)| (*server, *backlog))
            .collect()
    }
}

/// Applies changes to a table, in which 0 is no entry.
fn apply(known: &mut BTreeMap<ServerId, Backlog>, changes: &[(ServerId, Backlog)]) {
    for (server, backlog) in changes {
        match backlog {
            0 => _ = known.remove(server),
            _ => _ = known.insert(*server, *backlog),
        }
    }
}

/// Adds what one source reported.
fn add(sums: &mut BTreeMap<ServerId, Backlog>, reported: &BTreeMap<ServerId, Backlog>) {
    for (server, backlog) in reported {
        let sum = sums.entry(*server).or_insert(0);
        *sum = sum.saturating_add(*backlog);
    }
}

#[cfg(test)]
mod tests;
