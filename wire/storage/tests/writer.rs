//! The thread that writes, on real files.

mod support;

use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use lichenswitch_storage::{
    Completion, Storage, StorageError, StorageSettings, WriteRequest, Writer,
};
use support::{small_ring, FakeDisk, Fault, FOLDER};

/// A folder of a test's own, gone when it ends.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits for wake-ups until so many completions have come.
fn wait_for(writer: &mut Writer, wake: &mut UnixStream, count: usize) -> Vec<Completion> {
    let mut completions = writer.completions();
    while completions.len() < count {
        wake.read_exact(&mut [0]).unwrap();
        completions.extend(writer.completions());
    }
    completions
}

#[test]
fn requests_are_executed_in_order_and_survive_a_restart() {
    let folder = Folder::new("order");
    let path = folder.0.join("below");
    let settings = StorageSettings::new("north n1");
    let (storage, _) = Storage::open(&path, &settings).unwrap();
    let (mut wake, waking) = UnixStream::pair().unwrap();
    let mut writer = Writer::start(storage, waking).unwrap();
    writer.submit(1, WriteRequest::Append(vec![b"before".to_vec()]));
    writer.submit(2, WriteRequest::ReplaceSnapshot(b"state".to_vec()));
    for write_id in 3..100_u8 {
        writer.submit(write_id.into(), WriteRequest::Append(vec![vec![write_id]]));
    }
    let completions = wait_for(&mut writer, &mut wake, 99);
    assert!(completions
        .iter()
        .map(|completion| completion.write_id)
        .eq(1..100));
    assert!(completions
        .iter()
        .all(|completion| completion.result.is_ok()));
    assert!(writer.close().is_some());
    let (_, recovered) = Storage::open(&path, &settings).unwrap();
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
    assert!(recovered
        .records
        .into_iter()
        .eq((3..100_u8).map(|write_id| vec![write_id])));
    assert_eq!(recovered.findings, []);
    let lengths = (0..4).map(|n| {
        std::fs::metadata(path.join(format!("segment-{n}")))
            .unwrap()
            .len()
    });
    assert!(lengths.eq([1 << 20; 4]));
}

#[test]
fn real_file_that_is_no_segment_is_set_aside() {
    let folder = Folder::new("aside");
    std::fs::create_dir_all(folder.0.join("segment-1")).unwrap();
    std::fs::write(folder.0.join("segment-2"), "notes").unwrap();
    let (mut storage, recovered) = Storage::open(&folder.0, &small_ring()).unwrap();
    assert_eq!(recovered.findings.len(), 2);
    assert_eq!(
        std::fs::read(folder.0.join("segment-2.aside-1")).unwrap(),
        b"notes"
    );
    assert!(folder.0.join("segment-1.aside-1").is_dir());
    storage.replace_snapshot(&[3; 9000]).unwrap();
    assert_eq!(
        Storage::open(&folder.0, &small_ring()).unwrap().1.snapshot,
        Some(vec![3; 9000])
    );
}

fn open_fake(disk: &FakeDisk) -> Storage {
    Storage::open_with(Box::new(disk.clone()), Path::new(FOLDER), &small_ring())
        .unwrap()
        .0
}

/// A writer whose thread waits in its first wake-up until it is let go: what is submitted meanwhile
/// waits together.
fn paused_writer(storage: Storage) -> (Writer, mpsc::Receiver<()>, mpsc::Sender<()>) {
    let (woken, wakes) = mpsc::channel();
    let (let_go, held) = mpsc::channel::<()>();
    let wake = move || {
        let _ = woken.send(());
        let _ = held.recv();
    };
    (Writer::start_with(storage, wake).unwrap(), wakes, let_go)
}

#[test]
fn queued_appends_share_one_sync() {
    let disk = FakeDisk::new();
    let mut storage = open_fake(&disk);
    storage.replace_snapshot(b"state").unwrap();
    let (mut writer, wakes, let_go) = paused_writer(storage);
    writer.submit(0, WriteRequest::Append(vec![vec![0]]));
    wakes.recv().unwrap();
    let before = disk.syncs();
    for write_id in 1..=50 {
        writer.submit(write_id, WriteRequest::Append(vec![vec![1; 10]]));
    }
    drop(let_go);
    let storage = writer.close().unwrap();
    assert_eq!(disk.syncs() - before, 1);
    assert_eq!(storage.usage().used_bytes, 512 * 3 + 1024);
}

