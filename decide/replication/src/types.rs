//! Plain values that all of the package speaks of: times, identities, epochs, positions.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// A point on the caller's steady clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time that lies `microseconds` after this one.
    pub fn after(self, microseconds: u64) -> Time {
        Time(self.0.saturating_add(microseconds))
    }

    /// Microseconds from `earlier` to this time; 0 if `earlier` is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identity of a member, drawn when its empty disk was first used; never 0.
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

/// A member that votes, or asks to.
#[derive(
    Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Where its peers reach it, `ip:port`.
    pub address: String,
}

/// A term of office; ordered, and never used by two candidates.
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
    /// Rises with every candidacy.
    pub counter: u64,
    /// The candidate whose epoch it is.
    pub primary: Identity,
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.counter, self.primary)
    }
}

/// Where a record stands; a later one compares greater.
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
    /// Epoch in which it was written.
    pub epoch: Epoch,
    /// Number, one above that of the record before it.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.epoch, self.number)
    }
}

/// Number of a call to [`crate::Replica::propose`] or [`crate::Replica::confirm`]; unique in the
/// life of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of an item that is to be written to disk; rises with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);
