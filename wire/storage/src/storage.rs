//! The ring: where the next block goes, and what is done after a failure.

use std::path::{Path, PathBuf};

use crate::block::{self, BlockKind, Header};
use crate::error::StorageError;
use crate::file_system::{write_all_at, FileSystem, StorageFile};
use crate::finding::Finding;

/// Share of a segment that may be used before a snapshot is wanted (percent).
const USED_PERCENT: u64 = 75;

/// The layout of a ring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageSettings {
    /// Length of a segment (bytes), at least 4096. A segment becomes longer if a snapshot
    /// takes more than half of it.
    pub segment_bytes: u64,
    /// Number of segments, at least 2. A ring that has more on disk keeps them.
    pub segments: usize,
    /// Name of the owner of the files. Files that name another owner are set aside.
    pub owner: String,
}

impl StorageSettings {
    /// Four segments of 1 MiB.
    #[must_use]
    pub fn new(owner: &str) -> Self {
        Self {
            segment_bytes: 1 << 20,
            segments: 4,
            owner: owner.to_owned(),
        }
    }
}

/// What was found when a storage was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest complete snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after it, in order.
    pub records: Vec<Vec<u8>>,
    /// What was found besides. If any of them [loses state](Finding::loses_state), snapshot and
    /// records are older than what was acknowledged.
    pub findings: Vec<Finding>,
}

impl Recovered {
    /// Whether nothing was ever stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.records.is_empty()
    }

    /// Whether state that had been acknowledged is lost for certain. The disk should then be
    /// treated as a lost one.
    #[must_use]
    pub fn loses_state(&self) -> bool {
        self.findings.iter().any(Finding::loses_state)
    }
}

/// How full a storage is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of the current segment that are used.
    pub used_bytes: u64,
    /// Length of the current segment (bytes).
    pub segment_bytes: u64,
    /// Bytes of all segments.
    pub disk_bytes: u64,
    /// Whether the segment is nearly full: a new snapshot should be stored.
    pub wants_snapshot: bool,
}

/// One file of the ring.
pub(crate) struct Segment {
    pub file: Box<dyn StorageFile>,
    pub length: u64,
}

/// The segment that is being appended to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentSegment {
    pub segment: usize,
    pub generation: u64,
    /// Where the next block goes, and its number.
    pub offset: u64,
    pub sequence: u32,
}

/// A segment whose start was being written when a write failed.
#[derive(Clone, Copy, Debug)]
struct Unfinished {
    segment: usize,
    marker_offset: u64,
}

/// A ring of segments in a folder. All of its calls may block for as long as the disk does.
pub struct Storage {
    pub(crate) file_system: Box<dyn FileSystem>,
    pub(crate) folder: PathBuf,
    pub(crate) segment_bytes: u64,
    pub(crate) owner: u64,
    pub(crate) segments: Vec<Segment>,
    pub(crate) current: Option<CurrentSegment>,
    /// Highest generation that was ever attempted.
    pub(crate) highest_generation: u64,
    /// Damage was found: only a snapshot may follow.
    pub(crate) needs_snapshot: bool,
    unfinished: Option<Unfinished>,
    /// A name was changed, and the folder has not been synced since.
    has_unsynced_names: bool,
}

impl std::fmt::Debug for Storage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Storage")
            .field("folder", &self.folder)
            .field("current", &self.current)
            .finish()
    }
}

impl Storage {
    /// A storage whose files have not been opened yet.
    pub(crate) fn new(
        file_system: Box<dyn FileSystem>,
        folder: &Path,
        settings: &StorageSettings,
    ) -> Self {
        Self {
            file_system,
            folder: folder.to_owned(),
            segment_bytes: settings
                .segment_bytes
                .next_multiple_of(block::SECTOR_BYTES as u64),
            owner: block::owner_digest(&settings.owner),
            segments: Vec::new(),
            current: None,
            highest_generation: 0,
            needs_snapshot: false,
            unfinished: None,
            has_unsynced_names: false,
        }
    }

