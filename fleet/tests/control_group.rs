//! The group of control machines as processes: bootstrap, orders, losses.

mod control_support;

use control_support::{call, configuration, send_order, text_of, wait_for, ControlFleet};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";
const UPDATE: &str = "/configuration/update";

#[test]
fn first_configuration_is_accepted_and_described_by_all_machines() {
    let mut fleet = ControlFleet::of("first", &[true, true, true]);
    fleet.start_first();
    let body = configuration(3, 2);
    assert_eq!(fleet.send_order(REPLACE, 0, &body).status, 200);
    for index in 0..3 {
        assert_eq!(
            fleet.describe(index),
            body,
            "as it came, at machine {index}"
        );
    }
    // A repeat of the order, at each machine, counts as accepted.
    for index in 0..3 {
        let again = send_order(fleet.machines[index].control_plane, REPLACE, 0, &body).unwrap();
        assert_eq!(again.status, 200, "{again:?}");
    }
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
}

#[test]
fn invalid_order_is_rejected_by_name_and_race_has_one_winner() {
    let mut fleet = ControlFleet::of("race", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(3, 1)).status,
        200
    );

    let unknown = configuration(5, 1).replace("\"service\":\"pool\"", "\"service\":\"nobody\"");
    let refused = fleet.send_order(REPLACE, 3, &unknown);
    assert_eq!(refused.status, 400);
    assert!(refused.body.contains("nobody"), "{}", refused.body);
    assert_eq!(fleet.send_order(REPLACE, 3, "{\"version\":5,").status, 400);
    assert_eq!(
        fleet.send_order(REPLACE, 3, &configuration(3, 1)).status,
        400,
        "not above its base"
    );
    let address = fleet.machines[1].control_plane;
    assert_eq!(
        call(address, "POST", REPLACE, &[], &configuration(5, 1))
            .unwrap()
            .status,
        400,
        "no Base-Version"
    );
    assert_eq!(call(address, "GET", REPLACE, &[], "").unwrap().status, 405);
    assert_eq!(
        call(address, "GET", "/nowhere", &[], "").unwrap().status,
        404
    );

    // Two operators pick the same number for different changes, at different machines.
    let (one, other) = (configuration(5, 2), configuration(5, 3));
    let (first, second) = std::thread::scope(|scope| {
        let first =
            scope.spawn(|| send_order(fleet.machines[0].control_plane, REPLACE, 3, &one).unwrap());
        let second = scope
            .spawn(|| send_order(fleet.machines[2].control_plane, REPLACE, 3, &other).unwrap());
        (first.join().unwrap(), second.join().unwrap())
    });
    let mut both = [first.status, second.status];
    both.sort_unstable();
    assert_eq!(both, [200, 412], "{first:?} {second:?}");
    let (winner, loser) = if first.status == 200 {
        (&one, &other)
    } else {
        (&other, &one)
    };
    assert_eq!(&fleet.describe(1), winner);
    assert_eq!(
        fleet.send_order(REPLACE, 3, winner).status,
        200,
        "a repeat of the one that was taken"
    );
    assert_eq!(fleet.send_order(REPLACE, 3, loser).status, 412);

    let update = "{\"version\":9,\"removals\":{\"routes\":[\"r-0\"]}}";
    assert_eq!(fleet.send_order(UPDATE, 5, update).status, 200);
    assert!(!fleet.describe(2).contains("r-0"));
    let refusals = fleet.status(fleet.primary(&[0, 1, 2]));
    assert!(refusals.contains("version 5 is current"), "{refusals}");
}

#[test]
fn order_after_primary_is_killed_is_accepted_without_loss() {
    let mut fleet = ControlFleet::of("killed", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);

    let primary = fleet.primary(&[0, 1, 2]);
    fleet.kill(primary);
    let started_at = Instant::now();
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 2)).status,
        200
    );
    let took = started_at.elapsed();
    println!("an order after the loss of the primary took {took:?}");
    assert!(took < Duration::from_secs(4), "{took:?}");
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200,
        "a repeat of what the lost one took"
    );

    // All of them lose power, and come back.
    fleet.start(primary, false);
    fleet.primary(&[0, 1, 2]);
    for index in 0..3 {
        fleet.kill(index);
    }
    for index in 0..3 {
        fleet.start(index, false);
    }
    assert_eq!(fleet.describe(primary), configuration(2, 2));
    assert_eq!(
        fleet.send_order(REPLACE, 2, &configuration(7, 1)).status,
        200
    );
}

