//! Tests of `folder`. Another process is a file that is locked by another handle.

use super::*;
use assert_matches::assert_matches;
use lichenswitch_management::call::Change;
use lichenswitch_management::desired_state::{ChangeError, Verdict};
use std::sync::atomic::{AtomicU32, Ordering};

const NOW: Time = Time(1_700_000_000_000_000);

/// A root of its own, which goes with it.
struct Root(PathBuf);

impl Root {
    fn new() -> Root {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "lichenswitch-folder-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).unwrap();
        Root(path)
    }
}

impl Drop for Root {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn status(process: u32) -> ProcessStatus {
    ProcessStatus {
        process,
        is_ready: true,
        shares_socket: true,
        is_leaving: false,
    }
}

fn running_process(folder: &SharedFolder, process: u32) -> File {
    create_status_file(folder.path(), status(process)).unwrap()
}

fn cordon(
    id: &'static str,
) -> impl FnOnce(&DesiredState) -> Result<Option<DesiredState>, ChangeError> {
    move |state| match state.on_change(NOW, &Change::Cordon(id.into()), |_| true)? {
        Verdict::Changed(next, _) => Ok(Some(next)),
        Verdict::Unchanged(_) => Ok(None),
    }
}

#[test]
fn other_processes_are_listed_for_as_long_as_they_run() {
    let root = Root::new();
    let folder = SharedFolder::open(&root.0, "n0 127.0.0.1:1").unwrap();
    assert_eq!(folder.others().unwrap(), [], "not oneself");
    let running = running_process(&folder, 1);
    fs::write(folder.handover_path(1), "").unwrap();
    assert_eq!(folder.others().unwrap(), [status(1)]);
    // The kernel gives the lock back with the process.
    drop(running);
    assert_eq!(folder.others().unwrap(), []);
    assert!(
        !folder.path().join("process-1").exists() && !folder.handover_path(1).exists(),
        "what it left is gone"
    );
}

#[test]
fn process_without_a_complete_line_runs_and_is_not_ready() {
    let root = Root::new();
    let folder = SharedFolder::open(&root.0, "n0").unwrap();
    let running = running_process(&folder, 1);
    running.set_len(1).unwrap();
    assert_eq!(
        folder.others().unwrap(),
        [ProcessStatus {
            process: 1,
            ..ProcessStatus::default()
        }]
    );
}

#[test]
fn status_is_published_again_when_its_file_was_removed() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    let path = folder
        .path()
        .join(format!("process-{}", std::process::id()));
    folder
        .publish(ProcessStatus {
            is_ready: true,
            ..ProcessStatus::default()
        })
        .unwrap();
    assert!(fs::read_to_string(&path).unwrap().ends_with(" 1 0 0\n"));
    fs::remove_file(&path).unwrap();
    folder
        .publish(ProcessStatus {
            is_ready: true,
            ..ProcessStatus::default()
        })
        .unwrap();
    assert!(fs::read_to_string(&path).unwrap().ends_with(" 1 0 0\n"));
    assert_matches!(
        File::open(&path).unwrap().try_lock_shared(),
        Err(TryLockError::WouldBlock)
    );
    drop(folder);
    assert!(!path.exists(), "an end in order leaves nothing");
}

#[test]
fn changes_of_two_processes_are_both_stored_and_each_is_read_once() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    let known = DesiredState::default();
    let first = folder.change(NOW, &known, cordon("a")).unwrap().unwrap();
    first.stored.unwrap();
    let first = first.state;
    // The first change is not known here, as at another process.
    let second = folder.change(NOW, &known, cordon("b")).unwrap().unwrap();
    second.stored.unwrap();
    let second = second.state;
    assert_eq!((first.revision, second.revision), (1, 2));
    assert_eq!(second.cordoned.keys().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(folder.read_if_changed(NOW).unwrap(), Some(second));
    assert_eq!(folder.read_if_changed(NOW).unwrap(), None);
    assert_eq!(
        folder
            .change(NOW, &known, cordon("a"))
            .unwrap()
            .map(|change| change.state),
        None,
        "it is out already"
    );
    let rejected = folder.change(NOW, &known, |_| {
        Err::<Option<DesiredState>, _>(ChangeError::TooMany)
    });
    assert_matches!(rejected, Err(ChangeError::TooMany));
}

#[test]
fn older_stored_state_does_not_undo_a_newer_one() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    folder
        .change(NOW, &DesiredState::default(), cordon("a"))
        .unwrap()
        .unwrap()
        .stored
        .unwrap();
    let known = DesiredState {
        revision: 7,
        ..DesiredState::default()
    };
    let AppliedChange { state: next, .. } =
        folder.change(NOW, &known, cordon("b")).unwrap().unwrap();
    assert_eq!((next.revision, next.cordoned.len()), (8, 1));
}

#[test]
fn stuck_change_of_another_process_delays_the_next_one_by_the_timeout() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    let lock_file = File::create(folder.path().join("lock")).unwrap();
    lock_file.lock().unwrap();
    let started_at = Instant::now();
    folder
        .change(NOW, &DesiredState::default(), cordon("a"))
        .unwrap()
        .unwrap()
        .stored
        .unwrap();
    assert!(started_at.elapsed() >= LOCK_TIMEOUT && started_at.elapsed() < 2 * LOCK_TIMEOUT);
}

#[test]
fn damaged_foreign_or_expired_state_is_an_error_once() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    let state = DesiredState {
        revision: 3,
        ..DesiredState::default()
    };
    let complete = state.encode("n0", NOW);
    for bytes in [
        &complete[..complete.len() / 2],
        b"",
        b"hello\n",
        &state.encode("n1", NOW),
        &state.encode("n0", Time(0)),
    ] {
        fs::write(folder.state_path(), bytes).unwrap();
        folder.last_read = None;
        assert_matches!(folder.read_if_changed(NOW), Err(FolderError::State(..)));
        assert_eq!(folder.read_if_changed(NOW).unwrap(), None);
        let AppliedChange { state: next, .. } = folder
            .change(NOW, &DesiredState::default(), cordon("a"))
            .unwrap()
            .unwrap();
        assert_eq!(next.revision, 1, "the next change begins anew");
        folder.last_read = None;
        assert_eq!(folder.read_if_changed(NOW).unwrap(), Some(next));
    }
}

#[test]
fn change_that_can_not_be_stored_is_applied_and_reported() {
    let root = Root::new();
    let mut folder = SharedFolder::open(&root.0, "n0").unwrap();
    fs::create_dir(folder.state_path()).unwrap();
    let AppliedChange {
        state: next,
        stored,
    } = folder
        .change(NOW, &DesiredState::default(), cordon("a"))
        .unwrap()
        .unwrap();
    assert_eq!(next.cordoned.len(), 1);
    assert_matches!(stored, Err(FolderError::System(..)));
}

#[test]
fn folder_of_another_user_is_rejected() {
    let root = Root::new();
    let elsewhere = root.0.join("elsewhere");
    fs::create_dir(&elsewhere).unwrap();
    let path = SharedFolder::open(&root.0, "n0")
        .unwrap()
        .path()
        .to_path_buf();
    fs::remove_dir_all(&path).unwrap();
    std::os::unix::fs::symlink(&elsewhere, &path).unwrap();
    assert_matches!(
        SharedFolder::open(&root.0, "n0"),
        Err(FolderError::NotOwned(_))
    );
    assert_matches!(
        SharedFolder::open(&root.0.join("nowhere"), "n0"),
        Err(FolderError::System(..))
    );
}
