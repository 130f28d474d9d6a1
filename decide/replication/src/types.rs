//! Plain values that the whole package uses: times, identities, epochs, positions.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// A point on the caller's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time that lies `microseconds` after this one.
    #[must_use]
    pub fn after(self, microseconds: u64) -> Time {
        Time(self.0.saturating_add(microseconds))
    }

    /// Microseconds from `earlier` to this time; 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identity of a member; a random number that was chosen when its empty disk was first used, never 0.
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

/// A member: a voter, or a learner that asks to become one.
#[derive(
    Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Member {
    /// Its identity.
    pub identity: Identity,
    /// Where its peers reach it, `ip:port`.
    pub address: String,
}

/// The period of one primary (Raft's term, the view of Viewstamped Replication). Epochs are ordered;
/// unlike a term, an epoch names its candidate, so no two candidates ever have the same one.
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
    /// Rises with every election.
    pub counter: u64,
    /// The candidate whose epoch it is.
    pub primary: Identity,
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.counter, self.primary)
    }
}

/// Position of a record; a later one compares greater.
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
    /// Epoch in which the record was written.
    pub epoch: Epoch,
    /// Number of the record, one above that of the record before it.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.epoch, self.number)
    }
}

/// Id of a call to [`crate::Replica::propose`] or [`crate::Replica::confirm`]; unique while the
/// process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of an item that is to be written to disk; rises with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);