#[test]
fn failure_fails_queued_requests_and_none_after_its_completion() {
    let disk = FakeDisk::new();
    let (mut writer, wakes, let_go) = paused_writer(open_fake(&disk));
    writer.submit(0, WriteRequest::ReplaceSnapshot(b"state".to_vec()));
    wakes.recv().unwrap();
    disk.fault_after(1, Fault::Error);
    for write_id in 1..4 {
        writer.submit(write_id, WriteRequest::Append(vec![vec![1]]));
    }
    writer.submit(4, WriteRequest::ReplaceSnapshot(b"never".to_vec()));
    let_go.send(()).unwrap();
    wakes.recv().unwrap();
    // The failure is there, but the submitter hasn't looked yet.
    writer.submit(5, WriteRequest::Append(vec![vec![2]]));
    drop(let_go);
    (0..2).for_each(|_| wakes.recv().unwrap());
    let completions = writer.completions();
    let results: Vec<_> = completions
        .iter()
        .map(|completion| (completion.write_id, &completion.result))
        .collect();
    assert_matches!(
        &results[..],
        [
            (0, Ok(_)),
            (1, Err(StorageError::Io { .. })),
            (2, Err(StorageError::Io { .. })),
            (3, Err(StorageError::Io { .. })),
            (4, Err(StorageError::EarlierFailed)),
            (5, Err(StorageError::EarlierFailed)),
        ]
    );
    writer.submit(6, WriteRequest::Append(vec![vec![3]]));
    wakes.recv().unwrap();
    assert_matches!(
        &writer.completions()[..],
        [Completion {
            write_id: 6,
            result: Ok(_),
            ..
        }]
    );
    drop(writer.close());
    let recovered = Storage::open_with(Box::new(disk), Path::new(FOLDER), &small_ring())
        .unwrap()
        .1;
    assert_eq!(
        (recovered.snapshot, recovered.records),
        (Some(b"state".to_vec()), vec![vec![3]])
    );
}

#[test]
fn request_that_does_not_fit_fails_alone_and_groups_are_split() {
    let disk = FakeDisk::new();
    let (mut writer, wakes, let_go) = paused_writer(open_fake(&disk));
    writer.submit(0, WriteRequest::ReplaceSnapshot(b"state".to_vec()));
    wakes.recv().unwrap();
    for write_id in 1..=3 {
        writer.submit(write_id, WriteRequest::Append(vec![vec![1; 1400]]));
    }
    drop(let_go);
    (0..2).for_each(|_| wakes.recv().unwrap());
    let completions = writer.completions();
    assert!(completions[..3]
        .iter()
        .all(|completion| completion.result.is_ok()));
    assert_matches!(completions[3].result, Err(StorageError::SegmentFull { .. }));
    writer.submit(4, WriteRequest::ReplaceSnapshot(vec![2; 10]));
    assert!(writer.close().is_some());
}

#[test]
fn age_of_the_oldest_request_grows_while_the_disk_stalls() {
    let (mut writer, wakes, let_go) = paused_writer(open_fake(&FakeDisk::new()));
    assert_eq!(
        (writer.oldest_outstanding(), writer.outstanding()),
        (None, 0)
    );
    let before = Instant::now();
    writer.submit(0, WriteRequest::Append(vec![vec![0]]));
    let after = Instant::now();
    wakes.recv().unwrap();
    writer.submit(1, WriteRequest::Append(vec![vec![0]]));
    let has_later_block = after + Duration::from_secs(5);
    let age = writer.oldest_outstanding_at(has_later_block).unwrap();
    assert!(age >= Duration::from_secs(5) && age <= has_later_block - before);
    assert_eq!(writer.completions().len(), 1);
    assert!(writer.oldest_outstanding_at(has_later_block).unwrap() < age);
    assert_eq!(writer.outstanding(), 1);
    drop(let_go);
    wakes.recv().unwrap();
    assert_eq!(
        (writer.completions().len(), writer.oldest_outstanding()),
        (1, None)
    );
}

#[test]
fn dropped_writer_executes_submitted_requests() {
    let disk = FakeDisk::new();
    let (mut writer, wakes, let_go) = paused_writer(open_fake(&disk));
    writer.submit(0, WriteRequest::ReplaceSnapshot(b"state".to_vec()));
    writer.submit(1, WriteRequest::Append(vec![b"1".to_vec()]));
    drop(writer);
    drop(let_go);
    // The thread drops its end of the channel when it ends.
    assert!((1..=2).contains(&wakes.iter().count()));
    let recovered = Storage::open_with(Box::new(disk), Path::new(FOLDER), &small_ring())
        .unwrap()
        .1;
    assert_eq!(recovered.records, [b"1"]);
}
