//! The copy of the table of servers on this machine's disk.
//!
//! After a loss of power on all machines no machine knows any server until its next heartbeat. The
//! records read here fill that gap: they are merged like an update of a peer, and the next
//! heartbeats confirm or correct them. Of servers that are ready they are a hint: nothing is
//! acknowledged by them, they are written once a second at most, a stale record costs a refused
//! connection, and a file that can't be read is set aside and passed over. Departures are
//! acknowledged by them: an update about one requests a write at once ([`ServerCache::write_now`]),
//! and is acknowledged once that write, or a later one, has completed.
//!
//! A thread of its own writes, so that a stalled disk blocks nothing else. When tables are submitted
//! faster than it writes, only the newest is written.

use super::clock::after;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, PROTOCOL_VERSION};
use lichenswitch_rpc::{decode, encode, encode_frame, ArchiveError, FrameError, FrameReader};
use lichenswitch_storage::{write_all_at, FileSystem};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Name of the file in the data directory.
const TABLE_FILE: &str = "servers";
/// Kind of its first frame: when it was written (seconds since the Unix epoch).
const WRITTEN_AT_FRAME: u16 = 1;
/// Kind of its second and last frame: the records.
const TABLE_FRAME: u16 = 2;
/// Least interval of periodic writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// An unchanged table is written again after this time, so that its age shows how long the machine
/// was down.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Servers of a table that is older than this (seconds) count as suspect.
const MAX_UNSUSPECTED_AGE_S: u64 = 60;

