//! Opening: which segment holds the newest image, what of it counts, and what else lies about.

use std::io;
use std::path::{Path, PathBuf};

use crate::block::SECTOR_BYTES;
use crate::error::StorageError;
use crate::file_system::{FileSystem, StorageFile};
use crate::finding::{Finding, ForeignReason};
use crate::segment::{self, Beginning, Chain, Survey};
use crate::storage::{
    beside_path, segment_path, Current, Recovered, Segment, Storage, StorageSettings,
};

/// Shortest segment (bytes).
const SHORTEST_SEGMENT_BYTES: u64 = 4096;

/// Opens the ring in a folder.
pub(crate) fn open(
    file_system: Box<dyn FileSystem>,
    folder: &Path,
    settings: &StorageSettings,
) -> Result<(Storage, Recovered), StorageError> {
    if settings.segments < 2 {
        return Err(StorageError::Settings("a ring has at least two segments"));
    }
    if settings.segment_bytes < SHORTEST_SEGMENT_BYTES {
        return Err(StorageError::Settings("a segment has at least 4096 bytes"));
    }
    make_folders(file_system.as_ref(), folder)?;
    if !(0..settings.segments).any(|segment| file_system.exists(&segment_path(folder, segment))) {
        sync_names_above(file_system.as_ref(), folder)?;
    }
    let mut storage = Storage::new(file_system, folder, settings);
    let mut search = Search::default();
    let found = look_over_files(&mut storage, settings.segments, &mut search)?;
    make_missing_files(&mut storage, found)?;
    let recovered = take_newest(&mut storage, search)?;
    Ok((storage, recovered))
}

