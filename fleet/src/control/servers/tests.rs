//! Tests of `servers`.

use super::super::program::{Net, Owner};
use super::*;
use lichenswitch_messages::ServerState;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1_000)
}

fn settings() -> Settings {
    Settings::parse("nodeName = \"n\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\ninternalPortRange = [1, 2]\nseedNodes = []\n").unwrap()
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_300))
}

/// One of these has to hold the news, where there are any.
fn told(numbers: &[u8]) -> Audience {
    needed(numbers, numbers.len().min(1))
}

/// So many of these have to hold the news.
fn needed(numbers: &[u8], needed: usize) -> Audience {
    let told: BTreeSet<SocketAddr> = numbers.iter().map(|number| peer(*number)).collect();
    Audience {
        counted: told.clone(),
        told,
        needed,
    }
}

fn beat(sequence_number: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        service: "s".to_owned(),
        address: "10.9.0.1:80".to_owned(),
        state,
        sequence_number,
        ..Heartbeat::default()
    }
}

/// Names of connections.
fn callers() -> Vec<ConnId> {
    let mut net = Net::new(100).unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    net.reserve_for_peers(8);
    (0..4)
        .map(|_| {
            net.connect(Owner::Dialled, listener.local_addr().unwrap())
                .unwrap()
        })
        .collect()
}

#[test]
fn news_are_acknowledged_once_another_machine_in_contact_holds_them() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    assert_eq!(
        servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready)),
        Beat::Waits
    );
    let (changes, ack) = servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(changes.updates_for_peers().len(), 1);
    servers.on_merged(peer(2), ack, false);
    servers.on_merged(peer(9), ack, true);
    servers.settle(at(10));
    assert!(
        servers.take_answers().is_empty(),
        "one without contact, and one that was not told, don't count"
    );
    servers.on_merged(peer(3), ack, true);
    servers.settle(at(20));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);

    // The next beat tells nothing new.
    assert_eq!(
        servers.on_heartbeat(at(1_200), callers[1], "i-1", &beat(2, ServerState::Ready)),
        Beat::Known
    );
    assert!(!servers.has_changes());
    // That it leaves is news again, and so is its end.
    assert_eq!(
        servers.on_heartbeat(
            at(2_400),
            callers[1],
            "i-1",
            &beat(3, ServerState::Draining)
        ),
        Beat::Waits
    );
    servers.take_changes(at(2_400), told(&[2]));
    assert_eq!(
        servers.on_deregister(at(2_500), callers[2], "i-1"),
        Beat::Waits
    );
}

#[test]
fn one_slow_machine_holds_nobody_up_for_long() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (_, ack) = servers.take_changes(at(0), told(&[2, 3]));
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(99));
    assert!(servers.take_answers().is_empty());
    assert_eq!(servers.next_wake(), Some(at(100)));
    servers.settle(at(100));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn news_that_nobody_else_holds_are_refused_and_told_again() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    servers.take_changes(at(0), told(&[2]));
    // The same server again, while its news wait.
    assert_eq!(
        servers.on_heartbeat(at(50), callers[1], "i-1", &beat(2, ServerState::Ready)),
        Beat::Waits
    );
    servers.settle(at(400));
    assert_eq!(
        servers.take_answers(),
        [(callers[0], false), (callers[1], false)]
    );

    assert_eq!(
        servers.on_heartbeat(at(1_200), callers[2], "i-1", &beat(3, ServerState::Ready)),
        Beat::Waits
    );
    let (changes, ack) = servers.take_changes(at(1_200), told(&[2]));
    assert_eq!((changes.updates_for_peers().len(), ack), (1, 2));
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(1_201));
    assert_eq!(servers.take_answers(), [(callers[2], true)]);
    assert_eq!(
        servers.on_heartbeat(at(2_400), callers[3], "i-1", &beat(4, ServerState::Ready)),
        Beat::Known
    );
}

#[test]
fn a_call_that_brings_news_of_its_own_waits_for_these_and_not_for_older_ones() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (_, first) = servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(
        servers.on_deregister(at(10), callers[1], "i-1"),
        Beat::Waits
    );
    let (changes, second) = servers.take_changes(at(10), told(&[2, 3]));
    assert_eq!(
        (changes.updates_for_peers().len(), second == first),
        (1, false)
    );
    assert_ne!(
        second, 0,
        "that it has left is told under a number of its own"
    );
    // Told once more while that waits, it waits for the same.
    assert_eq!(
        servers.on_deregister(at(15), callers[2], "i-1"),
        Beat::Waits
    );

    [2, 3]
        .iter()
        .for_each(|number| servers.on_merged(peer(*number), first, true));
    servers.settle(at(20));
    assert_eq!(
        servers.take_answers(),
        [(callers[0], true)],
        "nobody else is known to hold that it has left"
    );
    [2, 3]
        .iter()
        .for_each(|number| servers.on_merged(peer(*number), second, true));
    servers.settle(at(30));
    assert_eq!(
        servers.take_answers(),
        [(callers[1], true), (callers[2], true)]
    );
}

