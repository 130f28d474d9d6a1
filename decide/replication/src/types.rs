//! Basic value types of the package: times, identities, epochs and positions.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// A point on the caller's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time that is `microseconds` after this one.
    #[must_use]
    pub fn after(self, microseconds: u64) -> Time {
        Time(self.0.saturating_add(microseconds))
    }

    /// Returns the microseconds from `earlier` to this time, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identity of a member: a random number, never 0, that was chosen when its empty disk was first
/// used.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
)]
#[rkyv(derive(Debug), attr(allow(missing_docs)))]
pub struct Identity(pub u64);

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// The identity and address of a voter or learner.
#[derive(
    Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Member {
    /// Identity that is stored on the member's disk.
    pub identity: Identity,
    /// Address at which peers reach the member, as `ip:port`.
    pub address: String,
}

/// A term of one primary (Raft's term, the view of Viewstamped Replication). Epochs are ordered.
/// Unlike a Raft term, an epoch includes its candidate, so no two candidates can choose the same
/// epoch.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Epoch {
    /// Number that increases with every election.
    pub counter: u64,
    /// The candidate that chose the epoch.
    pub primary: Identity,
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.counter, self.primary)
    }
}

/// Position of a record. A later record has a greater position.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Position {
    /// Epoch of the primary that wrote the record.
    pub epoch: Epoch,
    /// Number of the record: one more than that of the previous record.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.epoch, self.number)
    }
}

/// Id of a call to [`crate::Replica::propose`] or [`crate::Replica::confirm`], unique within the
/// process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of an item to write to disk. Ids increase with each item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);
