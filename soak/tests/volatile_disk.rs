//! What a disk holds after the death of its process: all that was synced, and a random part of the
//! rest.

use lichenswitch_soak::volatile_disk::VolatileDisk;
use lichenswitch_storage::{FileSystem, Storage, StorageFile, StorageSettings};
use std::path::{Path, PathBuf};

/// A folder of one test, which is removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("volatile-disk-{name}-{}", std::process::id()));
        // What another run left behind may be there or not.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What can't be removed stays until the folder for temporary files is cleaned.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Creates a file with this content, and syncs it.
fn write_synced(disk: &VolatileDisk, path: &Path, bytes: &[u8]) -> Box<dyn StorageFile> {
    let mut file = disk.create(path).unwrap();
    assert_eq!(file.write_at(0, bytes).unwrap(), bytes.len());
    file.sync().unwrap();
    file
}

#[test]
fn synced_write_lasts_and_unsynced_write_may_be_missing_or_torn() {
    let folder = Folder::new("writes");
    let mut ends = std::collections::BTreeSet::new();
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
        ends.insert((bytes[0], bytes[1_023]));
    }
    assert_eq!(
        ends.len(),
        4,
        "missing, whole, and torn both ways: {ends:?}"
    );
}

#[test]
fn renamed_file_may_have_its_old_name_until_its_folder_is_synced() {
    let folder = Folder::new("names");
    let (mut renamed_count, mut old_name_count) = (0, 0);
    for seed in 0..100 {
        let disk = VolatileDisk::new(&folder.0, seed);
        let (old_path, path) = (
            folder.0.join(format!("{seed}.new")),
            folder.0.join(format!("{seed}")),
        );
        drop(write_synced(&disk, &old_path, b"new"));
        disk.rename(&old_path, &path).unwrap();
        assert!(
            disk.exists(&path) && !disk.exists(&old_path),
            "to its process the name has changed"
        );
        match (path.exists(), old_path.exists()) {
            (true, false) => renamed_count += 1,
            (false, true) => old_name_count += 1,
            other => panic!("{other:?}"),
        }
        disk.sync_folder(&folder.0).unwrap();
        assert!(
            path.exists() && !old_path.exists(),
            "a synced folder has it"
        );
    }
    assert!(
        renamed_count > 20 && old_name_count > 20,
        "{renamed_count}, {old_name_count}"
    );
}

#[test]
fn acknowledged_records_last_through_losses_of_power() {
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
            "incarnation {incarnation}: {:?}",
            found.findings
        );
        let snapshot = found.snapshot.clone().into_iter();
        let recovered: Vec<Vec<u8>> = snapshot.chain(found.records).collect();
        assert!(
            recovered.ends_with(&acknowledged),
            "incarnation {incarnation}"
        );
        // A snapshot replaces all records before it.
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