#[test]
fn minority_answers_503_and_rejects_no_order() {
    let mut fleet = ControlFleet::of("minority", &[true, true, true]);
    fleet.start_first();
    let body = configuration(1, 1);
    assert_eq!(fleet.send_order(REPLACE, 0, &body).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let left = fleet.primary(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|index| *index != left).collect();
    others.iter().for_each(|index| fleet.kill(*index));

    let address = fleet.machines[left].control_plane;
    let started_at = Instant::now();
    let mut responses = Vec::new();
    while started_at.elapsed() < Duration::from_secs(4) {
        responses.push(call(address, "GET", "/configuration/describe", &[], "").ok());
        responses.push(send_order(address, REPLACE, 0, &configuration(4, 1)).ok());
        responses.push(send_order(address, REPLACE, 1, &configuration(5, 1)).ok());
        responses.push(send_order(address, REPLACE, 0, &body).ok());
    }
    for response in responses.iter().flatten() {
        assert_eq!(response.status, 503, "{response:?}");
    }
    assert!(responses.iter().flatten().count() > 0);
    assert_eq!(
        control_support::send_heartbeat(address, "i-1", "ready", 1)
            .unwrap()
            .status,
        503
    );

    others.iter().for_each(|index| fleet.start(*index, false));
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(6, 1)).status,
        200
    );
}

#[test]
fn terminated_primary_transfers_leadership_and_wiped_voter_is_replaced() {
    let mut fleet = ControlFleet::of("leave", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let primary = fleet.primary(&[0, 1, 2, 3]);
    fleet.await_voters(primary, 4);

    let (status, took) = fleet.stop(primary);
    println!("a primary that is told to end took {took:?}");
    assert_eq!(status.code(), Some(0));
    assert!(took < Duration::from_millis(7_000), "{took:?}");
    let started_at = Instant::now();
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 1)).status,
        200
    );
    println!(
        "an order after it had ended took {:?}",
        started_at.elapsed()
    );
    fleet.start(primary, false);
    let next = fleet.primary(&[0, 1, 2, 3]);
    fleet.await_voters(next, 4);

    // A disk is lost: the machine returns as another voter, and accepted orders stay.
    let wiped = (next + 1) % 4;
    let identity = text_of(&fleet.status(wiped), "identity").unwrap();
    fleet.kill(wiped);
    fleet.wipe(wiped);
    fleet.start(wiped, false);
    let settled = wait_for("the wiped one votes", || {
        let (status, primary) = (fleet.status(wiped), fleet.status(next));
        let other = text_of(&status, "identity").filter(|other| *other != identity)?;
        let known = primary.matches("\"votes\":true").count() == 4;
        (known && primary.contains(&other) && !primary.contains(&identity)).then_some(other)
    });
    assert_ne!(settled, identity);
    assert_eq!(fleet.describe(wiped), configuration(2, 1));
}

#[test]
fn diskless_machine_relays_calls_and_gets_committed_configuration() {
    let mut fleet = ControlFleet::of("relay", &[true, true, true, false]);
    fleet.start_first();
    let body = configuration(1, 1);
    assert_eq!(fleet.send_order(REPLACE, 0, &body).status, 200);
    assert_eq!(fleet.describe(3), body);
    fleet.primary(&[0, 1, 2]);
    wait_for("the relay is fed", || {
        fleet
            .status(3)
            .contains("\"in_contact\":true,\"leaving\":false,\"configuration_version\":1")
            .then_some(())
    });
    let accepted = wait_for("an order through the relay", || {
        send_order(
            fleet.machines[3].control_plane,
            REPLACE,
            1,
            &configuration(2, 1),
        )
        .ok()
    });
    assert_eq!(accepted.status, 200);
    let status = fleet.status(fleet.primary(&[0, 1, 2]));
    assert_eq!(status.matches("\"votes\":true").count(), 3, "{status}");
}

/// Guards against machines that forward calls to a former primary for good: a primary brings only nine
/// learners up to date, and the other replicas hear nothing of the next one.
#[test]
fn every_machine_of_a_large_fleet_answers_after_a_change_of_primary() {
    const MACHINES: usize = 24;
    const LEARNERS: usize = 9;
    let mut fleet = ControlFleet::of("large", &[true; MACHINES]);
    fleet.start_first();
    let body = configuration(1, 1);
    assert_eq!(fleet.send_order(REPLACE, 0, &body).status, 200);
    let primary_with_learners = |fleet: &ControlFleet| {
        wait_for("a primary with as many learners as it may have", || {
            (0..MACHINES).find(|index| {
                let status = fleet.status(*index);
                status.contains("\"role\":\"primary\"")
                    && status.matches("\"votes\":false").count() == LEARNERS
            })
        })
    };
    let former = primary_with_learners(&fleet);
    fleet.stop(former);
    fleet.start(former, false);
    primary_with_learners(&fleet);
    for index in 0..MACHINES {
        assert_eq!(fleet.describe(index), body, "machine {index}");
    }
}

