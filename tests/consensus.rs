//! Voters and holders as processes, with links between them that fail, memories that are lost, and
//! a checker of who held a duty when.

use lichenswitch_emulators::rig::{judge_holders, Entry, Event, Rig};
use std::path::{Path, PathBuf};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lichenswitch");
/// The most that anything here is waited for, and what one that stood still has to find out that it
/// holds nothing.
const MOST: Duration = Duration::from_secs(40);
const WAKES: Duration = Duration::from_millis(500);

struct Council {
    rig: Rig,
    files: Vec<[PathBuf; 2]>,
}

impl Council {
    /// So many brokers, of which the first `voters` vote; all would like to hold the duty.
    fn new(count: usize, voters: usize, seed: u64) -> Council {
        let rig = Rig::new(Path::new(PROGRAM), count, seed).unwrap();
        let names: Vec<String> = (0..voters).map(|v| format!("n{v}")).collect();
        let lines = |who: usize| {
            let folder = rig.folder().join(format!("memory-{who}"));
            format!(
                "  probe_ms: 200\n  suspicion_ms: 1500\n  voters: [{}]\n  folder: {}\n  duties: [compiler]\n  lease_ms: 1500\n",
                names.join(", "),
                folder.display()
            )
        };
        let files = (0..count)
            .map(|who| rig.broker_files(who, &lines(who)).unwrap())
            .collect();
        let mut council = Council { rig, files };
        (0..count).for_each(|who| council.start(who));
        council
    }

    fn start(&mut self, who: usize) {
        self.rig.start_broker(who, &self.files[who]).unwrap();
    }

    fn memory(&self, who: usize) -> PathBuf {
        self.rig.folder().join(format!("memory-{who}"))
    }

    /// Waits until one of these has come to hold the duty since so many lines were in the ledger,
    /// and tells who.
    fn holder(&self, of: &[usize], since: usize) -> usize {
        let holds = |entries: &[Entry]| holder(&entries[since..], of);
        let held = self.rig.until(MOST, |entries| holds(entries).is_some());
        let entries = self.rig.ledger.all();
        assert!(
            held,
            "{:?}",
            &entries[since.max(entries.len().saturating_sub(60))..]
        );
        holds(&entries).unwrap()
    }

    fn count(&self) -> usize {
        self.rig.ledger.all().len()
    }

    /// Waits until a broker has said this since so many lines were in the ledger.
    fn says(&self, by: usize, since: usize, what: &str) {
        let says =
            |e: &Entry| e.who == by && matches!(&e.what, Event::Said(line) if line.contains(what));
        let said = self
            .rig
            .until(MOST, |entries| entries[since..].iter().any(says));
        assert!(
            said,
            "n{by} never says {what:?}: {:?}",
            self.rig.ledger.all().iter().rfind(|e| e.who == by)
        );
    }

    fn cut(&self, side: &[usize], cut: bool) {
        let count = self.files.len();
        for (a, b) in (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            if side.contains(&a) != side.contains(&b) {
                self.rig.cut(a, b, cut);
            }
        }
    }

    /// No two held the duty at a time, and fences grew; tells how many times it was taken over.
    fn sound(&self) -> usize {
        let found = judge_holders(&self.rig.ledger.all(), "compiler", WAKES);
        let told = |e: &&Entry| !matches!(&e.what, Event::Said(l) if l.contains("fleet:") || l.contains("discovery"));
        let entries = self.rig.ledger.all();
        let around: Vec<&Entry> = entries.iter().filter(told).collect();
        assert!(found.wrong.is_empty(), "{:#?}: {around:#?}", found.wrong);
        found.checked
    }
}

/// The last of these brokers that says it holds the duty, and has not said since that it does not.
fn holder(entries: &[Entry], of: &[usize]) -> Option<usize> {
    let mut holds = None;
    for entry in entries.iter().filter(|e| of.contains(&e.who)) {
        match &entry.what {
            Event::Said(line) if line.contains("duty compiler: held under fence") => {
                holds = Some(entry.who)
            }
            Event::Said(line)
                if line.contains("duty compiler: not held") && holds == Some(entry.who) =>
            {
                holds = None
            }
            _ => {}
        }
    }
    holds
}

fn others(count: usize, who: usize) -> Vec<usize> {
    (0..count).filter(|o| *o != who).collect()
}

#[test]
fn one_holds_a_duty_whoever_is_killed_stopped_or_cut_off() {
    let mut council = Council::new(5, 3, 1);
    let first = council.holder(&[0, 1, 2, 3, 4], 0);
    let since = council.count();
    council.rig.kill(first);
    let second = council.holder(&others(5, first), since);
    council.start(first);
    council.says(
        first,
        since,
        if first < 3 {
            "council: votes"
        } else {
            "peers: "
        },
    );
    // The holder stands still: when it goes on it finds out by itself, before it does anything.
    let since = council.count();
    council.rig.stop(second);
    let third = council.holder(&others(5, second), since);
    let since = council.count();
    council.rig.go_on(second);
    council.says(second, since, "duty compiler: not held");
    // The holder is cut off: its lease runs out before anybody else has one.
    let since = council.count();
    council.cut(&[third], true);
    let fourth = council.holder(&others(5, third), since);
    council.says(third, since, "duty compiler: not held");
    council.says(
        third,
        since,
        "standing: doubtful: the last majority of the voters heard it",
    );
    let since = council.count();
    council.cut(&[third], false);
    council.says(third, since, "standing: joined: ");
    // One that is asked to end gives it back: nobody waits for the end of its lease.
    let since = council.count();
    assert_eq!(council.rig.end(fourth), Some(0));
    council.holder(&others(5, fourth), since);
    assert!(council.sound() >= 5);
}

