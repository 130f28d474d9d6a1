//! What the processes of one broker share: a folder in `$TMPDIR`, which a process that is started
//! beside another one finds as it was left.
//!
//! - `wanted`: the desired state, replaced as one. Changes are made one at a time under the lock of
//!   `lock`.
//! - `process-N`: locked by process N for as long as it runs, however it ends; one line with its
//!   status.
//! - `door-N`: where process N hands over the socket that clients connect to ([`super::handover`]).

use crate::interface::Time;
use lichenswitch_management::desired_state::{DecodeError, DesiredState, REFRESH_INTERVAL};
use lichenswitch_management::processes::ProcessStatus;
use std::fs::{self, DirBuilder, File, Metadata, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// A change waits this long for that of another process. Guards the answer: the other process is
/// stuck beyond that.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the lock is tried meanwhile.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The longest state that is read (bytes).
const MAX_STATE_BYTES: u64 = 8 << 20;
/// The longest line of a process that is read (bytes).
const MAX_STATUS_BYTES: u64 = 64;
/// The most characters of the owner in the folder's name.
const MAX_NAME_CHARS: usize = 40;

/// Why the folder, or the state in it, can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// The system refuses an operation on this path.
    #[error("{0}: {1}")]
    System(PathBuf, io::Error),
    /// It is not a folder, or is another user's.
    #[error("{0}: it is no folder of this user's own")]
    NotOwned(PathBuf),
    /// The stored state can't be decoded.
    #[error("{0}: {1}")]
    State(PathBuf, DecodeError),
}

/// A version of the file of the desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    inode: u64,
    modified_s: i64,
    modified_ns: i64,
    length: u64,
}

impl FileVersion {
    fn of(metadata: &Metadata) -> FileVersion {
        FileVersion {
            inode: metadata.ino(),
            modified_s: metadata.mtime(),
            modified_ns: metadata.mtime_nsec(),
            length: metadata.len(),
        }
    }
}

/// A change of the desired state.
#[derive(Debug)]
pub struct AppliedChange {
    /// The state from now on.
    pub state: DesiredState,
    /// Whether it is stored; if not, it ends with this process.
    pub stored: Result<(), FolderError>,
}

impl AppliedChange {
    /// A change where there is no folder to store it in.
    #[must_use]
    pub fn in_memory(state: DesiredState) -> AppliedChange {
        AppliedChange {
            state,
            stored: Ok(()),
        }
    }
}

/// The folder, as one process of the broker uses it.
#[derive(Debug)]
pub struct SharedFolder {
    path: PathBuf,
    owner: String,
    /// What this process has published last.
    status: ProcessStatus,
    /// This process's file, locked for as long as it runs.
    status_file: File,
    /// The version of the state that was read last.
    last_read: Option<FileVersion>,
}

impl SharedFolder {
    /// Opens the folder of the broker of this name, and publishes that this process runs.
    ///
    /// # Errors
    /// When it can't be created or written, or is another user's.
    pub fn open(root: &Path, owner: &str) -> Result<SharedFolder, FolderError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let name: String = owner
            .chars()
            .filter(|c| is_allowed(*c))
            .take(MAX_NAME_CHARS)
            .collect();
        let path = root.join(format!(
            "lichenswitch-{name}-{:08x}",
            crc32fast::hash(owner.as_bytes())
        ));
        let failed = |e| FolderError::System(path.clone(), e);
        match DirBuilder::new().mode(0o700).create(&path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(failed(e)),
            _ => {}
        }
        // Guards against other users that may write to the root: what is there under this name has
        // to be this user's.
        let metadata = fs::symlink_metadata(&path).map_err(failed)?;
        let user = fs::metadata("/proc/self").map_err(failed)?.uid();
        if !metadata.is_dir() || metadata.uid() != user {
            return Err(FolderError::NotOwned(path));
        }
        let status = ProcessStatus {
            process: std::process::id(),
            ..ProcessStatus::default()
        };
        let status_file = create_status_file(&path, status).map_err(failed)?;
        Ok(SharedFolder {
            path,
            owner: owner.into(),
            status,
            status_file,
            last_read: None,
        })
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The id of this process.
    #[must_use]
    pub fn process(&self) -> u32 {
        self.status.process
    }

    /// Where a process hands over the clients' socket.
    #[must_use]
    pub fn handover_path(&self, process: u32) -> PathBuf {
        handover_path(&self.path, process)
    }

    fn state_path(&self) -> PathBuf {
        self.path.join("wanted")
    }

