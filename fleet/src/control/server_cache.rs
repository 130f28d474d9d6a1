//! The table of servers as this machine last knew it, on its disk.
//!
//! After a loss of power on all machines nobody knows any server until its next heartbeat. What is read here fills that gap: it is merged as
//! news from a peer would be, and the next heartbeats confirm or correct it. It is a hint and no state: nothing is acknowledged by it, a
//! stale record costs a connection that is refused, and a file that can't be read is set aside and passed over.
//!
//! A thread of its own writes, so that a stalled disk holds nobody up; of tables that come faster than it writes, the newest counts.

use super::program::after;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, PROTOCOL_VERSION};
use lichenswitch_rpc::{decode, encode, encode_frame, ArchiveError, FrameError, FrameReader};
use std::fs::File;
use std::io::{self, Write};
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
/// A table is written anew after this time, also when it is as before, so that its age tells how long the machine was away.
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

/// The file, and what waits to be written to it.
pub(super) struct ServerCache {
    tables: Sender<Vec<u8>>,
    changed: bool,
    next_write: Time,
    next_renewal: Time,
}

impl ServerCache {
    /// Opens the file in a data directory, and tells what it holds. A table that can't be read is set aside.
    pub(super) fn open(directory: &Path, now: Time) -> (ServerCache, Vec<ServerRecord>) {
        let path = directory.join(FILE);
        let records = match read(&path) {
            Ok(records) => records,
            Err(e) => {
                log::warn!(target: "control", error = e.to_string().as_str(); "the table of servers on disk is passed over");
                // It stays where it is if it can't be renamed; the next table takes its place.
                let _ = std::fs::rename(&path, path.with_extension("aside"));
                Vec::new()
            }
        };
        let (tables, waiting) = mpsc::channel();
        // Without a thread nothing is written: the gap after a loss of power is longer, and no more.
        let _ = thread::Builder::new().name("server-cache".into()).spawn(move || write_all(&path, &waiting));
        (ServerCache { tables, changed: false, next_write: now, next_renewal: after(now, RENEWAL) }, records)
    }

    /// The table is no longer what was written.
    pub(super) fn on_change(&mut self) {
        self.changed = true;
    }

    /// Writes the table, if it has changed and the last one is some time ago.
    pub(super) fn tick(&mut self, now: Time, table: impl FnOnce() -> Vec<ServerRecord>) {
        let due = if self.changed { self.next_write } else { self.next_renewal };
        if now < due {
            return;
        }
        (self.changed, self.next_write, self.next_renewal) =
            (false, after(now, INTERVAL), after(now, RENEWAL));
        if let Some(bytes) = framed(time_of_day_s(), &table()) {
            // Nobody writes any more: see `open`.
            let _ = self.tables.send(bytes);
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
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

fn read(path: &Path) -> Result<Vec<ServerRecord>, CacheError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(e.into()),
    };
    let mut reader = FrameReader::new(PROTOCOL_VERSION);
    reader.push(&bytes);
    let written = reader.next_frame()?.filter(|frame| frame.kind == WRITTEN).ok_or(CacheError::Cut)?;
    let age_s = time_of_day_s().abs_diff(decode(written.payload)?);
    let table = reader.next_frame()?.filter(|frame| frame.kind == TABLE).ok_or(CacheError::Cut)?;
    let mut records: Vec<ServerRecord> = decode(table.payload)?;
    records.iter_mut().for_each(|record| record.unheard |= age_s > TRUSTED_S);
    Ok(records)
}

fn write_all(path: &Path, waiting: &Receiver<Vec<u8>>) {
    while let Ok(first) = waiting.recv() {
        let newest = waiting.try_iter().last().unwrap_or(first);
        if let Err(e) = write(path, &newest) {
            log::warn!(target: "control", error = e.to_string().as_str(); "the table of servers can't be written");
        }
    }
}

/// The new table beside the old one, then in its place: one of them is whole at any time.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside: PathBuf = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    let folder = path.parent().unwrap_or(path);
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