/// Why a table on disk is passed over.
#[derive(Debug, thiserror::Error)]
pub(super) enum CacheError {
    /// The file can't be read.
    #[error("it can't be read: {0}")]
    Io(#[from] io::Error),
    /// It contains no frame of this version.
    #[error("it is no table of this version: {0}")]
    Frame(#[from] FrameError),
    /// Its content is no table.
    #[error("its content is no table: {0}")]
    Archive(#[from] ArchiveError),
    /// It ends too soon.
    #[error("it ends before its table does")]
    Truncated,
}

/// Number of a write of the table. A later write covers all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriteNumber(u64);

/// A table that has to be written.
struct TableWrite {
    number: WriteNumber,
    bytes: Vec<u8>,
}

/// The result of a write; all earlier writes have completed too.
struct CompletedWrite {
    number: WriteNumber,
    succeeded: bool,
}

/// The file, and the writes of it.
pub(super) struct ServerCache {
    writes: Sender<TableWrite>,
    completions: Receiver<CompletedWrite>,
    /// The last write that was submitted to the thread.
    submitted: WriteNumber,
    /// The last one that has completed, successfully or not.
    completed: WriteNumber,
    /// The last one that is on the disk.
    written: WriteNumber,
    /// A write that is requested at once, if it is not submitted yet.
    requested: WriteNumber,
    has_changed: bool,
    next_write: Time,
    next_renewal: Time,
}

impl ServerCache {
    /// Opens the file in a data directory, and returns its records. A table that can't be read is
    /// set aside. A byte is written to `wake`, which must not block, when a write has completed.
    pub(super) fn open(
        files: Box<dyn FileSystem>,
        directory: &Path,
        now: Time,
        wake: UnixStream,
    ) -> (ServerCache, Vec<ServerRecord>) {
        let path = directory.join(TABLE_FILE);
        let records = match read(files.as_ref(), &path) {
            Ok(records) => records,
            Err(e) => {
                log::warn!(target: "control", error = e.to_string().as_str(); "table of servers on disk is ignored");
                // If it can't be renamed, it stays until the next table replaces it.
                let _ = files.rename(&path, &path.with_extension("aside"));
                Vec::new()
            }
        };
        let (writes, queued) = mpsc::channel();
        let (completed_writes, completions) = mpsc::channel();
        let writer = Writer {
            files,
            path,
            wake,
            completed_writes,
            is_failing: false,
        };
        // Without a thread nothing is written, and this machine acknowledges no departure.
        let _ = thread::Builder::new()
            .name("server-cache".into())
            .spawn(move || writer.run(&queued));
        let none = WriteNumber::default();
        let (submitted, completed, written, requested) = (none, none, none, none);
        let next_renewal = after(now, RENEWAL_INTERVAL);
        let cache = ServerCache {
            writes,
            completions,
            submitted,
            completed,
            written,
            requested,
            has_changed: false,
            next_write: now,
            next_renewal,
        };
        (cache, records)
    }

    /// The table differs from the one that was submitted last.
    pub(super) fn on_change(&mut self) {
        self.has_changed = true;
    }

    /// Requests a write of the present table as soon as possible. Returns its number.
    pub(super) fn write_now(&mut self) -> WriteNumber {
        self.requested = WriteNumber(self.submitted.0 + 1);
        self.requested
    }

    /// The last write that is on the disk.
    pub(super) fn written(&self) -> WriteNumber {
        self.written
    }

    /// Submits the table, if it has changed, or was not written for long.
    pub(super) fn tick(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        let due_at = if self.has_changed {
            self.next_write
        } else {
            self.next_renewal
        };
        if due_at <= now {
            self.submit(now, &table());
        }
    }

    /// Handles completed writes, and submits a requested one. It waits for a write in progress, so
    /// that updates that arrive faster than the disk writes share one.
    pub(super) fn advance(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        while let Ok(completed) = self.completions.try_recv() {
            self.on_completed(&completed);
        }
        if self.submitted < self.requested && self.completed == self.submitted {
            self.submit(now, &table());
        }
    }

    fn submit(&mut self, now: Time, table: &[ServerRecord]) {
        (self.has_changed, self.next_write, self.next_renewal) = (
            false,
            after(now, WRITE_INTERVAL),
            after(now, RENEWAL_INTERVAL),
        );
        self.submitted = WriteNumber(self.submitted.0 + 1);
        let number = self.submitted;
        match framed(time_of_day_s(), table) {
            // Without a thread the send fails: see `open`.
            Some(bytes) => drop(self.writes.send(TableWrite { number, bytes })),
            None => self.on_completed(&CompletedWrite {
                number,
                succeeded: false,
            }),
        }
    }

    fn on_completed(&mut self, completed: &CompletedWrite) {
        self.completed = completed.number;
        match completed.succeeded {
            true => self.written = completed.number,
            // The next write covers it.
            false => self.has_changed = true,
        }
    }
}

fn framed(written_s: u64, records: &[ServerRecord]) -> Option<Vec<u8>> {
    let written = encode_frame(
        PROTOCOL_VERSION,
        WRITTEN_AT_FRAME,
        &encode(&written_s).ok()?,
    )
    .ok()?;
    let table = encode_frame(
        PROTOCOL_VERSION,
        TABLE_FRAME,
        &encode(&records.to_vec()).ok()?,
    )
    .ok()?;
    Some([written, table].concat())
}

/// The time of day. It may jump: only the trust in a hint depends on it.
fn time_of_day_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

fn read(files: &dyn FileSystem, path: &Path) -> Result<Vec<ServerRecord>, CacheError> {
    let bytes = match files.open(path).and_then(|mut file| file.read_all()) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e.into()),
    };
    let mut reader = FrameReader::new(PROTOCOL_VERSION);
    reader.push(&bytes);
    let written = reader
        .next_frame()?
        .filter(|frame| frame.kind == WRITTEN_AT_FRAME)
        .ok_or(CacheError::Truncated)?;
    let age_s = time_of_day_s().abs_diff(decode(written.payload)?);
    let table = reader
        .next_frame()?
        .filter(|frame| frame.kind == TABLE_FRAME)
        .ok_or(CacheError::Truncated)?;
    let mut records: Vec<ServerRecord> = decode(table.payload)?;
    records
        .iter_mut()
        .for_each(|record| record.is_suspect |= age_s > MAX_UNSUSPECTED_AGE_S);
    Ok(records)
}

/// The state of the thread.
struct Writer {
    files: Box<dyn FileSystem>,
    path: PathBuf,
    wake: UnixStream,
    completed_writes: Sender<CompletedWrite>,
    /// Whether the last write failed.
    is_failing: bool,
}

impl Writer {
    fn run(mut self, queued: &Receiver<TableWrite>) {
        while let Ok(first) = queued.recv() {
            let newest = queued.try_iter().last().unwrap_or(first);
            let succeeded = self.write(&newest.bytes);
            if self
                .completed_writes
                .send(CompletedWrite {
                    number: newest.number,
                    succeeded,
                })
                .is_err()
            {
                return;
            }
            // A full stream wakes its reader as well.
            let _ = self.wake.write(&[1]);
        }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        let outcome = write(self.files.as_ref(), &self.path, bytes);
        let failed_before = std::mem::replace(&mut self.is_failing, outcome.is_err());
        // The write is retried again and again, but logged once.
        if let Some(e) = outcome.as_ref().err().filter(|_| !failed_before) {
            log::warn!(target: "control", error = e.to_string().as_str(); "table of servers can't be written");
        }
        outcome.is_ok()
    }
}

/// Writes the new table beside the old one and then replaces it, so that one of them is complete at
/// any time.
fn write(files: &dyn FileSystem, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new_path: PathBuf = path.with_extension("new");
    let mut file = files.create(&new_path)?;
    write_all_at(file.as_mut(), 0, bytes)?;
    file.sync()?;
    files.rename(&new_path, path)?;
    files.sync_folder(path.parent().unwrap_or(path))
}

#[cfg(test)]
mod tests;
