//! A disk whose power is lost with its process: files are what was synced, and of what was not each
//! write, and each name, is there, missing or torn by lot. What a process reads of its own is
//! always whole.
//!
//! It lies below `lichenswitch-storage`, on files of this machine: what may be lost is kept in the
//! memory of the process until it is synced, so that SIGKILL plays a loss of power. While the file
//! [`STALL_FILE`] is in the folder it stalls: no write or sync ends.

use fastrand::Rng;
use lichenswitch_emulators::sync::lock;
use lichenswitch_storage::{write_all_at, FileSystem, RealFileSystem, StorageFile};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// While a file of this name is in its folder, a disk stalls.
pub const STALL_FILE: &str = "stalled";
/// How often a disk that stalls looks whether it still does.
const LOOK: Duration = Duration::from_millis(3);
/// Unit in which a write is torn (bytes).
const SECTOR: usize = 512;

/// The disk; clones are the same one.
#[derive(Clone)]
pub struct VolatileDisk(Arc<Mutex<State>>);

struct State {
    /// Its folder.
    folder: PathBuf,
    random: Rng,
    /// What names mean to the process, where that differs from what is on the disk or a file is
    /// open: `None`, no file.
    names: BTreeMap<PathBuf, Option<Content>>,
    /// Changes of names that the disk does not have yet, in order.
    deferred: Vec<NameChange>,
}

/// A file, as the process sees it.
type Content = Arc<Mutex<File>>;

struct File {
    visible: Vec<u8>,
    /// What the disk lacks of it, in order.
    unsynced: Vec<Change>,
    /// The file on the disk, once there is one.
    on_disk: Option<Box<dyn StorageFile>>,
    /// Where it is made on the disk.
    path: PathBuf,
}

#[derive(Clone)]
enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    Length(u64),
}

enum NameChange {
    Renamed(PathBuf, PathBuf),
    Removed(PathBuf),
}

impl VolatileDisk {
    /// The disk in a folder, with lots from a seed.
    #[must_use]
    pub fn new(folder: &Path, seed: u64) -> VolatileDisk {
        let state = State {
            folder: folder.to_owned(),
            random: Rng::with_seed(seed),
            names: BTreeMap::new(),
            deferred: Vec::new(),
        };
        VolatileDisk(Arc::new(Mutex::new(state)))
    }

    fn wait_while_stalled(&self) {
        let stalled = lock(&self.0).folder.join(STALL_FILE);
        while stalled.exists() {
            thread::sleep(LOOK);
        }
    }

    fn handle(&self, content: Content) -> Box<dyn StorageFile> {
        Box::new(Handle {
            disk: self.clone(),
            content,
        })
    }
}

impl State {
    fn exists(&self, path: &Path) -> bool {
        match self.names.get(path) {
            Some(content) => content.is_some(),
            None => RealFileSystem.exists(path),
        }
    }

    /// A change of names reaches the disk now, or with the next sync of its folder. One never
    /// passes another.
    fn change_name(&mut self, change: NameChange) -> io::Result<()> {
        if self.deferred.is_empty() && self.random.bool() {
            return change.apply();
        }
        self.deferred.push(change);
        Ok(())
    }
}

impl NameChange {
    fn apply(&self) -> io::Result<()> {
        match self {
            NameChange::Renamed(from, to) => RealFileSystem.rename(from, to),
            NameChange::Removed(path) => RealFileSystem.remove(path),
        }
    }
}

