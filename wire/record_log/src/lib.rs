//! Records kept in a folder, for a voter's memory.
//!
//! It owns one file, `memory`, in a folder that the operators' file names. It promises: what
//! [`Keep::append`] has returned from is there after any crash of the process or the machine, whole
//! and in order; a record whose writing was cut off is none; a file that is damaged otherwise, or
//! that belongs to somebody else, is set aside and never read as a memory. It touches the file
//! system alone, and knows nothing of what the records mean.
//!
//! The file: a line that names it, a line that names its owner, then records, each behind its
//! length, the checksum of that and its own (CRC-32, four bytes each, most significant first). That
//! lengths have one of their own tells a damage from an end that was cut off: what was kept behind
//! a damaged length would be forgotten otherwise.
//!
//! ```
//! let folder = std::env::temp_dir().join(format!("keep-example-{}", std::process::id()));
//! let (mut keep, told) = lichenswitch_record_log::Keep::open(&folder, "coast n0").unwrap();
//! assert!(told.records.is_empty() && told.aside.is_none());
//! keep.append(&[b"promised".to_vec()]).unwrap();
//! drop(keep);
//! let (_, told) = lichenswitch_record_log::Keep::open(&folder, "coast n0").unwrap();
//! assert_eq!(told.records, [b"promised".to_vec()]);
//! # std::fs::remove_dir_all(folder).unwrap();
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// What the file begins with.
const WORD: &str = "lichenswitch memory 1";
/// Longest record (bytes): what claims more is damaged.
const LONGEST: usize = 64 << 20;
/// The file is written anew, as one record, once it has grown beyond this many bytes and four times
/// what it began with.
const LARGE: u64 = 1 << 20;

/// What was found in a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// The records, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes at the end that were no whole record: their writing had been cut off.
    pub torn: usize,
    /// A file that was no memory of this owner's: where it was set aside, and why.
    pub aside: Option<(PathBuf, String)>,
}

/// A file of records.
#[derive(Debug)]
pub struct Keep {
    folder: PathBuf,
    owner: String,
    file: File,
    size: u64,
    began: u64,
}

/// A record as it is written.
fn framed(record: &[u8]) -> Vec<u8> {
    let length = (record.len() as u32).to_be_bytes();
    let mut out = length.to_vec();
    out.extend_from_slice(&crc32fast::hash(&length).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(record).to_be_bytes());
    out.extend_from_slice(record);
    out
}

/// The records of a file's bytes, and how many bytes at its end are a record whose writing was cut
/// off.
fn read(mut bytes: &[u8], owner: &str) -> Result<(Vec<Vec<u8>>, usize), String> {
    for (line, what) in [(WORD, "this file"), (owner, "its owner")] {
        let rest = bytes
            .strip_prefix(line.as_bytes())
            .and_then(|rest| rest.strip_prefix(b"\n"));
        bytes = rest.ok_or_else(|| format!("it does not name {what}: {line:?} is not there"))?;
    }
    let mut records = Vec::new();
    loop {
        let Some((head, rest)) = bytes.split_first_chunk::<12>() else {
            return Ok((records, bytes.len()));
        };
        let word =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, place) = (word(0) as usize, records.len() + 1);
        if crc32fast::hash(&head[..4]) != word(4) || length > LONGEST {
            return Err(format!("record {place} has no length that was written"));
        }
        let Some(record) = rest.get(..length) else {
            return Ok((records, bytes.len()));
        };
        if crc32fast::hash(record) != word(8) {
            return Err(format!("record {place} is not what was written"));
        }
        records.push(record.to_vec());
        bytes = &rest[length..];
    }
}

impl Keep {
    /// Opens the memory of `owner` in a folder, which is made if it is not there. Whose owner is
    /// another one, or what is damaged before its end, is set aside under a name of its own, and
    /// the memory begins empty.
    ///
    /// # Errors
    /// When the folder or the file can't be read or written.
    pub fn open(folder: &Path, owner: &str) -> io::Result<(Keep, Found)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("memory");
        let mut found = Found::default();
        let mut bytes = Vec::new();
        match File::open(&path) {
            Ok(mut file) => {
                file.read_to_end(&mut bytes)?;
                match read(&bytes, owner) {
                    Ok((records, torn)) => (found.records, found.torn) = (records, torn),
                    Err(why) => found.aside = Some((set_aside(folder, &path)?, why)),
                }
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        // What was found is written anew: its torn end is gone, and the first append stands on
        // whole records.
        let (file, size) = write_anew(folder, owner, &found.records)?;
        Ok((
            Keep {
                folder: folder.into(),
                owner: owner.into(),
                file,
                size,
                began: size,
            },
            found,
        ))
    }

    /// Keeps these records, in order. Once this returns they are there for good.
    ///
    /// # Errors
    /// When they could not be written: how much of them is there is not known then, and no more may
    /// be appended.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(|r| framed(r)).collect();
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Whether the file has grown so much that one record in place of all is worth its writing.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.size > LARGE.max(4 * self.began)
    }

    /// Keeps one record in place of all so far: it is there whole, or they are.
    ///
    /// # Errors
    /// When it could not be written; what was kept before stays.
    pub fn replace(&mut self, record: &[u8]) -> io::Result<()> {
        (self.file, self.size) = write_anew(&self.folder, &self.owner, &[record.to_vec()])?;
        self.began = self.size;
        Ok(())
    }
}

/// Writes the file beside the old one and puts it in its place.
fn write_anew(folder: &Path, owner: &str, records: &[Vec<u8>]) -> io::Result<(File, u64)> {
    let (path, beside) = (folder.join("memory"), folder.join("memory.new"));
    let mut bytes = format!("{WORD}\n{owner}\n").into_bytes();
    bytes.extend(records.iter().flat_map(|r| framed(r)));
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .open(&beside)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, &path)?;
    // The name counts only once the folder is on the disk too.
    File::open(folder)?.sync_all()?;
    Ok((file, bytes.len() as u64))
}

fn set_aside(folder: &Path, path: &Path) -> io::Result<PathBuf> {
    let free = (1..)
        .map(|n| folder.join(format!("memory.aside.{n}")))
        .find(|p| !p.exists());
    let aside = free.unwrap_or_else(|| folder.join("memory.aside"));
    std::fs::rename(path, &aside)?;
    Ok(aside)
}

#[cfg(test)]
mod tests;
