//! Several brokers as processes, with links between them that fail: which of them are believed
//! alive, and what the protocol withstands.

use lichenswitch_emulators::relay::Faults;
use lichenswitch_emulators::rig::{judge_deaths, known_members, members_agree, Entry, Event, Rig};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lichenswitch");
/// The times in the files of these brokers: a fifth of a second between probes, one and a half of
/// suspicion.
const TIMES: &str = "  probe_ms: 200\n  suspicion_ms: 1500\n";
/// How long after its end a fault still explains a death, and the longest wait of these tests.
const FAULT_GRACE: Duration = Duration::from_secs(8);
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

struct TestFleet {
    rig: Rig,
    files: Vec<[PathBuf; 2]>,
}

impl TestFleet {
    /// This many brokers, started together; each knows the others, by links of its own.
    fn new(count: usize, seed: u64) -> TestFleet {
        let mut fleet = TestFleet::unstarted(count, seed);
        (0..count).for_each(|broker| fleet.start(broker));
        fleet
    }

    fn unstarted(count: usize, seed: u64) -> TestFleet {
        let rig = Rig::new(Path::new(PROGRAM), count, seed).unwrap();
        let files = (0..count)
            .map(|broker| rig.broker_files(broker, TIMES).unwrap())
            .collect();
        TestFleet { rig, files }
    }

    fn start(&mut self, broker: usize) {
        self.rig.start_broker(broker, &self.files[broker]).unwrap();
    }

    fn count(&self) -> usize {
        self.files.len()
    }

    /// Waits until the view of each of these brokers is all of them, and nobody else, by what they
    /// logged last.
    fn wait_for_views(&self, living: &[usize]) {
        let agreed = self
            .rig
            .until(WAIT_TIMEOUT, |entries| members_agree(entries, living));
        let entries = self.rig.ledger.all();
        let views: Vec<_> = living
            .iter()
            .map(|broker| known_members(&entries, *broker))
            .collect();
        // The last lines tell why.
        let last = |broker: &usize| entries.iter().rfind(|e| e.process == *broker).cloned();
        let last: Vec<_> = living.iter().map(last).collect();
        assert!(agreed, "{living:?} know {views:?}: {last:?}");
    }

    /// Checks that no broker was declared dead without a fault; returns how many deaths were checked.
    fn check_deaths(&self) -> usize {
        let found = judge_deaths(&self.rig.ledger.all(), self.count(), FAULT_GRACE);
        assert!(found.wrong.is_empty(), "{:?}", found.wrong);
        found.checked
    }
}

/// How many lines of a broker have this text.
fn count_lines(entries: &[Entry], broker: usize, text: &str) -> usize {
    let says = |e: &&Entry| {
        e.process == broker && matches!(&e.event, Event::Logged(line) if line.contains(text))
    };
    entries.iter().filter(says).count()
}

#[test]
fn nine_brokers_discover_each_other_and_a_crashed_one_is_detected_by_all_and_returns() {
    let mut fleet = TestFleet::new(9, 1);
    let all: Vec<usize> = (0..9).collect();
    fleet.wait_for_views(&all);
    assert_eq!(fleet.check_deaths(), 0);
    fleet.rig.kill(4);
    let remaining: Vec<usize> = all.iter().filter(|w| **w != 4).copied().collect();
    fleet.wait_for_views(&remaining);
    assert!(fleet.check_deaths() >= 8, "each of the others declared it");
    fleet.start(4);
    fleet.wait_for_views(&all);
    // One that is asked to stop says so: nobody has to detect it.
    assert_eq!(fleet.rig.end(2), Some(0));
    let remaining: Vec<usize> = all.iter().filter(|w| **w != 2).copied().collect();
    fleet.wait_for_views(&remaining);
    assert!(fleet.check_deaths() >= 16);
}

#[test]
fn paused_broker_is_detected_and_declares_nobody_dead_when_it_resumes() {
    let fleet = TestFleet::new(5, 2);
    fleet.wait_for_views(&[0, 1, 2, 3, 4]);
    fleet.rig.stop(3);
    fleet.wait_for_views(&[0, 1, 2, 4]);
    fleet.rig.resume(3);
    fleet.wait_for_views(&[0, 1, 2, 3, 4]);
    let entries = fleet.rig.ledger.all();
    let deaths_by_it =
        |e: &&Entry| e.process == 3 && matches!(&e.event, Event::Logged(l) if l.contains(" down "));
    assert_eq!(
        entries.iter().filter(deaths_by_it).count(),
        0,
        "nobody had failed to answer it"
    );
    assert!(
        count_lines(&entries, 3, "fleet: n3 renewed") >= 1,
        "it goes on with a later incarnation"
    );
    assert!(fleet.check_deaths() >= 4);
}

