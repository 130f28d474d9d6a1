use super::*;
use lichenswitch_messages::ServerState;
use lichenswitch_storage::RealFileSystem;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

/// A temporary folder that is removed on drop. Each test has its own.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "lichenswitch-servers-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn record(instance: &str, state: ServerState) -> ServerRecord {
    ServerRecord {
        instance: instance.into(),
        state,
        ..ServerRecord::default()
    }
}

fn files() -> Box<dyn FileSystem> {
    Box::new(RealFileSystem)
}

/// Returns a wake-up stream whose reader is closed.
fn wake_stream() -> UnixStream {
    UnixStream::pair().unwrap().0
}

/// Waits until the file contains these records. Returns false after 10 s.
fn is_table_written(path: &Path, expected: &[ServerRecord]) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(10) {
        if read(&RealFileSystem, path).is_ok_and(|records| records == expected) {
            return true;
        }
        thread::yield_now();
    }
    false
}

#[test]
fn table_is_restored_after_restart() {
    let folder = TempFolder::new();
    let table = vec![
        record("a", ServerState::Ready),
        record("b", ServerState::Draining),
    ];
    let (mut cache, found) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    assert!(found.is_empty(), "an empty disk contains no records");
    cache.on_change();
    cache.tick(Time(0), || table.clone());
    assert!(is_table_written(&folder.0.join(TABLE_FILE), &table));
    assert_eq!(
        ServerCache::open(files(), &folder.0, Time(0), wake_stream()).1,
        table
    );
}

#[test]
fn table_is_written_once_per_interval_and_only_after_change() {
    let folder = TempFolder::new();
    let (mut cache, _) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    let mut written_tables = 0;
    let mut tick = |cache: &mut ServerCache, now| {
        cache.tick(now, || {
            written_tables += 1;
            Vec::new()
        });
    };
    tick(&mut cache, Time(0));
    cache.on_change();
    tick(&mut cache, Time(1));
    cache.on_change();
    tick(&mut cache, Time(500_000));
    tick(&mut cache, Time(1_100_000));
    tick(&mut cache, Time(9_000_000));
    assert_eq!(written_tables, 2);
}

#[test]
fn unchanged_table_is_written_again_after_renewal_interval() {
    let folder = TempFolder::new();
    let (mut cache, _) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    cache.tick(Time(9_900_000), || unreachable!("nothing has changed"));
    let mut is_written_again = false;
    cache.tick(Time(10_000_000), || {
        is_written_again = true;
        Vec::new()
    });
    assert!(is_written_again);
}

#[test]
fn servers_of_old_table_are_suspect() {
    let records = [
        record("a", ServerState::Ready),
        record("b", ServerState::Draining),
    ];
    // A table from the future, after the clock was set back, is not trusted either.
    for (written_s, is_suspect) in [
        (time_of_day_s(), false),
        (time_of_day_s() - MAX_UNSUSPECTED_AGE_S - 2, true),
        (time_of_day_s() + MAX_UNSUSPECTED_AGE_S + 2, true),
    ] {
        let folder = TempFolder::new();
        std::fs::write(
            folder.0.join(TABLE_FILE),
            encode_table(written_s, &records).unwrap(),
        )
        .unwrap();
        let (_, found) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
        assert_eq!(found.len(), 2);
        assert!(
            found.iter().all(|record| record.is_suspect == is_suspect),
            "written at {written_s}"
        );
    }
}

#[test]
fn invalid_file_is_set_aside_and_ignored() {
    let complete = encode_table(time_of_day_s(), &[record("a", ServerState::Ready)]).unwrap();
    let mut flipped = complete.clone();
    let last = flipped.len() - 1;
    flipped[last] ^= 1;
    for bytes in [
        &complete[..complete.len() - 1],
        &flipped[..],
        b"something else",
        b"",
    ] {
        let folder = TempFolder::new();
        std::fs::write(folder.0.join(TABLE_FILE), bytes).unwrap();
        assert!(
            ServerCache::open(files(), &folder.0, Time(0), wake_stream())
                .1
                .is_empty()
        );
        assert_eq!(
            std::fs::read(folder.0.join("servers.aside")).unwrap(),
            bytes,
            "it is kept for an operator"
        );
    }
}

/// Waits until this write has succeeded. Returns false after 10 s.
fn is_written(cache: &mut ServerCache, number: WriteNumber, table: &[ServerRecord]) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(10) {
        cache.advance(Time(1), || table.to_vec());
        if cache.written() >= number {
            return true;
        }
        thread::yield_now();
    }
    false
}

#[test]
fn requested_write_counts_once_it_is_on_disk() {
    let folder = TempFolder::new();
    let (mut cache, _) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    let number = cache.write_now();
    assert!(cache.written() < number);
    let table = vec![record("a", ServerState::Gone)];
    assert!(is_written(&mut cache, number, &table));
    assert_eq!(
        read(&RealFileSystem, &folder.0.join(TABLE_FILE)).unwrap(),
        table
    );
    cache.advance(Time(2), || unreachable!("no write is requested"));
}

#[test]
fn writes_requested_during_a_write_share_the_next_one() {
    let folder = TempFolder::new();
    let (mut cache, _) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    let first = cache.write_now();
    cache.advance(Time(0), Vec::new);
    // The first write is in progress and may lack the latest records.
    let (second, third) = (cache.write_now(), cache.write_now());
    assert!(first < second && second == third);
    let table = vec![record("a", ServerState::Gone)];
    assert!(is_written(&mut cache, third, &table));
    assert_eq!(
        read(&RealFileSystem, &folder.0.join(TABLE_FILE)).unwrap(),
        table
    );
}

#[test]
fn failed_write_does_not_count_and_next_one_covers_it() {
    let folder = TempFolder::new();
    let obstacle = folder.0.join("servers.new");
    std::fs::create_dir(&obstacle).unwrap();
    let (mut cache, _) = ServerCache::open(files(), &folder.0, Time(0), wake_stream());
    let number = cache.write_now();
    let started_at = Instant::now();
    while cache.completed < number && started_at.elapsed() < Duration::from_secs(10) {
        cache.advance(Time(0), Vec::new);
    }
    assert!(cache.completed == number && cache.written() < number);
    // The disk accepts writes again.
    std::fs::remove_dir(&obstacle).unwrap();
    cache.tick(Time(999_999), || unreachable!("the interval is not over"));
    let table = vec![record("a", ServerState::Gone)];
    cache.tick(Time(1_000_000), || table.clone());
    assert!(is_written(&mut cache, number, &table));
    assert_eq!(
        read(&RealFileSystem, &folder.0.join(TABLE_FILE)).unwrap(),
        table
    );
}

#[test]
fn table_of_earlier_build_is_readable_and_suspect() {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    let earlier = manifest.join("tests/stored_data/control_node/servers");
    let records = read(&RealFileSystem, &earlier).unwrap();
    let found: Vec<_> = records
        .iter()
        .map(|record| (record.instance.as_str(), record.state, record.is_suspect))
        .collect();
    let expected = [
        ("server-0", ServerState::Ready, true),
        ("server-1", ServerState::Draining, true),
        ("server-2", ServerState::Gone, true),
    ];
    assert_eq!(found, expected);
}
