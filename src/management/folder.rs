//! What the processes of one broker share: a folder in `$TMPDIR`, which a process that is started
//! beside another one finds as it was left.
//!
//! - `wanted`: the wanted state, put in place whole. Changes are made one at a time under the lock
//!   of `lock`.
//! - `process-N`: locked by process N for as long as it lives, whatever ends it; one line of how it
//!   stands.
//! - `door-N`: where process N hands over the socket that clients connect to ([`super::handover`]).

use crate::interface::{Micros, Time};
use lichenswitch_management::processes::Told;
use lichenswitch_management::wanted::{NoState, Wanted};
use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// A change waits so long for another process's. Guards the answer: beyond that the other stands
/// still.
const CHANGE: Duration = Duration::from_millis(300);
/// How often it looks meanwhile.
const CHANGE_LOOK: Duration = Duration::from_millis(5);
/// Longest state that is read (bytes).
const LONGEST: u64 = 8 << 20;

/// Why there is no folder, or nothing in it.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The system says no.
    #[error("{0}: {1}")]
    System(PathBuf, io::Error),
    /// It is there, and somebody else's.
    #[error("{0}: it is no folder of this user's own")]
    NotOurs(PathBuf),
    /// What was kept is no state.
    #[error("{0}: {1}")]
    NoState(PathBuf, NoState),
}

/// The folder, as one process of the broker holds it.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    owner: String,
    told: Told,
    /// Locked for as long as this process lives.
    presence: File,
    /// Which file was read last: its number, time of change and length.
    seen: Option<(u64, i64, i64, u64)>,
}

impl Folder {
    /// Opens the folder of a broker of this name, and says that this process is there.
    ///
    /// # Errors
    /// When it can't be made or written, or is another user's.
    pub fn open(root: &Path, owner: &str) -> Result<Folder, Failure> {
        let sound = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let name: String = owner.chars().filter(|c| sound(*c)).take(40).collect();
        let path = root.join(format!(
            "lichenswitch-{name}-{:08x}",
            crc32fast::hash(owner.as_bytes())
        ));
        let failed = |e| Failure::System(path.clone(), e);
        match DirBuilder::new().mode(0o700).create(&path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(failed(e)),
            _ => {}
        }
        // Guards against whoever else may write to the root: what is there under this name has to
        // be this user's.
        let found = fs::symlink_metadata(&path).map_err(failed)?;
        let user = fs::metadata("/proc/self").map_err(failed)?.uid();
        if !found.is_dir() || found.uid() != user {
            return Err(Failure::NotOurs(path));
        }
        let told = Told {
            process: std::process::id(),
            ..Told::default()
        };
        let presence = present(&path, told).map_err(failed)?;
        Ok(Folder {
            path,
            owner: owner.into(),
            told,
            presence,
            seen: None,
        })
    }

    /// Where a process hands over the clients' socket.
    #[must_use]
    pub fn handover_path(&self, process: u32) -> PathBuf {
        handover_path(&self.path, process)
    }

    /// This process's own number.
    #[must_use]
    pub fn process(&self) -> u32 {
        self.told.process
    }

    /// Tells the others how this process stands, if that has changed or somebody has taken its file
    /// away.
    pub fn tell(&mut self, told: Told) -> Result<(), Failure> {
        let told = Told {
            process: self.told.process,
            ..told
        };
        let path = self.path.join(format!("process-{}", told.process));
        if told == self.told && path.exists() {
            return Ok(());
        }
        let write = |presence: &mut File| {
            presence.seek(SeekFrom::Start(0))?;
            presence.write_all(told.line().as_bytes())
        };
        let written = match path.exists() {
            true => write(&mut self.presence),
            false => present(&self.path, told).map(|file| self.presence = file),
        };
        self.told = told;
        written.map_err(|e| Failure::System(path, e))
    }

    /// The other processes of this broker that are alive. What the dead have left is taken away.
    ///
    /// # Errors
    /// When the folder can't be read.
    pub fn others(&self) -> Result<Vec<Told>, Failure> {
        others(&self.path, self.told.process)
    }

