//! Tests of `server_table`.

use super::super::net_program::{Net, Owner};
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

/// Returns targets of which any one has to acknowledge an update, or none if there are none.
fn any_of(numbers: &[u8]) -> ReplicationTargets {
    targets_requiring(numbers, numbers.len().min(1))
}

/// Returns targets of which `required` have to acknowledge an update.
fn targets_requiring(numbers: &[u8], required: usize) -> ReplicationTargets {
    let notified: BTreeSet<SocketAddr> = numbers.iter().map(|number| peer(*number)).collect();
    ReplicationTargets {
        counted: notified.clone(),
        notified,
        required,
    }
}

fn heartbeat(sequence_number: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        service: "s".to_owned(),
        address: "10.9.0.1:80".to_owned(),
        state,
        sequence_number,
        ..Heartbeat::default()
    }
}

/// Returns the ids of four connections, one per caller.
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
fn update_is_acknowledged_once_another_machine_in_contact_has_it() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    assert_eq!(
        servers.on_heartbeat(at(0), callers[0], "i-1", &heartbeat(1, ServerState::Ready)),
        HeartbeatOutcome::Pending
    );
    let (changes, ack) = servers.take_changes(at(0), any_of(&[2, 3]));
    assert_eq!(changes.updates_for_peers().len(), 1);
    servers.on_ack(peer(2), ack, false);
    servers.on_ack(peer(9), ack, true);
    servers.advance(at(10));
    assert!(
        servers.take_outcomes().is_empty(),
        "acknowledgements without contact, or of machines that were not notified, don't count"
    );
    servers.on_ack(peer(3), ack, true);
    servers.advance(at(20));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)]
    );

    // The next heartbeat brings no update.
    assert_eq!(
        servers.on_heartbeat(
            at(1_200),
            callers[1],
            "i-1",
            &heartbeat(2, ServerState::Ready)
        ),
        HeartbeatOutcome::Acknowledged
    );
    assert!(!servers.has_changes());
    // Draining and deregistration are updates again.
    assert_eq!(
        servers.on_heartbeat(
            at(2_400),
            callers[1],
            "i-1",
            &heartbeat(3, ServerState::Draining)
        ),
        HeartbeatOutcome::Pending
    );
    servers.take_changes(at(2_400), any_of(&[2]));
    assert_eq!(
        servers.on_deregister(at(2_500), callers[2], "i-1"),
        HeartbeatOutcome::Pending
    );
}

#[test]
fn one_slow_machine_delays_acknowledgement_by_100_ms_at_most() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &heartbeat(1, ServerState::Ready));
    let (_, ack) = servers.take_changes(at(0), any_of(&[2, 3]));
    servers.on_ack(peer(2), ack, true);
    servers.advance(at(99));
    assert!(servers.take_outcomes().is_empty());
    assert_eq!(servers.next_wake(), Some(at(100)));
    servers.advance(at(100));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn update_without_acknowledgements_is_rejected_and_sent_again() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &heartbeat(1, ServerState::Ready));
    servers.take_changes(at(0), any_of(&[2]));
    // The same server sends a heartbeat while its update is pending.
    assert_eq!(
        servers.on_heartbeat(at(50), callers[1], "i-1", &heartbeat(2, ServerState::Ready)),
        HeartbeatOutcome::Pending
    );
    servers.advance(at(400));
    assert_eq!(
        servers.take_outcomes(),
        [
            (callers[0], ReplicationOutcome::NotReplicated),
            (callers[1], ReplicationOutcome::NotReplicated)
        ]
    );

    assert_eq!(
        servers.on_heartbeat(
            at(1_200),
            callers[2],
            "i-1",
            &heartbeat(3, ServerState::Ready)
        ),
        HeartbeatOutcome::Pending
    );
    let (changes, ack) = servers.take_changes(at(1_200), any_of(&[2]));
    assert_eq!((changes.updates_for_peers().len(), ack), (1, 2));
    servers.on_ack(peer(2), ack, true);
    servers.advance(at(1_201));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[2], ReplicationOutcome::Replicated)]
    );
    assert_eq!(
        servers.on_heartbeat(
            at(2_400),
            callers[3],
            "i-1",
            &heartbeat(4, ServerState::Ready)
        ),
        HeartbeatOutcome::Acknowledged
    );
}

