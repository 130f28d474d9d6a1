//! Opening a ring: its files, and the state that the newest segment holds.

use std::io;
use std::path::Path;

use crate::block::SECTOR_BYTES;
use crate::error::StorageError;
use crate::file_system::{FileSystem, RealFileSystem, StorageFile};
use crate::finding::Finding;
use crate::ring_scan::{scan_ring, NewestSegment, RingScan};
use crate::segment::{self, BlockChain};
use crate::storage::{segment_path, CurrentSegment, Recovered, Segment, Storage, StorageSettings};

/// Least length of a segment (bytes).
const MIN_SEGMENT_BYTES: u64 = 4096;

impl Storage {
    /// Opens the ring in a folder, which is created if it isn't there. What is recovered has been
    /// synced, too.
    ///
    /// # Errors
    /// The settings are invalid, or the file system refuses: nothing is lost then, and it may be
    /// attempted again.
    pub fn open(
        folder: &Path,
        settings: &StorageSettings,
    ) -> Result<(Self, Recovered), StorageError> {
        Self::open_with(Box::new(RealFileSystem), folder, settings)
    }

    /// Opens the ring in a folder of another file system.
    ///
    /// # Errors
    /// As [`Storage::open`].
    pub fn open_with(
        file_system: Box<dyn FileSystem>,
        folder: &Path,
        settings: &StorageSettings,
    ) -> Result<(Self, Recovered), StorageError> {
        if settings.segments < 2 {
            return Err(StorageError::Settings("a ring has at least two segments"));
        }
        if settings.segment_bytes < MIN_SEGMENT_BYTES {
            return Err(StorageError::Settings("a segment has at least 4096 bytes"));
        }
        create_folders(file_system.as_ref(), folder)?;
        let is_new = !(0..settings.segments)
            .any(|segment| file_system.exists(&segment_path(folder, segment)));
        if is_new {
            sync_names_above(file_system.as_ref(), folder)?;
        }
        let mut storage = Self::new(file_system, folder, settings);
        let (scan, files) = scan_ring(&mut storage, settings.segments)?;
        create_missing_files(&mut storage, files)?;
        let recovered = recover_newest(&mut storage, scan)?;
        Ok((storage, recovered))
    }
}

/// Creates a folder and those above it.
fn create_folders(file_system: &dyn FileSystem, folder: &Path) -> Result<(), StorageError> {
    if file_system.exists(folder) {
        return Ok(());
    }
    if let Some(parent) = parent_of(folder) {
        create_folders(file_system, parent)?;
    }
    match file_system.create_folder(folder) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => {
            Err(StorageError::io("create", folder)(e))
        }
        _ => Ok(()),
    }
}

fn parent_of(folder: &Path) -> Option<&Path> {
    folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
}

/// Before the first use of a folder, makes its name and those above it durable: the process that
/// created them may have ended before its sync.
fn sync_names_above(file_system: &dyn FileSystem, folder: &Path) -> Result<(), StorageError> {
    for above in folder.ancestors().skip(1) {
        let above = if above.as_os_str().is_empty() {
            Path::new(".")
        } else {
            above
        };
        match file_system.sync_folder(above) {
            Err(e) if !is_beyond_reach(e.kind()) => return Err(StorageError::io("sync", above)(e)),
            _ => {}
        }
    }
    Ok(())
}

/// Whether a folder can't be synced because this process may not change it: then it has created no
/// name in it either.
fn is_beyond_reach(kind: io::ErrorKind) -> bool {
    use io::ErrorKind::{
        InvalidInput, NotFound, PermissionDenied, ReadOnlyFilesystem, Unsupported,
    };
    matches!(
        kind,
        PermissionDenied | ReadOnlyFilesystem | InvalidInput | NotFound | Unsupported
    )
}

