//! Servers and routers at control machines.

mod control_support;

use assert_matches::assert_matches;
use control_support::{beat, call, configuration, wait_for, Answer, FakeRouter, Fleet};
use lichenswitch_messages::{ControlToRouter, RouterToControl, ServerState};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

#[test]
fn beats_are_acknowledged_and_reach_the_routers_of_all_machines() {
    let mut fleet = Fleet::of("beats", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);

    // A router gets the configuration first, then the word on contact, by which it takes the former
    // as current, then the whole table.
    let mut near = FakeRouter::connect(fleet.machines[0].internal, "near");
    let (push, position, document) = assert_matches!(near.next(), ControlToRouter::Configuration { push, position, document } =>
        (push, position, document));
    assert_eq!((push, document), (1, configuration(1, 1).into_bytes()));
    assert_matches!(near.next(), ControlToRouter::Heartbeat { in_contact: true, control_addresses: control, .. } => {
        assert!(control.contains(&fleet.machines[1].internal.to_string()), "{control:?}");
    });
    assert_matches!(near.next(), ControlToRouter::Servers { push: 2, is_complete: true, records } if records.is_empty());
    near.say(RouterToControl::Applied {
        push: 2,
        configuration: Some(position),
    });
    let mut far = FakeRouter::connect(fleet.machines[2].internal, "further");

    let address = fleet.machines[0].control_plane;
    let taken = wait_for("a beat", || {
        beat(address, "i-1", "ready", 1)
            .ok()
            .filter(|answer| answer.status == 200)
    });
    assert_eq!(taken.body, "{}");
    for router in [&mut near, &mut far] {
        let record = next_record(router, "i-1");
        assert_eq!(
            (record.service.as_str(), record.state),
            ("pool", ServerState::Ready)
        );
    }

    // Another machine takes the next beats; draining and the end reach all.
    let other = fleet.machines[1].control_plane;
    await_table(other);
    assert_acknowledged(&beat(other, "i-1", "ready", 2).unwrap());
    assert_acknowledged(&beat(other, "i-1", "draining", 3).unwrap());
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
    // A beat that comes late brings nobody back.
    assert_acknowledged(&beat(other, "i-1", "ready", 2).unwrap());
    assert_eq!(
        call(other, "POST", "/instances/i-1/heartbeat", &[], "{")
            .unwrap()
            .status,
        400
    );

    // A new configuration is pushed, and what is in force is shown.
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 2)).status, 200);
    for router in [&mut near, &mut far] {
        let document = router.next_of(|message| match message {
            ControlToRouter::Configuration { document, .. } => Some(document),
            _ => None,
        });
        assert!(!document.is_empty());
    }
    wait_for("both routers are counted everywhere", || {
        (0..3)
            .all(|place| fleet.status(place).contains("\"routers_of_fleet\":2"))
            .then_some(())
    });
    let shown = format!(
        "\"configuration\":\"{}.{:x}/{}\"",
        position.epoch, position.primary, position.number
    );
    assert!(fleet.status(0).contains(&shown), "{}", fleet.status(0));
}

/// Waits while a machine that has just started refuses heartbeats for want of the table: all that
/// started together greeted each other before any of them was in contact, and a table counts only
/// from a machine in contact. Any other refusal is a failure.
fn await_table(control_plane: SocketAddr) {
    wait_for("the table of servers", || {
        let answer = beat(control_plane, "i-1", "ready", 2).unwrap();
        let waits = answer.status == 503 && answer.body.contains("has not got the table");
        assert!(waits || answer.status == 200, "{answer:?}");
        (!waits).then_some(())
    });
}