#[test]
fn resumed_primary_does_not_answer_from_memory() {
    let mut fleet = ControlFleet::of("frozen", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let primary = fleet.primary(&[0, 1, 2]);
    fleet.await_voters(primary, 3);
    fleet.freeze(primary, true);
    let others: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
    let address = fleet.machines[others[0]].control_plane;
    let accepted = wait_for("an order at the others", || {
        send_order(address, REPLACE, 1, &configuration(2, 2))
            .ok()
            .filter(|response| response.status == 200)
    });
    assert_eq!(accepted.status, 200);
    // A call that waits in the frozen process' socket is answered after it wakes: with what is true
    // then, or not at all.
    let sleeper = fleet.machines[primary].control_plane;
    let response = std::thread::scope(|scope| {
        let waits = scope.spawn(move || call(sleeper, "GET", "/configuration/describe", &[], ""));
        std::thread::sleep(Duration::from_millis(300));
        fleet.freeze(primary, false);
        waits.join().unwrap()
    });
    if let Ok(response) = response.as_ref().map(Clone::clone) {
        assert!(
            response.status == 503 || response.body == configuration(2, 2),
            "{response:?}"
        );
    }
    assert_eq!(fleet.describe(primary), configuration(2, 2));
}

#[test]
fn diskless_founder_yields_to_durable_machines() {
    let mut fleet = ControlFleet::of("stopgap", &[false, true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    wait_for("three voters with disks, and a relay", || {
        let relay = fleet.status(0);
        let primary = (1..4)
            .map(|index| fleet.status(index))
            .find(|status| status.contains("\"role\":\"primary\""))?;
        let voters = primary.matches("\"votes\":true").count() == 3
            && !primary.contains(&format!("{}\",\"votes\"", fleet.machines[0].internal));
        (relay.contains("\"group\":null") && voters).then_some(())
    });
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 1)).status,
        200
    );
    assert_eq!(fleet.describe(0), configuration(2, 1), "through the relay");
}

#[test]
fn seeds_hold_state_where_no_machine_has_a_disk() {
    let mut fleet = ControlFleet::of("diskless", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(0, 3);
    let primary = fleet.primary(&[0, 1, 2]);
    fleet.kill(primary);
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 1)).status,
        200
    );
    assert_eq!(
        fleet.describe(3),
        configuration(2, 1),
        "through the one that is no seed"
    );
}

#[test]
fn unreadable_disk_counts_as_lost_and_is_set_aside() {
    let mut fleet = ControlFleet::of("damaged", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_all_voters();
    let hurt = (fleet.primary(&[0, 1, 2]) + 1) % 3;
    let before = text_of(&fleet.status(hurt), "identity").unwrap();
    fleet.kill(hurt);
    let ring = fleet.machines[hurt].folder.join("data/control");
    for segment in 0..4 {
        // The image of each segment is damaged; what was written behind it is as it was.
        let path = ring.join(format!("segment-{segment}"));
        let mut bytes = std::fs::read(&path).unwrap();
        bytes[80..140].iter_mut().for_each(|byte| *byte ^= 0x5a);
        std::fs::write(&path, bytes).unwrap();
    }
    fleet.start(hurt, true);
    fleet.await_all_voters();
    assert_ne!(text_of(&fleet.status(hurt), "identity").unwrap(), before);
    assert!(
        ring.with_extension("lost").exists(),
        "{}",
        control_support::log_of(&fleet.machines[hurt])
    );
    assert_eq!(fleet.describe(hurt), configuration(1, 1));
}

#[test]
fn replaced_machine_is_removed_from_voters_twice_in_a_row() {
    let mut fleet = ControlFleet::of("replace", &[true, true, true, true, true, true]);
    for index in 0..4 {
        fleet.start(index, true);
    }
    let order_at = |fleet: &ControlFleet, base, version| {
        wait_for("an order", || {
            let live = &fleet.machines[if fleet.is_running(0) { 0 } else { 1 }];
            send_order(
                live.control_plane,
                REPLACE,
                base,
                &configuration(version, 1),
            )
            .ok()
            .filter(|response| response.status == 200)
        })
    };
    order_at(&fleet, 0, 1);
    fleet.await_voters(0, 4);
    // Two machines are lost for good, one after the other, and others replace them.
    for (lost, newcomer, version) in [(3, 4, 2), (2, 5, 3)] {
        fleet.kill(lost);
        // By then the machine counts as lost and not only as silent: the new one replaces it instead
        // of joining beside it.
        std::thread::sleep(Duration::from_millis(500));
        fleet.start(newcomer, false);
        let gone = format!("{}\",\"votes\"", fleet.machines[lost].internal);
        let started_at = Instant::now();
        wait_for("the newcomer has the place of the lost one", || {
            let status = fleet.status(0);
            (!status.contains(&gone) && status.matches("\"votes\":true").count() == 4).then_some(())
        });
        println!(
            "a newcomer had the place of a lost machine after {:?}",
            started_at.elapsed()
        );
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "well within the time to catch up: {:?}",
            started_at.elapsed()
        );
        order_at(&fleet, version - 1, version);
    }
    // A third loss, of a machine of the first start, is tolerated like the first.
    fleet.kill(0);
    order_at(&fleet, 3, 4);
}

