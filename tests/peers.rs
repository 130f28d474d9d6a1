//! Several brokers as processes, with links between them that fail: who is believed alive, and what
//! the talk bears.

use lichenswitch_emulators::relay::Faults;
use lichenswitch_emulators::rig::{agree, judge_deaths, known, Entry, Event, Rig};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lichenswitch");
/// Times in the files of these brokers: a fifth of a second between probes, one and a half of
/// suspicion.
const TIMES: &str = "  probe_ms: 200\n  suspicion_ms: 1500\n";
/// What a fault may still be told after it is over, and the most that anything here is waited for.
const AFTER: Duration = Duration::from_secs(8);
const MOST: Duration = Duration::from_secs(40);

struct Fleet {
    rig: Rig,
    files: Vec<[PathBuf; 2]>,
}

impl Fleet {
    /// So many brokers, started together; each knows the others, by links of its own.
    fn new(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::unstarted(count, seed);
        (0..count).for_each(|who| fleet.start(who));
        fleet
    }

    fn unstarted(count: usize, seed: u64) -> Fleet {
        let rig = Rig::new(Path::new(PROGRAM), count, seed).unwrap();
        let files = (0..count)
            .map(|who| rig.broker_files(who, TIMES).unwrap())
            .collect();
        Fleet { rig, files }
    }

    fn start(&mut self, who: usize) {
        self.rig.start_broker(who, &self.files[who]).unwrap();
    }

    fn count(&self) -> usize {
        self.files.len()
    }

    /// Waits until all of these know all of these, and nobody else, by what they said last.
    fn agree(&self, living: &[usize]) {
        let agreed = self.rig.until(MOST, |entries| agree(entries, living));
        let entries = self.rig.ledger.all();
        let views: Vec<_> = living.iter().map(|by| known(&entries, *by)).collect();
        // What those who are not known said last tells why.
        let last = |by: &usize| entries.iter().rfind(|e| e.who == *by).cloned();
        let last: Vec<_> = living.iter().map(last).collect();
        assert!(agreed, "{living:?} know {views:?}: {last:?}");
    }

    /// Nobody was declared dead whom nothing had befallen; tells how many deaths were looked at.
    fn no_wrong_deaths(&self) -> usize {
        let found = judge_deaths(&self.rig.ledger.all(), self.count(), AFTER);
        assert!(found.wrong.is_empty(), "{:?}", found.wrong);
        found.checked
    }
}

fn said(entries: &[Entry], by: usize, what: &str) -> usize {
    let says =
        |e: &&Entry| e.who == by && matches!(&e.what, Event::Said(line) if line.contains(what));
    entries.iter().filter(says).count()
}

#[test]
fn nine_brokers_find_each_other_and_a_killed_one_is_missed_by_all_and_comes_back() {
    let mut fleet = Fleet::new(9, 1);
    let all: Vec<usize> = (0..9).collect();
    fleet.agree(&all);
    assert_eq!(fleet.no_wrong_deaths(), 0);
    fleet.rig.kill(4);
    let left: Vec<usize> = all.iter().filter(|w| **w != 4).copied().collect();
    fleet.agree(&left);
    assert!(fleet.no_wrong_deaths() >= 8, "each of the others told it");
    fleet.start(4);
    fleet.agree(&all);
    // One that is asked to end says so: nobody has to find it out.
    assert_eq!(fleet.rig.end(2), Some(0));
    let left: Vec<usize> = all.iter().filter(|w| **w != 2).copied().collect();
    fleet.agree(&left);
    assert!(fleet.no_wrong_deaths() >= 16);
}

#[test]
fn a_broker_that_stands_still_is_missed_and_declares_nobody_dead_when_it_goes_on() {
    let fleet = Fleet::new(5, 2);
    fleet.agree(&[0, 1, 2, 3, 4]);
    fleet.rig.stop(3);
    fleet.agree(&[0, 1, 2, 4]);
    fleet.rig.go_on(3);
    fleet.agree(&[0, 1, 2, 3, 4]);
    let entries = fleet.rig.ledger.all();
    let by_it =
        |e: &&Entry| e.who == 3 && matches!(&e.what, Event::Said(l) if l.contains(" down "));
    assert_eq!(
        entries.iter().filter(by_it).count(),
        0,
        "nobody had failed to answer it"
    );
    assert!(
        said(&entries, 3, "fleet: n3 renewed") >= 1,
        "it goes on under a later life"
    );
    assert!(fleet.no_wrong_deaths() >= 4);
}