#[test]
fn that_a_server_leaves_is_not_acknowledged_from_hearsay() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    // A machine that is cut off since has told this one, and perhaps nobody else.
    let record = beat(3, ServerState::Draining).record("i-1");
    servers.on_records(at(0), std::slice::from_ref(&record), false, true);
    assert_eq!(servers.take_hearsay(), [record], "it is told on");
    servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(
        servers.on_heartbeat(at(100), callers[0], "i-1", &beat(3, ServerState::Draining)),
        Beat::Waits
    );
    let (changes, ack) = servers.take_changes(at(100), told(&[2, 3]));
    assert_eq!(changes.updates_for_peers().len(), 1);
    [2, 3]
        .iter()
        .for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.settle(at(110));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
    assert_eq!(
        servers.on_heartbeat(
            at(1_300),
            callers[1],
            "i-1",
            &beat(4, ServerState::Draining)
        ),
        Beat::Known
    );
}

#[test]
fn that_a_server_leaves_is_not_acknowledged_from_the_table_of_one_machine() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_records(
        at(0),
        &[lichenswitch_registry::tombstone("i-1")],
        true,
        true,
    );
    assert_eq!(
        servers.take_hearsay(),
        [],
        "all that connect to that machine get its table"
    );
    servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(
        servers.on_deregister(at(100), callers[0], "i-1"),
        Beat::Waits
    );
    assert_eq!(
        servers
            .take_changes(at(100), told(&[2, 3]))
            .0
            .updates_for_peers()
            .len(),
        1
    );
    // Once it is forgotten nothing is left of it.
    servers.tick(at(200_000));
    servers.tick(at(400_000));
    assert!(servers.registry().is_empty() && servers.unconfirmed.is_empty());
}

#[test]
fn a_machine_that_is_alone_acknowledges_by_itself() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (changes, ack) = servers.take_changes(at(0), told(&[]));
    assert_eq!((changes.records.len(), ack), (1, 1));
    servers.settle(at(0));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn a_machine_whose_connections_are_all_gone_acknowledges_nothing_by_itself() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    servers.take_changes(at(0), needed(&[], 1));
    servers.settle(at(0));
    assert_eq!(
        servers.take_answers(),
        [(callers[0], false)],
        "the server goes on to another machine"
    );
    // Nor does one that reaches too few.
    assert_eq!(
        servers.on_deregister(at(20), callers[2], "i-1"),
        Beat::Waits
    );
    servers.take_changes(at(20), needed(&[2], 2));
    servers.settle(at(20));
    assert_eq!(
        servers.take_answers(),
        [(callers[2], false)],
        "it needn't wait to know that"
    );
    // Once enough machines are connected again they are told.
    assert_eq!(
        servers.on_deregister(at(50), callers[1], "i-1"),
        Beat::Waits
    );
    let (changes, ack) = servers.take_changes(at(50), needed(&[2], 1));
    assert_eq!(changes.updates_for_peers().len(), 1);
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(51));
    assert_eq!(servers.take_answers(), [(callers[1], true)]);
}

#[test]
fn news_are_held_by_as_many_as_no_part_of_the_group_that_goes_on_can_do_without() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    // Five of eight machines are beyond a cut that nobody has noticed yet.
    servers.on_deregister(at(0), callers[0], "i-1");
    let (_, ack) = servers.take_changes(at(0), needed(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3]
        .iter()
        .for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.on_merged(peer(2), ack, true);
    servers.on_merged(peer(4), ack, false);
    servers.settle(at(399));
    assert!(servers.take_answers().is_empty());
    servers.settle(at(400));
    assert_eq!(servers.take_answers(), [(callers[0], false)]);

    // Without the cut, slow machines are not waited for once enough hold the news.
    assert_eq!(
        servers.on_deregister(at(500), callers[1], "i-1"),
        Beat::Waits
    );
    let (_, ack) = servers.take_changes(at(500), needed(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3, 4, 5]
        .iter()
        .for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.settle(at(599));
    assert!(servers.take_answers().is_empty());
    servers.settle(at(600));
    assert_eq!(servers.take_answers(), [(callers[1], true)]);
}

#[test]
fn a_machine_that_holds_no_copy_of_the_state_is_told_and_not_counted() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    let audience = Audience {
        counted: BTreeSet::from([peer(2)]),
        ..needed(&[2, 9], 1)
    };
    let (_, ack) = servers.take_changes(at(0), audience);
    servers.on_merged(peer(9), ack, true);
    servers.settle(at(399));
    assert!(servers.take_answers().is_empty());
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(399));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn a_machine_that_starts_waits_for_the_table_of_one_in_contact() {
    let mut servers = Servers::new(&settings(), at(0));
    assert!(!servers.may_take_beats(at(1_999)) && servers.may_take_beats(at(2_000)));
    servers.on_records(at(10), &[], true, false);
    assert!(!servers.may_take_beats(at(11)));
    servers.on_records(at(20), &[], true, true);
    assert!(servers.may_take_beats(at(21)));
    assert!(
        servers.on_heard(at(30), &[("i-9".to_owned(), 5)]),
        "whom it doesn't know it has to ask about"
    );
}