    /// Where it is.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn wanted(&self) -> PathBuf {
        self.path.join("wanted")
    }

    /// The wanted state, if it is another one than was read last; `None`: it is not, or there is
    /// none.
    ///
    /// # Errors
    /// When what is there can't be read, or is no state: it is told once.
    pub fn read(&mut self, now: Time) -> Result<Option<Wanted>, Failure> {
        let path = self.wanted();
        let failed = |e| Failure::System(path.clone(), e);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(failed(e)),
        };
        let about = file.metadata().map_err(failed)?;
        let seen = (about.ino(), about.mtime(), about.mtime_nsec(), about.len());
        if self.seen == Some(seen) {
            return Ok(None);
        }
        self.seen = Some(seen);
        let mut bytes = Vec::new();
        file.take(LONGEST).read_to_end(&mut bytes).map_err(failed)?;
        let wanted = Wanted::decode(&bytes, &self.owner, now);
        wanted.map(Some).map_err(|why| Failure::NoState(path, why))
    }

    /// Keeps what `change` makes of the state that is there, or of `held` where that is newer or
    /// none is there; `None`: it makes nothing new of it. Changes of several processes come one
    /// after the other.
    ///
    /// # Errors
    /// What `change` says; inside, when what it made could not be kept.
    #[allow(
        clippy::type_complexity,
        reason = "the two failures mean different things to the operator"
    )]
    pub fn change<E>(
        &mut self,
        now: Time,
        held: &Wanted,
        change: impl FnOnce(&Wanted) -> Result<Option<Wanted>, E>,
    ) -> Result<Option<(Wanted, Result<(), Failure>)>, E> {
        // Guards the answer: without the lock a change may be lost to one that is made just then,
        // and is made all the same.
        let _alone = self.alone();
        self.seen = None;
        let there = self
            .read(now)
            .ok()
            .flatten()
            .filter(|there| there.revision >= held.revision);
        let Some(wanted) = change(there.as_ref().unwrap_or(held))? else {
            return Ok(None);
        };
        let kept = self.keep(now, &wanted);
        Ok(Some((wanted, kept)))
    }

    /// Waits for the lock on changes; `None`: it is not to be had in time.
    fn alone(&self) -> Option<File> {
        let path = self.path.join("lock");
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(path)
            .ok()?;
        let begun = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Some(file),
                Err(TryLockError::WouldBlock) if begun.elapsed() < CHANGE => {
                    thread::sleep(CHANGE_LOOK)
                }
                Err(e) => {
                    log::warn!("the lock on what is set by hand is not to be had: {e}");
                    return None;
                }
            }
        }
    }

    /// Puts the state in its place, whole: no reader finds a part of it.
    fn keep(&mut self, now: Time, wanted: &Wanted) -> Result<(), Failure> {
        let (path, beside) = (
            self.wanted(),
            self.path.join(format!("wanted-{}", self.told.process)),
        );
        let put = || {
            let mut options = OpenOptions::new();
            let mut file = options
                .create(true)
                .truncate(true)
                .write(true)
                .mode(0o600)
                .open(&beside)?;
            file.write_all(&wanted.encode(&self.owner, now))?;
            fs::rename(&beside, &path)
        };
        put().map_err(|e| Failure::System(path.clone(), e))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left behind is taken away by the next process.
        let _ = fs::remove_file(self.path.join(format!("process-{}", self.told.process)));
        let _ = fs::remove_file(self.handover_path(self.told.process));
    }
}

/// The processes that are alive, but for this one. What the dead have left is taken away.
///
/// # Errors
/// When the folder can't be read.
pub fn others(folder: &Path, own: u32) -> Result<Vec<Told>, Failure> {
    let failed = |e| Failure::System(folder.into(), e);
    let mut others = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .unwrap_or_default();
        let process = name.strip_prefix("process-").and_then(|n| n.parse().ok());
        let Some(process) = process.filter(|p| *p != own) else {
            continue;
        };
        // One that is gone between two looks is none.
        let Ok(mut file) = File::open(&path) else {
            continue;
        };
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => {
                let mut line = String::new();
                // What can't be read is somebody who is there all the same.
                let _ = (&mut file).take(64).read_to_string(&mut line);
                others.push(Told::read(process, &line));
            }
            Ok(()) => {
                // Whoever is first takes them away.
                let _ = fs::remove_file(&path);
                let _ = fs::remove_file(handover_path(folder, process));
            }
            Err(TryLockError::Error(e)) => return Err(Failure::System(path, e)),
        }
    }
    others.sort_by_key(|o| o.process);
    Ok(others)
}

fn handover_path(folder: &Path, process: u32) -> PathBuf {
    folder.join(format!("door-{process}"))
}

/// A process's file, locked before it can be seen.
fn present(folder: &Path, told: Told) -> io::Result<File> {
    let beside = folder.join(format!(".process-{}", told.process));
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .mode(0o600)
        .open(&beside)?;
    file.try_lock().map_err(|e| match e {
        TryLockError::Error(e) => e,
        TryLockError::WouldBlock => io::Error::other("another process has its number"),
    })?;
    file.write_all(told.line().as_bytes())?;
    fs::rename(&beside, folder.join(format!("process-{}", told.process)))?;
    Ok(file)
}

/// How often the state is kept up: see [`lichenswitch_management::wanted::KEEP_UP`].
#[must_use]
pub fn is_due(kept: Time, now: Time) -> bool {
    const EVERY: Micros = lichenswitch_management::wanted::KEEP_UP;
    now.since(kept) >= EVERY
}

#[cfg(test)]
mod stored_data_tests;
#[cfg(test)]
mod tests;
