//! The table of servers as this machine last knew it, on its disk.
//!
//! After a loss of power on all machines nobody knows any server until its next heartbeat. What is
//! read here fills that gap: it is merged as news from a peer would be, and the next heartbeats
//! confirm or correct it. Of servers that are ready it is a hint: nothing is acknowledged by it, it
//! is written once a second at most, a stale record costs a connection that is refused, and a file
//! that can't be read is set aside and passed over. That a server leaves or has left is
//! acknowledged by it: such news ask for a write at once ([`ServerCache::write_now`]), and whoever
//! has to hold them waits until that write, or a later one, has completed.
//!
//! A thread of its own writes, so that a stalled disk holds nobody up; of tables that come faster
//! than it writes, the newest counts.

use super::program::after;
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

/// File in the data directory.
const FILE: &str = "servers";
/// Kind of its first frame: when it was written (seconds of the time of day).
const WRITTEN: u16 = 1;
/// Kind of its second and last frame.
const TABLE: u16 = 2;
/// Tables are written this often at the most.
const INTERVAL: Duration = Duration::from_secs(1);
/// A table is written anew after this time, also when it is as before, so that its age tells how
/// long the machine was away.
const RENEWAL: Duration = Duration::from_secs(10);
/// Servers of a table that is older than this count as unheard.
const TRUSTED_S: u64 = 60;

