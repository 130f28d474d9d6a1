//! Replicated state without a log: epochs, images, quorums and changes of membership.
//!
//! It owns the algorithm of `docs/design/control.md`, sections 2 to 4, and promises what they say. It is pure: no input or output, clock or
//! threads; time is an argument, and what is to be sent or written comes back as [`Output`]s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rkyv::{Archive, Deserialize, Serialize};

/// A point on the caller's steady clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// Identity of a member, drawn when its empty disk was first used; never 0.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(derive(Debug), attr(allow(missing_docs)))]
pub struct Identity(pub u64);

/// A member that may vote.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Where its peers reach it, `ip:port`.
    pub address: String,
}

/// A term of office; ordered, and never used by two candidates.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Epoch {
    /// Rises with every candidacy.
    pub counter: u64,
    /// The candidate whose epoch it is.
    pub primary: Identity,
}

/// Where a record stands; a later one compares greater.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Position {
    /// Epoch in which it was written.
    pub epoch: Epoch,
    /// Number, one above that of the record before it.
    pub number: u64,
}
