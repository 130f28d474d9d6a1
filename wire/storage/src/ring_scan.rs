//! The scan of all files of a ring, and what is set aside on the way.

use std::io;
use std::path::PathBuf;

use crate::block::SECTOR_BYTES;
use crate::error::StorageError;
use crate::file_system::StorageFile;
use crate::finding::{Finding, ForeignReason};
use crate::segment::{self, SegmentScan, SegmentStart};
use crate::storage::{segment_path, temporary_path, Storage};

/// The file of each segment; none for one that has to be created.
pub(crate) type SegmentFiles = Vec<Option<Box<dyn StorageFile>>>;

/// The newest segment with a complete start.
pub(crate) struct NewestSegment {
    pub segment: usize,
    pub generation: u64,
    pub bytes: Vec<u8>,
}

/// The result of the scan of all segments.
#[derive(Default)]
pub(crate) struct RingScan {
    pub newest: Option<NewestSegment>,
    /// Segments with a complete start.
    pub complete: Vec<usize>,
    /// Highest generation that is proven to have been synced, and its segment.
    pub proven: Option<(u64, usize)>,
    /// Segments whose files weren't there.
    pub missing: Vec<usize>,
    pub findings: Vec<Finding>,
}

impl RingScan {
    /// Generation of the newest segment with a complete start; 0 if there is none.
    pub(crate) fn newest_generation(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.generation)
    }

    fn add(&mut self, segment: usize, scan: &SegmentScan, bytes: Vec<u8>) {
        if scan.proven_generation > self.proven.map_or(0, |(generation, _)| generation) {
            self.proven = Some((scan.proven_generation, segment));
        }
        if let SegmentStart::Complete { generation } = scan.start {
            self.complete.push(segment);
            if generation > self.newest_generation() {
                self.newest = Some(NewestSegment {
                    segment,
                    generation,
                    bytes,
                });
            }
        }
    }
}

/// Reads all files of the ring.
pub(crate) fn scan_ring(
    storage: &mut Storage,
    segments: usize,
) -> Result<(RingScan, SegmentFiles), StorageError> {
    let mut scan = RingScan::default();
    let mut files = Vec::new();
    while files.len() < segments
        || storage
            .file_system
            .exists(&segment_path(&storage.folder, files.len()))
    {
        let segment = files.len();
        remove_temporary_file(storage, segment)?;
        files.push(scan_file(storage, segment, &mut scan)?);
    }
    let has_foreign = scan
        .findings
        .iter()
        .any(|finding| matches!(finding, Finding::Foreign { .. }));
    if has_foreign {
        storage.sync_folder()?;
    }
    Ok((scan, files))
}

/// Removes a longer file that had not taken its place yet: it holds nothing.
fn remove_temporary_file(storage: &Storage, segment: usize) -> Result<(), StorageError> {
    let path = temporary_path(&storage.folder, segment);
    match storage.file_system.remove(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(StorageError::io("remove", &path)(e)),
        _ => Ok(()),
    }
}

/// Reads one file; `None` if it isn't there or has been set aside.
fn scan_file(
    storage: &mut Storage,
    segment: usize,
    ring: &mut RingScan,
) -> Result<Option<Box<dyn StorageFile>>, StorageError> {
    let path = segment_path(&storage.folder, segment);
    let mut file = match storage.file_system.open(&path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            ring.missing.push(segment);
            return Ok(None);
        }
        Err(e) if e.kind() == io::ErrorKind::IsADirectory => {
            set_aside(storage, segment, ForeignReason::Unreadable, ring)?;
            return Ok(None);
        }
        Err(e) => return Err(StorageError::io("open", &path)(e)),
    };
    let mut bytes = file.read_all().map_err(StorageError::io("read", &path))?;
    // A file whose length was lost ends where its last write did.
    bytes.resize(bytes.len().next_multiple_of(SECTOR_BYTES), 0);
    let scan = segment::scan(&bytes, storage.owner);
    if let SegmentStart::Foreign(reason) = scan.start {
        set_aside(storage, segment, reason, ring)?;
        return Ok(None);
    }
    storage.highest_generation = storage.highest_generation.max(scan.highest_generation);
    ring.add(segment, &scan, bytes);
    Ok(Some(file))
}

/// Renames a file of another owner.
fn set_aside(
    storage: &Storage,
    segment: usize,
    reason: ForeignReason,
    ring: &mut RingScan,
) -> Result<(), StorageError> {
    let path = segment_path(&storage.folder, segment);
    let aside = free_path(storage, segment);
    storage
        .file_system
        .rename(&path, &aside)
        .map_err(StorageError::io("set aside", &path))?;
    ring.findings.push(Finding::Foreign {
        segment,
        reason,
        aside,
    });
    Ok(())
}

/// The first path for a file that is set aside that no other file has.
fn free_path(storage: &Storage, segment: usize) -> PathBuf {
    let mut number = 1;
    loop {
        let path = storage
            .folder
            .join(format!("segment-{segment}.aside-{number}"));
        if !storage.file_system.exists(&path) {
            return path;
        }
        number += 1;
    }
}
