//! Responses to heartbeats where no control machine has a disk, or most of them are down.

mod control_support;

use control_support::{call, configuration, send_heartbeat, wait_for, ControlFleet};
use lichenswitch_fleet::envelopes::encode;
use lichenswitch_messages::{Envelope, PeerMessage, ServerRecord, ServerState, PROTOCOL_VERSION};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// Sends heartbeats again and again, as a server that knows no other control machine.
fn is_heartbeat_acknowledged(
    fleet: &ControlFleet,
    index: usize,
    instance: &str,
    patience: Duration,
) -> bool {
    let started_at = Instant::now();
    let mut sequence = 1;
    while started_at.elapsed() < patience {
        let response = send_heartbeat(
            fleet.machines[index].control_plane,
            instance,
            "ready",
            sequence,
        );
        if response.is_ok_and(|response| response.status == 200) {
            return true;
        }
        sequence += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}

#[test]
fn non_voter_acknowledges_heartbeats_where_no_machine_has_a_disk() {
    let mut fleet = ControlFleet::of("news-diskless", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    std::thread::sleep(Duration::from_secs(6));
    let voters = fleet.status(0).matches("\"votes\":true").count();
    assert!(
        is_heartbeat_acknowledged(&fleet, 0, "i-1", Duration::from_secs(3)),
        "a seed, of {voters} voters"
    );
    assert!(
        is_heartbeat_acknowledged(&fleet, 3, "i-22", Duration::from_secs(3)),
        "the relay, of {voters} voters"
    );
}

#[test]
fn non_voter_acknowledges_departure_where_no_machine_has_a_disk() {
    let mut fleet = ControlFleet::of("news-diskless-leave", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    std::thread::sleep(Duration::from_secs(6));
    assert!(
        is_heartbeat_acknowledged(&fleet, 0, "i-1", Duration::from_secs(3)),
        "a seed"
    );
    wait_for("the relay to know", || {
        fleet.status(3).contains("server").then_some(())
    });
    let address = fleet.machines[3].control_plane;
    let started_at = Instant::now();
    let mut responses = Vec::new();
    while started_at.elapsed() < Duration::from_secs(3) {
        match call(address, "POST", "/instances/i-1/deregister", &[], "") {
            Ok(response) if response.status == 200 => return,
            Ok(response) => responses.push(response.status.to_string()),
            Err(e) => responses.push(e.to_string()),
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("never taken: {responses:?}");
}

#[test]
fn diskless_group_survives_loss_of_founder() {
    let mut fleet = ControlFleet::of("news-founder", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(0, 3);
    fleet.kill(0);
    fleet.primary(&[1, 2]);
    assert!(is_heartbeat_acknowledged(
        &fleet,
        1,
        "i-1",
        Duration::from_secs(5)
    ));
}

#[test]
fn departure_is_not_acknowledged_without_voter_majority() {
    let mut fleet = ControlFleet::of("news-minority", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(
        is_heartbeat_acknowledged(&fleet, 3, "i-1", Duration::from_secs(5)),
        "all are there"
    );
    fleet.kill(1);
    fleet.kill(2);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(4) {
        for index in [3, 0] {
            let response = call(
                fleet.machines[index].control_plane,
                "POST",
                "/instances/i-1/deregister",
                &[],
                "",
            );
            if let Ok(response) = response {
                assert_ne!(
                    response.status,
                    200,
                    "machine {index} acknowledged what one voter of three holds, {:?} after",
                    started_at.elapsed()
                );
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// One of three voters is down.
#[test]
fn heartbeats_are_acknowledged_with_one_of_three_voters_down() {
    let mut fleet = ControlFleet::of("news-one-down", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    // A machine that has just started waits for the table of another one.
    assert!(is_heartbeat_acknowledged(
        &fleet,
        0,
        "i-55555",
        Duration::from_secs(5)
    ));
    fleet.kill(2);
    for (index, instance) in [(0, "i-1"), (1, "i-22"), (3, "i-333")] {
        let started_at = Instant::now();
        let accepted = is_heartbeat_acknowledged(&fleet, index, instance, Duration::from_secs(8));
        eprintln!("at {index}: {accepted} after {:?}", started_at.elapsed());
        assert!(
            accepted && started_at.elapsed() < Duration::from_secs(2),
            "at {index}: {accepted}, {:?}",
            started_at.elapsed()
        );
    }
}

/// One of three voters hangs: its connections stay open.
#[test]
fn heartbeats_are_acknowledged_with_one_of_three_voters_frozen() {
    let mut fleet = ControlFleet::of("news-one-frozen", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(is_heartbeat_acknowledged(
        &fleet,
        0,
        "i-55555",
        Duration::from_secs(5)
    ));
    fleet.freeze(2, true);
    let mut failed = Vec::new();
    for (index, instance) in [(0, "i-1"), (1, "i-22"), (3, "i-333")] {
        let started_at = Instant::now();
        if !is_heartbeat_acknowledged(&fleet, index, instance, Duration::from_secs(4)) {
            failed.push((index, started_at.elapsed()));
        }
    }
    fleet.freeze(2, false);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Connects as a control machine, and sends messages after its handshake.
fn connect_as_peer(address: SocketAddr, messages: Vec<PeerMessage>) -> TcpStream {
    let mut stream = wait_for("a control machine", || TcpStream::connect(address).ok());
    let hello = PeerMessage::Hello {
        protocol_version: PROTOCOL_VERSION,
        node_name: "127.0.0.1:9".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        identity: 71,
        eligible: false,
        known_peers: Vec::new(),
    };
    for message in std::iter::once(hello).chain(messages) {
        stream
            .write_all(&encode(&Envelope::Peer(message)).unwrap())
            .unwrap();
    }
    stream
}

/// The status of a call while the other machines are frozen, and can't acknowledge anything.
fn status_while_others_are_frozen(fleet: &mut ControlFleet, path: &str) -> u16 {
    fleet.freeze(1, true);
    fleet.freeze(2, true);
    let response = call(fleet.machines[0].control_plane, "POST", path, &[], "");
    fleet.freeze(1, false);
    fleet.freeze(2, false);
    response.map_or(0, |response| response.status)
}

fn three_machines_with_server(name: &str, instance: &str) -> ControlFleet {
    let mut fleet = ControlFleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(is_heartbeat_acknowledged(
        &fleet,
        0,
        instance,
        Duration::from_secs(5)
    ));
    fleet
}

fn gone(instance: &str) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    }
}

#[test]
fn departure_is_not_acknowledged_from_cache_of_one_machine() {
    let mut fleet = three_machines_with_server("news-remembered", "i-1");
    let _peer = connect_as_peer(
        fleet.machines[0].internal,
        vec![PeerMessage::CachedServers(vec![gone("i-1")])],
    );
    std::thread::sleep(Duration::from_millis(300));
    assert_ne!(
        status_while_others_are_frozen(&mut fleet, "/instances/i-1/deregister"),
        200
    );
}

/// The same without a cached record: the baseline of the test above.
#[test]
fn departure_is_not_acknowledged_while_other_voters_are_frozen() {
    let mut fleet = three_machines_with_server("news-alone", "i-1");
    assert_ne!(
        status_while_others_are_frozen(&mut fleet, "/instances/i-1/deregister"),
        200
    );
}

/// The state of a server whose deregistration was acknowledged, `delay` before all processes were
/// killed.
fn state_after_all_machines_are_killed(name: &str, delay: Duration) -> Option<ServerState> {
    let mut fleet = three_machines_with_server(name, "i-1");
    // Its table is on all disks.
    std::thread::sleep(Duration::from_millis(2_500));
    let address = fleet.machines[0].control_plane;
    let response = call(address, "POST", "/instances/i-1/deregister", &[], "").unwrap();
    assert_eq!(response.status, 200);
    std::thread::sleep(delay);
    (0..3).for_each(|index| fleet.kill(index));
    (0..3).for_each(|index| fleet.start(index, false));
    fleet.primary(&[0, 1, 2]);
    std::thread::sleep(Duration::from_secs(1));
    let mut router = control_support::FakeRouter::connect(fleet.machines[1].internal, "after");
    router.next_matching(|message| match message {
        lichenswitch_messages::ControlToRouter::Servers {
            records,
            is_complete: true,
            ..
        } => Some(
            records
                .iter()
                .find(|record| record.instance == "i-1")
                .map(|record| record.state),
        ),
        _ => None,
    })
}

#[test]
fn departure_acknowledged_just_before_all_machines_are_killed_survives() {
    let state = state_after_all_machines_are_killed("news-just-gone", Duration::from_millis(5));
    assert_ne!(
        state,
        Some(ServerState::Ready),
        "routers would send to it again"
    );
}

#[test]
fn departure_acknowledged_long_before_all_machines_are_killed_survives() {
    let state = state_after_all_machines_are_killed("news-long-gone", Duration::from_millis(2_500));
    assert_ne!(state, Some(ServerState::Ready));
}
