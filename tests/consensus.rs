//! Voters and lease holders as processes, with links between them that fail, storage that is lost,
//! and a checker of which broker held a role when.

use lichenswitch_emulators::rig::{judge_holders, Entry, Event, Rig};
use std::path::{Path, PathBuf};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lichenswitch");
/// The longest wait of these tests, and the time in which a broker that was paused has to find out
/// that it holds nothing.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const RESUME_TIMEOUT: Duration = Duration::from_millis(500);

struct TestCluster {
    rig: Rig,
    files: Vec<[PathBuf; 2]>,
}

impl TestCluster {
    /// This many brokers, of which the first `voters` vote; all are to hold the role if they can.
    fn new(count: usize, voters: usize, seed: u64) -> TestCluster {
        let rig = Rig::new(Path::new(PROGRAM), count, seed).unwrap();
        let names: Vec<String> = (0..voters).map(|v| format!("n{v}")).collect();
        let lines = |broker: usize| {
            let folder = rig.folder().join(format!("memory-{broker}"));
            format!(
                "  probe_ms: 200\n  suspicion_ms: 1500\n  voters: [{}]\n  folder: {}\n  duties: [compiler]\n  lease_ms: 1500\n",
                names.join(", "),
                folder.display()
            )
        };
        let files = (0..count)
            .map(|broker| rig.broker_files(broker, &lines(broker)).unwrap())
            .collect();
        let mut cluster = TestCluster { rig, files };
        (0..count).for_each(|broker| cluster.start(broker));
        cluster
    }

    fn start(&mut self, broker: usize) {
        self.rig.start_broker(broker, &self.files[broker]).unwrap();
    }

    fn storage(&self, broker: usize) -> PathBuf {
        self.rig.folder().join(format!("memory-{broker}"))
    }

    /// Waits until one of these brokers holds the role, by the entries of the ledger from `first_entry` on;
    /// returns which one.
    fn wait_for_holder(&self, brokers: &[usize], first_entry: usize) -> usize {
        let holder_in = |entries: &[Entry]| current_holder(&entries[first_entry..], brokers);
        let is_held = self
            .rig
            .until(WAIT_TIMEOUT, |entries| holder_in(entries).is_some());
        let entries = self.rig.ledger.all();
        assert!(
            is_held,
            "{:?}",
            &entries[first_entry.max(entries.len().saturating_sub(60))..]
        );
        holder_in(&entries).unwrap()
    }

    fn entry_count(&self) -> usize {
        self.rig.ledger.all().len()
    }

    /// Waits until a broker has logged this, by the entries of the ledger from `first_entry` on.
    fn wait_for_log(&self, broker: usize, first_entry: usize, text: &str) {
        let has_text = |e: &Entry| {
            e.process == broker && matches!(&e.event, Event::Logged(line) if line.contains(text))
        };
        let is_logged = self.rig.until(WAIT_TIMEOUT, |entries| {
            entries[first_entry..].iter().any(has_text)
        });
        assert!(
            is_logged,
            "n{broker} never logs {text:?}: {:?}",
            self.rig.ledger.all().iter().rfind(|e| e.process == broker)
        );
    }

    /// Waits until the last line that a broker's process has logged of its contact with the voters
    /// contains this.
    fn wait_for_standing(&self, broker: usize, standing: &str) {
        let is_current = |entries: &[Entry]| {
            current_standing(entries, broker).is_some_and(|line| line.contains(standing))
        };
        assert!(
            self.rig.until(WAIT_TIMEOUT, is_current),
            "n{broker} is never {standing:?}: {:?}",
            current_standing(&self.rig.ledger.all(), broker)
        );
    }

    fn set_partition(&self, side: &[usize], is_cut: bool) {
        let count = self.files.len();
        for (a, b) in (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            if side.contains(&a) != side.contains(&b) {
                self.rig.cut(a, b, is_cut);
            }
        }
    }

    /// No two brokers held the role at a time, and tokens grew; returns how many times it was taken
    /// over.
    fn check_holders(&self) -> usize {
        let found = judge_holders(&self.rig.ledger.all(), "compiler", RESUME_TIMEOUT);
        let is_relevant = |e: &&Entry| !matches!(&e.event, Event::Logged(l) if l.contains("fleet:") || l.contains("discovery"));
        let entries = self.rig.ledger.all();
        let relevant_entries: Vec<&Entry> = entries.iter().filter(is_relevant).collect();
        assert!(
            found.wrong.is_empty(),
            "{:#?}: {relevant_entries:#?}",
            found.wrong
        );
        found.checked
    }
}

