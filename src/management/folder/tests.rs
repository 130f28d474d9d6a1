//! Tests of `folder`. Another process is a file that is locked by another handle.

use super::*;
use assert_matches::assert_matches;
use lichenswitch_management::call::Change;
use lichenswitch_management::wanted::{Refused, Verdict};
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

fn told(process: u32) -> Told {
    Told {
        process,
        ready: true,
        shares_socket: true,
        leaving: false,
    }
}

fn other(folder: &Folder, process: u32) -> File {
    present(folder.path(), told(process)).unwrap()
}

fn cordon(id: &'static str) -> impl FnOnce(&Wanted) -> Result<Option<Wanted>, Refused> {
    move |wanted| match wanted.on_change(NOW, &Change::Cordon(id.into()), |_| true)? {
        Verdict::Set(next, _) => Ok(Some(next)),
        Verdict::Same(_) => Ok(None),
    }
}

#[test]
fn others_are_there_for_as_long_as_they_live_whatever_ends_them() {
    let root = Root::new();
    let folder = Folder::open(&root.0, "n0 127.0.0.1:1").unwrap();
    assert_eq!(folder.others().unwrap(), [], "not oneself");
    let lives = other(&folder, 1);
    fs::write(folder.handover_path(1), "").unwrap();
    assert_eq!(folder.others().unwrap(), [told(1)]);
    // The kernel gives the lock back with the process.
    drop(lives);
    assert_eq!(folder.others().unwrap(), []);
    assert!(
        !folder.path().join("process-1").exists() && !folder.handover_path(1).exists(),
        "what it left is gone"
    );
}

#[test]
fn a_process_that_is_about_to_write_is_there_and_not_ready() {
    let root = Root::new();
    let folder = Folder::open(&root.0, "n0").unwrap();
    let lives = other(&folder, 1);
    lives.set_len(1).unwrap();
    assert_eq!(
        folder.others().unwrap(),
        [Told {
            process: 1,
            ..Told::default()
        }]
    );
}

#[test]
fn what_a_process_tells_is_told_again_when_somebody_has_taken_its_file() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    let path = folder
        .path()
        .join(format!("process-{}", std::process::id()));
    folder
        .tell(Told {
            ready: true,
            ..Told::default()
        })
        .unwrap();
    assert!(fs::read_to_string(&path).unwrap().ends_with(" 1 0 0\n"));
    fs::remove_file(&path).unwrap();
    folder
        .tell(Told {
            ready: true,
            ..Told::default()
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
fn changes_of_two_processes_are_both_kept_and_each_is_read_once() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    let held = Wanted::default();
    let (first, kept) = folder.change(NOW, &held, cordon("a")).unwrap().unwrap();
    kept.unwrap();
    // This one has not heard of the first change, as another process would not have.
    let (second, kept) = folder.change(NOW, &held, cordon("b")).unwrap().unwrap();
    kept.unwrap();
    assert_eq!((first.revision, second.revision), (1, 2));
    assert_eq!(second.cordoned.keys().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(folder.read(NOW).unwrap(), Some(second));
    assert_eq!(folder.read(NOW).unwrap(), None);
    assert_eq!(
        folder.change(NOW, &held, cordon("a")).unwrap().map(|c| c.0),
        None,
        "it is out already"
    );
    let refused = folder.change(NOW, &held, |_| Err::<Option<Wanted>, _>(Refused::TooMany));
    assert_matches!(refused, Err(Refused::TooMany));
}

#[test]
fn a_state_that_could_not_be_kept_before_is_not_undone_by_an_older_one() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    folder
        .change(NOW, &Wanted::default(), cordon("a"))
        .unwrap()
        .unwrap()
        .1
        .unwrap();
    let held = Wanted {
        revision: 7,
        ..Wanted::default()
    };
    let (next, _) = folder.change(NOW, &held, cordon("b")).unwrap().unwrap();
    assert_eq!((next.revision, next.cordoned.len()), (8, 1));
}

#[test]
fn a_process_that_stands_still_in_a_change_holds_the_next_one_up_for_a_moment_only() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    let holds = File::create(folder.path().join("lock")).unwrap();
    holds.lock().unwrap();
    let begun = Instant::now();
    folder
        .change(NOW, &Wanted::default(), cordon("a"))
        .unwrap()
        .unwrap()
        .1
        .unwrap();
    assert!(begun.elapsed() >= CHANGE && begun.elapsed() < 2 * CHANGE);
}

#[test]
fn torn_foreign_and_old_files_are_no_state_and_said_once() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    let wanted = Wanted {
        revision: 3,
        ..Wanted::default()
    };
    let whole = wanted.encode("n0", NOW);
    for bytes in [
        &whole[..whole.len() / 2],
        b"",
        b"hello\n",
        &wanted.encode("n1", NOW),
        &wanted.encode("n0", Time(0)),
    ] {
        fs::write(folder.wanted(), bytes).unwrap();
        folder.seen = None;
        assert_matches!(folder.read(NOW), Err(Failure::NoState(..)));
        assert_eq!(folder.read(NOW).unwrap(), None);
        let (next, _) = folder
            .change(NOW, &Wanted::default(), cordon("a"))
            .unwrap()
            .unwrap();
        assert_eq!(next.revision, 1, "the next change begins anew");
        folder.seen = None;
        assert_eq!(folder.read(NOW).unwrap(), Some(next));
    }
}

#[test]
fn what_can_not_be_kept_is_wanted_all_the_same_and_told() {
    let root = Root::new();
    let mut folder = Folder::open(&root.0, "n0").unwrap();
    fs::create_dir(folder.wanted()).unwrap();
    let (next, kept) = folder
        .change(NOW, &Wanted::default(), cordon("a"))
        .unwrap()
        .unwrap();
    assert_eq!(next.cordoned.len(), 1);
    assert_matches!(kept, Err(Failure::System(..)));
}

#[test]
fn a_folder_that_is_not_this_users_own_is_not_used() {
    let root = Root::new();
    let elsewhere = root.0.join("elsewhere");
    fs::create_dir(&elsewhere).unwrap();
    let path = Folder::open(&root.0, "n0").unwrap().path().to_path_buf();
    fs::remove_dir_all(&path).unwrap();
    std::os::unix::fs::symlink(&elsewhere, &path).unwrap();
    assert_matches!(Folder::open(&root.0, "n0"), Err(Failure::NotOurs(_)));
    assert_matches!(
        Folder::open(&root.0.join("nowhere"), "n0"),
        Err(Failure::System(..))
    );
}
