//! Servers and routers at control machines.

mod control_support;

use assert_matches::assert_matches;
use control_support::{
    call, configuration, send_heartbeat, wait_for, ControlFleet, FakeRouter, HttpResponse,
};
use lichenswitch_messages::{ControlToRouter, RouterToControl, ServerState};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

#[test]
fn heartbeats_are_acknowledged_and_reach_routers_of_all_machines() {
    let mut fleet = ControlFleet::of("beats", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);

    // The machine may have joined after the order was accepted.
    wait_for("the first machine to be in contact", || {
        fleet
            .status(0)
            .contains("\"in_contact\":true,\"leaving\":false,\"configuration_version\":1")
            .then_some(())
    });
    // A router gets the configuration first, then the heartbeat by whose contact it takes the former
    // as current, then the complete table.
    let mut near = FakeRouter::connect(fleet.machines[0].internal, "near");
    let (push, position, document) = assert_matches!(near.next(), ControlToRouter::Configuration { push, position, document } =>
        (push, position, document));
    assert_eq!((push, document), (1, configuration(1, 1).into_bytes()));
    assert_matches!(near.next(), ControlToRouter::Heartbeat { in_contact: true, control_addresses: control, .. } => {
        assert!(control.contains(&fleet.machines[1].internal.to_string()), "{control:?}");
    });
    assert_matches!(near.next(), ControlToRouter::Servers { push: 2, is_complete: true, records } if records.is_empty());
    near.send(RouterToControl::Applied {
        push: 2,
        configuration: Some(position),
    });
    let mut far = FakeRouter::connect(fleet.machines[2].internal, "further");

    let address = fleet.machines[0].control_plane;
    let accepted = wait_for("a beat", || {
        send_heartbeat(address, "i-1", "ready", 1)
            .ok()
            .filter(|response| response.status == 200)
    });
    assert_eq!(accepted.body, "{}");
    for router in [&mut near, &mut far] {
        let record = next_record(router, "i-1");
        assert_eq!(
            (record.service.as_str(), record.state),
            ("pool", ServerState::Ready)
        );
    }

    // Another machine gets the next heartbeats; draining and deregistration reach all.
    let other = fleet.machines[1].control_plane;
    await_table(other);
    assert_acknowledged(&send_heartbeat(other, "i-1", "ready", 2).unwrap());
    assert_acknowledged(&send_heartbeat(other, "i-1", "draining", 3).unwrap());
    for router in [&mut near, &mut far] {
        assert_eq!(next_record(router, "i-1").state, ServerState::Draining);
    }
    assert_eq!(
        call(address, "POST", "/instances/i-1/deregister", &[], "")
            .unwrap()
            .status,
        200
    );
    for router in [&mut near, &mut far] {
        assert_eq!(next_record(router, "i-1").state, ServerState::Gone);
    }
    // A late heartbeat does not bring a server back.
    assert_acknowledged(&send_heartbeat(other, "i-1", "ready", 2).unwrap());
    assert_eq!(
        call(other, "POST", "/instances/i-1/heartbeat", &[], "{")
            .unwrap()
            .status,
        400
    );

    // A new configuration is pushed, and what is in force is shown.
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 2)).status,
        200
    );
    for router in [&mut near, &mut far] {
        let document = router.next_matching(|message| match message {
            ControlToRouter::Configuration { document, .. } => Some(document),
            _ => None,
        });
        assert!(!document.is_empty());
    }
    wait_for("both routers are counted everywhere", || {
        (0..3)
            .all(|index| fleet.status(index).contains("\"routers_of_fleet\":2"))
            .then_some(())
    });
    let shown = format!(
        "\"configuration\":\"{}.{:x}/{}\"",
        position.epoch, position.primary, position.number
    );
    assert!(fleet.status(0).contains(&shown), "{}", fleet.status(0));
}

/// Waits while a machine that has just started rejects heartbeats for lack of the table: machines
/// that started together sent each other their tables before any was in contact, and a table counts
/// only from a machine in contact. Any other rejection is a failure.
fn await_table(control_plane: SocketAddr) {
    wait_for("the table of servers", || {
        let response = send_heartbeat(control_plane, "i-1", "ready", 2).unwrap();
        let waits = response.status == 503 && response.body.contains("has not got the table");
        assert!(waits || response.status == 200, "{response:?}");
        (!waits).then_some(())
    });
}