#[test]
fn call_with_new_update_waits_for_that_and_not_for_older_one() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &heartbeat(1, ServerState::Ready));
    let (_, first) = servers.take_changes(at(0), any_of(&[2, 3]));
    assert_eq!(
        servers.on_deregister(at(10), callers[1], "i-1"),
        HeartbeatOutcome::Pending
    );
    let (changes, second) = servers.take_changes(at(10), any_of(&[2, 3]));
    assert_eq!(
        (changes.updates_for_peers().len(), second == first),
        (1, false)
    );
    assert_ne!(second, 0, "the departure is sent under another number");
    // A repeated request while the update is pending shares its outcome.
    assert_eq!(
        servers.on_deregister(at(15), callers[2], "i-1"),
        HeartbeatOutcome::Pending
    );

    [2, 3]
        .iter()
        .for_each(|number| servers.on_ack(peer(*number), first, true));
    servers.advance(at(20));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)],
        "no other machine is known to have the departure"
    );
    [2, 3]
        .iter()
        .for_each(|number| servers.on_ack(peer(*number), second, true));
    servers.advance(at(30));
    assert_eq!(
        servers.take_outcomes(),
        [
            (callers[1], ReplicationOutcome::Replicated),
            (callers[2], ReplicationOutcome::Replicated)
        ]
    );
}

#[test]
fn departure_is_not_acknowledged_from_relayed_report() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    // The reporting machine may have been cut off before it reached any other one.
    let record = heartbeat(3, ServerState::Draining).to_record("i-1");
    servers.on_records(at(0), std::slice::from_ref(&record), false, true);
    assert_eq!(servers.take_relayed_departures(), [record], "it is relayed");
    servers.take_changes(at(0), any_of(&[2, 3]));
    assert_eq!(
        servers.on_heartbeat(
            at(100),
            callers[0],
            "i-1",
            &heartbeat(3, ServerState::Draining)
        ),
        HeartbeatOutcome::Pending
    );
    let (changes, ack) = servers.take_changes(at(100), any_of(&[2, 3]));
    assert_eq!(changes.updates_for_peers().len(), 1);
    [2, 3]
        .iter()
        .for_each(|number| servers.on_ack(peer(*number), ack, true));
    servers.advance(at(110));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)]
    );
    assert_eq!(
        servers.on_heartbeat(
            at(1_300),
            callers[1],
            "i-1",
            &heartbeat(4, ServerState::Draining)
        ),
        HeartbeatOutcome::Acknowledged
    );
}

#[test]
fn departure_is_not_acknowledged_from_table_of_one_machine() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_records(
        at(0),
        &[lichenswitch_registry::tombstone("i-1")],
        true,
        true,
    );
    assert_eq!(
        servers.take_relayed_departures(),
        [],
        "all that connect to that machine get its table"
    );
    servers.take_changes(at(0), any_of(&[2, 3]));
    assert_eq!(
        servers.on_deregister(at(100), callers[0], "i-1"),
        HeartbeatOutcome::Pending
    );
    assert_eq!(
        servers
            .take_changes(at(100), any_of(&[2, 3]))
            .0
            .updates_for_peers()
            .len(),
        1
    );
    // No state remains once the record has expired.
    servers.tick(at(200_000));
    servers.tick(at(400_000));
    assert!(servers.registry().is_empty() && servers.under_replicated.is_empty());
}

