//! The entries of the replicated log, and the state that results from applying them: the grants of
//! roles. A snapshot replaces a prefix of the log.

use lichenswitch_interface::Time;
use lichenswitch_lease::grant_table::{GrantSnapshot, GrantTable, LeaseCommand};
use omnipaxos::storage;
use serde::{Deserialize, Serialize};

/// An entry of the log. The field order is part of the format of stored records and messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Command that is applied to the grants once the entry is decided.
    pub command: LeaseCommand,
    /// Number by which the requester matches the response to its request; 0 if no response is
    /// expected.
    pub request: u64,
}

impl storage::Entry for Entry {
    type Snapshot = Snapshot;
}

/// A snapshot of a range of log entries.
///
/// For a range that starts at the beginning of the log, merging yields the resulting state. For a
/// later range the snapshot holds the entries themselves, since their effect depends on the entries
/// before them. The field order is part of the format of stored records and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    base: GrantSnapshot,
    later_entries: Vec<Entry>,
}

impl Snapshot {
    /// Returns the grants that this snapshot results in. The voter's wait for the end of each lease
    /// starts at `now`.
    ///
    /// ```
    /// use lichenswitch_consensus::log_state::{Entry, Snapshot};
    /// use lichenswitch_interface::Time;
    /// use lichenswitch_lease::{grant_table::LeaseCommand, LeaseHolder, RoleName};
    /// use omnipaxos::storage::Snapshot as _;
    ///
    /// let role = RoleName("compiler".into());
    /// let holder = LeaseHolder { name: "n1".into(), incarnation: 5 };
    /// let command = LeaseCommand::Acquire(role.clone(), holder.clone());
    /// let grants = Snapshot::create(&[Entry { command, request: 1 }]).grants(Time(0));
    /// assert_eq!(grants.holder(&role).unwrap().0, &holder);
    /// ```
    #[must_use]
    pub fn grants(&self, now: Time) -> GrantTable {
        let mut grants = GrantTable::from_snapshot(now, &self.base);
        for entry in &self.later_entries {
            grants.apply(now, &entry.command);
        }
        grants
    }
}

impl storage::Snapshot<Entry> for Snapshot {
    fn create(entries: &[Entry]) -> Self {
        Snapshot {
            base: GrantSnapshot::default(),
            later_entries: entries.to_vec(),
        }
    }

    fn merge(&mut self, delta: Self) {
        // `self` covers the log from its beginning; `delta` covers the entries that follow.
        self.later_entries.extend(delta.later_entries);
        *self = Snapshot {
            base: self.grants(Time(0)).snapshot(),
            later_entries: Vec::new(),
        };
    }

    fn use_snapshots() -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
