//! The management folder in `tests/stored_data`, written by the build of commit 6f1ee4c: each later
//! build reads it to the same state and writes the same bytes.

use super::*;
use std::collections::BTreeMap;

const OWNER: &str = "n0 127.0.0.1:1";
const STORED_AT: Time = Time(1_700_000_000_000_000);

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/stored_data/management")
        .join(name)
}

fn state() -> DesiredState {
    DesiredState {
        revision: 7,
        cordoned: BTreeMap::from([("data-1".into(), 1_699_999_990_000_000)]),
        uncordoned: BTreeMap::from([(
            "data-2".into(),
            (1_699_999_900_000_000, 1_699_999_950_000_000),
        )]),
        quiesced_at: Some(1_699_999_999_000_000),
    }
}

fn process() -> ProcessStatus {
    ProcessStatus {
        process: 4_000_000_001,
        is_ready: true,
        shares_socket: false,
        is_leaving: true,
    }
}

#[test]
fn management_folder_of_the_fixture_is_read_and_written_alike() {
    let root = std::env::temp_dir().join(format!(
        "lichenswitch-folder-fixture-{}",
        std::process::id()
    ));
    fs::create_dir(&root).unwrap();
    let mut folder = SharedFolder::open(&root, OWNER).unwrap();
    assert_eq!(
        folder.path().file_name().unwrap(),
        "lichenswitch-n0127.0.0.11-8f2c7e64"
    );
    for name in ["wanted", "process-4000000001"] {
        fs::copy(stored(name), folder.path().join(name)).unwrap();
    }
    assert_eq!(folder.read_if_changed(STORED_AT).unwrap(), Some(state()));
    let running = File::open(folder.path().join("process-4000000001")).unwrap();
    running.try_lock().unwrap();
    assert_eq!(folder.others().unwrap(), [process()]);
    drop(running);
    let door = folder.handover_path(process().process);
    fs::write(&door, "").unwrap();
    assert_eq!(folder.others().unwrap(), [], "its file is locked by nobody");
    assert!(!door.exists() && !folder.path().join("process-4000000001").exists());
    // The same state is written to the same bytes.
    fs::remove_file(folder.path().join("wanted")).unwrap();
    let applied = folder
        .change(STORED_AT, &state(), |known| {
            Ok::<_, ()>(Some(known.clone()))
        })
        .unwrap();
    assert!(applied.is_some_and(|change| change.state == state() && change.stored.is_ok()));
    let read = |path: PathBuf| fs::read_to_string(path).unwrap();
    assert_eq!(read(folder.path().join("wanted")), read(stored("wanted")));
    let presence = create_status_file(folder.path(), process()).unwrap();
    assert_eq!(
        read(folder.path().join("process-4000000001")),
        read(stored("process-4000000001"))
    );
    drop((presence, folder));
    fs::remove_dir_all(&root).unwrap();
}
