//! Messages between voters, and between voters and other brokers.

use crate::decide::consensus::genesis::Announcement;
use crate::decide::lease::{FencingToken, LeaseHolder, RoleName};
use serde::{Deserialize, Serialize};

/// A message about the consensus. The order of the variants and their fields is that on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// A voter announces its identity.
    Announcement(Announcement),
    /// A message of the log's algorithm.
    Log(Vec<u8>),
    /// The sender requests a role; the answer names the same number.
    LeaseRequest(RoleName, LeaseHolder, u64),
    /// The log's answer to the request of this number: the token if the role is granted.
    LeaseResponse(RoleName, u64, Option<FencingToken>),
    /// The sender asks a voter to confirm that this request of that number was received.
    ContactRequest(u64),
    /// A voter that votes confirms it: the number of the request, and the digest of its genesis.
    ContactResponse(u64, u64),
    /// By the sender's knowledge, which may be old, another broker holds the role: nothing was
    /// proposed.
    LeasedElsewhere(RoleName),
    /// The sender releases a role.
    Release(RoleName, FencingToken),
}

/// Messages to be sent: the name of each receiver, and the bytes.
pub type OutgoingMessages = Vec<(String, Vec<u8>)>;

/// A message for a broker, encoded.
pub(super) fn outgoing(to: &str, message: &Message) -> (String, Vec<u8>) {
    // Plain values in memory can always be encoded.
    (to.into(), postcard::to_stdvec(message).unwrap_or_default())
}
