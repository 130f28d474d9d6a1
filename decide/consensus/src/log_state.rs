//! The entries of the agreed log, and the state that they lead to: the grants of roles. A snapshot
//! stands for the entries from the beginning of the log.

use lichenswitch_interface::Time;
use lichenswitch_lease::grant_table::{GrantSnapshot, GrantTable, LeaseCommand};
use omnipaxos::storage;
use serde::{Deserialize, Serialize};

/// An entry of the log. The order of the fields is that of stored records and messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The command.
    pub command: LeaseCommand,
    /// The requester's number of it, by which it knows the answer; 0 where nobody waits for one.
    pub request: u64,
}

impl storage::Entry for Entry {
    type Snapshot = Snapshot;
}

/// What a run of entries leads to. Taken from the beginning of the log it is the state; taken from
/// a later position it is the entries themselves, which mean something only after what precedes
/// them. The order of the fields is that of stored records and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    base: GrantSnapshot,
    later_entries: Vec<Entry>,
}

impl Snapshot {
    /// The grants of a voter that learns of all of them now.
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
        // The receiver holds the state from the log's beginning, the other one what came after it.
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