#[test]
fn link_failures_in_one_direction_are_no_deaths_and_a_partitioned_broker_returns() {
    let fleet = TestFleet::new(5, 3);
    let all = [0, 1, 2, 3, 4];
    fleet.wait_for_views(&all);
    // A ring of links cut in one direction: each broker still sends to some, and receives from some.
    (0..5).for_each(|i| fleet.rig.cut(i, (i + 1) % 5, true));
    let lost = |fleet: &TestFleet| {
        (0..5)
            .map(|i| fleet.rig.link(i, (i + 1) % 5).message_counts().dropped)
            .collect::<Vec<_>>()
    };
    // Long enough for each to have probed the next one several times, in vain.
    let is_lossy = fleet
        .rig
        .until(WAIT_TIMEOUT, |_| lost(&fleet).iter().all(|l| *l >= 10));
    assert!(is_lossy, "{:?}", lost(&fleet));
    assert_eq!(fleet.check_deaths(), 0);
    fleet.wait_for_views(&all);
    (0..5).for_each(|i| fleet.rig.cut(i, (i + 1) % 5, false));
    // The messages of one reach nobody, though it receives those of all.
    (0..4).for_each(|to| fleet.rig.cut(4, to, true));
    fleet.wait_for_views(&[0, 1, 2, 3]);
    (0..4).for_each(|to| fleet.rig.cut(4, to, false));
    fleet.wait_for_views(&all);
    assert!(fleet.check_deaths() >= 4);
}

#[test]
fn lost_duplicated_delayed_and_reset_messages_are_no_deaths() {
    let fleet = TestFleet::new(5, 4);
    let all = [0, 1, 2, 3, 4];
    fleet.wait_for_views(&all);
    let links = || {
        (0..5)
            .flat_map(|a| (0..5).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
    };
    let faults = Faults {
        loss_share: 0.05,
        duplicate_share: 0.2,
        delay_ms: 3,
        ..Faults::default()
    };
    links().for_each(|(a, b)| fleet.rig.link(a, b).set(faults));
    let carried = |fleet: &TestFleet| {
        links()
            .map(|(a, b)| fleet.rig.link(a, b).message_counts().forwarded)
            .sum::<u64>()
    };
    for round in 1..=3 {
        let before = carried(&fleet);
        assert!(
            fleet
                .rig
                .until(WAIT_TIMEOUT, |_| carried(&fleet) >= before + 150),
            "{} carried",
            carried(&fleet)
        );
        links()
            .filter(|(a, b)| (a + b) % 3 == round % 3)
            .for_each(|(a, b)| fleet.rig.link(a, b).reset());
    }
    links().for_each(|(a, b)| fleet.rig.link(a, b).set(Faults::default()));
    fleet.wait_for_views(&all);
    assert_eq!(fleet.check_deaths(), 0);
}

#[test]
fn invalid_peers_are_disconnected_with_a_reason() {
    let fleet = TestFleet::new(2, 5);
    fleet.wait_for_views(&[0, 1]);
    let send = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(fleet.rig.addresses[0]).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    let framed = |content: &[u8]| [&(content.len() as u32).to_be_bytes()[..], content].concat();
    let greeting = |version: u16, cluster: &str| {
        // Name, address as a tag, four bytes and a port, zone, incarnation, as `postcard` encodes them.
        let from = [&[2][..], b"n9", &[0, 127, 0, 0, 1, 9, 1], b"z", &[1]].concat();
        let rest = [&[cluster.len() as u8][..], cluster.as_bytes(), &from].concat();
        framed(&[&b"lichenswitch-peers"[..], &version.to_be_bytes(), &rest].concat())
    };
    let invalid = [
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
    for (bytes, reason) in &invalid {
        open.push(send(bytes));
        let is_logged = fleet
            .rig
            .until(WAIT_TIMEOUT, |entries| count_lines(entries, 0, reason) == 1);
        assert!(is_logged, "{reason}: {:?}", fleet.rig.ledger.all());
    }
    for mut stream in open {
        // Its end, or a reset.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    // The protocol goes on, also beside many connections on which nothing is sent.
    let _idle: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(fleet.rig.addresses[0]).unwrap())
        .collect();
    let carried = fleet.rig.link(0, 1).message_counts().forwarded;
    assert!(fleet.rig.until(WAIT_TIMEOUT, |_| fleet
        .rig
        .link(0, 1)
        .message_counts()
        .forwarded
        > carried + 5));
    assert_eq!(fleet.check_deaths(), 0);
}

#[test]
fn without_the_section_no_broker_listens_for_peers_or_logs_anything_of_them() {
    let mut fleet = TestFleet::unstarted(2, 6);
    let platform = fleet.files[0][0].clone();
    let none = fleet
        .rig
        .file("none.yaml", "ogc:\n  listen: null\n")
        .unwrap();
    fleet.rig.start_broker(0, &[platform, none]).unwrap();
    assert!(fleet.rig.until(WAIT_TIMEOUT, |entries| count_lines(
        entries,
        0,
        "n0 listens on"
    ) == 1));
    assert!(TcpStream::connect(fleet.rig.addresses[0]).is_err());
    assert_eq!(fleet.rig.end(0), Some(0));
    let entries = fleet.rig.ledger.all();
    assert_eq!(
        count_lines(&entries, 0, "peer") + count_lines(&entries, 0, "fleet"),
        0
    );
}
