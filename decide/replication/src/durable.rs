//! The items that a member writes to its disk, and what they are recovered to.
//!
//! A disk holds a snapshot and, after it, records and promises, each synced before anything is said
//! that rests on it. The encoding is that of [`crate::codec`]: the order of fields and variants is
//! part of the format.

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

use crate::codec::{self, DecodeError};
use crate::membership::Membership;
use crate::types::{Epoch, Identity, Position};

/// An item that is appended to the disk; items count in the order in which they were written.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum DurableItem {
    /// No epoch below this one is accepted any more (the promise of Paxos, Raft's vote).
    Promise(Epoch),
    /// A record that follows the items before it; it promises its epoch as well.
    Record(Record),
    /// The whole state; items before it are no longer needed.
    Snapshot(Snapshot),
}

/// A change of the replicated state, at its position.
///
/// Unlike Raft's log entries, records are not kept once they are part of a snapshot, and only one of
/// a primary is in flight at a time.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Record {
    /// Its position.
    pub position: Position,
    /// Position of the state that it changes.
    pub previous: Position,
    /// The change.
    pub update: Update,
}

/// The change of a record.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Update {
    /// None: a new primary commits the state that it has adopted (Raft's no-op entry).
    EpochStart,
    /// A change of the caller's state, as [`crate::ReplicatedState::apply`] takes it.
    Change(Vec<u8>),
    /// Another membership.
    Membership(Membership),
}

/// The whole state of a member.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Snapshot {
    /// The member whose disk it is on.
    pub identity: Identity,
    /// Highest epoch promised.
    pub promised: Epoch,
    /// Position of the last record that is part of it.
    pub position: Position,
    /// The membership at that position.
    pub membership: Membership,
    /// The caller's state, encoded by [`crate::ReplicatedState::encode`].
    pub state: Vec<u8>,
}

impl DurableItem {
    /// The item as bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// The item that [`Self::encode`] wrote; checked.
    ///
    /// # Errors
    /// The bytes are no item of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes, "durable item")
    }
}

/// The state that the items of a disk come to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// The last snapshot. Its `position`, `membership` and `promised` include the records and
    /// promises after it; its `state` doesn't.
    pub snapshot: Snapshot,
    /// Changes of the state in the records after the snapshot, in order.
    pub changes: Vec<Vec<u8>>,
}

/// Why items come to no state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// There is no snapshot: an empty disk.
    #[error("there is no snapshot among the items: the disk is empty")]
    Empty,
    /// A record that doesn't follow the items before it.
    #[error("the record at {found} follows {previous}, but the items before it end at {expected}")]
    RecordDoesNotFollow {
        /// Position of the record.
        found: Position,
        /// Position that it follows.
        previous: Position,
        /// Position before it on the disk.
        expected: Position,
    },
    /// A snapshot older than the items before it.
    #[error("a snapshot at {found} follows one at {expected}")]
    SnapshotOutOfOrder {
        /// Position of the snapshot.
        found: Position,
        /// Position before it on the disk.
        expected: Position,
    },
    /// Snapshots of two members on one disk.
    #[error("a snapshot of member {found} follows one of member {expected}")]
    TwoIdentities {
        /// The second.
        found: Identity,
        /// The first.
        expected: Identity,
    },
    /// A record of an epoch below the one that was promised before it.
    #[error("a record at {found} was accepted after epoch {promised} was promised")]
    RecordBelowPromise {
        /// Position of the record.
        found: Position,
        /// The epoch that was promised.
        promised: Epoch,
    },
    /// The state or a change of it can't be read.
    #[error("the state that was read from disk: {0}")]
    State(#[from] crate::state::StateError),
}

impl Recovered {
    /// Folds items, in the order in which they were written.
    ///
    /// # Errors
    /// There is no snapshot, or an item doesn't follow those before it.
    pub fn from_items(items: impl IntoIterator<Item = DurableItem>) -> Result<Self, RecoverError> {
        let mut folded = None;
        let mut promised = Epoch::default();
        for item in items {
            fold(&mut folded, &mut promised, item)?;
        }
        let mut recovered: Recovered = folded.ok_or(RecoverError::Empty)?;
        recovered.snapshot.promised = promised;
        Ok(recovered)
    }
}

fn fold(
    folded: &mut Option<Recovered>,
    promised: &mut Epoch,
    item: DurableItem,
) -> Result<(), RecoverError> {
    match item {
        DurableItem::Promise(epoch) => *promised = epoch.max(*promised),
        DurableItem::Snapshot(snapshot) => {
            check_snapshot(folded.as_ref(), &snapshot)?;
            *promised = snapshot.promised.max(*promised);
            *folded = Some(Recovered {
                snapshot,
                changes: Vec::new(),
            });
        }
        DurableItem::Record(record) => {
            let recovered = folded.as_mut().ok_or(RecoverError::Empty)?;
            check_record(recovered, *promised, &record)?;
            *promised = record.position.epoch;
            recovered.snapshot.position = record.position;
            match record.update {
                Update::EpochStart => {}
                Update::Change(change) => recovered.changes.push(change),
                Update::Membership(membership) => recovered.snapshot.membership = membership,
            }
        }
    }
    Ok(())
}

fn check_snapshot(before: Option<&Recovered>, snapshot: &Snapshot) -> Result<(), RecoverError> {
    let Some(before) = before else { return Ok(()) };
    if snapshot.identity != before.snapshot.identity {
        return Err(RecoverError::TwoIdentities {
            found: snapshot.identity,
            expected: before.snapshot.identity,
        });
    }
    if snapshot.position < before.snapshot.position {
        return Err(RecoverError::SnapshotOutOfOrder {
            found: snapshot.position,
            expected: before.snapshot.position,
        });
    }
    Ok(())
}

fn check_record(
    recovered: &Recovered,
    promised: Epoch,
    record: &Record,
) -> Result<(), RecoverError> {
    let expected = recovered.snapshot.position;
    if record.previous != expected || record.position <= expected {
        let (found, previous) = (record.position, record.previous);
        return Err(RecoverError::RecordDoesNotFollow {
            found,
            previous,
            expected,
        });
    }
    if record.position.epoch < promised {
        return Err(RecoverError::RecordBelowPromise {
            found: record.position,
            promised,
        });
    }
    Ok(())
}
