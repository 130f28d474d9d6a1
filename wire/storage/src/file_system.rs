//! The few operations on files that the storage needs, so that tests can put a disk with faults in
//! their place.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Operations on the names of files and folders. All of them may block.
pub trait FileSystem: Send {
    /// Creates one folder whose parent exists.
    ///
    /// # Errors
    /// The error of the system; `AlreadyExists` if it exists.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Whether the name exists.
    fn exists(&self, path: &Path) -> bool;
    /// Opens an existing file for reading and writing.
    ///
    /// # Errors
    /// The error of the system; `NotFound` if there is none.
    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageFile>>;
    /// Creates an empty file; one of this name is emptied.
    ///
    /// # Errors
    /// The error of the system.
    fn create(&self, path: &Path) -> io::Result<Box<dyn StorageFile>>;
    /// Renames a file; one of the new name is replaced.
    ///
    /// # Errors
    /// The error of the system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// The error of the system.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes all names in a folder durable.
    ///
    /// # Errors
    /// The error of the system.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
}

/// An open file. All operations may block.
pub trait StorageFile: Send {
    /// Length (bytes).
    ///
    /// # Errors
    /// The error of the system.
    fn length(&mut self) -> io::Result<u64>;
    /// Reads all of it.
    ///
    /// # Errors
    /// The error of the system.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;
    /// Writes at an offset; may write less, and says how much.
    ///
    /// # Errors
    /// The error of the system.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;
    /// Truncates it, or extends it with zeros.
    ///
    /// # Errors
    /// The error of the system.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Makes all that was written durable.
    ///
    /// # Errors
    /// The error of the system: what was written since the last sync must then be written again.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealFileSystem;

impl FileSystem for RealFileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        std::fs::create_dir(path)
    }

    fn exists(&self, path: &Path) -> bool {
        path.exists()
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        Ok(Box::new(
            OpenOptions::new().read(true).write(true).open(path)?,
        ))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl StorageFile for File {
    fn length(&mut self) -> io::Result<u64> {
        self.seek(SeekFrom::End(0))
    }

    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.seek(SeekFrom::Start(0))?;
        self.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.seek(SeekFrom::Start(offset))?;
        self.write(bytes)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}

/// Writes all of `bytes`, in as many writes as it takes.
///
/// # Errors
/// The error of the system; a part may have been written then.
pub fn write_all_at(
    file: &mut dyn StorageFile,
    mut offset: u64,
    mut bytes: &[u8],
) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write_at(offset, bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => (offset, bytes) = (offset + written as u64, &bytes[written..]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