    /// Stores records after all others: all of them or, after an error, none. They are synced when
    /// this returns.
    ///
    /// # Errors
    /// The segment is full or damaged, or the file system refuses. Nothing has changed then,
    /// except that after an error of the file system the records may be found by a recovery, unless
    /// another call succeeded in between.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.needs_snapshot {
            return Err(StorageError::NeedsSnapshot);
        }
        self.void_unfinished()?;
        let current = match self.current {
            Some(current) => current,
            None => self.start_segment(BlockKind::NoSnapshot, &[])?,
        };
        let required = block::size_of(block::joined_length(records.iter().map(Vec::len))) as u64;
        let remaining = self.segments[current.segment].length - current.offset;
        if required > remaining {
            return Err(StorageError::SegmentFull {
                required,
                remaining,
            });
        }
        let bytes = self.encode(
            BlockKind::Records,
            current.generation,
            current.sequence,
            &block::join_records(records),
        )?;
        self.write_synced(current.segment, current.offset, &bytes)?;
        self.current = Some(CurrentSegment {
            offset: current.offset + required,
            sequence: current.sequence + 1,
            ..current
        });
        Ok(())
    }

    /// Stores a snapshot in place of the snapshot and all records so far: after a crash either it is
    /// there, or they are. It is synced when this returns.
    ///
    /// # Errors
    /// The file system refuses. What was stored before still counts then, except that a recovery may
    /// find the snapshot, unless another call succeeded in between.
    pub fn replace_snapshot(&mut self, snapshot: &[u8]) -> Result<(), StorageError> {
        self.void_unfinished()?;
        self.start_segment(BlockKind::Snapshot, snapshot)?;
        self.needs_snapshot = false;
        Ok(())
    }

    /// Whether the segment is nearly full: [`Storage::replace_snapshot`] should come soon.
    #[must_use]
    pub fn wants_snapshot(&self) -> bool {
        self.usage().wants_snapshot
    }

    /// Whether so many records, of so many bytes altogether, fit after the others.
    #[must_use]
    pub fn fits(&self, records: usize, bytes: usize) -> bool {
        let required = block::size_of(bytes + 4 * records) as u64;
        match self.current {
            Some(current) => required <= self.segments[current.segment].length - current.offset,
            None => required + 2 * block::SECTOR_BYTES as u64 <= self.segment_bytes,
        }
    }

    /// How full it is.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let disk_bytes = self.segments.iter().map(|segment| segment.length).sum();
        let (used_bytes, segment_bytes) = match self.current {
            Some(current) => (current.offset, self.segments[current.segment].length),
            None => (0, self.segment_bytes),
        };
        let wants_snapshot = self.needs_snapshot || used_bytes * 100 > segment_bytes * USED_PERCENT;
        Usage {
            used_bytes,
            segment_bytes,
            disk_bytes,
            wants_snapshot,
        }
    }

    /// Starts the next segment of the ring: its first block, a sync, its sync marker, a sync.
    fn start_segment(
        &mut self,
        kind: BlockKind,
        payload: &[u8],
    ) -> Result<CurrentSegment, StorageError> {
        let segment = self
            .current
            .map_or(0, |current| (current.segment + 1) % self.segments.len());
        let generation = self.highest_generation + 1;
        let start = self.encode(kind, generation, 0, payload)?;
        self.ensure_capacity(segment, start.len() as u64)?;
        let marker_offset = start.len() as u64;
        self.highest_generation = generation;
        self.unfinished = Some(Unfinished {
            segment,
            marker_offset,
        });
        self.write_synced(segment, 0, &start)?;
        let offset = self.write_sync_marker(segment, generation, marker_offset)?;
        self.unfinished = None;
        let current = CurrentSegment {
            segment,
            generation,
            offset,
            sequence: 2,
        };
        self.current = Some(current);
        Ok(current)
    }

    /// Says on disk that the start of a segment has been synced. Returns the offset of the next
    /// block.
    pub(crate) fn write_sync_marker(
        &mut self,
        segment: usize,
        generation: u64,
        offset: u64,
    ) -> Result<u64, StorageError> {
        let marker = self.encode(BlockKind::SyncMarker, generation, 1, &[])?;
        self.write_synced(segment, offset, &marker)?;
        Ok(offset + marker.len() as u64)
    }

    /// Makes sure that a start whose write failed can't come back: without this, a recovery might
    /// take it for newer than what is acknowledged from here on. The marker goes first, since a
    /// marker without a start would look like damage.
    fn void_unfinished(&mut self) -> Result<(), StorageError> {
        let Some(Unfinished {
            segment,
            marker_offset,
        }) = self.unfinished
        else {
            return Ok(());
        };
        self.write_void(segment, marker_offset)?;
        self.write_void(segment, 0)?;
        self.unfinished = None;
        Ok(())
    }

    /// Writes a void block over a block.
    pub(crate) fn write_void(&mut self, segment: usize, offset: u64) -> Result<(), StorageError> {
        let void = self.encode(BlockKind::Void, 0, 0, &[])?;
        self.write_synced(segment, offset, &void)
    }

    /// Makes sure that a segment is long enough for its first block and as much again: a longer file
    /// takes its place if not.
    fn ensure_capacity(
        &mut self,
        segment: usize,
        first_block_bytes: u64,
    ) -> Result<(), StorageError> {
        if 2 * first_block_bytes > self.segments[segment].length {
            let length = (2 * first_block_bytes).next_multiple_of(self.segment_bytes);
            self.replace_with_longer_file(segment, length)?;
        }
        self.sync_changed_names()
    }

    fn replace_with_longer_file(
        &mut self,
        segment: usize,
        length: u64,
    ) -> Result<(), StorageError> {
        let (path, temporary) = (
            segment_path(&self.folder, segment),
            temporary_path(&self.folder, segment),
        );
        let created = self.create_file(&temporary, length).and_then(|file| {
            self.file_system
                .rename(&temporary, &path)
                .map_err(StorageError::io("rename", &temporary))?;
            Ok(file)
        });
        match created {
            Ok(file) => {
                self.segments[segment] = Segment { file, length };
                self.has_unsynced_names = true;
                Ok(())
            }
            Err(error) => {
                // It would take space on a full disk. If it can't be removed now, the next opening
                // removes it.
                let _ = self.file_system.remove(&temporary);
                Err(error)
            }
        }
    }

    /// A new file of zeros, synced. Its name is durable once the folder is synced.
    pub(crate) fn create_file(
        &self,
        path: &Path,
        length: u64,
    ) -> Result<Box<dyn StorageFile>, StorageError> {
        let mut file = self
            .file_system
            .create(path)
            .map_err(StorageError::io("create", path))?;
        file.set_length(length)
            .map_err(StorageError::io("set the length of", path))?;
        file.sync().map_err(StorageError::io("sync", path))?;
        Ok(file)
    }

    fn sync_changed_names(&mut self) -> Result<(), StorageError> {
        if self.has_unsynced_names {
            self.sync_folder()?;
            self.has_unsynced_names = false;
        }
        Ok(())
    }

    /// Makes the names of all files durable.
    pub(crate) fn sync_folder(&self) -> Result<(), StorageError> {
        self.file_system
            .sync_folder(&self.folder)
            .map_err(StorageError::io("sync", &self.folder))
    }

    fn encode(
        &self,
        kind: BlockKind,
        generation: u64,
        sequence: u32,
        payload: &[u8],
    ) -> Result<Vec<u8>, StorageError> {
        let header = Header {
            kind,
            owner: self.owner,
            generation,
            sequence,
        };
        block::encode(header, payload).ok_or(StorageError::TooLong {
            bytes: payload.len() as u64,
        })
    }

    /// Writes bytes and syncs them.
    pub(crate) fn write_synced(
        &mut self,
        segment: usize,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        let path = segment_path(&self.folder, segment);
        let Segment { file, length } = &mut self.segments[segment];
        debug_assert!(
            offset + bytes.len() as u64 <= *length,
            "a block goes beyond its segment"
        );
        write_all_at(file.as_mut(), offset, bytes).map_err(StorageError::io("write", &path))?;
        file.sync().map_err(StorageError::io("sync", &path))
    }
}

/// Name of a segment's file.
pub(crate) fn segment_path(folder: &Path, segment: usize) -> PathBuf {
    folder.join(format!("segment-{segment}"))
}

/// Name under which a segment's longer file is prepared.
pub(crate) fn temporary_path(folder: &Path, segment: usize) -> PathBuf {
    folder.join(format!("segment-{segment}.new"))
}