#[test]
fn changed_seeds_are_applied_and_status_is_shown() {
    let mut fleet = ControlFleet::of("seeds", &[true, true, true, false]);
    for index in 0..3 {
        fleet.start(index, true);
    }
    assert_eq!(order_until_taken(&fleet, 0, 1), 200);
    // A machine without peers learns of others by a change of its settings.
    let own = fleet.machines[3].control_plane;
    fleet.start(3, false);
    wait_for("it has started", || {
        call(own, "GET", "/status", &[], "").ok()
    });
    fleet.reload(3, &[own]);
    let seeds: Vec<_> = fleet.machines[..3]
        .iter()
        .map(|machine| machine.control_plane)
        .collect();
    fleet.reload(3, &seeds[1..2]);
    wait_for("it knows all", || {
        (fleet.status(3).matches("\"connected\":true").count() == 3).then_some(())
    });

    let shown = std::process::Command::new(env!("CARGO_BIN_EXE_lichenswitch-fleet"))
        .args(["status", &own.to_string()])
        .output()
        .unwrap();
    assert!(shown.status.success());
    let shown = String::from_utf8(shown.stdout).unwrap();
    assert!(
        shown.starts_with("{\"node\":\"edge-") && shown.contains("\"peers\":["),
        "{shown}"
    );
    let primary = wait_for("the primary's view", || {
        call(own, "GET", "/status?primary", &[], "")
            .ok()
            .filter(|response| response.status == 200)
    });
    assert!(
        primary.body.contains("\"silent_for_ms\":")
            && primary.body.contains("\"role\":\"primary\""),
        "{primary:?}"
    );
}

fn order_until_taken(fleet: &ControlFleet, base: u64, version: u64) -> u16 {
    let address = fleet.machines[0].control_plane;
    let accepted = wait_for("an order", || {
        send_order(address, REPLACE, base, &configuration(version, 1))
            .ok()
            .filter(|response| response.status != 503)
    });
    accepted.status
}

#[test]
fn large_chunked_bodies_and_repeated_calls_on_one_connection_are_read() {
    use std::io::{Read, Write};
    let mut fleet = ControlFleet::of("large", &[true, true, true]);
    fleet.start_first();
    // A megabyte and a half, most of it in a field that is only stored, through a machine that is
    // not the primary.
    let body =
        configuration(1, 100).replacen('{', &format!("{{\"note\":\"{}\",", "x".repeat(3 << 19)), 1);
    fleet.await_all_voters();
    let relay = (fleet.primary(&[0, 1, 2]) + 1) % 3;
    let address = fleet.machines[relay].control_plane;
    let mut sent = format!(
        "POST {REPLACE} HTTP/1.1\r\nHost: x\r\nBase-Version: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for chunk in body.as_bytes().chunks(60_000) {
        sent.extend(format!("{:x}\r\n", chunk.len()).bytes());
        sent.extend(chunk);
        sent.extend(b"\r\n");
    }
    sent.extend(b"0\r\n\r\n");
    // A call without a definite response is sent again, as operators do: an unoptimised program
    // takes long over such a body.
    let mut stream = wait_for("a clear answer", || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream.write_all(&sent).unwrap();
        let mut response = vec![0; 4_096];
        let count = stream.read(&mut response).unwrap();
        let response = String::from_utf8_lossy(&response[..count]).into_owned();
        assert!(
            count == 0
                || response.starts_with("HTTP/1.1 200")
                || response.starts_with("HTTP/1.1 503"),
            "{response}"
        );
        response.starts_with("HTTP/1.1 200").then_some(stream)
    });

    // The connection stays open, and two pipelined calls are answered in turn.
    let status = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";
    let last = "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream
        .write_all(format!("{status}{last}").as_bytes())
        .unwrap();
    let mut responses = String::new();
    stream.read_to_string(&mut responses).unwrap();
    assert_eq!(responses.matches("HTTP/1.1 ").count(), 2, "{responses}");
    assert!(responses.find("200 OK").unwrap() < responses.find("404 Not Found").unwrap());
    let read = wait_for("describe", || {
        call(address, "GET", "/configuration/describe", &[], "")
            .ok()
            .filter(|a| a.status == 200)
    });
    assert_eq!(read.body, body);
    // Longer than the limit.
    let refused = send_order(address, REPLACE, 1, &" ".repeat((4 << 20) + 1));
    assert!(refused.is_err() || refused.unwrap().status == 413);
}
