//! What servers are told by control machines of which none has a disk, or of which most are gone.

mod control_support;

use control_support::{beat, call, configuration, wait_for, Fleet};
use lichenswitch_fleet::envelopes::encode;
use lichenswitch_messages::{Envelope, PeerMessage, ServerRecord, ServerState, PROTOCOL_VERSION};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// Beats again and again, as a server that has no other machine to call.
fn is_acknowledged(fleet: &Fleet, place: usize, instance: &str, patience: Duration) -> bool {
    let began = Instant::now();
    let mut sequence = 1;
    while began.elapsed() < patience {
        let answer = beat(
            fleet.machines[place].control_plane,
            instance,
            "ready",
            sequence,
        );
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        sequence += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}

#[test]
fn a_machine_without_a_vote_takes_beats_where_no_machine_has_a_disk() {
    let mut fleet = Fleet::of("news-diskless", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    std::thread::sleep(Duration::from_secs(6));
    let voters = fleet.status(0).matches("\"votes\":true").count();
    assert!(
        is_acknowledged(&fleet, 0, "i-1", Duration::from_secs(3)),
        "a seed, of {voters} voters"
    );
    assert!(
        is_acknowledged(&fleet, 3, "i-22", Duration::from_secs(3)),
        "the relay, of {voters} voters"
    );
}

#[test]
fn that_a_server_leaves_is_taken_by_a_machine_without_a_vote_where_no_machine_has_a_disk() {
    let mut fleet = Fleet::of("news-diskless-leave", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    std::thread::sleep(Duration::from_secs(6));
    assert!(
        is_acknowledged(&fleet, 0, "i-1", Duration::from_secs(3)),
        "a seed"
    );
    wait_for("the relay to know", || {
        fleet.status(3).contains("server").then_some(())
    });
    let address = fleet.machines[3].control_plane;
    let began = Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < Duration::from_secs(3) {
        match call(address, "POST", "/instances/i-1/deregister", &[], "") {
            Ok(answer) if answer.status == 200 => return,
            Ok(answer) => answers.push(answer.status.to_string()),
            Err(e) => answers.push(e.to_string()),
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("never taken: {answers:?}");
}

#[test]
fn the_group_of_machines_without_a_disk_outlives_its_founder() {
    let mut fleet = Fleet::of("news-founder", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(0, 3);
    fleet.kill(0);
    fleet.primary(&[1, 2]);
    assert!(is_acknowledged(&fleet, 1, "i-1", Duration::from_secs(5)));
}

#[test]
fn that_a_server_leaves_is_not_taken_where_most_that_vote_are_gone() {
    let mut fleet = Fleet::of("news-minority", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(
        is_acknowledged(&fleet, 3, "i-1", Duration::from_secs(5)),
        "all are there"
    );
    fleet.kill(1);
    fleet.kill(2);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        for place in [3, 0] {
            let answer = call(
                fleet.machines[place].control_plane,
                "POST",
                "/instances/i-1/deregister",
                &[],
                "",
            );
            if let Ok(answer) = answer {
                assert_ne!(
                    answer.status,
                    200,
                    "machine {place} acknowledged what one voter of three holds, {:?} after",
                    began.elapsed()
                );
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// A machine with a disk that starts while the others are away.
#[test]
fn beats_are_taken_with_one_of_three_that_vote_down() {
    let mut fleet = Fleet::of("news-one-down", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    // A machine that has just started waits for the table of another one.
    assert!(is_acknowledged(
        &fleet,
        0,
        "i-55555",
        Duration::from_secs(5)
    ));
    fleet.kill(2);
    for (place, instance) in [(0, "i-1"), (1, "i-22"), (3, "i-333")] {
        let began = Instant::now();
        let taken = is_acknowledged(&fleet, place, instance, Duration::from_secs(8));
        eprintln!("at {place}: {taken} after {:?}", began.elapsed());
        assert!(
            taken && began.elapsed() < Duration::from_secs(2),
            "at {place}: {taken}, {:?}",
            began.elapsed()
        );
    }
}

/// One of three hangs: its connections stay open.
#[test]
fn beats_are_taken_with_one_of_three_that_vote_frozen() {
    let mut fleet = Fleet::of("news-one-frozen", &[true, true, true, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(is_acknowledged(
        &fleet,
        0,
        "i-55555",
        Duration::from_secs(5)
    ));
    fleet.freeze(2, true);
    let mut failed = Vec::new();
    for (place, instance) in [(0, "i-1"), (1, "i-22"), (3, "i-333")] {
        let began = Instant::now();
        if !is_acknowledged(&fleet, place, instance, Duration::from_secs(4)) {
            failed.push((place, began.elapsed()));
        }
    }
    fleet.freeze(2, false);
    assert!(failed.is_empty(), "{failed:?}");
}

/// What a control machine that says who it is tells another one.
fn tell(address: SocketAddr, messages: Vec<PeerMessage>) -> TcpStream {
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

/// The others don't hear of it: their processes rest.
fn status_while_others_rest(fleet: &mut Fleet, path: &str) -> u16 {
    fleet.freeze(1, true);
    fleet.freeze(2, true);
    let answer = call(fleet.machines[0].control_plane, "POST", path, &[], "");
    fleet.freeze(1, false);
    fleet.freeze(2, false);
    answer.map_or(0, |answer| answer.status)
}

fn three_that_know(name: &str, instance: &str) -> Fleet {
    let mut fleet = Fleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    assert!(is_acknowledged(&fleet, 0, instance, Duration::from_secs(5)));
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
fn that_a_server_leaves_is_not_acknowledged_from_what_one_machine_remembers() {
    let mut fleet = three_that_know("news-remembered", "i-1");
    let _peer = tell(
        fleet.machines[0].internal,
        vec![PeerMessage::CachedServers(vec![gone("i-1")])],
    );
    std::thread::sleep(Duration::from_millis(300));
    assert_ne!(
        status_while_others_rest(&mut fleet, "/instances/i-1/deregister"),
        200
    );
}

/// The same where it comes as news: what the test above is measured by.
#[test]
fn that_a_server_leaves_is_not_acknowledged_while_nobody_else_can_hold_it() {
    let mut fleet = three_that_know("news-alone", "i-1");
    assert_ne!(
        status_while_others_rest(&mut fleet, "/instances/i-1/deregister"),
        200
    );
}

/// The end of a server is acknowledged, and all processes are killed right after.
fn state_after_all_were_killed(name: &str, rest: Duration) -> Option<ServerState> {
    let mut fleet = three_that_know(name, "i-1");
    // Its table is on all disks.
    std::thread::sleep(Duration::from_millis(2_500));
    let address = fleet.machines[0].control_plane;
    let answer = call(address, "POST", "/instances/i-1/deregister", &[], "").unwrap();
    assert_eq!(answer.status, 200);
    std::thread::sleep(rest);
    (0..3).for_each(|place| fleet.kill(place));
    (0..3).for_each(|place| fleet.start(place, false));
    fleet.primary(&[0, 1, 2]);
    std::thread::sleep(Duration::from_secs(1));
    let mut router = control_support::FakeRouter::connect(fleet.machines[1].internal, "after");
    router.next_of(|message| match message {
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
fn a_server_whose_end_was_just_acknowledged_stays_gone_when_all_machines_are_killed() {
    let state = state_after_all_were_killed("news-just-gone", Duration::from_millis(5));
    assert_ne!(
        state,
        Some(ServerState::Ready),
        "routers would send to it again"
    );
}

#[test]
fn a_server_whose_end_was_acknowledged_a_while_ago_stays_gone_when_all_machines_are_killed() {
    let state = state_after_all_were_killed("news-long-gone", Duration::from_millis(2_500));
    assert_ne!(state, Some(ServerState::Ready));
}