fn assert_acknowledged(response: &HttpResponse) {
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn starting_machine_gets_server_table_of_others() {
    let mut fleet = ControlFleet::of("table", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let address = fleet.machines[0].control_plane;
    wait_for("a beat", || {
        send_heartbeat(address, "i-7", "ready", 1)
            .ok()
            .filter(|response| response.status == 200)
    });
    fleet.kill(2);
    fleet.start(2, false);
    let mut router = FakeRouter::connect(fleet.machines[2].internal, "late");
    assert_eq!(next_record(&mut router, "i-7").state, ServerState::Ready);
}

/// A server at a machine that starts later than the others gets rejections with their reason, and an
/// acknowledgement from the next machine. It is never removed, so no request misses it.
#[test]
fn heartbeats_rejected_after_start_remove_no_server() {
    let mut fleet = ControlFleet::of("later", &[true, true, true]);
    fleet.start(0, true);
    fleet.start(1, true);
    let [near, later] = [0, 2].map(|index| fleet.machines[index].control_plane);
    let ready = |address, sequence| {
        send_heartbeat(address, "i-1", "ready", sequence).map(|response| response.status)
    };
    wait_for("a beat", || {
        ready(near, 1).ok().filter(|status| *status == 200)
    });
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "near");
    assert_eq!(next_record(&mut router, "i-1").state, ServerState::Ready);
    fleet.start(2, true);
    let (mut sequence, mut refused) = (2, 0);
    let started_at = Instant::now();
    while ready(later, sequence).ok() != Some(200) {
        assert!(
            started_at.elapsed() < control_support::WAIT_TIMEOUT,
            "it takes beats in the end"
        );
        let took = Instant::now();
        assert_eq!(
            ready(near, sequence).unwrap(),
            200,
            "the next machine takes the beat"
        );
        assert!(
            took.elapsed() < Duration::from_secs(1),
            "a beat counts within a second"
        );
        (sequence, refused) = (sequence + 1, refused + 1);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(refused > 0, "it refuses, or does not listen, at first");
    let mut late = FakeRouter::connect(fleet.machines[2].internal, "late");
    assert_eq!(next_record(&mut late, "i-1").state, ServerState::Ready);
    // Meanwhile no update has removed the server at the router.
    // Its name has another length, which is part of the address that the test gives it.
    let progress = send_heartbeat(near, "other", "ready", 1).unwrap();
    assert_acknowledged(&progress);
    router.next_matching(|message| {
        let ControlToRouter::Servers { records, .. } = message else {
            return None;
        };
        assert!(
            records
                .iter()
                .all(|record| record.state == ServerState::Ready),
            "{records:?}"
        );
        records
            .iter()
            .any(|record| record.instance == "other")
            .then_some(())
    });
}

#[test]
fn cached_servers_reach_routers_after_all_machines_are_killed() {
    let mut fleet = ControlFleet::of("remembered", &[true, true, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let address = fleet.machines[0].control_plane;
    wait_for("a beat", || {
        send_heartbeat(address, "i-8", "ready", 1)
            .ok()
            .filter(|response| response.status == 200)
    });
    let tables: Vec<_> = [0, 1]
        .iter()
        .map(|index| Path::new(&fleet.machines[*index].folder).join("data/servers"))
        .collect();
    wait_for("both tables on disk", || {
        tables
            .iter()
            .all(|table| contains(table, b"i-8"))
            .then_some(())
    });

    (0..3).for_each(|index| fleet.kill(index));
    (0..3).for_each(|index| fleet.start(index, false));
    // Machine 2 has no disk: it gets the record from the others.
    for index in [0, 2] {
        let mut router = FakeRouter::connect(fleet.machines[index].internal, "after");
        let remembered = next_record(&mut router, "i-8");
        assert!(
            !remembered.is_suspect,
            "it was heard a moment ago: {remembered:?}"
        );
        assert_eq!(remembered.state, ServerState::Ready);
    }
    // Its next heartbeat is an update for all.
    let mut router = FakeRouter::connect(fleet.machines[1].internal, "later");
    wait_for("a beat", || {
        send_heartbeat(address, "i-8", "ready", 2)
            .ok()
            .filter(|response| response.status == 200)
    });
    router.next_matching(|message| match message {
        ControlToRouter::Servers { records, .. } => records
            .into_iter()
            .find(|record| record.instance == "i-8" && record.sequence_number == 2),
        _ => None,
    });
}

/// Whether a file holds these bytes.
fn contains(path: &Path, expected: &[u8]) -> bool {
    fs::read(path).is_ok_and(|bytes| {
        bytes
            .windows(expected.len())
            .any(|window| window == expected)
    })
}

fn next_record(router: &mut FakeRouter, instance: &str) -> lichenswitch_messages::ServerRecord {
    router.next_matching(|message| match message {
        ControlToRouter::Servers { records, .. } => records
            .into_iter()
            .find(|record| record.instance == instance),
        _ => None,
    })
}

/// One machine of three can't write its table, once `block` has put something where the new file is
/// to be, until `clear` takes it away.
fn check_departure_without_disk_write(name: &str, block: fn(&Path) -> bool, clear: fn(&Path)) {
    let mut fleet = ControlFleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let in_its_way = fleet.machines[0].folder.join("data").join("servers.new");
    wait_for("a moment without a write", || {
        block(&in_its_way).then_some(())
    });
    let (mute, other) = (
        fleet.machines[0].control_plane,
        fleet.machines[1].control_plane,
    );
    wait_for("a beat", || {
        send_heartbeat(mute, "i-1", "ready", 1)
            .ok()
            .filter(|response| response.status == 200)
    });
    let started_at = Instant::now();
    assert_eq!(
        call(mute, "POST", "/instances/i-1/deregister", &[], "")
            .unwrap()
            .status,
        503
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "the server goes on in time: {:?}",
        started_at.elapsed()
    );
    // The others suffice, and wait for it no longer than for any slow machine.
    let started_at = Instant::now();
    assert_eq!(
        call(other, "POST", "/instances/i-1/deregister", &[], "")
            .unwrap()
            .status,
        200
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "{:?}",
        started_at.elapsed()
    );
    clear(&in_its_way);
    wait_for("the disk to take writes again", || {
        let response = call(mute, "POST", "/instances/i-1/deregister", &[], "");
        response.ok().filter(|response| response.status == 200)
    });
}

#[test]
fn departure_is_not_acknowledged_when_disk_write_fails() {
    let block = |path: &Path| fs::create_dir(path).is_ok();
    check_departure_without_disk_write("full-disk", block, |path| fs::remove_dir(path).unwrap());
}

#[test]
fn departure_is_not_acknowledged_when_disk_stalls() {
    // Opening a pipe for writing blocks until there is a reader.
    let block = |path: &Path| {
        Command::new("mkfifo")
            .arg(path)
            .output()
            .unwrap()
            .status
            .success()
    };
    check_departure_without_disk_write("stalled-disk", block, |path| {
        let reader = File::open(path).unwrap();
        fs::remove_file(path).unwrap();
        drop(reader);
    });
}
