//! What waits to be said to one peer: bounded in messages and bytes, the oldest that may be dropped
//! goes first.

use std::collections::VecDeque;

/// Most messages, and bytes of them, that wait for one peer.
const MESSAGES: usize = 64;
const BYTES: usize = 256 * 1024;

/// Messages for one peer, oldest first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<(Vec<u8>, bool)>,
    bytes: usize,
    /// Messages that had to go.
    pub dropped: u64,
}

impl Queue {
    /// Adds a message; `keep`: it may not be dropped for others. `false`: there is no room, since
    /// all that waits must be kept; whoever asked has to know.
    pub(super) fn push(&mut self, message: Vec<u8>, keep: bool) -> bool {
        while self.waiting.len() >= MESSAGES || self.bytes + message.len() > BYTES {
            let Some(at) = self.waiting.iter().position(|m| !m.1) else {
                break;
            };
            self.bytes -= self.waiting.remove(at).map_or(0, |m| m.0.len());
            self.dropped += 1;
        }
        if self.waiting.len() >= MESSAGES || self.bytes + message.len() > BYTES {
            self.dropped += u64::from(!keep);
            return false;
        }
        self.bytes += message.len();
        self.waiting.push_back((message, keep));
        true
    }

    /// The next message to be said.
    pub(super) fn pop(&mut self) -> Option<Vec<u8>> {
        let message = self.waiting.pop_front()?.0;
        self.bytes -= message.len();
        Some(message)
    }

    /// Whether nothing waits.
    #[must_use]
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Forgets what may be dropped: it is too old for a peer that was away.
    pub(super) fn forget(&mut self) {
        self.dropped += self.waiting.iter().filter(|m| !m.1).count() as u64;
        self.waiting.retain(|m| m.1);
        self.bytes = self.waiting.iter().map(|m| m.0.len()).sum();
    }
}

#[cfg(test)]
mod tests;
