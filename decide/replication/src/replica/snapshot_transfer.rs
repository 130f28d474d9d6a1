//! Transfer of snapshots in indexed chunks, which the receiver requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

use super::{Replica, Role, VersionedState};
use crate::codec::{self, DecodeError};
use crate::membership::Membership;
use crate::message::{Body, SnapshotChunk, CHUNK_BYTES};
use crate::output::{Notice, Output};
use crate::state::{ReplicatedState, StateError};
use crate::types::{Epoch, Identity, Member, Position, Time};

/// Number of chunks that are sent for one request.
const CHUNK_WINDOW: u32 = 4;
/// Maximum number of chunks of a snapshot (128 MiB).
const MAX_CHUNKS: u32 = 4096;

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    epoch: Epoch,
    source: Member,
    /// Position of the snapshot; none until the first chunk from the source has arrived, unless a
    /// certain position was requested.
    position: Option<Position>,
    /// Whether only a snapshot at `position` is accepted.
    is_exact: bool,
    chunk_count: u32,
    checksum: u32,
    chunks: BTreeMap<u32, Vec<u8>>,
    /// Index of the first chunk that has not been requested.
    window_end: u32,
    requested_at: Time,
}

/// The last snapshot that was encoded for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CachedSnapshot {
    position: Position,
    bytes: Arc<Vec<u8>>,
    checksum: u32,
}

/// The content of a snapshot on the wire.
#[derive(Archive, Serialize, Deserialize)]
struct SnapshotContent {
    membership: Membership,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(now: Time, epoch: Epoch, position: Option<Position>, source: Member) -> Self {
        Self {
            epoch,
            source,
            position,
            is_exact: position.is_some(),
            chunk_count: 0,
            checksum: 0,
            chunks: BTreeMap::new(),
            window_end: 0,
            requested_at: now,
        }
    }

    /// Returns the index of the first missing chunk.
    fn first_missing(&self) -> u32 {
        let mut index = 0;
        while self.chunks.contains_key(&index) {
            index += 1;
        }
        index
    }

    /// Whether a chunk belongs to this snapshot, or to a newer one that may replace it.
    fn accepts(&self, from: &Member, chunk: &SnapshotChunk) -> bool {
        let is_expected = self.epoch == chunk.epoch && self.source.identity == from.identity;
        let is_valid = chunk.index < chunk.count
            && chunk.count <= MAX_CHUNKS
            && chunk.bytes.len() <= CHUNK_BYTES;
        let is_other_snapshot = self.position != Some(chunk.position);
        let is_unwanted = self.is_exact
            || self
                .position
                .is_some_and(|position| chunk.position < position);
        is_expected && is_valid && !(is_other_snapshot && is_unwanted)
    }

    /// Adds a chunk that [`Self::accepts`] has accepted. A chunk of a newer snapshot discards the
    /// chunks of the older one.
    fn insert(&mut self, chunk: SnapshotChunk) -> ChunkOutcome {
        if self.position != Some(chunk.position) || self.chunk_count == 0 {
            self.restart(&chunk);
        }
        if chunk.count != self.chunk_count || chunk.checksum != self.checksum {
            return ChunkOutcome::Ignored;
        }
        self.chunks.insert(chunk.index, chunk.bytes);
        if self.is_complete() {
            ChunkOutcome::Complete
        } else if self.first_missing() >= self.window_end {
            ChunkOutcome::WindowReceived
        } else {
            ChunkOutcome::Added
        }
    }

    fn restart(&mut self, chunk: &SnapshotChunk) {
        self.position = Some(chunk.position);
        self.chunk_count = chunk.count;
        self.checksum = chunk.checksum;
        self.chunks.clear();
        self.window_end = CHUNK_WINDOW;
    }

    fn is_complete(&self) -> bool {
        self.position.is_some() && self.chunks.len() as u64 == u64::from(self.chunk_count)
    }
}

/// The result of adding a chunk.
enum ChunkOutcome {
    /// The chunk does not match the snapshot that is being received.
    Ignored,
    /// The chunk was added, and more chunks of its window are outstanding.
    Added,
    /// All requested chunks have been received, but the snapshot is not complete.
    WindowReceived,
    /// The snapshot is complete.
    Complete,
}

impl<S: ReplicatedState> Replica<S> {
    /// Starts to receive a snapshot, unless the same transfer is already in progress.
    pub(super) fn fetch_snapshot(
        &mut self,
        now: Time,
        epoch: Epoch,
        position: Option<Position>,
        source: Member,
    ) {
        let is_in_progress = self.incoming.as_ref().is_some_and(|incoming| {
            let is_same = position.is_none() || incoming.position == position;
            incoming.epoch == epoch && incoming.source == source && is_same
        });
        if is_in_progress {
            return;
        }
        self.incoming = Some(IncomingSnapshot::new(now, epoch, position, source));
        self.request_chunks(now);
    }

    fn request_chunks(&mut self, now: Time) {
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        let next = incoming.first_missing();
        incoming.requested_at = now;
        incoming.window_end = next + CHUNK_WINDOW;
        let address = incoming.source.address.clone();
        let request = Body::SnapshotRequest {
            epoch: incoming.epoch,
            position: incoming.position,
            next,
        };
        self.send(&address, request);
    }

