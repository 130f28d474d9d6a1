//! The `Attempt-Id`s that a connection has carried.
//!
//! A server may send a response once more, later, in the place where the response to the next request
//! is due. It bears the id of its own request, so it is told apart from the one that is due only
//! while a connection carries each id once. All sends of one request bear the same id.

use crate::invariants::{self, Invariant};
use crate::router::client_request::ClientRequest;
use std::hash::{BuildHasher, RandomState};

/// A connection that has carried this many requests is closed, so that what is remembered of it
/// stays bounded: 4 KiB.
const MAX_REQUESTS_PER_CONNECTION: usize = 512;

/// Digest of an `Attempt-Id`, or of its absence. Two ids with the same digest are taken for one,
/// which costs a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdDigest(u64);

/// Makes digests by a key of this process, so that no client can choose ids that collide.
#[derive(Debug, Default)]
pub(super) struct IdDigester(RandomState);

impl IdDigester {
    /// The digest of a request's id. Requests without one share a digest.
    pub(super) fn digest(&self, request: &ClientRequest) -> IdDigest {
        IdDigest(self.0.hash_one(&request.attempt_id))
    }
}

/// The ids that one connection has carried.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(Vec<IdDigest>);

impl CarriedIds {
    /// A request with this id is written on the connection.
    pub(super) fn insert(&mut self, id: IdDigest) {
        let is_new = !self.contains(id);
        invariants::check(is_new, Invariant::ConnectionCarriesIdOnce);
        self.0.push(id);
    }

    /// Whether a request with this id was written on the connection.
    pub(super) fn contains(&self, id: IdDigest) -> bool {
        self.0.contains(&id)
    }

    /// Whether the connection carries no further request.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS_PER_CONNECTION
    }
}

#[cfg(test)]
mod tests;