/// The last of these brokers that has logged that it holds the role, and not since that it does not.
fn current_holder(entries: &[Entry], brokers: &[usize]) -> Option<usize> {
    let mut holder = None;
    for entry in entries.iter().filter(|e| brokers.contains(&e.process)) {
        match &entry.event {
            Event::Logged(line) if line.contains("duty compiler: held under fence") => {
                holder = Some(entry.process)
            }
            Event::Logged(line)
                if line.contains("duty compiler: not held") && holder == Some(entry.process) =>
            {
                holder = None
            }
            _ => {}
        }
    }
    holder
}

/// What a broker has logged last of its contact with the voters, since its process was started.
fn current_standing(entries: &[Entry], broker: usize) -> Option<&str> {
    let mut latest_first = entries.iter().rev().filter(|e| e.process == broker);
    latest_first.find_map(|entry| match &entry.event {
        Event::Started => Some(None),
        Event::Logged(line) if line.contains("standing: ") => Some(Some(line.as_str())),
        _ => None,
    })?
}

fn others(count: usize, broker: usize) -> Vec<usize> {
    (0..count).filter(|o| *o != broker).collect()
}

#[test]
fn role_has_one_holder_through_crash_pause_partition_and_stop() {
    let mut cluster = TestCluster::new(5, 3, 1);
    let first = cluster.wait_for_holder(&[0, 1, 2, 3, 4], 0);
    let first_entry = cluster.entry_count();
    cluster.rig.kill(first);
    let second = cluster.wait_for_holder(&others(5, first), first_entry);
    cluster.start(first);
    cluster.wait_for_log(
        first,
        first_entry,
        if first < 3 {
            "council: votes"
        } else {
            "peers: "
        },
    );
    // The holder is paused: when it resumes it finds out by itself, before it does anything.
    let first_entry = cluster.entry_count();
    cluster.rig.stop(second);
    let third = cluster.wait_for_holder(&others(5, second), first_entry);
    let first_entry = cluster.entry_count();
    cluster.rig.resume(second);
    cluster.wait_for_log(second, first_entry, "duty compiler: not held");
    // It logs that it has lost the voters only if it was in contact with a majority before. It may
    // have taken the role without: voters were killed and paused, and it may be the one started again.
    cluster.wait_for_standing(third, "standing: joined: ");
    // The holder is partitioned off: its lease expires before another broker has one.
    let first_entry = cluster.entry_count();
    cluster.set_partition(&[third], true);
    let fourth = cluster.wait_for_holder(&others(5, third), first_entry);
    cluster.wait_for_log(third, first_entry, "duty compiler: not held");
    cluster.wait_for_log(
        third,
        first_entry,
        "standing: doubtful: a majority of the voters last received its requests",
    );
    let first_entry = cluster.entry_count();
    cluster.set_partition(&[third], false);
    cluster.wait_for_log(third, first_entry, "standing: joined: ");
    // A holder that is asked to stop releases the role: nobody waits for the end of its lease.
    let first_entry = cluster.entry_count();
    assert_eq!(cluster.rig.end(fourth), Some(0));
    cluster.wait_for_holder(&others(5, fourth), first_entry);
    assert!(cluster.check_holders() >= 5);
}

#[test]
fn minority_of_voters_grants_nothing_and_majority_goes_on() {
    let cluster = TestCluster::new(6, 5, 2);
    let first = cluster.wait_for_holder(&[0, 1, 2, 3, 4, 5], 0);
    // The holder is on the side of two voters; its lease expires there, and the three grant another.
    let beside = others(5, first).pop().unwrap();
    let side = [first.min(5), beside];
    let rest: Vec<usize> = (0..6).filter(|w| !side.contains(w)).collect();
    let voters_left = rest.iter().filter(|w| **w < 5).count();
    assert!(voters_left >= 3);
    let first_entry = cluster.entry_count();
    cluster.set_partition(&side, true);
    let second = cluster.wait_for_holder(&rest, first_entry);
    cluster.wait_for_log(first, first_entry, "duty compiler: not held");
    let is_held_there = cluster.rig.ledger.all()[first_entry..].iter().any(|e| {
        side.contains(&e.process)
            && matches!(&e.event, Event::Logged(l) if l.contains("held under fence"))
    });
    assert!(!is_held_there, "two voters grant nothing");
    cluster.set_partition(&side, false);
    // It goes on: the next holder is any broker.
    let first_entry = cluster.entry_count();
    cluster.rig.stop(second);
    cluster.wait_for_holder(&others(6, second), first_entry);
    assert!(cluster.check_holders() >= 3);
}

