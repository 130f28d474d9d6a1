//! What is left of a disk when its process dies: all that was synced, and of the rest what the lot
//! says.

use lichenswitch_soak::volatile_disk::VolatileDisk;
use lichenswitch_storage::{FileSystem, Storage, StorageFile, StorageSettings};
use std::path::{Path, PathBuf};

/// A folder of its own for each test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("volatile-disk-{name}-{}", std::process::id()));
        // What another run left is in nobody's way.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What can't be removed is left to whoever cleans the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A file of one content, synced.
fn write_synced(disk: &VolatileDisk, path: &Path, bytes: &[u8]) -> Box<dyn StorageFile> {
    let mut file = disk.create(path).unwrap();
    assert_eq!(file.write_at(0, bytes).unwrap(), bytes.len());
    file.sync().unwrap();
    file
}

#[test]
fn what_was_synced_is_there_and_what_was_not_may_be_missing_or_torn() {
    let folder = Folder::new("writes");
    let mut left = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let (disk, path) = (
            VolatileDisk::new(&folder.0, seed),
            folder.0.join(format!("{seed}")),
        );
        let mut file = write_synced(&disk, &path, &[1; 1_024]);
        file.write_at(0, &[2; 1_024]).unwrap();
        assert_eq!(
            file.read_all().unwrap(),
            [2; 1_024],
            "a process reads what it wrote"
        );
        drop((disk, file));
        let bytes = std::fs::read(&path).unwrap();
        assert_eq!(bytes.len(), 1_024);
        left.insert((bytes[0], bytes[1_023]));
    }
    assert_eq!(
        left.len(),
        4,
        "missing, whole, and torn both ways: {left:?}"
    );
}

#[test]
fn a_name_may_be_lost_until_its_folder_is_synced() {
    let folder = Folder::new("names");
    let (mut kept, mut lost) = (0, 0);
    for seed in 0..100 {
        let disk = VolatileDisk::new(&folder.0, seed);
        let (beside, path) = (
            folder.0.join(format!("{seed}.new")),
            folder.0.join(format!("{seed}")),
        );
        drop(write_synced(&disk, &beside, b"new"));
        disk.rename(&beside, &path).unwrap();
        assert!(
            disk.exists(&path) && !disk.exists(&beside),
            "to its process the name has changed"
        );
        match (path.exists(), beside.exists()) {
            (true, false) => kept += 1,
            (false, true) => lost += 1,
            other => panic!("{other:?}"),
        }
        disk.sync_folder(&folder.0).unwrap();
        assert!(path.exists() && !beside.exists(), "a synced folder has it");
    }
    assert!(kept > 20 && lost > 20, "{kept}, {lost}");
}

#[test]
fn a_ring_of_segments_outlives_any_loss_of_power() {
    let folder = Folder::new("ring");
    let settings = StorageSettings {
        segment_bytes: 8_192,
        segments: 3,
        ..StorageSettings::new("test")
    };
    let mut acknowledged: Vec<Vec<u8>> = Vec::new();
    for incarnation in 0..60_u64 {
        let disk = Box::new(VolatileDisk::new(&folder.0, incarnation));
        let (mut storage, found) =
            Storage::open_with(disk, &folder.0.join("ring"), &settings).unwrap();
        assert!(
            !found.loses_state(),
            "life {incarnation}: {:?}",
            found.findings
        );
        let snapshot = found.snapshot.clone().into_iter();
        let held: Vec<Vec<u8>> = snapshot.chain(found.records).collect();
        assert!(held.ends_with(&acknowledged), "life {incarnation}");
        // A snapshot stands for all before it.
        for step in 0..8 {
            let record = vec![incarnation as u8, step];
            if storage.wants_snapshot() || step == 5 {
                storage.replace_snapshot(&record).unwrap();
                acknowledged = vec![record];
            } else {
                storage.append(std::slice::from_ref(&record)).unwrap();
                acknowledged.push(record);
            }
        }
    }
}