#[test]
fn sole_machine_acknowledges_by_itself() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &heartbeat(1, ServerState::Ready));
    let (changes, ack) = servers.take_changes(at(0), any_of(&[]));
    assert_eq!((changes.records.len(), ack), (1, 1));
    servers.advance(at(0));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn disconnected_machine_acknowledges_nothing_by_itself() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    servers.take_changes(at(0), targets_requiring(&[], 1));
    servers.advance(at(0));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::NotReplicated)],
        "the server goes on to another machine"
    );
    // A machine that reaches too few others does not acknowledge either.
    assert_eq!(
        servers.on_deregister(at(20), callers[2], "i-1"),
        HeartbeatOutcome::Pending
    );
    servers.take_changes(at(20), targets_requiring(&[2], 2));
    servers.advance(at(20));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[2], ReplicationOutcome::NotReplicated)],
        "the outcome is known at once"
    );
    // The update is sent again once enough machines are connected.
    assert_eq!(
        servers.on_deregister(at(50), callers[1], "i-1"),
        HeartbeatOutcome::Pending
    );
    let (changes, ack) = servers.take_changes(at(50), targets_requiring(&[2], 1));
    assert_eq!(changes.updates_for_peers().len(), 1);
    servers.on_ack(peer(2), ack, true);
    servers.advance(at(51));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[1], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn update_needs_acknowledgements_of_voter_majority() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    // Five of eight machines are unreachable behind a partition that is not detected yet.
    servers.on_deregister(at(0), callers[0], "i-1");
    let (_, ack) = servers.take_changes(at(0), targets_requiring(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3]
        .iter()
        .for_each(|number| servers.on_ack(peer(*number), ack, true));
    servers.on_ack(peer(2), ack, true);
    servers.on_ack(peer(4), ack, false);
    servers.advance(at(399));
    assert!(servers.take_outcomes().is_empty());
    servers.advance(at(400));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::NotReplicated)]
    );

    // Without the partition, slow machines are not awaited once enough have acknowledged.
    assert_eq!(
        servers.on_deregister(at(500), callers[1], "i-1"),
        HeartbeatOutcome::Pending
    );
    let (_, ack) = servers.take_changes(at(500), targets_requiring(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3, 4, 5]
        .iter()
        .for_each(|number| servers.on_ack(peer(*number), ack, true));
    servers.advance(at(599));
    assert!(servers.take_outcomes().is_empty());
    servers.advance(at(600));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[1], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn relay_is_notified_but_not_counted() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    let targets = ReplicationTargets {
        counted: BTreeSet::from([peer(2)]),
        ..targets_requiring(&[2, 9], 1)
    };
    let (_, ack) = servers.take_changes(at(0), targets);
    servers.on_ack(peer(9), ack, true);
    servers.advance(at(399));
    assert!(servers.take_outcomes().is_empty());
    servers.on_ack(peer(2), ack, true);
    servers.advance(at(399));
    assert_eq!(
        servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn starting_machine_waits_for_table_of_machine_in_contact() {
    let mut servers = ServerTable::new(&settings(), at(0));
    assert!(!servers.accepts_heartbeats(at(1_999)) && servers.accepts_heartbeats(at(2_000)));
    servers.on_records(at(10), &[], true, false);
    assert!(!servers.accepts_heartbeats(at(11)));
    servers.on_records(at(20), &[], true, true);
    assert!(servers.accepts_heartbeats(at(21)));
    assert!(
        servers.on_heartbeat_digest(
            at(30),
            &[lichenswitch_messages::HeartbeatAge {
                instance: "i-9".to_owned(),
                age_ms: 5
            }]
        ),
        "it has to request the record of an unknown server"
    );
}

/// A machine whose disk fails writes of the table until `repair_disk` is called.
struct MachineWithDisk {
    servers: ServerTable,
    folder: std::path::PathBuf,
    net: Net,
}

impl MachineWithDisk {
    fn new(name: &str) -> MachineWithDisk {
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
        let servers =
            ServerTable::start(&settings, &Environment::default(), &mut net, at(0)).unwrap();
        MachineWithDisk {
            servers,
            folder,
            net,
        }
    }

    fn repair_disk(&self) {
        std::fs::remove_dir(self.folder.join("servers.new")).unwrap();
    }

    /// Waits until a write has completed.
    fn await_write(&mut self) {
        assert!(!self
            .net
            .wait(Some(self.net.clock.now().plus(10_000_000)))
            .unwrap()
            .is_empty());
        self.net.clear_signal(Signal::TableWritten);
    }
}

impl Drop for MachineWithDisk {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn departure_is_acknowledged_to_server_only_once_on_local_disk() {
    let (callers, mut machine) = (callers(), MachineWithDisk::new("own-write"));
    machine.servers.on_deregister(at(0), callers[0], "i-1");
    let (_, ack) = machine.servers.take_changes(at(0), any_of(&[2]));
    machine.servers.on_ack(peer(2), ack, true);
    machine.servers.advance(at(0));
    machine.await_write();
    machine.servers.advance(at(399));
    assert!(
        machine.servers.take_outcomes().is_empty(),
        "the write has failed"
    );
    assert_eq!(machine.servers.next_wake(), Some(at(400)));
    machine.servers.advance(at(400));
    assert_eq!(
        machine.servers.take_outcomes(),
        [(callers[0], ReplicationOutcome::NotReplicated)],
        "the server goes on"
    );

    machine.repair_disk();
    assert_eq!(
        machine.servers.on_deregister(at(500), callers[1], "i-1"),
        HeartbeatOutcome::Pending
    );
    let (_, ack) = machine.servers.take_changes(at(500), any_of(&[2]));
    machine.servers.on_ack(peer(2), ack, true);
    machine.servers.advance(at(500));
    assert!(
        machine.servers.take_outcomes().is_empty(),
        "the write has not completed"
    );
    machine.await_write();
    machine.servers.advance(at(510));
    assert_eq!(
        machine.servers.take_outcomes(),
        [(callers[1], ReplicationOutcome::Replicated)]
    );
}

#[test]
fn departure_is_acknowledged_to_peer_only_once_on_local_disk() {
    let (callers, mut machine) = (callers(), MachineWithDisk::new("peer-write"));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    // An update about a ready server waits for no write.
    let ready = [heartbeat(1, ServerState::Ready).to_record("i-2")];
    for (ack, records) in [(1, &gone), (2, &ready)] {
        machine.servers.on_records(at(0), records, false, true);
        machine
            .servers
            .on_ack_requested(at(0), callers[0], ack, records);
    }
    machine.servers.take_changes(at(0), any_of(&[2]));
    machine.servers.advance(at(0));
    assert_eq!(machine.servers.take_acks(at(0)), [(callers[0], 2)]);
    machine.await_write();
    machine.servers.advance(at(10));
    assert_eq!(
        machine.servers.take_acks(at(10)),
        [],
        "the write has failed"
    );

    // A repeated record is not an update here, but its acknowledgement waits for the next
    // successful write too.
    machine.servers.on_records(at(20), &gone, false, true);
    machine
        .servers
        .on_ack_requested(at(20), callers[0], 3, &gone);
    machine.servers.advance(at(20));
    assert_eq!(machine.servers.take_acks(at(20)), []);
    machine.repair_disk();
    machine.servers.tick(at(1_000));
    machine.await_write();
    machine.servers.advance(at(1_010));
    assert_eq!(
        machine.servers.take_acks(at(1_010)),
        [(callers[0], 1), (callers[0], 3)]
    );
    machine
        .servers
        .on_ack_requested(at(1_020), callers[0], 4, &gone);
    assert_eq!(
        machine.servers.take_acks(at(1_020)),
        [(callers[0], 4)],
        "it is on the disk"
    );
}

#[test]
fn departure_is_acknowledged_to_peer_at_once_without_disk() {
    let (callers, mut servers) = (callers(), ServerTable::new(&settings(), at(0)));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    servers.on_records(at(0), &gone, false, true);
    servers.on_ack_requested(at(0), callers[0], 1, &gone);
    assert_eq!(servers.take_acks(at(0)), [(callers[0], 1)]);
}

#[test]
fn acknowledgement_expires_when_write_takes_too_long() {
    let (callers, mut machine) = (callers(), MachineWithDisk::new("late-write"));
    let gone = [lichenswitch_registry::tombstone("i-1")];
    machine.servers.on_records(at(0), &gone, false, true);
    machine
        .servers
        .on_ack_requested(at(0), callers[0], 1, &gone);
    assert_eq!(machine.servers.take_acks(at(400)), []);
    assert!(machine.servers.pending_acks.is_empty());
}
