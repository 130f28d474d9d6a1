//! Whole images, in numbered chunks that the receiver asks for.

use std::collections::BTreeMap;
use std::sync::Arc;

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

use super::{Memory, Replica, Role};
use crate::codec::{self, DecodeError};
use crate::membership::Membership;
use crate::message::{Body, SnapshotChunk, CHUNK_BYTES};
use crate::output::{Notice, Output};
use crate::state::{ReplicatedState, StateError};
use crate::types::{Epoch, Identity, Member, Position, Time};

/// Chunks that are sent for one request.
const WINDOW: u32 = 4;
/// Most chunks of an image: 128 MB.
const MOST_CHUNKS: u32 = 4096;

/// An image that comes in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Transfer {
    epoch: Epoch,
    source: Member,
    /// Which image; none until the source has said which it sends.
    position: Option<Position>,
    exact: bool,
    total: u32,
    checksum: u32,
    chunks: BTreeMap<u32, Vec<u8>>,
    window_end: u32,
    asked_at: Time,
}

/// The image that was last encoded for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Served {
    position: Position,
    bytes: Arc<Vec<u8>>,
    checksum: u32,
}

/// What travels.
#[derive(Archive, Serialize, Deserialize)]
struct SnapshotContent {
    membership: Membership,
    state: Vec<u8>,
}

impl Transfer {
    /// The first chunk that is lacking.
    fn next(&self) -> u32 {
        let mut next = 0;
        while self.chunks.contains_key(&next) {
            next += 1;
        }
        next
    }

    fn restart(&mut self, chunk: &SnapshotChunk) {
        self.position = Some(chunk.position);
        self.total = chunk.total;
        self.checksum = chunk.checksum;
        self.chunks.clear();
        self.window_end = WINDOW;
    }

    fn is_whole(&self) -> bool {
        self.position.is_some() && self.chunks.len() as u64 == u64::from(self.total)
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Begins to take an image, or goes on if it comes already.
    pub(super) fn fetch(
        &mut self,
        now: Time,
        epoch: Epoch,
        position: Option<Position>,
        source: Member,
    ) {
        let under_way = self.transfer.as_ref().is_some_and(|transfer| {
            let same = position.is_none() || transfer.position == position;
            transfer.epoch == epoch && transfer.source == source && same
        });
        if under_way {
            return;
        }
        let exact = position.is_some();
        let (total, checksum, window_end) = (0, 0, 0);
        let chunks = BTreeMap::new();
        let transfer = Transfer {
            epoch,
            source,
            position,
            exact,
            total,
            checksum,
            chunks,
            window_end,
            asked_at: now,
        };
        self.transfer = Some(transfer);
        self.ask_for_chunks(now);
    }

    fn ask_for_chunks(&mut self, now: Time) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let next = transfer.next();
        transfer.asked_at = now;
        transfer.window_end = next + WINDOW;
        let (to, epoch, position) = (
            transfer.source.address.clone(),
            transfer.epoch,
            transfer.position,
        );
        self.send(
            &to,
            Body::SnapshotRequest {
                epoch,
                position,
                next,
            },
        );
    }

    pub(super) fn tick_transfer(&mut self, now: Time) {
        let Some(transfer) = &self.transfer else {
            return;
        };
        let stale = transfer.epoch != self.promised;
        if stale {
            self.transfer = None;
        } else if now.since(transfer.asked_at) >= self.settings.retry_interval {
            self.ask_for_chunks(now);
        }
    }

    pub(super) fn wake_of_transfer(&self) -> Option<Time> {
        self.transfer
            .as_ref()
            .map(|transfer| transfer.asked_at.after(self.settings.retry_interval))
    }

    pub(super) fn on_image_request(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        position: Option<Position>,
        next: u32,
    ) {
        if epoch != self.promised {
            return;
        }
        self.note_heard(now, from.identity, epoch);
        let leads = self.lead().is_some();
        let known = self
            .served
            .as_ref()
            .is_some_and(|served| Some(served.position) == position);
        if !known && !self.served_will_do() {
            let here = self.image.as_ref().map(|image| image.position);
            // A candidate needs just the image that was granted; a copy takes whichever the primary
            // has.
            if here.is_none() || (!leads && here != position) {
                return;
            }
            self.encode_served();
        }
        let Some(served) = self.served.clone() else {
            return;
        };
        let first = if Some(served.position) == position {
            next
        } else {
            0
        };
        self.send_chunks(&from.address, epoch, &served, first);
    }