#[test]
fn voters_without_their_storage_do_not_vote_and_those_with_a_torn_file_do() {
    let mut cluster = TestCluster::new(5, 5, 3);
    cluster.wait_for_holder(&[0, 1, 2, 3, 4], 0);
    // One returns without its storage, then a second: the three others go on.
    for voter in [3, 4] {
        cluster.rig.kill(voter);
        std::fs::remove_dir_all(cluster.storage(voter)).unwrap();
        let first_entry = cluster.entry_count();
        cluster.start(voter);
        cluster.wait_for_log(voter, first_entry, "does not vote: the genesis lists");
    }
    // One whose last write was interrupted goes on voting.
    cluster.rig.kill(0);
    let file = cluster.storage(0).join("memory");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes.extend([0, 0, 1]);
    std::fs::write(&file, bytes).unwrap();
    let first_entry = cluster.entry_count();
    cluster.start(0);
    cluster.wait_for_log(
        0,
        first_entry,
        "3 bytes whose writing was cut off are left aside",
    );
    cluster.wait_for_log(0, first_entry, "council: votes, genesis");
    let (holder, first_entry) = (
        cluster.wait_for_holder(&[0, 1, 2, 3, 4], 0),
        cluster.entry_count(),
    );
    cluster.rig.stop(holder);
    if holder > 2 {
        cluster.wait_for_holder(&others(5, holder), first_entry);
    }
    cluster.rig.resume(holder);
    // A file of another cluster is set aside.
    cluster.rig.kill(1);
    let file = cluster.storage(1).join("memory");
    let bytes = std::fs::read(&file).unwrap();
    let other = String::from_utf8_lossy(&bytes[..40])
        .replacen("test n1", "tset n1", 1)
        .into_bytes();
    std::fs::write(&file, [&other[..], &bytes[other.len()..]].concat()).unwrap();
    let first_entry = cluster.entry_count();
    cluster.start(1);
    cluster.wait_for_log(
        1,
        first_entry,
        "it does not name its owner: \"test n1\" is not there; it is set aside as",
    );
    cluster.wait_for_log(1, first_entry, "does not vote");
    cluster.check_holders();
}

#[test]
fn restart_of_all_brokers_keeps_the_genesis_and_tokens_grow() {
    let mut cluster = TestCluster::new(4, 3, 4);
    cluster.wait_for_holder(&[0, 1, 2, 3], 0);
    (0..4).for_each(|broker| cluster.rig.kill(broker));
    let first_entry = cluster.entry_count();
    (0..4).for_each(|broker| cluster.start(broker));
    cluster.wait_for_holder(&[0, 1, 2, 3], first_entry);
    let entries = cluster.rig.ledger.all();
    let genesis = |e: &Entry| match &e.event {
        Event::Logged(line) => Some(
            line.split("genesis ")
                .nth(1)?
                .split(' ')
                .next()?
                .to_string(),
        ),
        _ => None,
    };
    let all: std::collections::BTreeSet<String> = entries.iter().filter_map(genesis).collect();
    assert_eq!(all.len(), 1, "{all:?}");
    assert!(cluster.check_holders() >= 2);
}

#[test]
fn partitioned_broker_reports_it_and_a_new_genesis_is_foreign_to_those_of_the_former() {
    let mut cluster = TestCluster::new(4, 3, 5);
    (0..4).for_each(|broker| cluster.wait_for_log(broker, 0, "standing: joined: "));
    let first_entry = cluster.entry_count();
    cluster.set_partition(&[3], true);
    cluster.wait_for_log(
        3,
        first_entry,
        "standing: cut off: a majority of the voters last received its requests",
    );
    cluster.set_partition(&[3], false);
    cluster.wait_for_log(3, first_entry, "standing: joined: ");
    // All voters lose their storage at once: they come to a new genesis, and the broker that knew the
    // former one reports it.
    (0..3).for_each(|broker| cluster.rig.kill(broker));
    (0..3).for_each(|broker| std::fs::remove_dir_all(cluster.storage(broker)).unwrap());
    let first_entry = cluster.entry_count();
    (0..3).for_each(|broker| cluster.start(broker));
    cluster.wait_for_log(
        3,
        first_entry,
        "standing: a stranger: the voters use genesis ",
    );
    (0..3).for_each(|broker| cluster.wait_for_log(broker, first_entry, "standing: joined: "));
}
