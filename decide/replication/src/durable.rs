//! The items that a member writes to its disk, and their recovery into a state.
//!
//! A disk holds a snapshot, followed by records and promises. Each item is synced before a message
//! is sent that depends on it. The items are encoded by [`crate::codec`]: the order of fields and
//! variants is part of the format.

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

use crate::codec::{self, DecodeError};
use crate::membership::Membership;
use crate::types::{Epoch, Identity, Position};

/// An item that is appended to the disk. Recovery applies items in the order in which they were
/// written.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum DurableItem {
    /// The member accepts no epoch below this one from now on (the promise of Paxos, Raft's vote).
    Promise(Epoch),
    /// A record that follows the earlier items. It also promises its epoch.
    Record(Record),
    /// The complete state. Earlier items are no longer needed.
    Snapshot(Snapshot),
}

/// A change of the replicated state, with its position.
///
/// Unlike Raft's log entries, records are discarded once they are part of a snapshot, and a primary
/// has only one uncommitted record at a time.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Record {
    /// Position of the state after the record.
    pub position: Position,
    /// Position of the state that the record changes.
    pub previous: Position,
    /// The change that the record makes.
    pub update: Update,
}

/// The change that a record makes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Update {
    /// No change. A new primary writes it to commit the state that it adopted (Raft's no-op entry).
    EpochStart,
    /// A change of the caller's state, in the form that [`crate::ReplicatedState::apply`] accepts.
    Change(Vec<u8>),
    /// A new membership, joint or final.
    Membership(Membership),
}

/// The complete durable state of a member.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Snapshot {
    /// Identity of the member that wrote the snapshot.
    pub identity: Identity,
    /// Highest epoch that the member has promised.
    pub promised: Epoch,
    /// Position of the last record that the snapshot includes.
    pub position: Position,
    /// The membership at that position.
    pub membership: Membership,
    /// The caller's state, as encoded by [`crate::ReplicatedState::encode`].
    pub state: Vec<u8>,
}

impl DurableItem {
    /// Returns the encoded item.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes and validates an item that [`Self::encode`] wrote.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid item of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes, "durable item")
    }
}

/// The state that is recovered from the items of a disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// The last snapshot. Its `position`, `membership` and `promised` include the later records and
    /// promises; its `state` does not.
    pub snapshot: Snapshot,
    /// Changes of the state from the records after the snapshot, in order.
    pub changes: Vec<Vec<u8>>,
}

/// The reason why no state could be recovered from the items.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// There is no snapshot, as on an empty disk.
    #[error("there is no snapshot among the items: the disk is empty")]
    Empty,
    /// A record does not follow the items before it.
    #[error("the record at {found} follows {previous}, but the items before it end at {expected}")]
    RecordDoesNotFollow {
        /// Position of the record.
        found: Position,
        /// Position that the record claims to follow.
        previous: Position,
        /// Position reached by the items before the record.
        expected: Position,
    },
    /// A snapshot is older than the items before it.
    #[error("a snapshot at {found} follows one at {expected}")]
    SnapshotOutOfOrder {
        /// Position of the snapshot.
        found: Position,
        /// Position reached by the items before the snapshot.
        expected: Position,
    },
    /// The disk holds snapshots of two members.
    #[error("a snapshot of member {found} follows one of member {expected}")]
    TwoIdentities {
        /// Identity in the later snapshot.
        found: Identity,
        /// Identity in the earlier snapshot.
        expected: Identity,
    },
    /// A record has a lower epoch than one that was promised before it.
    #[error("a record at {found} was accepted after epoch {promised} was promised")]
    RecordBelowPromise {
        /// Position of the record.
        found: Position,
        /// The epoch that was promised.
        promised: Epoch,
    },
    /// The state could not be decoded, or a change could not be applied.
    #[error("cannot restore the state from disk: {0}")]
    State(#[from] crate::state::StateError),
}

impl Recovered {
    /// Recovers the state from items in the order in which they were written.
    ///
    /// # Errors
    /// Returns an error if there is no snapshot, or if an item does not follow the earlier ones.
    pub fn from_items(items: impl IntoIterator<Item = DurableItem>) -> Result<Self, RecoverError> {
        let mut recovery = None;
        let mut promised = Epoch::default();
        for item in items {
            apply_item(&mut recovery, &mut promised, item)?;
        }
        let mut recovered: Recovered = recovery.ok_or(RecoverError::Empty)?;
        recovered.snapshot.promised = promised;
        Ok(recovered)
    }
}

fn apply_item(
    recovery: &mut Option<Recovered>,
    promised: &mut Epoch,
    item: DurableItem,
) -> Result<(), RecoverError> {
    match item {
        DurableItem::Promise(epoch) => *promised = epoch.max(*promised),
        DurableItem::Snapshot(snapshot) => {
            check_snapshot(recovery.as_ref(), &snapshot)?;
            *promised = snapshot.promised.max(*promised);
            *recovery = Some(Recovered {
                snapshot,
                changes: Vec::new(),
            });
        }
        DurableItem::Record(record) => {
            let recovered = recovery.as_mut().ok_or(RecoverError::Empty)?;
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

fn check_snapshot(prior: Option<&Recovered>, snapshot: &Snapshot) -> Result<(), RecoverError> {
    let Some(prior) = prior else { return Ok(()) };
    if snapshot.identity != prior.snapshot.identity {
        return Err(RecoverError::TwoIdentities {
            found: snapshot.identity,
            expected: prior.snapshot.identity,
        });
    }
    if snapshot.position < prior.snapshot.position {
        return Err(RecoverError::SnapshotOutOfOrder {
            found: snapshot.position,
            expected: prior.snapshot.position,
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