/// Gives each segment a file that is long enough, and makes all names durable.
fn create_missing_files(
    storage: &mut Storage,
    files: Vec<Option<Box<dyn StorageFile>>>,
) -> Result<(), StorageError> {
    for (segment, file) in files.into_iter().enumerate() {
        let path = segment_path(&storage.folder, segment);
        let file = match file {
            Some(file) => extend(file, &path, storage.segment_bytes)?,
            None => {
                let length = storage.segment_bytes;
                Segment {
                    file: storage.create_file(&path, length)?,
                    length,
                }
            }
        };
        storage.segments.push(file);
    }
    storage.sync_folder()
}

fn extend(
    mut file: Box<dyn StorageFile>,
    path: &Path,
    min_length: u64,
) -> Result<Segment, StorageError> {
    let length = file.length().map_err(StorageError::io("measure", path))?;
    if length < min_length {
        file.set_length(min_length)
            .map_err(StorageError::io("set the length of", path))?;
        file.sync().map_err(StorageError::io("sync", path))?;
    }
    Ok(Segment {
        file,
        length: length.max(min_length),
    })
}

/// Recovers the state of the newest segment, and makes it durable.
fn recover_newest(storage: &mut Storage, scan: RingScan) -> Result<Recovered, StorageError> {
    let newest_generation = scan.newest_generation();
    let mut findings = scan.findings;
    if let Some((generation, segment)) = scan
        .proven
        .filter(|(proven, _)| *proven > newest_generation)
    {
        findings.push(Finding::Damaged {
            segment,
            generation,
            sequence: 0,
        });
        storage.needs_snapshot = true;
    }
    let Some(newest) = scan.newest else {
        void_next(storage, 0, &scan.complete)?;
        return Ok(Recovered {
            findings,
            ..Recovered::default()
        });
    };
    let next = (newest.segment + 1) % storage.segments.len();
    let missing = scan.missing.into_iter();
    findings.extend(missing.map(|segment| Finding::MissingSegment {
        segment,
        may_have_been_newest: segment == next,
    }));
    void_next(storage, next, &scan.complete)?;
    let chain = segment::read_chain(
        &newest.bytes,
        storage.owner,
        newest.segment,
        newest.generation,
    );
    findings.extend(chain.finding.clone());
    storage.needs_snapshot |= chain.finding.as_ref().is_some_and(Finding::loses_state);
    continue_chain(storage, &newest, &chain)?;
    Ok(Recovered {
        snapshot: chain.snapshot,
        records: chain.records,
        findings,
    })
}

/// Makes what was found durable, and sees to it that what was not found doesn't come back. The
/// process that wrote the last block may have ended before its sync, or after a sync that failed:
/// then the disk may hold less than can be read now, or more. That the last block is there proves
/// that all before it were synced.
fn continue_chain(
    storage: &mut Storage,
    newest: &NewestSegment,
    chain: &BlockChain,
) -> Result<(), StorageError> {
    let (segment, generation) = (newest.segment, newest.generation);
    let (mut offset, mut sequence) = (chain.offset as u64, chain.sequence);
    if !storage.needs_snapshot {
        let mut last = newest.bytes[chain.last_offset..chain.offset].to_vec();
        if offset < storage.segments[segment].length {
            last.resize(last.len() + SECTOR_BYTES, 0);
        }
        storage.write_synced(segment, chain.last_offset as u64, &last)?;
        if sequence == 1 {
            offset = storage.write_sync_marker(segment, generation, offset)?;
            sequence = 2;
        }
    }
    storage.current = Some(CurrentSegment {
        segment,
        generation,
        offset,
        sequence,
    });
    Ok(())
}

/// Clears the start of the segment that comes next, unless it is complete, and so an older one. A
/// start that was voided may read as void, and yet be complete on the disk, if the sync of its
/// voiding failed: it would come back as the newest.
fn void_next(storage: &mut Storage, next: usize, complete: &[usize]) -> Result<(), StorageError> {
    if complete.contains(&next) {
        return Ok(());
    }
    storage.write_void(next, 0)
}
