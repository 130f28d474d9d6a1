//! A disk in memory, with the faults of a real one: writes that a loss of power leaves out or
//! tears, names that it loses, refused writes, syncs that fail and forget what they were to sync,
//! short writes.
#![allow(dead_code)]

mod file;
mod random;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use file::FakeFile;
use lichenswitch_storage::{FileSystem, StorageFile, StorageSettings};
pub use random::Random;

/// What a loss of power leaves of what was not synced.
#[derive(Clone, Debug)]
pub enum PowerLoss {
    KeepNothing,
    KeepAll,
    /// Each write and each name by itself.
    Random(Random),
}

/// What happens to one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails; of a write a part may have been done, of a sync each write may have been done or
    /// is forgotten.
    Error,
    /// It is refused, as far as it needs room.
    Full,
    /// Of a write only a part is done, and it says so.
    Short,
}

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::Write { offset, bytes } => {
                let end = offset + bytes.len();
                content.resize(content.len().max(end), 0);
                content[*offset..end].copy_from_slice(bytes);
            }
            Self::Length(length) => content.resize(*length, 0),
        }
    }

    /// Does a part of it: a first part, or some of its sectors.
    fn tear(&self, content: &mut Vec<u8>, random: &mut Random) {
        let Self::Write { offset, bytes } = self else {
            return self.apply(content);
        };
        if random.one_in(2) {
            let written = bytes[..random.below(bytes.len())].to_vec();
            return Self::Write {
                offset: *offset,
                bytes: written,
            }
            .apply(content);
        }
        for (number, sector) in bytes.chunks(512).enumerate().filter(|_| random.one_in(2)) {
            Self::Write {
                offset: offset + 512 * number,
                bytes: sector.to_vec(),
            }
            .apply(content);
        }
    }

    fn apply_power_loss(&self, content: &mut Vec<u8>, power: &mut PowerLoss) {
        match power {
            PowerLoss::KeepNothing => {}
            PowerLoss::KeepAll => self.apply(content),
            PowerLoss::Random(random) => match random.below(3) {
                0 => {}
                1 => self.apply(content),
                _ => self.tear(content, random),
            },
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Inode {
    visible: Vec<u8>,
    durable: Vec<u8>,
    pending: Vec<Change>,
}

#[derive(Clone, Debug)]
enum NameChange {
    Made(PathBuf, usize),
    Renamed(PathBuf, PathBuf, usize),
    Removed(PathBuf, usize),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<PathBuf, usize>) {
        match self {
            Self::Made(path, inode) => drop(names.insert(path.clone(), *inode)),
            Self::Renamed(from, to, inode) => {
                if names.get(from) == Some(inode) {
                    names.remove(from);
                }
                names.insert(to.clone(), *inode);
            }
            Self::Removed(path, inode) => {
                if names.get(path) == Some(inode) {
                    names.remove(path);
                }
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Disk {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    pending_names: Vec<NameChange>,
    folders: BTreeSet<PathBuf>,
    durable_folders: BTreeSet<PathBuf>,
    operations: u64,
    syncs: u64,
    dies_at: Option<u64>,
    dead: bool,
    faults: BTreeMap<u64, Fault>,
    /// Every operation that needs room is refused.
    full: bool,
    random: Option<Random>,
}

/// The disk; clones are the same one.
#[derive(Clone, Debug)]
pub struct FakeDisk(Arc<Mutex<Disk>>);

fn error(text: &'static str) -> io::Error {
    io::Error::other(text)
}

/// How an operation begins.
enum Outcome {
    Done,
    /// The process ends in it: its effect may or may not be there.
    Dies,
    Fault(Fault),
}

impl Disk {
    fn random(&mut self) -> &mut Random {
        self.random.get_or_insert_with(|| Random::new(1))
    }

    fn begin(&mut self) -> io::Result<Outcome> {
        if self.dead {
            return Err(error("the process has ended"));
        }
        let number = self.operations;
        self.operations += 1;
        if self.dies_at == Some(number) {
            self.dead = true;
            return Ok(Outcome::Dies);
        }
        Ok(self
            .faults
            .remove(&number)
            .map_or(Outcome::Done, Outcome::Fault))
    }

    /// For operations that are done whole or not at all.
    fn begin_simple(&mut self, needs_space: bool) -> io::Result<bool> {
        if needs_space && self.full && !self.dead {
            self.operations += 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        match self.begin()? {
            Outcome::Done | Outcome::Fault(Fault::Short) => Ok(true),
            Outcome::Dies => Ok(false),
            Outcome::Fault(Fault::Error) => Err(error("input/output error")),
            Outcome::Fault(Fault::Full) if needs_space => Err(io::ErrorKind::StorageFull.into()),
            Outcome::Fault(Fault::Full) => Ok(true),
        }
    }

    fn change(&mut self, inode: usize, change: Change) {
        change.apply(&mut self.inodes[inode].visible);
        self.inodes[inode].pending.push(change);
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending_names.push(change);
    }

    /// A failed sync forgets what it was to sync: it can be read until power is lost, and no later
    /// sync covers it.
    fn fail_sync(&mut self, inode: usize) {
        let mut random = self.random().clone();
        let Inode {
            durable, pending, ..
        } = &mut self.inodes[inode];
        for change in pending.drain(..) {
            change.apply_power_loss(durable, &mut PowerLoss::Random(random.clone()));
            random.next();
        }
        self.random = Some(random);
    }

    fn lose_power(&mut self, mut power: PowerLoss) {
        for inode in &mut self.inodes {
            for change in std::mem::take(&mut inode.pending) {
                change.apply_power_loss(&mut inode.durable, &mut power);
            }
            inode.visible = inode.durable.clone();
        }
        for change in std::mem::take(&mut self.pending_names) {
            let left = match &mut power {
                PowerLoss::KeepNothing => false,
                PowerLoss::KeepAll => true,
                PowerLoss::Random(random) => random.one_in(2),
            };
            if left {
                change.apply(&mut self.durable_names);
            }
        }
        if !matches!(power, PowerLoss::KeepAll) {
            self.folders = self.durable_folders.clone();
        }
        let folders = self.folders.clone();
        self.durable_names
            .retain(|path, _| path.parent().is_some_and(|folder| folders.contains(folder)));
        self.names = self.durable_names.clone();
    }
}

impl FakeDisk {
    pub fn new() -> Self {
        let folders = BTreeSet::from([PathBuf::from("/")]);
        let disk = Disk {
            folders: folders.clone(),
            durable_folders: folders,
            ..Disk::default()
        };
        Self(Arc::new(Mutex::new(disk)))
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another disk in the same state.
    pub fn copy(&self) -> Self {
        Self(Arc::new(Mutex::new(self.lock().clone())))
    }

    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Syncs of files that succeeded.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    pub fn is_dead(&self) -> bool {
        self.lock().dead
    }

    /// The process will end in the operation that comes after so many others.
    pub fn die_after(&self, operations: u64) {
        let mut disk = self.lock();
        disk.dies_at = Some(disk.operations + operations);
    }

    /// A fault befalls the operation that comes after so many others.
    pub fn fault_after(&self, operations: u64, fault: Fault) {
        let mut disk = self.lock();
        let number = disk.operations + operations;
        disk.faults.insert(number, fault);
    }

    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    pub fn set_random(&self, random: Random) {
        self.lock().random = Some(random);
    }

    /// The process has ended; another one starts on the same disk.
    pub fn restart(&self) {
        let mut disk = self.lock();
        (disk.dead, disk.dies_at) = (false, None);
        disk.faults.clear();
    }

    /// Power is lost; another process starts on what is left.
    pub fn lose_power(&self, power: PowerLoss) {
        self.lock().lose_power(power);
        self.restart();
    }

    pub fn names(&self) -> Vec<PathBuf> {
        self.lock().names.keys().cloned().collect()
    }

    pub fn content(&self, path: &str) -> Option<Vec<u8>> {
        let disk = self.lock();
        disk.names
            .get(Path::new(path))
            .map(|inode| disk.inodes[*inode].visible.clone())
    }

    /// Changes a file without the storage, durably.
    pub fn damage(&self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut disk = self.lock();
        let inode = disk.names[Path::new(path)];
        let inode = &mut disk.inodes[inode];
        change(&mut inode.visible);
        inode.durable = inode.visible.clone();
    }

    /// Changes what is read of a file until power is lost: the disk itself has something else.
    pub fn hide(&self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut disk = self.lock();
        let inode = disk.names[Path::new(path)];
        change(&mut disk.inodes[inode].visible);
    }

    /// Creates a file, or removes it, durably.
    pub fn put(&self, path: &str, content: Option<Vec<u8>>) {
        let mut disk = self.lock();
        let Some(content) = content else {
            disk.names.remove(Path::new(path));
            disk.durable_names.remove(Path::new(path));
            return;
        };
        let inode = disk.inodes.len();
        disk.inodes.push(Inode {
            visible: content.clone(),
            durable: content,
            pending: Vec::new(),
        });
        disk.names.insert(path.into(), inode);
        disk.durable_names.insert(path.into(), inode);
    }
}

impl FileSystem for FakeDisk {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.lock();
        let done = disk.begin_simple(true)?;
        disk.folders.insert(path.to_owned());
        if done {
            Ok(())
        } else {
            Err(error("ended"))
        }
    }

    fn exists(&self, path: &Path) -> bool {
        let disk = self.lock();
        disk.names.contains_key(path) || disk.folders.contains(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let mut disk = self.lock();
        if !disk.begin_simple(false)? {
            return Err(error("ended"));
        }
        let inode = *disk.names.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(FakeFile {
            disk: self.clone(),
            inode,
        }))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let mut disk = self.lock();
        let done = disk.begin_simple(true)?;
        let inode = if let Some(inode) = disk.names.get(path).copied() {
            disk.change(inode, Change::Length(0));
            inode
        } else {
            disk.inodes.push(Inode::default());
            let inode = disk.inodes.len() - 1;
            disk.change_name(NameChange::Made(path.to_owned(), inode));
            inode
        };
        if done {
            Ok(Box::new(FakeFile {
                disk: self.clone(),
                inode,
            }))
        } else {
            Err(error("ended"))
        }
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut disk = self.lock();
        let done = disk.begin_simple(false)?;
        let inode = *disk.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        disk.change_name(NameChange::Renamed(from.to_owned(), to.to_owned(), inode));
        if done {
            Ok(())
        } else {
            Err(error("ended"))
        }
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.lock();
        let done = disk.begin_simple(false)?;
        let inode = *disk.names.get(path).ok_or(io::ErrorKind::NotFound)?;
        disk.change_name(NameChange::Removed(path.to_owned(), inode));
        if done {
            Ok(())
        } else {
            Err(error("ended"))
        }
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.lock();
        if !disk.begin_simple(false)? {
            return Err(error("ended"));
        }
        for change in std::mem::take(&mut disk.pending_names) {
            change.apply(&mut disk.durable_names);
        }
        let folders: Vec<_> = disk
            .folders
            .iter()
            .filter(|f| f.parent() == Some(path))
            .cloned()
            .collect();
        disk.durable_folders.extend(folders);
        Ok(())
    }
}

/// A small ring.
pub fn small_ring() -> StorageSettings {
    StorageSettings {
        segment_bytes: 4096,
        segments: 3,
        ..StorageSettings::new("north n1")
    }
}

pub const FOLDER: &str = "/data/storage";