impl FileSystem for VolatileDisk {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        RealFileSystem.create_folder(path)
    }

    fn exists(&self, path: &Path) -> bool {
        lock(&self.0).exists(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        let mut state = lock(&self.0);
        let content = match state.names.get(path) {
            Some(Some(content)) => content.clone(),
            Some(None) => return Err(io::ErrorKind::NotFound.into()),
            None => {
                let mut on_disk = RealFileSystem.open(path)?;
                let visible = on_disk.read_all()?;
                let (unsynced, path) = (Vec::new(), path.to_owned());
                Arc::new(Mutex::new(File {
                    visible,
                    unsynced,
                    on_disk: Some(on_disk),
                    path,
                }))
            }
        };
        state.names.insert(path.to_owned(), Some(content.clone()));
        drop(state);
        Ok(self.handle(content))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn StorageFile>> {
        self.wait_while_stalled();
        let mut state = lock(&self.0);
        let at_once = state.deferred.is_empty() && state.random.bool();
        let on_disk = if at_once {
            Some(RealFileSystem.create(path)?)
        } else {
            None
        };
        let file = File {
            visible: Vec::new(),
            unsynced: Vec::new(),
            on_disk,
            path: path.to_owned(),
        };
        let content = Arc::new(Mutex::new(file));
        state.names.insert(path.to_owned(), Some(content.clone()));
        drop(state);
        Ok(self.handle(content))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.wait_while_stalled();
        let mut state = lock(&self.0);
        if from.is_dir() {
            // A folder that is put aside: its files are closed, and begin anew.
            state.names.retain(|path, _| !path.starts_with(from));
            return RealFileSystem.rename(from, to);
        }
        if !state.exists(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let known = state.names.insert(from.to_owned(), None).flatten();
        let never_on_disk = known.as_ref().is_some_and(|content| {
            let mut file = lock(content);
            to.clone_into(&mut file.path);
            file.on_disk.is_none()
        });
        match known {
            Some(content) => drop(state.names.insert(to.to_owned(), Some(content))),
            None => drop(state.names.remove(to)),
        }
        if never_on_disk {
            return Ok(());
        }
        state.change_name(NameChange::Renamed(from.to_owned(), to.to_owned()))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.wait_while_stalled();
        let mut state = lock(&self.0);
        if !state.exists(path) {
            return Err(io::ErrorKind::NotFound.into());
        }
        state.names.insert(path.to_owned(), None);
        state.change_name(NameChange::Removed(path.to_owned()))
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        self.wait_while_stalled();
        let mut state = lock(&self.0);
        for change in std::mem::take(&mut state.deferred) {
            change.apply()?;
        }
        drop(state);
        RealFileSystem.sync_folder(path)
    }
}

/// An open file.
struct Handle {
    disk: VolatileDisk,
    content: Content,
}

impl Handle {
    /// The process sees a change at once; the disk has it by lot, whole, torn or not.
    fn change(&self, change: Change) -> io::Result<()> {
        self.disk.wait_while_stalled();
        let mut random = lock(&self.disk.0).random.fork();
        let mut file = lock(&self.content);
        change.apply_to(&mut file.visible);
        if let Some(on_disk) = &mut file.on_disk {
            match random.u32(0..3) {
                0 => {}
                1 => change.apply(on_disk.as_mut())?,
                _ => change.tear(on_disk.as_mut(), &mut random)?,
            }
        }
        file.unsynced.push(change);
        Ok(())
    }
}

impl Change {
    fn apply_to(&self, visible: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                let offset = usize::try_from(*offset).unwrap_or(usize::MAX);
                let end = offset + bytes.len();
                visible.resize(visible.len().max(end), 0);
                visible[offset..end].copy_from_slice(bytes);
            }
            Change::Length(length) => {
                visible.resize(usize::try_from(*length).unwrap_or(usize::MAX), 0)
            }
        }
    }

    fn apply(&self, on_disk: &mut dyn StorageFile) -> io::Result<()> {
        match self {
            Change::Write { offset, bytes } => write_all_at(on_disk, *offset, bytes),
            Change::Length(length) => on_disk.set_length(*length),
        }
    }

    /// Some sectors of a write reach the disk, in no order.
    fn tear(&self, on_disk: &mut dyn StorageFile, random: &mut Rng) -> io::Result<()> {
        let Change::Write { offset, bytes } = self else {
            return self.apply(on_disk);
        };
        for (number, sector) in bytes.chunks(SECTOR).enumerate() {
            if random.bool() {
                write_all_at(on_disk, offset + (number * SECTOR) as u64, sector)?;
            }
        }
        Ok(())
    }
}

impl StorageFile for Handle {
    fn length(&mut self) -> io::Result<u64> {
        Ok(lock(&self.content).visible.len() as u64)
    }

    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        Ok(lock(&self.content).visible.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.change(Change::Write {
            offset,
            bytes: bytes.to_vec(),
        })?;
        Ok(bytes.len())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.change(Change::Length(length))
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.wait_while_stalled();
        let mut file = lock(&self.content);
        if file.on_disk.is_none() {
            // A new file lasts once it is synced itself.
            file.on_disk = Some(RealFileSystem.create(&file.path)?);
        }
        let unsynced = std::mem::take(&mut file.unsynced);
        let Some(on_disk) = &mut file.on_disk else {
            return Ok(());
        };
        unsynced
            .iter()
            .try_for_each(|change| change.apply(on_disk.as_mut()))
    }
}