    pub(super) fn tick_snapshot_transfer(&mut self, now: Time) {
        let Some(incoming) = &self.incoming else {
            return;
        };
        if incoming.epoch != self.promised {
            self.incoming = None;
        } else if now.since(incoming.requested_at) >= self.settings.retry_interval_us {
            self.request_chunks(now);
        }
    }

    pub(super) fn next_snapshot_transfer_wake(&self) -> Option<Time> {
        let incoming = self.incoming.as_ref()?;
        Some(incoming.requested_at.after(self.settings.retry_interval_us))
    }

    pub(super) fn on_snapshot_request(
        &mut self,
        now: Time,
        from: &Member,
        epoch: Epoch,
        position: Option<Position>,
        next: u32,
    ) {
        if epoch != self.promised {
            return;
        }
        self.on_peer_contact(now, from.identity, epoch);
        let is_cached = self
            .cached_snapshot
            .as_ref()
            .is_some_and(|cached| Some(cached.position) == position);
        if !is_cached && !self.cached_snapshot_suffices() {
            let accepted = self.accepted_position();
            // A candidate needs exactly the state that a vote named; a follower accepts any state
            // of the primary.
            let is_primary = self.as_primary().is_some();
            if accepted.is_none() || (!is_primary && accepted != position) {
                return;
            }
            self.cache_snapshot();
        }
        let Some(cached) = self.cached_snapshot.clone() else {
            return;
        };
        let is_requested = Some(cached.position) == position;
        let first = if is_requested { next } else { 0 };
        self.send_chunks(&from.address, epoch, &cached, first);
    }

    /// Whether a follower can use the cached snapshot, because the records after it are retained.
    /// Without this rule, two followers that request snapshots in turn during changes would each
    /// make the other start again.
    fn cached_snapshot_suffices(&self) -> bool {
        let (Some(cached), Some(primary)) = (&self.cached_snapshot, self.as_primary()) else {
            return false;
        };
        cached.position.epoch == primary.epoch && primary.has_record_after(cached.position)
    }

    fn cache_snapshot(&mut self) {
        let Some(accepted) = &self.accepted else {
            return;
        };
        if self
            .cached_snapshot
            .as_ref()
            .is_some_and(|cached| cached.position == accepted.position)
        {
            return;
        }
        let content = SnapshotContent {
            membership: accepted.membership.clone(),
            state: accepted.state.encode(),
        };
        let bytes = codec::encode(&content);
        self.cached_snapshot = Some(CachedSnapshot {
            position: accepted.position,
            checksum: crc32fast::hash(&bytes),
            bytes: Arc::new(bytes),
        });
    }

    fn send_chunks(&mut self, to: &str, epoch: Epoch, cached: &CachedSnapshot, first: u32) {
        let count = cached.bytes.len().div_ceil(CHUNK_BYTES) as u32;
        for index in first..count.min(first.saturating_add(CHUNK_WINDOW)) {
            let begin = index as usize * CHUNK_BYTES;
            let end = cached.bytes.len().min(begin + CHUNK_BYTES);
            let chunk = SnapshotChunk {
                epoch,
                position: cached.position,
                index,
                count,
                checksum: cached.checksum,
                bytes: cached.bytes[begin..end].to_vec(),
            };
            self.send(to, Body::SnapshotChunk(chunk));
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, now: Time, from: &Member, chunk: SnapshotChunk) {
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if chunk.epoch != self.promised || !incoming.accepts(from, &chunk) {
            return;
        }
        match incoming.insert(chunk) {
            ChunkOutcome::Complete => self.finish_snapshot_transfer(now),
            ChunkOutcome::WindowReceived => self.request_chunks(now),
            ChunkOutcome::Added | ChunkOutcome::Ignored => {}
        }
    }

    fn finish_snapshot_transfer(&mut self, now: Time) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let Some(position) = incoming.position else {
            return;
        };
        let bytes: Vec<u8> = incoming.chunks.into_values().flatten().collect();
        match decode_snapshot(&bytes, incoming.checksum, position) {
            Ok(received) => {
                self.outputs.push(Output::Notice(Notice::SnapshotReceived {
                    position,
                    bytes: bytes.len(),
                }));
                let source = incoming.source.identity;
                self.install_snapshot(now, source, incoming.epoch, received);
            }
            Err(error) => {
                self.outputs.push(Output::Notice(Notice::SnapshotRejected {
                    position,
                    reason: error.to_string(),
                }));
            }
        }
    }

    fn install_snapshot(
        &mut self,
        now: Time,
        source: Identity,
        epoch: Epoch,
        received: VersionedState<S>,
    ) {
        match &self.role {
            Role::Candidate(_) => self.on_snapshot_for_election(now, received),
            Role::Follower | Role::PreCandidate(_) => {
                let is_newer = self.accepted_position() < Some(received.position);
                if is_newer && received.position.epoch == epoch && epoch.primary == source {
                    self.accepted = Some(received);
                    self.persist_snapshot(now);
                }
            }
            Role::Primary(_) => {}
        }
    }
}

/// The reason why received chunks do not form a valid snapshot.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("checksum mismatch over {bytes} bytes")]
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
) -> Result<VersionedState<S>, SnapshotError> {
    if crc32fast::hash(bytes) != checksum {
        return Err(SnapshotError::Checksum { bytes: bytes.len() });
    }
    let SnapshotContent { membership, state } = codec::decode(bytes, "snapshot")?;
    let state = S::decode(&state)?;
    Ok(VersionedState {
        position,
        membership,
        state,
    })
}