/// Makes a folder and those above it.
fn make_folders(file_system: &dyn FileSystem, folder: &Path) -> Result<(), StorageError> {
    if file_system.exists(folder) {
        return Ok(());
    }
    if let Some(parent) = parent_of(folder) {
        make_folders(file_system, parent)?;
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

/// Before the first use of a folder, makes its name and those above it last: whoever made them may
/// have ended before its sync.
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

/// Whether a folder can't be synced because it isn't this process's to change: then it has made no
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

/// What is known while the segments are looked over.
#[derive(Default)]
struct Search {
    /// The newest segment with a whole beginning: its number, generation and bytes.
    newest: Option<(usize, u64, Vec<u8>)>,
    /// Segments with a whole beginning.
    whole: Vec<usize>,
    /// Highest generation that is proven to have been synced, and its segment.
    proven: Option<(u64, usize)>,
    /// Segments whose files weren't there.
    missing: Vec<usize>,
    findings: Vec<Finding>,
}

impl Search {
    fn note(&mut self, segment: usize, survey: &Survey, bytes: Vec<u8>) {
        if survey.proven_generation > self.proven.map_or(0, |(generation, _)| generation) {
            self.proven = Some((survey.proven_generation, segment));
        }
        if let Beginning::Whole { generation } = survey.beginning {
            self.whole.push(segment);
            if generation > self.newest.as_ref().map_or(0, |(_, newest, _)| *newest) {
                self.newest = Some((segment, generation, bytes));
            }
        }
    }
}

/// Reads all files of the ring; `None` for each that has to be made.
fn look_over_files(
    storage: &mut Storage,
    segments: usize,
    search: &mut Search,
) -> Result<Vec<Option<Box<dyn StorageFile>>>, StorageError> {
    let mut files = Vec::new();
    let mut renamed = false;
    while files.len() < segments
        || storage
            .file_system
            .exists(&segment_path(&storage.folder, files.len()))
    {
        let segment = files.len();
        remove_unfinished_file(storage, segment)?;
        let file = look_over(storage, segment, search)?;
        renamed |= matches!(search.findings.last(), Some(Finding::Foreign { segment: s, .. }) if *s == segment);
        files.push(file);
    }
    if renamed {
        sync_folder(storage)?;
    }
    Ok(files)
}

/// A longer file that had not got its place yet holds nothing.
fn remove_unfinished_file(storage: &Storage, segment: usize) -> Result<(), StorageError> {
    let path = beside_path(&storage.folder, segment);
    match storage.file_system.remove(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(StorageError::io("remove", &path)(e)),
        _ => Ok(()),
    }
}

/// Reads one file; `None` if it isn't there or has been set aside.
fn look_over(
    storage: &mut Storage,
    segment: usize,
    search: &mut Search,
) -> Result<Option<Box<dyn StorageFile>>, StorageError> {
    let path = segment_path(&storage.folder, segment);
    let mut file = match storage.file_system.open(&path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            search.missing.push(segment);
            return Ok(None);
        }
        Err(e) if e.kind() == io::ErrorKind::IsADirectory => {
            set_aside(storage, segment, ForeignReason::Unreadable, search)?;
            return Ok(None);
        }
        Err(e) => return Err(StorageError::io("open", &path)(e)),
    };
    let mut bytes = file.read_all().map_err(StorageError::io("read", &path))?;
    // A file whose length was lost ends where its last write did.
    bytes.resize(bytes.len().next_multiple_of(SECTOR_BYTES), 0);
    let survey = segment::survey(&bytes, storage.owner);
    if let Beginning::Foreign(reason) = survey.beginning {
        set_aside(storage, segment, reason, search)?;
        return Ok(None);
    }
    storage.highest_generation = storage.highest_generation.max(survey.highest_generation);
    search.note(segment, &survey, bytes);
    Ok(Some(file))
}

/// Renames a file that isn't ours.
fn set_aside(
    storage: &Storage,
    segment: usize,
    reason: ForeignReason,
    search: &mut Search,
) -> Result<(), StorageError> {
    let path = segment_path(&storage.folder, segment);
    let aside = free_name(storage, segment);
    storage
        .file_system
        .rename(&path, &aside)
        .map_err(StorageError::io("set aside", &path))?;
    search.findings.push(Finding::Foreign {
        segment,
        reason,
        aside,
    });
    Ok(())
}

fn free_name(storage: &Storage, segment: usize) -> PathBuf {
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

/// Gives each segment a file that is long enough, and makes all names last.
fn make_missing_files(
    storage: &mut Storage,
    files: Vec<Option<Box<dyn StorageFile>>>,
) -> Result<(), StorageError> {
    for (segment, file) in files.into_iter().enumerate() {
        let path = segment_path(&storage.folder, segment);
        let file = match file {
            Some(file) => lengthen(file, &path, storage.segment_bytes)?,
            None => {
                let length = storage.segment_bytes;
                Segment {
                    file: storage.make_file(&path, length)?,
                    length,
                }
            }
        };
        storage.segments.push(file);
    }
    sync_folder(storage)
}

fn lengthen(
    mut file: Box<dyn StorageFile>,
    path: &Path,
    least: u64,
) -> Result<Segment, StorageError> {
    let length = file.length().map_err(StorageError::io("measure", path))?;
    if length < least {
        file.set_length(least)
            .map_err(StorageError::io("set the length of", path))?;
        file.sync().map_err(StorageError::io("sync", path))?;
    }
    Ok(Segment {
        file,
        length: length.max(least),
    })
}

fn sync_folder(storage: &Storage) -> Result<(), StorageError> {
    storage
        .file_system
        .sync_folder(&storage.folder)
        .map_err(StorageError::io("sync", &storage.folder))
}

/// Takes the state from the newest segment, and makes it last.
fn take_newest(storage: &mut Storage, search: Search) -> Result<Recovered, StorageError> {
    let mut findings = search.findings;
    let newest_generation = search
        .newest
        .as_ref()
        .map_or(0, |(_, generation, _)| *generation);
    if let Some((generation, segment)) = search
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
    let Some((segment, generation, bytes)) = search.newest else {
        void_next(storage, 0, &search.whole)?;
        return Ok(Recovered {
            findings,
            ..Recovered::default()
        });
    };
    let next = (segment + 1) % storage.segments.len();
    findings.extend(
        search
            .missing
            .into_iter()
            .map(|missing| Finding::MissingSegment {
                segment: missing,
                may_have_been_newest: missing == next,
            }),
    );
    void_next(storage, next, &search.whole)?;
    let chain = segment::read_chain(&bytes, storage.owner, segment, generation);
    findings.extend(chain.finding.clone());
    storage.needs_snapshot |= chain.finding.as_ref().is_some_and(Finding::loses_state);
    continue_chain(storage, segment, generation, &chain, &bytes)?;
    Ok(Recovered {
        snapshot: chain.snapshot,
        records: chain.records,
        findings,
    })
}

/// Makes what was found last, and what wasn't found stay away. Whoever wrote the last block may
/// have ended before its sync, or after a sync that failed: then the disk may hold less than can be
/// read now, or more. That the last block is there proves that all before it were synced.
fn continue_chain(
    storage: &mut Storage,
    segment: usize,
    generation: u64,
    chain: &Chain,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let (mut offset, mut sequence) = (chain.offset as u64, chain.sequence);
    if !storage.needs_snapshot {
        let mut last = bytes[chain.last_offset..chain.offset].to_vec();
        if offset < storage.segments[segment].length {
            last.resize(last.len() + SECTOR_BYTES, 0);
        }
        storage.write_synced(segment, chain.last_offset as u64, &last)?;
        if sequence == 1 {
            offset = storage.write_mark(segment, generation, offset)?;
            sequence = 2;
        }
    }
    storage.current = Some(Current {
        segment,
        generation,
        offset,
        sequence,
    });
    Ok(())
}

/// Clears the beginning of the segment that comes next, unless it is whole, and so an older one. A
/// beginning that was voided may read as void, and yet be whole on the disk, if the sync of its
/// voiding failed: it would come back as the newest.
fn void_next(storage: &mut Storage, next: usize, whole: &[usize]) -> Result<(), StorageError> {
    if whole.contains(&next) {
        return Ok(());
    }
    storage.write_void(next, 0)
}