#[test]
fn ways_that_fail_in_one_direction_are_no_deaths_and_a_cut_broker_is_found_again() {
    let fleet = Fleet::new(5, 3);
    let all = [0, 1, 2, 3, 4];
    fleet.agree(&all);
    // A ring of one-way cuts: everybody is heard by somebody, and hears somebody.
    (0..5).for_each(|i| fleet.rig.cut(i, (i + 1) % 5, true));
    let lost = |fleet: &Fleet| {
        (0..5)
            .map(|i| fleet.rig.link(i, (i + 1) % 5).counts().1)
            .collect::<Vec<_>>()
    };
    // Long enough for each to have asked the next one several times, in vain.
    let tried = fleet
        .rig
        .until(MOST, |_| lost(&fleet).iter().all(|l| *l >= 10));
    assert!(tried, "{:?}", lost(&fleet));
    assert_eq!(fleet.no_wrong_deaths(), 0);
    fleet.agree(&all);
    (0..5).for_each(|i| fleet.rig.cut(i, (i + 1) % 5, false));
    // One is heard by nobody, though it hears all.
    (0..4).for_each(|to| fleet.rig.cut(4, to, true));
    fleet.agree(&[0, 1, 2, 3]);
    (0..4).for_each(|to| fleet.rig.cut(4, to, false));
    fleet.agree(&all);
    assert!(fleet.no_wrong_deaths() >= 4);
}

#[test]
fn lost_doubled_late_and_reset_messages_are_no_deaths() {
    let fleet = Fleet::new(5, 4);
    let all = [0, 1, 2, 3, 4];
    fleet.agree(&all);
    let links = || {
        (0..5)
            .flat_map(|a| (0..5).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
    };
    let faults = Faults {
        lost: 0.05,
        twice: 0.2,
        delay_ms: 3,
        ..Faults::default()
    };
    links().for_each(|(a, b)| fleet.rig.link(a, b).set(faults));
    let carried = |fleet: &Fleet| {
        links()
            .map(|(a, b)| fleet.rig.link(a, b).counts().0)
            .sum::<u64>()
    };
    for round in 1..=3 {
        let before = carried(&fleet);
        assert!(
            fleet.rig.until(MOST, |_| carried(&fleet) >= before + 150),
            "{} carried",
            carried(&fleet)
        );
        links()
            .filter(|(a, b)| (a + b) % 3 == round % 3)
            .for_each(|(a, b)| fleet.rig.link(a, b).reset());
    }
    links().for_each(|(a, b)| fleet.rig.link(a, b).set(Faults::default()));
    fleet.agree(&all);
    assert_eq!(fleet.no_wrong_deaths(), 0);
}

#[test]
fn garbage_foreign_clusters_other_versions_and_those_that_never_get_ready_are_closed_with_a_reason()
{
    let fleet = Fleet::new(2, 5);
    fleet.agree(&[0, 1]);
    let say = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(fleet.rig.listens[0]).unwrap();
        stream.set_read_timeout(Some(MOST)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    let framed = |content: &[u8]| [&(content.len() as u32).to_be_bytes()[..], content].concat();
    let greeting = |version: u16, cluster: &str| {
        // Name, address as a tag, four bytes and a port, zone, life, as `postcard` writes them.
        let from = [&[2][..], b"n9", &[0, 127, 0, 0, 1, 9, 1], b"z", &[1]].concat();
        let rest = [&[cluster.len() as u8][..], cluster.as_bytes(), &from].concat();
        framed(&[&b"lichenswitch-peers"[..], &version.to_be_bytes(), &rest].concat())
    };
    let bad = [
        (
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            "a message of 1195725856 bytes, 65536 at most",
        ),
        (
            (100u32 << 20).to_be_bytes().to_vec(),
            "a message of 104857600 bytes, 65536 at most",
        ),
        (framed(b"what"), "no greeting of a peer"),
        (greeting(2, "test"), "it speaks version 2, here it is 1"),
        (
            greeting(1, "other"),
            "it is of cluster \"other\", this is \"test\"",
        ),
        (
            [greeting(1, "test"), framed(&[9, 9])].concat(),
            "a message that can't be read",
        ),
        (
            greeting(1, "test")[..30].to_vec(),
            "a message that never becomes whole",
        ),
    ];
    let mut open = Vec::new();
    for (bytes, why) in &bad {
        open.push(say(bytes));
        let told = fleet.rig.until(MOST, |entries| said(entries, 0, why) == 1);
        assert!(told, "{why}: {:?}", fleet.rig.ledger.all());
    }
    for mut stream in open {
        // Its end, or a reset.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    // The talk goes on, and a crowd that says nothing does not keep it from that.
    let _crowd: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(fleet.rig.listens[0]).unwrap())
        .collect();
    let carried = fleet.rig.link(0, 1).counts().0;
    assert!(fleet
        .rig
        .until(MOST, |_| fleet.rig.link(0, 1).counts().0 > carried + 5));
    assert_eq!(fleet.no_wrong_deaths(), 0);
}

#[test]
fn without_the_section_nobody_listens_for_peers_and_no_word_is_said_of_them() {
    let mut fleet = Fleet::unstarted(2, 6);
    let platform = fleet.files[0][0].clone();
    let none = fleet
        .rig
        .file("none.yaml", "ogc:\n  listen: null\n")
        .unwrap();
    fleet.rig.start_broker(0, &[platform, none]).unwrap();
    assert!(fleet
        .rig
        .until(MOST, |entries| said(entries, 0, "n0 listens on") == 1));
    assert!(TcpStream::connect(fleet.rig.listens[0]).is_err());
    assert_eq!(fleet.rig.end(0), Some(0));
    let entries = fleet.rig.ledger.all();
    assert_eq!(said(&entries, 0, "peer") + said(&entries, 0, "fleet"), 0);
}