/// A machine with a disk of its own that takes no table until `heal` is called.
struct WithDisk {
    servers: Servers,
    folder: std::path::PathBuf,
    net: Net,
}

impl WithDisk {
    fn new(name: &str) -> WithDisk {
        let folder =
            std::env::temp_dir().join(format!("lichenswitch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("servers.new")).unwrap();
        let (mut net, settings) = (
            Net::new(100).unwrap(),
            Settings {
                data_directory: Some(folder.clone()),
                ..settings()
            },
        );
        let servers = Servers::start(&settings, &Environment::default(), &mut net, at(0)).unwrap();
        WithDisk {
            servers,
            folder,
            net,
        }
    }

    fn heal(&self) {
        std::fs::remove_dir(self.folder.join("servers.new")).unwrap();
    }

    /// Waits for the end of a write.
    fn wait(&mut self) {
        assert!(!self
            .net
            .wait(Some(self.net.clock.now().plus(10_000_000)))
            .unwrap()
            .is_empty());
        self.net.clear_signal(Signal::TableWritten);
    }
}

impl Drop for WithDisk {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn that_a_server_leaves_is_acknowledged_only_once_it_is_on_this_machine_s_disk() {
    let (callers, mut machine) = (callers(), WithDisk::new("own-write"));
    machine.servers.on_deregister(at(0), callers[0], "i-1");
    let (_, ack) = machine.servers.take_changes(at(0), told(&[2]));
    machine.servers.on_merged(peer(2), ack, true);
    machine.servers.settle(at(0));
    machine.wait();
    machine.servers.settle(at(399));
    assert!(
        machine.servers.take_answers().is_empty(),
        "the write has failed"
    );
    assert_eq!(machine.servers.next_wake(), Some(at(400)));
    machine.servers.settle(at(400));
    assert_eq!(
        machine.servers.take_answers(),
        [(callers[0], false)],
        "the server goes on"
    );

    machine.heal();
    assert_eq!(
        machine.servers.on_deregister(at(500), callers[1], "i-1"),
        Beat::Waits
    );
    let (_, ack) = machine.servers.take_changes(at(500), told(&[2]));
    machine.servers.on_merged(peer(2), ack, true);
    machine.servers.settle(at(500));
    assert!(
        machine.servers.take_answers().is_empty(),
        "the write has not completed"
    );
    machine.wait();
    machine.servers.settle(at(510));
    assert_eq!(machine.servers.take_answers(), [(callers[1], true)]);
}

#[test]
fn that_a_server_leaves_is_confirmed_only_once_it_is_on_this_machine_s_disk() {
    let (callers, mut machine) = (callers(), WithDisk::new("peer-write"));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    // News of a server that is ready wait for no disk.
    let ready = [beat(1, ServerState::Ready).record("i-2")];
    for (ack, records) in [(1, &gone), (2, &ready)] {
        machine.servers.on_records(at(0), records, false, true);
        machine
            .servers
            .on_confirmation_wanted(at(0), callers[0], ack, records);
    }
    machine.servers.take_changes(at(0), told(&[2]));
    machine.servers.settle(at(0));
    assert_eq!(machine.servers.take_confirmations(at(0)), [(callers[0], 2)]);
    machine.wait();
    machine.servers.settle(at(10));
    assert_eq!(
        machine.servers.take_confirmations(at(10)),
        [],
        "the write has failed"
    );

    // Told again, which is no news here, they take a write that succeeds all the same.
    machine.servers.on_records(at(20), &gone, false, true);
    machine
        .servers
        .on_confirmation_wanted(at(20), callers[0], 3, &gone);
    machine.servers.settle(at(20));
    assert_eq!(machine.servers.take_confirmations(at(20)), []);
    machine.heal();
    machine.servers.tick(at(1_000));
    machine.wait();
    machine.servers.settle(at(1_010));
    assert_eq!(
        machine.servers.take_confirmations(at(1_010)),
        [(callers[0], 1), (callers[0], 3)]
    );
    machine
        .servers
        .on_confirmation_wanted(at(1_020), callers[0], 4, &gone);
    assert_eq!(
        machine.servers.take_confirmations(at(1_020)),
        [(callers[0], 4)],
        "it is on the disk"
    );
}

#[test]
fn without_a_disk_that_a_server_leaves_is_confirmed_at_once() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    servers.on_records(at(0), &gone, false, true);
    servers.on_confirmation_wanted(at(0), callers[0], 1, &gone);
    assert_eq!(servers.take_confirmations(at(0)), [(callers[0], 1)]);
}

#[test]
fn what_could_not_be_written_for_long_is_not_confirmed_any_more() {
    let (callers, mut machine) = (callers(), WithDisk::new("late-write"));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    machine.servers.on_records(at(0), &gone, false, true);
    machine
        .servers
        .on_confirmation_wanted(at(0), callers[0], 1, &gone);
    assert_eq!(machine.servers.take_confirmations(at(400)), []);
    assert!(machine.servers.confirmations.is_empty());
}
