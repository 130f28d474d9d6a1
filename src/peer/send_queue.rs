//! The frames that wait to be sent to one peer: bounded in number and bytes. When there is no room
//! the oldest droppable frame is dropped.

use std::collections::VecDeque;

/// The most frames, and bytes of them, that wait for one peer.
const MAX_FRAMES: usize = 64;
const MAX_BYTES: usize = 256 * 1024;

/// Whether a frame may be dropped to make room, or when the connection is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It may: it is about the present moment, or is sent again.
    Droppable,
    /// It is kept until it is sent.
    Required,
}

#[derive(Debug)]
struct QueuedFrame {
    bytes: Vec<u8>,
    delivery: Delivery,
}

impl QueuedFrame {
    fn is_droppable(&self) -> bool {
        self.delivery == Delivery::Droppable
    }
}

/// Frames for one peer, oldest first.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    /// How many frames were dropped.
    pub dropped: u64,
}

impl SendQueue {
    /// Adds a frame. Returns `false` if there is no room, since all that waits is required.
    pub(super) fn push(&mut self, bytes: Vec<u8>, delivery: Delivery) -> bool {
        while self.is_full_for(&bytes) {
            let Some(oldest) = self.frames.iter().position(QueuedFrame::is_droppable) else {
                break;
            };
            self.bytes -= self.frames.remove(oldest).map_or(0, |f| f.bytes.len());
            self.dropped += 1;
        }
        if self.is_full_for(&bytes) {
            self.dropped += u64::from(delivery == Delivery::Droppable);
            return false;
        }
        self.bytes += bytes.len();
        self.frames.push_back(QueuedFrame { bytes, delivery });
        true
    }

    fn is_full_for(&self, bytes: &[u8]) -> bool {
        self.frames.len() >= MAX_FRAMES || self.bytes + bytes.len() > MAX_BYTES
    }

    /// Takes the next frame to be sent.
    pub(super) fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.bytes.len();
        Some(frame.bytes)
    }

    /// Whether no frame waits.
    #[must_use]
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Drops all droppable frames: they are too old for a peer that was unreachable.
    pub(super) fn drop_droppable(&mut self) {
        let before = self.frames.len();
        self.frames.retain(|f| !f.is_droppable());
        self.dropped += (before - self.frames.len()) as u64;
        self.bytes = self.frames.iter().map(|f| f.bytes.len()).sum();
    }
}

#[cfg(test)]
mod tests;
