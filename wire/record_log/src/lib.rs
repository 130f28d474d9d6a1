//! A durable log of records in a folder, for the state of a voter.
//!
//! It owns one file, `memory`, in a folder that the operators' file names. It promises: what
//! [`RecordLog::append`] has returned from survives any crash of the process or the machine,
//! complete and in order; a record whose writing was interrupted is not read; a file that is
//! damaged otherwise, or that belongs to another owner, is set aside and never read. It knows
//! nothing of the meaning of the records.
//!
//! The file is a line that names the format, a line that names its owner, then the records. Each
//! record is preceded by its length, the CRC-32 of the length and the CRC-32 of the record, four
//! bytes each, most significant first. The length has a checksum of its own to tell damage from a
//! write that was interrupted: behind a damaged length stand records that must not be forgotten.
//!
//! ```
//! use lichenswitch_record_log::RecordLog;
//! let folder = std::env::temp_dir().join(format!("record-log-example-{}", std::process::id()));
//! let (mut log, recovered) = RecordLog::open(&folder, "coast n0").unwrap();
//! assert!(recovered.records.is_empty() && recovered.set_aside.is_none());
//! log.append(&[b"promised".to_vec()]).unwrap();
//! drop(log);
//! let (_, recovered) = RecordLog::open(&folder, "coast n0").unwrap();
//! assert_eq!(recovered.records, [b"promised".to_vec()]);
//! # std::fs::remove_dir_all(folder).unwrap();
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The first line of the file.
const FORMAT: &str = "lichenswitch memory 1";
/// The longest record (bytes): a header that claims more is damaged.
const MAX_RECORD_BYTES: usize = 64 << 20;
/// The length of a record's header: its length, and two checksums.
const HEADER_BYTES: usize = 12;
/// The file is worth rewriting as one record once it is larger than this many bytes, and than
/// [`COMPACTION_GROWTH`] times its size when it was last written anew.
const COMPACTION_MIN_BYTES: u64 = 1 << 20;
const COMPACTION_GROWTH: u64 = 4;

/// Why a file is not the log of its owner.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// Its first line is not this one.
    #[error("it does not name this file: {0:?} is not there")]
    Format(&'static str),
    /// Its second line does not name this owner.
    #[error("it does not name its owner: {0:?} is not there")]
    Owner(String),
    /// The checksum of the length of the record at this position, from 1, is wrong.
    #[error("record {0} has no length that was written")]
    Length(usize),
    /// The checksum of the record at this position, from 1, is wrong.
    #[error("record {0} is not what was written")]
    Record(usize),
}

/// A file that was set aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetAsideFile {
    /// Where it is now.
    pub path: PathBuf,
    /// Why it was not read.
    pub damage: Damage,
}

/// What was found in a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredRecords {
    /// The records, in order.
    pub records: Vec<Vec<u8>>,
    /// The number of bytes at the end of the file that are an incomplete record: its writing was
    /// interrupted.
    pub torn_bytes: usize,
    /// A file that was not the log of this owner.
    pub set_aside: Option<SetAsideFile>,
}

/// A durable log of records, open for appending.
#[derive(Debug)]
pub struct RecordLog {
    folder: PathBuf,
    owner: String,
    file: File,
    size: u64,
    /// Its size when it was last written anew.
    compacted_size: u64,
}

/// A record with its header.
fn encode(record: &[u8]) -> Vec<u8> {
    let length = (record.len() as u32).to_be_bytes();
    let mut bytes = length.to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&length).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(record).to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

/// Removes a line from the beginning of the bytes, if it is there.
fn strip_line<'a>(bytes: &'a [u8], line: &str) -> Option<&'a [u8]> {
    bytes.strip_prefix(line.as_bytes())?.strip_prefix(b"\n")
}

/// The header of a record.
struct Header {
    length: u32,
    length_checksum: u32,
    record_checksum: u32,
}

impl Header {
    /// Splits a header off the bytes; `None`: it is incomplete.
    fn split_from(bytes: &[u8]) -> Option<(Header, &[u8])> {
        let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
        let [a, b, c, d, e, f, g, h, i, j, k, l] = *header;
        let header = Header {
            length: u32::from_be_bytes([a, b, c, d]),
            length_checksum: u32::from_be_bytes([e, f, g, h]),
            record_checksum: u32::from_be_bytes([i, j, k, l]),
        };
        Some((header, rest))
    }

