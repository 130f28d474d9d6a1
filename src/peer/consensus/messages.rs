//! Messages between voters, and between voters and other brokers.

use crate::decide::agree::genesis::Announcement;
use crate::decide::duty::{Duty, FenceNumber, Holder};
use serde::{Deserialize, Serialize};

/// Messages between voters, and between voters and other brokers. Their order is that on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// What a voter announces of itself.
    Announcement(Announcement),
    /// A message of the log.
    Log(Vec<u8>),
    /// Its sender asks for a duty; the number comes back with the answer.
    Ask(Duty, Holder, u64),
    /// The log's answer: under which fence it is granted, if it is.
    Answer(Duty, u64, Option<FenceNumber>),
    /// Its sender asks whether it is heard.
    Hear(u64),
    /// A voter that votes has heard it: the number of its ask, and the voter's genesis.
    Heard(u64, u64),
    /// By what its sender knows, which may be old, somebody else holds it: nothing was entered.
    Elsewhere(Duty),
    /// Its sender gives a duty back.
    GiveBack(Duty, FenceNumber),
}

/// Messages for others: the name of each receiver, and the bytes.
pub type OutgoingMessages = Vec<(String, Vec<u8>)>;

/// A message for somebody, as it travels.
pub(super) fn outgoing(to: &str, message: &Message) -> (String, Vec<u8>) {
    // Plain values in memory can always be written.
    (to.into(), postcard::to_stdvec(message).unwrap_or_default())
}
