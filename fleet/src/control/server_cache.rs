//! The copy of the table of servers on this machine's disk.
//!
//! After a power loss on all machines, no machine knows any server until that server's next
//! heartbeat. The records on disk fill this gap. They are merged like an update of a peer, and the
//! next heartbeats confirm or correct them.
//!
//! Records of ready servers are only a hint. No acknowledgement depends on them, and they are
//! written at most once a second. A stale record costs a refused connection. A file that can't be
//! read is renamed and ignored.
//!
//! Records of departures are durable. An update about a departure requests a write at once
//! ([`ServerCache::write_now`]), and is acknowledged once that write, or a later one, has
//! completed.
//!
//! A separate thread writes the file, so that a stalled disk does not block the event loop. If
//! tables are submitted faster than the thread writes them, it writes only the newest.

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
/// Kind of the file's first frame: the time of the write, in seconds since the Unix epoch.
const WRITTEN_AT_FRAME: u16 = 1;
/// Kind of the file's second and last frame: the records.
const TABLE_FRAME: u16 = 2;
/// Minimum interval between periodic writes of a changed table.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval after which an unchanged table is written again. The age of the file then shows how
/// long the machine was down.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Age of a table, in seconds, above which its servers are marked as suspect.
const MAX_UNSUSPECTED_AGE_S: u64 = 60;

/// The reason why a table on disk is ignored.
#[derive(Debug, thiserror::Error)]
pub(super) enum CacheError {
    /// The file can't be read.
    #[error("the file can't be read: {0}")]
    Io(#[from] io::Error),
    /// The file contains an invalid frame, or one of another protocol version.
    #[error("the file has no valid frame of this protocol version: {0}")]
    Frame(#[from] FrameError),
    /// The payload of a frame can't be decoded.
    #[error("the records can't be decoded: {0}")]
    Archive(#[from] ArchiveError),
    /// A frame is missing, incomplete or of an unexpected kind.
    #[error("the file lacks a complete frame of the expected kind")]
    Truncated,
}

/// Sequence number of a write of the table. A later write includes the content of all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriteNumber(u64);

/// An encoded table for the writer thread.
struct TableWrite {
    number: WriteNumber,
    bytes: Vec<u8>,
}

/// The result of a write. All earlier writes have completed too.
struct CompletedWrite {
    number: WriteNumber,
    succeeded: bool,
}

/// The event loop's handle of the file and its writer thread.
pub(super) struct ServerCache {
    writes: Sender<TableWrite>,
    completions: Receiver<CompletedWrite>,
    /// The last write that was submitted to the writer thread.
    submitted: WriteNumber,
    /// The last write that has completed, successfully or not.
    completed: WriteNumber,
    /// The last write that has succeeded.
    written: WriteNumber,
    /// The last write that [`Self::write_now`] has requested. It is pending while it is greater
    /// than `submitted`.
    requested: WriteNumber,
    has_changed: bool,
    next_write_at: Time,
    next_renewal_at: Time,
}

impl ServerCache {
    /// Opens the file in a data directory, and returns its records. Renames a file that can't be
    /// read. The writer thread writes a byte to `wake_stream`, which must be non-blocking, after
    /// each write.
    pub(super) fn open(
        files: Box<dyn FileSystem>,
        directory: &Path,
        now: Time,
        wake_stream: UnixStream,
    ) -> (ServerCache, Vec<ServerRecord>) {
        let path = directory.join(TABLE_FILE);
        let records = match read(files.as_ref(), &path) {
            Ok(records) => records,
            Err(e) => {
                log::warn!(target: "control", error = e.to_string().as_str(); "table of servers on disk is ignored");
                // If the file can't be renamed, the next write replaces it.
                let _ = files.rename(&path, &path.with_extension("aside"));
                Vec::new()
            }
        };
        let (writes, queued) = mpsc::channel();
        let (completed_writes, completions) = mpsc::channel();
        let writer = Writer {
            files,
            path,
            wake_stream,
            completed_writes,
            is_failing: false,
        };
        // If the thread can't be started, nothing is written and this machine acknowledges no
        // departures.
        let _ = thread::Builder::new()
            .name("server-cache".into())
            .spawn(move || writer.run(&queued));
        let none = WriteNumber::default();
        let (submitted, completed, written, requested) = (none, none, none, none);
        let next_renewal_at = after(now, RENEWAL_INTERVAL);
        let cache = ServerCache {
            writes,
            completions,
            submitted,
            completed,
            written,
            requested,
            has_changed: false,
            next_write_at: now,
            next_renewal_at,
        };
        (cache, records)
    }

    /// Marks the table as changed since the last submitted write.
    pub(super) fn on_change(&mut self) {
        self.has_changed = true;
    }

    /// Requests a write of the current table as soon as possible. Returns its number.
    pub(super) fn write_now(&mut self) -> WriteNumber {
        self.requested = WriteNumber(self.submitted.0 + 1);
        self.requested
    }

    /// Returns the number of the last write that has succeeded.
    pub(super) fn written(&self) -> WriteNumber {
        self.written
    }

    /// Submits a periodic write if the table has changed or [`RENEWAL_INTERVAL`] has passed.
    pub(super) fn tick(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        let due_at = if self.has_changed {
            self.next_write_at
        } else {
            self.next_renewal_at
        };
        if due_at <= now {
            self.submit(now, &table());
        }
    }

    /// Handles completed writes, and submits a requested one. A requested write waits until the one
    /// in progress has completed, so that updates that arrive meanwhile share one write.
    pub(super) fn advance(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        while let Ok(completed) = self.completions.try_recv() {
            self.on_completed(&completed);
        }
        if self.submitted < self.requested && self.completed == self.submitted {
            self.submit(now, &table());
        }
    }

    fn submit(&mut self, now: Time, table: &[ServerRecord]) {
        (self.has_changed, self.next_write_at, self.next_renewal_at) = (
            false,
            after(now, WRITE_INTERVAL),
            after(now, RENEWAL_INTERVAL),
        );
        self.submitted = WriteNumber(self.submitted.0 + 1);
        let number = self.submitted;
        match encode_table(time_of_day_s(), table) {
            // Fails if the writer thread could not be started: see `open`.
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
            // The next periodic write retries it.
            false => self.has_changed = true,
        }
    }
}

fn encode_table(written_s: u64, records: &[ServerRecord]) -> Option<Vec<u8>> {
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

/// Returns the wall-clock time in seconds since the Unix epoch. The clock may jump, which affects
/// only whether cached servers are marked as suspect.
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

/// The state of the writer thread.
struct Writer {
    files: Box<dyn FileSystem>,
    path: PathBuf,
    wake_stream: UnixStream,
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
            // The error is ignored: a full stream wakes its reader too.
            let _ = self.wake_stream.write(&[1]);
        }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        let outcome = write(self.files.as_ref(), &self.path, bytes);
        let failed_before = std::mem::replace(&mut self.is_failing, outcome.is_err());
        // Failed writes are retried periodically. Only the first failure is logged.
        if let Some(e) = outcome.as_ref().err().filter(|_| !failed_before) {
            log::warn!(target: "control", error = e.to_string().as_str(); "table of servers can't be written");
        }
        outcome.is_ok()
    }
}

/// Writes the table to a new file and renames it over the old one, so that a complete table exists
/// at any time.
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
