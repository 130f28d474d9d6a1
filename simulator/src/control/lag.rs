//! Whether the copy here keeps up with what the primary says is committed. One whose disk takes nothing, or that hears the primary but isn't
//! heard, is in contact and falls behind all the same: it may hand nothing out as current.

use lichenswitch_messages::PeerMessage;
use lichenswitch_replication::{Body, Message, Position, Time};

/// A copy that has been behind for so many microseconds does not keep up.
const MOST_BEHIND: u64 = 300_000;

/// What was told, and since when it is lacking.
#[derive(Debug, Default)]
pub(super) struct Lag {
    told: Position,
    behind_since: Option<Time>,
}

impl Lag {
    /// A primary has told what is committed.
    pub(super) fn on_message(&mut self, message: &Message) {
        if let Body::Append(append) = &message.body {
            self.told = self.told.max(append.committed);
        }
    }

    /// What is committed here.
    pub(super) fn on_held(&mut self, now: Time, held: Option<Position>) {
        if held.unwrap_or_default() >= self.told {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }

    pub(super) fn keeps_up(&self, now: Time) -> bool {
        self.behind_since.is_none_or(|since| now.since(since) < MOST_BEHIND)
    }
}

/// The message of replication in a message of a peer.
pub(super) fn replication_message(message: &PeerMessage) -> Option<Message> {
    match message {
        PeerMessage::Replication(bytes) => {
            Some(Message::decode(bytes).expect("what a replica encoded is decoded"))
        }
        _ => None,
    }
}