    fn is_length_sound(&self) -> bool {
        crc32fast::hash(&self.length.to_be_bytes()) == self.length_checksum
            && self.length as usize <= MAX_RECORD_BYTES
    }
}

/// The records of a file's bytes, and how many bytes at its end are an incomplete record.
fn decode(bytes: &[u8], owner: &str) -> Result<(Vec<Vec<u8>>, usize), Damage> {
    let bytes = strip_line(bytes, FORMAT).ok_or(Damage::Format(FORMAT))?;
    let mut bytes = strip_line(bytes, owner).ok_or_else(|| Damage::Owner(owner.into()))?;
    let mut records = Vec::new();
    while let Some((header, rest)) = Header::split_from(bytes) {
        let position = records.len() + 1;
        if !header.is_length_sound() {
            return Err(Damage::Length(position));
        }
        let Some((record, rest)) = rest.split_at_checked(header.length as usize) else {
            break;
        };
        if crc32fast::hash(record) != header.record_checksum {
            return Err(Damage::Record(position));
        }
        records.push(record.to_vec());
        bytes = rest;
    }
    Ok((records, bytes.len()))
}

impl RecordLog {
    /// Opens the log of `owner` in a folder, which is created if it does not exist. A file of
    /// another owner, or with damage before its end, is set aside under another name, and the log
    /// begins empty.
    ///
    /// # Errors
    /// When the folder or the file can't be read or written.
    pub fn open(folder: &Path, owner: &str) -> io::Result<(RecordLog, RecoveredRecords)> {
        std::fs::create_dir_all(folder)?;
        let recovered = recover(folder, owner)?;
        // Written anew the file is without an incomplete record, which the first append would
        // otherwise follow.
        let (file, size) = write_anew(folder, owner, &recovered.records)?;
        let log = RecordLog {
            folder: folder.into(),
            owner: owner.into(),
            file,
            size,
            compacted_size: size,
        };
        Ok((log, recovered))
    }

    /// Appends records, in order. They are durable once this returns.
    ///
    /// # Errors
    /// When they could not be written. How many of them are in the file is not known then, and
    /// nothing more may be appended.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(|r| encode(r)).collect();
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Whether the file has grown so much that it is worth rewriting as one record.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.size > COMPACTION_MIN_BYTES.max(COMPACTION_GROWTH * self.compacted_size)
    }

    /// Replaces all records by one. After a crash either that one is there or all the others are.
    ///
    /// # Errors
    /// When it could not be written; the records of before remain.
    pub fn replace(&mut self, record: &[u8]) -> io::Result<()> {
        (self.file, self.size) = write_anew(&self.folder, &self.owner, &[record.to_vec()])?;
        self.compacted_size = self.size;
        Ok(())
    }
}

/// Reads the file in a folder; sets it aside if it is damaged or another owner's.
fn recover(folder: &Path, owner: &str) -> io::Result<RecoveredRecords> {
    let path = folder.join("memory");
    let mut recovered = RecoveredRecords::default();
    let mut bytes = Vec::new();
    match File::open(&path) {
        Ok(mut file) => file.read_to_end(&mut bytes)?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(recovered),
        Err(e) => return Err(e),
    };
    match decode(&bytes, owner) {
        Ok((records, torn_bytes)) => {
            (recovered.records, recovered.torn_bytes) = (records, torn_bytes);
        }
        Err(damage) => {
            let path = set_aside(folder, &path)?;
            recovered.set_aside = Some(SetAsideFile { path, damage });
        }
    }
    Ok(recovered)
}

/// Writes the file beside the old one and puts it in its place.
fn write_anew(folder: &Path, owner: &str, records: &[Vec<u8>]) -> io::Result<(File, u64)> {
    let (path, new_path) = (folder.join("memory"), folder.join("memory.new"));
    let mut bytes = format!("{FORMAT}\n{owner}\n").into_bytes();
    bytes.extend(records.iter().flat_map(|r| encode(r)));
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&new_path)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(&new_path, &path)?;
    // The new name is durable only once the folder is.
    File::open(folder)?.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// Renames the file to the first free name; returns that.
fn set_aside(folder: &Path, path: &Path) -> io::Result<PathBuf> {
    let free = (1..)
        .map(|n| folder.join(format!("memory.aside.{n}")))
        .find(|p| !p.exists());
    let new_path = free.unwrap_or_else(|| folder.join("memory.aside"));
    std::fs::rename(path, &new_path)?;
    Ok(new_path)
}

#[cfg(test)]
mod tests;