#[test]
fn two_of_five_voters_can_not_grant_and_three_go_on() {
    let council = Council::new(6, 5, 2);
    let first = council.holder(&[0, 1, 2, 3, 4, 5], 0);
    // The holder is on the side of two voters; its lease runs out there, and the three grant
    // another.
    let beside = others(5, first).pop().unwrap();
    let side = [first.min(5), beside];
    let rest: Vec<usize> = (0..6).filter(|w| !side.contains(w)).collect();
    let voters_left = rest.iter().filter(|w| **w < 5).count();
    assert!(voters_left >= 3);
    let since = council.count();
    council.cut(&side, true);
    let second = council.holder(&rest, since);
    council.says(first, since, "duty compiler: not held");
    let held_there = council.rig.ledger.all()[since..].iter().any(|e| {
        side.contains(&e.who) && matches!(&e.what, Event::Said(l) if l.contains("held under fence"))
    });
    assert!(!held_there, "two voters grant nothing");
    council.cut(&side, false);
    // It goes on: whoever holds it then is followed by one of all.
    let since = council.count();
    council.rig.stop(second);
    council.holder(&others(6, second), since);
    assert!(council.sound() >= 3);
}

#[test]
fn voters_that_have_lost_their_memory_do_not_vote_and_those_with_a_torn_end_do() {
    let mut council = Council::new(5, 5, 3);
    council.holder(&[0, 1, 2, 3, 4], 0);
    // One comes back without its folder, then a second: the three that remember go on.
    for forgets in [3, 4] {
        council.rig.kill(forgets);
        std::fs::remove_dir_all(council.memory(forgets)).unwrap();
        let since = council.count();
        council.start(forgets);
        council.says(forgets, since, "does not vote: the fleet knows");
    }
    // One whose writing was cut off votes on.
    council.rig.kill(0);
    let file = council.memory(0).join("memory");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes.extend([0, 0, 1]);
    std::fs::write(&file, bytes).unwrap();
    let since = council.count();
    council.start(0);
    council.says(0, since, "3 bytes whose writing was cut off are left aside");
    council.says(0, since, "council: votes, genesis");
    let (holder, since) = (council.holder(&[0, 1, 2, 3, 4], 0), council.count());
    council.rig.stop(holder);
    if holder > 2 {
        council.holder(&others(5, holder), since);
    }
    council.rig.go_on(holder);
    // A folder of another cluster is set aside, and is none.
    council.rig.kill(1);
    let file = council.memory(1).join("memory");
    let bytes = std::fs::read(&file).unwrap();
    let other = String::from_utf8_lossy(&bytes[..40])
        .replacen("test n1", "tset n1", 1)
        .into_bytes();
    std::fs::write(&file, [&other[..], &bytes[other.len()..]].concat()).unwrap();
    let since = council.count();
    council.start(1);
    council.says(
        1,
        since,
        "it does not name its owner: \"test n1\" is not there; it is set aside as",
    );
    council.says(1, since, "does not vote");
    council.sound();
}

#[test]
fn all_killed_at_once_and_started_together_go_on_under_the_same_genesis_and_greater_fences() {
    let mut council = Council::new(4, 3, 4);
    council.holder(&[0, 1, 2, 3], 0);
    (0..4).for_each(|who| council.rig.kill(who));
    let since = council.count();
    (0..4).for_each(|who| council.start(who));
    council.holder(&[0, 1, 2, 3], since);
    let entries = council.rig.ledger.all();
    let genesis = |e: &Entry| match &e.what {
        Event::Said(line) => Some(
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
    assert!(council.sound() >= 2);
}

#[test]
fn who_is_cut_off_knows_it_and_a_fleet_that_has_begun_anew_is_a_stranger_to_who_knew_the_former() {
    let mut council = Council::new(4, 3, 5);
    (0..4).for_each(|who| council.says(who, 0, "standing: joined: "));
    let since = council.count();
    council.cut(&[3], true);
    council.says(
        3,
        since,
        "standing: cut off: the last majority of the voters heard it",
    );
    council.cut(&[3], false);
    council.says(3, since, "standing: joined: ");
    // All voters lose their memories at once: they begin anew, and the broker that knew the former
    // genesis says so.
    (0..3).for_each(|who| council.rig.kill(who));
    (0..3).for_each(|who| std::fs::remove_dir_all(council.memory(who)).unwrap());
    let since = council.count();
    (0..3).for_each(|who| council.start(who));
    council.says(
        3,
        since,
        "standing: a stranger: the fleet has begun anew: genesis",
    );
    (0..3).for_each(|who| council.says(who, since, "standing: joined: "));
}
