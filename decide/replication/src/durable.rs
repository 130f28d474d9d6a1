//! What must be on disk, and what is read back from it.

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

use crate::membership::Membership;
use crate::message::{aligned, encode, DecodeError};
use crate::types::{Epoch, Identity, Position};

/// An item that is appended to the disk; items count in the order in which they were written.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum DurableItem {
    /// No epoch below this one is accepted any more.
    Promise(Epoch),
    /// A record on top of what is there; promises its epoch as well.
    Record(Record),
    /// Everything; what was written before it is no longer needed.
    Snapshot(Snapshot),
}

/// One change of the image.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Record {
    /// Where it stands.
    pub position: Position,
    /// Where the image stands that it changes.
    pub previous: Position,
    /// What it changes.
    pub update: Update,
}

/// What a record changes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Update {
    /// Nothing: a new primary takes over what it has adopted.
    EpochStart,
    /// The state, by a change of the caller's.
    Change(Vec<u8>),
    /// The membership.
    Membership(Membership),
}

/// All that a member holds.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Snapshot {
    /// Whose disk it is.
    pub identity: Identity,
    /// Highest epoch promised.
    pub promised: Epoch,
    /// Where it stands.
    pub position: Position,
    /// Who votes.
    pub membership: Membership,
    /// The state, encoded.
    pub state: Vec<u8>,
}

impl DurableItem {
    /// The item as bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// The item that [`Self::encode`] wrote; checked.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let aligned = aligned(bytes);
        rkyv::from_bytes::<Self, rkyv::rancor::Error>(&aligned).map_err(|error| DecodeError {
            what: "durable item",
            len: bytes.len(),
            reason: error.to_string(),
        })
    }
}

/// What the items of a disk come to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovered {
    /// The last image; `position`, `membership` and `promised` count the records and promises after
    /// it.
    pub snapshot: Snapshot,
    /// Changes of the state that came after the image, in order.
    pub changes: Vec<Vec<u8>>,
}

/// Items that are no image.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoverError {
    /// There is no image at all: an empty disk.
    #[error("there is no image among the items: the disk is empty")]
    Empty,
    /// A record that doesn't stand on what is before it.
    #[error(
        "the record at {found} stands on {previous}, but the image before it stands at {expected}"
    )]
    RecordDoesNotFollow {
        /// Where the record stands.
        found: Position,
        /// What it stands on.
        previous: Position,
        /// Where the image stood.
        expected: Position,
    },
    /// An image older than what is before it.
    #[error("an image at {found} follows one at {expected}")]
    ImageGoesBack {
        /// Where it stands.
        found: Position,
        /// Where the one before it stood.
        expected: Position,
    },
    /// Images of two members on one disk.
    #[error("an image of member {found} follows one of member {expected}")]
    TwoIdentities {
        /// The second.
        found: Identity,
        /// The first.
        expected: Identity,
    },
    /// A record of an epoch below the one that was promised before it.
    #[error("a record at {found} was accepted after epoch {promised} was promised")]
    RecordBelowPromise {
        /// Where it stands.
        found: Position,
        /// The promise.
        promised: Epoch,
    },
    /// The state or a change of it can't be read.
    #[error("the state that was read from disk: {0}")]
    State(#[from] crate::state::StateError),
}

impl Recovered {
    /// What items come to, in the order in which they were written.
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
            check_image(folded.as_ref(), &snapshot)?;
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

fn check_image(before: Option<&Recovered>, snapshot: &Snapshot) -> Result<(), RecoverError> {
    let Some(before) = before else { return Ok(()) };
    if snapshot.identity != before.snapshot.identity {
        return Err(RecoverError::TwoIdentities {
            found: snapshot.identity,
            expected: before.snapshot.identity,
        });
    }
    if snapshot.position < before.snapshot.position {
        return Err(RecoverError::ImageGoesBack {
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