fn assert_acknowledged(answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn a_machine_that_starts_takes_the_table_of_the_others() {
    let mut fleet = Fleet::of("table", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let address = fleet.machines[0].control_plane;
    wait_for("a beat", || {
        beat(address, "i-7", "ready", 1)
            .ok()
            .filter(|answer| answer.status == 200)
    });
    fleet.kill(2);
    fleet.start(2, false);
    let mut router = FakeRouter::connect(fleet.machines[2].internal, "late");
    assert_eq!(next_record(&mut router, "i-7").state, ServerState::Ready);
}

/// What a server sees of a machine that starts later than the others: refusals with their reason,
/// each of which the next machine makes up for. The server is never taken out, so no request misses
/// it.
#[test]
fn heartbeats_that_a_machine_refuses_after_its_start_cost_no_request() {
    let mut fleet = Fleet::of("later", &[true, true, true]);
    fleet.start(0, true);
    fleet.start(1, true);
    let [near, later] = [0, 2].map(|place| fleet.machines[place].control_plane);
    let ready =
        |address, sequence| beat(address, "i-1", "ready", sequence).map(|answer| answer.status);
    wait_for("a beat", || {
        ready(near, 1).ok().filter(|status| *status == 200)
    });
    let mut router = FakeRouter::connect(fleet.machines[0].internal, "near");
    assert_eq!(next_record(&mut router, "i-1").state, ServerState::Ready);
    fleet.start(2, true);
    let (mut sequence, mut refused) = (2, 0);
    let began = Instant::now();
    while ready(later, sequence).ok() != Some(200) {
        assert!(
            began.elapsed() < control_support::PATIENCE,
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
    // What the router was told meanwhile: the server is there, all along.
    // Its name has another length, which is part of the address that the test gives it.
    let told = beat(near, "other", "ready", 1).unwrap();
    assert_acknowledged(&told);
    router.next_of(|message| {
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
fn after_all_machines_were_killed_routers_hear_of_servers_before_these_beat_again() {
    let mut fleet = Fleet::of("remembered", &[true, true, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let address = fleet.machines[0].control_plane;
    wait_for("a beat", || {
        beat(address, "i-8", "ready", 1)
            .ok()
            .filter(|answer| answer.status == 200)
    });
    let tables: Vec<_> = [0, 1]
        .iter()
        .map(|place| Path::new(&fleet.machines[*place].folder).join("data/servers"))
        .collect();
    wait_for("both tables on disk", || {
        tables
            .iter()
            .all(|table| holds(table, b"i-8"))
            .then_some(())
    });

    (0..3).for_each(|place| fleet.kill(place));
    (0..3).for_each(|place| fleet.start(place, false));
    // Machine 2 has no disk: it hears of the server from the others.
    for place in [0, 2] {
        let mut router = FakeRouter::connect(fleet.machines[place].internal, "after");
        let remembered = next_record(&mut router, "i-8");
        assert!(
            !remembered.is_suspect,
            "it was heard a moment ago: {remembered:?}"
        );
        assert_eq!(remembered.state, ServerState::Ready);
    }
    // Its next beat is news to all.
    let mut router = FakeRouter::connect(fleet.machines[1].internal, "later");
    wait_for("a beat", || {
        beat(address, "i-8", "ready", 2)
            .ok()
            .filter(|answer| answer.status == 200)
    });
    router.next_of(|message| match message {
        ControlToRouter::Servers { records, .. } => records
            .into_iter()
            .find(|record| record.instance == "i-8" && record.sequence_number == 2),
        _ => None,
    });
}

/// Whether a file holds these bytes.
fn holds(path: &Path, wanted: &[u8]) -> bool {
    fs::read(path).is_ok_and(|bytes| bytes.windows(wanted.len()).any(|window| window == wanted))
}

fn next_record(router: &mut FakeRouter, instance: &str) -> lichenswitch_messages::ServerRecord {
    router.next_of(|message| match message {
        ControlToRouter::Servers { records, .. } => records
            .into_iter()
            .find(|record| record.instance == instance),
        _ => None,
    })
}

/// One machine of three can't write its table, once `block` has put something where the new file is
/// to be, until `clear` takes it away.
fn machine_whose_table_is_not_written(name: &str, block: fn(&Path) -> bool, clear: fn(&Path)) {
    let mut fleet = Fleet::of(name, &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
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
        beat(mute, "i-1", "ready", 1)
            .ok()
            .filter(|answer| answer.status == 200)
    });
    let began = Instant::now();
    assert_eq!(
        call(mute, "POST", "/instances/i-1/deregister", &[], "")
            .unwrap()
            .status,
        503
    );
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "the server goes on in time: {:?}",
        began.elapsed()
    );
    // The others are enough, and wait for it no longer than for any slow machine.
    let began = Instant::now();
    assert_eq!(
        call(other, "POST", "/instances/i-1/deregister", &[], "")
            .unwrap()
            .status,
        200
    );
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
    clear(&in_its_way);
    wait_for("the disk to take writes again", || {
        let answer = call(mute, "POST", "/instances/i-1/deregister", &[], "");
        answer.ok().filter(|answer| answer.status == 200)
    });
}

#[test]
fn that_a_server_leaves_is_not_taken_by_a_machine_whose_disk_refuses_it() {
    let block = |path: &Path| fs::create_dir(path).is_ok();
    machine_whose_table_is_not_written("full-disk", block, |path| fs::remove_dir(path).unwrap());
}

#[test]
fn that_a_server_leaves_is_not_taken_by_a_machine_whose_disk_stalls() {
    // Whoever opens a pipe to write waits for a reader.
    let block = |path: &Path| {
        Command::new("mkfifo")
            .arg(path)
            .output()
            .unwrap()
            .status
            .success()
    };
    machine_whose_table_is_not_written("stalled-disk", block, |path| {
        let reader = File::open(path).unwrap();
        fs::remove_file(path).unwrap();
        drop(reader);
    });
}