/// Why a table on disk is passed over.
#[derive(Debug, thiserror::Error)]
pub(super) enum CacheError {
    /// The file can't be read.
    #[error("it can't be read: {0}")]
    Io(#[from] io::Error),
    /// It is no frame of this version.
    #[error("it is no table of this version: {0}")]
    Frame(#[from] FrameError),
    /// Its content is no table.
    #[error("its content is no table: {0}")]
    Archive(#[from] ArchiveError),
    /// It ends too soon.
    #[error("it ends before its table does")]
    Cut,
}

/// Number of a write of the table. A later one holds all that those before it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriteNumber(u64);

/// A table on its way to the disk.
struct TableWrite {
    number: WriteNumber,
    bytes: Vec<u8>,
}

/// How a write has ended; those before it have ended too.
struct CompletedCall {
    number: WriteNumber,
    succeeded: bool,
}

/// The file, and what waits to be written to it.
pub(super) struct ServerCache {
    writes: Sender<TableWrite>,
    endings: Receiver<CompletedCall>,
    /// The last write that was handed to the thread.
    begun: WriteNumber,
    /// The last one that has ended, well or not.
    ended: WriteNumber,
    /// The last one that is on the disk.
    written: WriteNumber,
    /// A write that is wanted at once, if it has not begun.
    wanted: WriteNumber,
    changed: bool,
    next_write: Time,
    next_renewal: Time,
}

impl ServerCache {
    /// Opens the file in a data directory, and tells what it holds. A table that can't be read is
    /// set aside. A byte is written to `wake`, which must not block, when a write has ended.
    pub(super) fn open(
        files: Box<dyn FileSystem>,
        directory: &Path,
        now: Time,
        wake: UnixStream,
    ) -> (ServerCache, Vec<ServerRecord>) {
        let path = directory.join(FILE);
        let records = match read(files.as_ref(), &path) {
            Ok(records) => records,
            Err(e) => {
                log::warn!(target: "control", error = e.to_string().as_str(); "the table of servers on disk is passed over");
                // It stays where it is if it can't be renamed; the next table takes its place.
                let _ = files.rename(&path, &path.with_extension("aside"));
                Vec::new()
            }
        };
        let (writes, waiting) = mpsc::channel();
        let (tell, endings) = mpsc::channel();
        let writer = Writer {
            files,
            path,
            wake,
            tell,
            failing: false,
        };
        // Without a thread nothing is written, and no news of servers that leave are held here.
        let _ = thread::Builder::new()
            .name("server-cache".into())
            .spawn(move || writer.run(&waiting));
        let none = WriteNumber::default();
        let (begun, ended, written, wanted) = (none, none, none, none);
        let next_renewal = after(now, RENEWAL);
        let cache = ServerCache {
            writes,
            endings,
            begun,
            ended,
            written,
            wanted,
            changed: false,
            next_write: now,
            next_renewal,
        };
        (cache, records)
    }

    /// The table is no longer what was written.
    pub(super) fn on_change(&mut self) {
        self.changed = true;
    }

    /// The table as it is now is wanted on the disk as soon as can be: by the write of this number.
    pub(super) fn write_now(&mut self) -> WriteNumber {
        self.wanted = WriteNumber(self.begun.0 + 1);
        self.wanted
    }

    /// The last write that is on the disk.
    pub(super) fn written(&self) -> WriteNumber {
        self.written
    }

    /// Writes the table, if it has changed and the last one is some time ago.
    pub(super) fn tick(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        let due = if self.changed {
            self.next_write
        } else {
            self.next_renewal
        };
        if due <= now {
            self.begin(now, &table());
        }
    }

    /// Takes in what the thread has done, and begins the write that is wanted at once. While one is
    /// under way it waits for its end, so that news that come faster than the disk writes share
    /// one.
    pub(super) fn advance(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        while let Ok(ended) = self.endings.try_recv() {
            self.on_ended(&ended);
        }
        if self.begun < self.wanted && self.ended == self.begun {
            self.begin(now, &table());
        }
    }

    fn begin(&mut self, now: Time, table: &[ServerRecord]) {
        (self.changed, self.next_write, self.next_renewal) =
            (false, after(now, INTERVAL), after(now, RENEWAL));
        self.begun = WriteNumber(self.begun.0 + 1);
        let number = self.begun;
        match framed(time_of_day_s(), table) {
            // Nobody writes any more: see `open`.
            Some(bytes) => drop(self.writes.send(TableWrite { number, bytes })),
            None => self.on_ended(&CompletedCall {
                number,
                succeeded: false,
            }),
        }
    }

    fn on_ended(&mut self, ended: &CompletedCall) {
        self.ended = ended.number;
        match ended.succeeded {
            true => self.written = ended.number,
            // The next write makes up for it.
            false => self.changed = true,
        }
    }
}

fn framed(written_s: u64, records: &[ServerRecord]) -> Option<Vec<u8>> {
    let written = encode_frame(PROTOCOL_VERSION, WRITTEN, &encode(&written_s).ok()?).ok()?;
    let table = encode_frame(PROTOCOL_VERSION, TABLE, &encode(&records.to_vec()).ok()?).ok()?;
    Some([written, table].concat())
}

/// The time of day may jump: what hangs on it is how far a hint is trusted, and no more.
fn time_of_day_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
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
        .filter(|frame| frame.kind == WRITTEN)
        .ok_or(CacheError::Cut)?;
    let age_s = time_of_day_s().abs_diff(decode(written.payload)?);
    let table = reader
        .next_frame()?
        .filter(|frame| frame.kind == TABLE)
        .ok_or(CacheError::Cut)?;
    let mut records: Vec<ServerRecord> = decode(table.payload)?;
    records
        .iter_mut()
        .for_each(|record| record.is_suspect |= age_s > TRUSTED_S);
    Ok(records)
}

/// What the thread has.
struct Writer {
    files: Box<dyn FileSystem>,
    path: PathBuf,
    wake: UnixStream,
    tell: Sender<CompletedCall>,
    /// Whether the last write failed.
    failing: bool,
}

impl Writer {
    fn run(mut self, waiting: &Receiver<TableWrite>) {
        while let Ok(first) = waiting.recv() {
            let newest = waiting.try_iter().last().unwrap_or(first);
            let succeeded = self.write(&newest.bytes);
            if self
                .tell
                .send(CompletedCall {
                    number: newest.number,
                    succeeded,
                })
                .is_err()
            {
                return;
            }
            // A stream that is full wakes its reader anyhow.
            let _ = self.wake.write(&[1]);
        }
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        let outcome = write(self.files.as_ref(), &self.path, bytes);
        let failed_before = std::mem::replace(&mut self.failing, outcome.is_err());
        // It is tried again and again; the log needs to hear of it once.
        if let Some(e) = outcome.as_ref().err().filter(|_| !failed_before) {
            log::warn!(target: "control", error = e.to_string().as_str(); "the table of servers can't be written");
        }
        outcome.is_ok()
    }
}

/// The new table beside the old one, then in its place: one of them is whole at any time.
fn write(files: &dyn FileSystem, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside: PathBuf = path.with_extension("new");
    let mut file = files.create(&beside)?;
    write_all_at(file.as_mut(), 0, bytes)?;
    file.sync()?;
    files.rename(&beside, path)?;
    files.sync_folder(path.parent().unwrap_or(path))
}

#[cfg(test)]
mod tests;