    /// Publishes the status of this process, if it has changed or the file was removed.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn publish(&mut self, status: ProcessStatus) -> Result<(), FolderError> {
        let status = ProcessStatus {
            process: self.status.process,
            ..status
        };
        let path = status_path(&self.path, status.process);
        if status == self.status && path.exists() {
            return Ok(());
        }
        let written = match path.exists() {
            true => overwrite(&mut self.status_file, &status.to_line()),
            false => create_status_file(&self.path, status).map(|file| self.status_file = file),
        };
        self.status = status;
        written.map_err(|e| FolderError::System(path, e))
    }

    /// The other processes of this broker that run. The files of those that have ended are removed.
    ///
    /// # Errors
    /// When the folder can't be read.
    pub fn others(&self) -> Result<Vec<ProcessStatus>, FolderError> {
        others(&self.path, self.status.process)
    }

    /// The desired state; `None`: it is the one that was read last, or there is none.
    ///
    /// # Errors
    /// When it can't be read or decoded; once for each version.
    pub fn read_if_changed(&mut self, now: Time) -> Result<Option<DesiredState>, FolderError> {
        let path = self.state_path();
        let failed = |e| FolderError::System(path.clone(), e);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(failed(e)),
        };
        let version = FileVersion::of(&file.metadata().map_err(failed)?);
        if self.last_read == Some(version) {
            return Ok(None);
        }
        self.last_read = Some(version);
        let mut bytes = Vec::new();
        file.take(MAX_STATE_BYTES)
            .read_to_end(&mut bytes)
            .map_err(failed)?;
        let state = DesiredState::decode(&bytes, &self.owner, now);
        state
            .map(Some)
            .map_err(|error| FolderError::State(path, error))
    }

    /// Stores what `change` makes of the stored state, or of `known` where that is newer or nothing
    /// is stored; `None`: it changes nothing. Changes of several processes are made one after the
    /// other.
    ///
    /// # Errors
    /// Those of `change`. That the state could not be stored is told by [`AppliedChange::stored`].
    pub fn change<E>(
        &mut self,
        now: Time,
        known: &DesiredState,
        change: impl FnOnce(&DesiredState) -> Result<Option<DesiredState>, E>,
    ) -> Result<Option<AppliedChange>, E> {
        // Guards the answer: without the lock the change is made all the same, and may be lost to
        // one that is made at the same time.
        let _lock = self.lock_changes();
        self.last_read = None;
        let stored = self
            .read_if_changed(now)
            .ok()
            .flatten()
            .filter(|stored| stored.revision >= known.revision);
        let Some(state) = change(stored.as_ref().unwrap_or(known))? else {
            return Ok(None);
        };
        let stored = self.store(now, &state);
        Ok(Some(AppliedChange { state, stored }))
    }

    /// Waits for the lock on changes; `None`: it can't be had in time.
    fn lock_changes(&self) -> Option<File> {
        let path = self.path.join("lock");
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(path)
            .ok()?;
        let started_at = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Some(file),
                Err(TryLockError::WouldBlock) if started_at.elapsed() < LOCK_TIMEOUT => {
                    thread::sleep(LOCK_RETRY_INTERVAL);
                }
                Err(e) => {
                    log::warn!("the lock on what is set by hand is not to be had: {e}");
                    return None;
                }
            }
        }
    }

    /// Replaces the stored state as one: no reader finds a part of it.
    fn store(&mut self, now: Time, state: &DesiredState) -> Result<(), FolderError> {
        let path = self.state_path();
        let new_path = self.path.join(format!("wanted-{}", self.status.process));
        let replace = || {
            let mut file = create_private(&new_path)?;
            file.write_all(&state.encode(&self.owner, now))?;
            fs::rename(&new_path, &path)
        };
        replace().map_err(|e| FolderError::System(path.clone(), e))
    }
}

impl Drop for SharedFolder {
    fn drop(&mut self) {
        // What is left behind is removed by the next process.
        let _ = fs::remove_file(status_path(&self.path, self.status.process));
        let _ = fs::remove_file(self.handover_path(self.status.process));
    }
}

/// The processes that run, but for this one. The files of those that have ended are removed.
///
/// # Errors
/// When the folder can't be read.
pub fn others(folder: &Path, own_process: u32) -> Result<Vec<ProcessStatus>, FolderError> {
    let failed = |e| FolderError::System(folder.into(), e);
    let mut others = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if let Some(process) = process_of(&path).filter(|p| *p != own_process) {
            others.extend(read_status(folder, &path, process)?);
        }
    }
    others.sort_by_key(|o| o.process);
    Ok(others)
}

/// The process whose status file this is.
fn process_of(path: &Path) -> Option<u32> {
    let name = path.file_name()?.to_str()?;
    name.strip_prefix("process-")?.parse().ok()
}

/// The status of a process, if it runs; removes its files if it does not.
fn read_status(
    folder: &Path,
    path: &Path,
    process: u32,
) -> Result<Option<ProcessStatus>, FolderError> {
    // A process that ends between two looks does not run.
    let Ok(mut file) = File::open(path) else {
        return Ok(None);
    };
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => {
            let mut line = String::new();
            // A process whose line can't be read runs all the same.
            let _ = (&mut file).take(MAX_STATUS_BYTES).read_to_string(&mut line);
            Ok(Some(ProcessStatus::from_line(process, &line)))
        }
        Ok(()) => {
            // The first process that finds them removes them.
            let _ = fs::remove_file(path);
            let _ = fs::remove_file(handover_path(folder, process));
            Ok(None)
        }
        Err(TryLockError::Error(e)) => Err(FolderError::System(path.into(), e)),
    }
}

fn status_path(folder: &Path, process: u32) -> PathBuf {
    folder.join(format!("process-{process}"))
}

fn handover_path(folder: &Path, process: u32) -> PathBuf {
    folder.join(format!("door-{process}"))
}

/// Creates a process's file, which is locked before others can see it.
fn create_status_file(folder: &Path, status: ProcessStatus) -> io::Result<File> {
    let new_path = folder.join(format!(".process-{}", status.process));
    let mut file = create_private(&new_path)?;
    file.try_lock().map_err(|e| match e {
        TryLockError::Error(e) => e,
        TryLockError::WouldBlock => io::Error::other("another process has its number"),
    })?;
    file.write_all(status.to_line().as_bytes())?;
    fs::rename(&new_path, status_path(folder, status.process))?;
    Ok(file)
}

/// Creates an empty file that only this user can read.
fn create_private(path: &Path) -> io::Result<File> {
    OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .mode(0o600)
        .open(path)
}

fn overwrite(file: &mut File, line: &str) -> io::Result<()> {
    file.seek(SeekFrom::Start(0))?;
    file.write_all(line.as_bytes())
}

/// Whether a desired state that was refreshed then is to be refreshed again.
#[must_use]
pub fn is_refresh_due(refreshed_at: Time, now: Time) -> bool {
    now.since(refreshed_at) >= REFRESH_INTERVAL
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_data_tests;
