//! Backlogs of servers, summed over routers.
//!
//! For each server, a router reports the prompt tokens of the requests that it sent to the server
//! and whose response has not begun. A control machine sums the reports of its routers and sends
//! the sums to the other control machines. It sends its routers the sums over all control machines.

use lichenswitch_interface::ServerId;
use std::collections::{BTreeMap, HashMap};

/// The backlog of a server (tokens); 0 if no pending request is known.
pub type Backlog = u32;
/// The servers whose backlog has changed, each with its new backlog; 0 removes the entry.
pub type BacklogChanges = Vec<(ServerId, Backlog)>;

/// The backlogs that were last reported to one kind of receiver: routers or control machines.
#[derive(Debug, Default)]
struct LastReported(BTreeMap<ServerId, Backlog>);

/// Sums of the backlogs that sources report. `S` is the type that identifies a source, which is a
/// router or another control machine.
#[derive(Debug)]
pub struct BacklogTable<S> {
    /// The last reported backlogs of each router.
    by_router: HashMap<S, BTreeMap<ServerId, Backlog>>,
    /// The last reported sums of each of the other control machines.
    by_peer: HashMap<S, BTreeMap<ServerId, Backlog>>,
    /// The sums last sent to other control machines.
    last_to_peers: LastReported,
    /// The sums last sent to routers.
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
    /// Handles a router's report. Earlier reports about other servers stay valid.
    pub fn on_router_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.by_router.entry(source).or_default(), changes);
        self.has_changed = true;
    }

    /// Handles a report of another control machine, with sums over its routers. Earlier reports
    /// about other servers stay valid.
    pub fn on_peer_report(&mut self, source: S, changes: &[(ServerId, Backlog)]) {
        apply(self.by_peer.entry(source).or_default(), changes);
        self.has_changed = true;
    }

    /// Handles the loss of a router or control machine: removes all that it reported.
    pub fn on_source_lost(&mut self, source: &S) {
        self.has_changed |=
            self.by_router.remove(source).is_some() | self.by_peer.remove(source).is_some();
    }

    /// Whether a report or a lost source may have changed a sum since the last call of
    /// [`BacklogTable::take_changes`].
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// Returns the changes to send now: first those for other control machines, then those for
    /// routers.
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

    /// Returns the complete table that other control machines have, for one that has just
    /// connected.
    #[must_use]
    pub fn snapshot_for_peer(&self) -> BacklogChanges {
        self.last_to_peers.snapshot()
    }

    /// Returns the complete table that routers have, for one that has just connected.
    #[must_use]
    pub fn snapshot_for_router(&self) -> BacklogChanges {
        self.last_to_routers.snapshot()
    }
}

impl LastReported {
    /// Replaces the backlogs by these sums. Returns the changes, with 0 for servers without a sum.
    fn update(&mut self, sums: &BTreeMap<ServerId, Backlog>) -> BacklogChanges {
        let removed = self
            .0
            .keys()
            .filter(|server| !sums.contains_key(server))
            .map(|server| (*server, 0));
        let mut changes: BacklogChanges = removed.collect();
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

/// Applies changes to a table. A backlog of 0 removes the entry.
fn apply(known: &mut BTreeMap<ServerId, Backlog>, changes: &[(ServerId, Backlog)]) {
    for (server, backlog) in changes {
        match backlog {
            0 => _ = known.remove(server),
            _ => _ = known.insert(*server, *backlog),
        }
    }
}

/// Adds the reported backlogs of one source to the sums.
fn add(sums: &mut BTreeMap<ServerId, Backlog>, reported: &BTreeMap<ServerId, Backlog>) {
    for (server, backlog) in reported {
        let sum = sums.entry(*server).or_insert(0);
        *sum = sum.saturating_add(*backlog);
    }
}

#[cfg(test)]
mod tests;
