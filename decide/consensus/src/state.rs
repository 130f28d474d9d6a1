//! What is agreed on, entry by entry, and what follows: the grants of duties. A snapshot is the
//! same in short.

use lichenswitch_interface::Time;
use lichenswitch_lease::grants::{Entry as Grant, Grants, Told};
use omnipaxos::storage;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What is entered.
    pub grant: Grant,
    /// The asker's number of it, so that it knows the answer; 0 where nobody waits for one.
    pub number: u64,
}

impl storage::Entry for Entry {
    type Snapshot = Snapshot;
}

/// What a run of entries comes to. Taken from the log's beginning it is the state; taken from later
/// on it is the entries, which mean something only after what came before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    base: Told,
    after: Vec<Entry>,
}

impl Snapshot {
    /// The grants, as a voter knows them that learns of all of it now.
    ///
    /// ```
    /// use lichenswitch_consensus::state::{Entry, Snapshot};
    /// use lichenswitch_lease::{grants::Entry as Grant, Duty, Holder};
    /// use lichenswitch_interface::Time;
    /// use omnipaxos::storage::Snapshot as _;
    ///
    /// let (duty, holder) = (Duty("compiler".into()), Holder { name: "n1".into(), life: 5 });
    /// let ask = Entry { grant: Grant::Ask(duty.clone(), holder.clone()), number: 1 };
    /// let grants = Snapshot::create(&[ask]).grants(Time(0));
    /// assert_eq!(grants.holder(&duty).unwrap().0, &holder);
    /// ```
    #[must_use]
    pub fn grants(&self, now: Time) -> Grants {
        let mut grants = Grants::from_told(now, &self.base);
        for entry in &self.after {
            grants.on_entry(now, &entry.grant);
        }
        grants
    }
}

impl storage::Snapshot<Entry> for Snapshot {
    fn create(entries: &[Entry]) -> Self {
        Snapshot {
            base: Told::default(),
            after: entries.to_vec(),
        }
    }

    fn merge(&mut self, delta: Self) {
        // The receiver holds the state from the log's beginning, the other one what came after it.
        self.after.extend(delta.after);
        *self = Snapshot {
            base: self.grants(Time(0)).told(),
            after: Vec::new(),
        };
    }

    fn use_snapshots() -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