    /// Whether the image that was encoded last helps a copy: the records after it are kept. Else
    /// two copies that ask in turn, while changes go on, would make each other begin anew.
    fn served_will_do(&self) -> bool {
        let (Some(served), Some(primary)) = (&self.served, self.lead()) else {
            return false;
        };
        served.position.epoch == primary.epoch && primary.keeps_after(served.position)
    }

    fn encode_served(&mut self) {
        let Some(image) = &self.image else { return };
        if self
            .served
            .as_ref()
            .is_some_and(|served| served.position == image.position)
        {
            return;
        }
        let content = SnapshotContent {
            membership: image.membership.clone(),
            state: image.state.encode(),
        };
        let bytes = Arc::new(codec::encode(&content));
        let checksum = crc32fast::hash(&bytes);
        self.served = Some(Served {
            position: image.position,
            bytes,
            checksum,
        });
    }

    fn send_chunks(&mut self, to: &str, epoch: Epoch, served: &Served, first: u32) {
        let total = served.bytes.len().div_ceil(CHUNK_BYTES) as u32;
        let (position, checksum) = (served.position, served.checksum);
        for number in first..total.min(first.saturating_add(WINDOW)) {
            let begin = number as usize * CHUNK_BYTES;
            let end = served.bytes.len().min(begin + CHUNK_BYTES);
            let bytes = served.bytes[begin..end].to_vec();
            self.send(
                to,
                Body::SnapshotChunk(SnapshotChunk {
                    epoch,
                    position,
                    number,
                    total,
                    checksum,
                    bytes,
                }),
            );
        }
    }

    pub(super) fn on_image_chunk(&mut self, now: Time, from: Member, chunk: SnapshotChunk) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let expected = transfer.epoch == chunk.epoch && transfer.source.identity == from.identity;
        let sound = chunk.number < chunk.total && chunk.total <= MOST_CHUNKS;
        let bounded = chunk.bytes.len() <= CHUNK_BYTES;
        if !expected || !sound || !bounded || chunk.epoch != self.promised {
            return;
        }
        let other = transfer.position != Some(chunk.position);
        if other
            && (transfer.exact
                || transfer
                    .position
                    .is_some_and(|position| chunk.position < position))
        {
            return;
        }
        if other || transfer.total == 0 {
            transfer.restart(&chunk);
        }
        if chunk.total != transfer.total || chunk.checksum != transfer.checksum {
            return;
        }
        transfer.chunks.insert(chunk.number, chunk.bytes);
        if transfer.is_whole() {
            self.finish_transfer(now);
        } else if transfer.next() >= transfer.window_end {
            self.ask_for_chunks(now);
        }
    }

    fn finish_transfer(&mut self, now: Time) {
        let Some(transfer) = self.transfer.take() else {
            return;
        };
        let Some(position) = transfer.position else {
            return;
        };
        let bytes: Vec<u8> = transfer.chunks.into_values().flatten().collect();
        match decode_snapshot(&bytes, transfer.checksum, position) {
            Ok(image) => {
                self.outputs.push(Output::Notice(Notice::SnapshotReceived {
                    position,
                    bytes: bytes.len(),
                }));
                self.take_image(now, transfer.source.identity, transfer.epoch, image);
            }
            Err(error) => {
                self.outputs.push(Output::Notice(Notice::SnapshotRejected {
                    position,
                    reason: error.to_string(),
                }));
            }
        }
    }

    fn take_image(&mut self, now: Time, source: Identity, epoch: Epoch, image: Memory<S>) {
        match &self.role {
            Role::Candidate(_) => self.fetched(now, image),
            Role::Follower | Role::Canvassing(_) => {
                let newer = self
                    .image
                    .as_ref()
                    .is_none_or(|held| held.position < image.position);
                if newer && image.position.epoch == epoch && epoch.primary == source {
                    self.image = Some(image);
                    self.persist_image(now);
                }
            }
            Role::Primary(_) => {}
        }
    }
}

/// Why the chunks of a snapshot don't come to one.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("the checksum of its {bytes} bytes differs")]
    Checksum { bytes: usize },
    #[error("{}", .0.reason)]
    Content(#[from] DecodeError),
    #[error(transparent)]
    State(#[from] StateError),
}

fn decode_snapshot<S: ReplicatedState>(
    bytes: &[u8],
    checksum: u32,
    position: Position,
) -> Result<Memory<S>, SnapshotError> {
    if crc32fast::hash(bytes) != checksum {
        return Err(SnapshotError::Checksum { bytes: bytes.len() });
    }
    let SnapshotContent { membership, state } = codec::decode(bytes, "snapshot")?;
    let state = S::decode(&state)?;
    Ok(Memory {
        position,
        membership,
        state,
    })
}
