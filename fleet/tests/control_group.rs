//! Control machines as processes: genesis, orders, losses.

mod control_support;

use control_support::{call, configuration, order, text_of, wait_for, Fleet};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";
const UPDATE: &str = "/configuration/update";

#[test]
fn a_first_configuration_is_taken_and_read_back_everywhere() {
    let mut fleet = Fleet::of("first", &[true, true, true]);
    fleet.start_first();
    let body = configuration(3, 2);
    assert_eq!(fleet.order(REPLACE, 0, &body).status, 200);
    for place in 0..3 {
        assert_eq!(
            fleet.describe(place),
            body,
            "as it came, at machine {place}"
        );
    }
    // The same order again, at each machine, is one that was taken.
    for place in 0..3 {
        let again = order(fleet.machines[place].control_plane, REPLACE, 0, &body).unwrap();
        assert_eq!(again.status, 200, "{again:?}");
    }
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
}

#[test]
fn what_is_invalid_is_refused_by_name_and_a_race_has_one_winner() {
    let mut fleet = Fleet::of("race", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(3, 1)).status, 200);

    let unknown = configuration(5, 1).replace("\"service\":\"pool\"", "\"service\":\"nobody\"");
    let refused = fleet.order(REPLACE, 3, &unknown);
    assert_eq!(refused.status, 400);
    assert!(refused.body.contains("nobody"), "{}", refused.body);
    assert_eq!(fleet.order(REPLACE, 3, "{\"version\":5,").status, 400);
    assert_eq!(
        fleet.order(REPLACE, 3, &configuration(3, 1)).status,
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
            scope.spawn(|| order(fleet.machines[0].control_plane, REPLACE, 3, &one).unwrap());
        let second =
            scope.spawn(|| order(fleet.machines[2].control_plane, REPLACE, 3, &other).unwrap());
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
        fleet.order(REPLACE, 3, winner).status,
        200,
        "a repeat of the one that was taken"
    );
    assert_eq!(fleet.order(REPLACE, 3, loser).status, 412);

    let update = "{\"version\":9,\"removals\":{\"routes\":[\"r-0\"]}}";
    assert_eq!(fleet.order(UPDATE, 5, update).status, 200);
    assert!(!fleet.describe(2).contains("r-0"));
    let refusals = fleet.status(fleet.primary(&[0, 1, 2]));
    assert!(refusals.contains("version 5 is current"), "{refusals}");
}

#[test]
fn after_the_primary_is_killed_the_next_order_is_taken_and_nothing_is_lost() {
    let mut fleet = Fleet::of("killed", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);

    let primary = fleet.primary(&[0, 1, 2]);
    fleet.kill(primary);
    let began = Instant::now();
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 2)).status, 200);
    let took = began.elapsed();
    println!("an order after the loss of the primary took {took:?}");
    assert!(took < Duration::from_secs(4), "{took:?}");
    assert_eq!(
        fleet.order(REPLACE, 0, &configuration(1, 1)).status,
        200,
        "a repeat of what the lost one took"
    );

    // All of them lose power, and come back.
    fleet.start(primary, false);
    fleet.primary(&[0, 1, 2]);
    for place in 0..3 {
        fleet.kill(place);
    }
    for place in 0..3 {
        fleet.start(place, false);
    }
    assert_eq!(fleet.describe(primary), configuration(2, 2));
    assert_eq!(fleet.order(REPLACE, 2, &configuration(7, 1)).status, 200);
}

#[test]
fn a_minority_refuses_nothing_and_hands_out_nothing() {
    let mut fleet = Fleet::of("minority", &[true, true, true]);
    fleet.start_first();
    let body = configuration(1, 1);
    assert_eq!(fleet.order(REPLACE, 0, &body).status, 200);
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let left = fleet.primary(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|place| *place != left).collect();
    others.iter().for_each(|place| fleet.kill(*place));

    let address = fleet.machines[left].control_plane;
    let began = Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < Duration::from_secs(4) {
        answers.push(call(address, "GET", "/configuration/describe", &[], "").ok());
        answers.push(order(address, REPLACE, 0, &configuration(4, 1)).ok());
        answers.push(order(address, REPLACE, 1, &configuration(5, 1)).ok());
        answers.push(order(address, REPLACE, 0, &body).ok());
    }
    for answer in answers.iter().flatten() {
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert!(answers.iter().flatten().count() > 0);
    assert_eq!(
        control_support::beat(address, "i-1", "ready", 1)
            .unwrap()
            .status,
        503
    );

    others.iter().for_each(|place| fleet.start(*place, false));
    assert_eq!(fleet.order(REPLACE, 1, &configuration(6, 1)).status, 200);
}

#[test]
fn a_machine_that_is_told_to_end_hands_on_and_a_wiped_one_is_replaced() {
    let mut fleet = Fleet::of("leave", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let primary = fleet.primary(&[0, 1, 2, 3]);
    fleet.await_voters(primary, 4);

    let (status, took) = fleet.stop(primary);
    println!("a primary that is told to end took {took:?}");
    assert_eq!(status.code(), Some(0));
    assert!(took < Duration::from_millis(7_000), "{took:?}");
    let began = Instant::now();
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 1)).status, 200);
    println!("an order after it had ended took {:?}", began.elapsed());
    fleet.start(primary, false);
    let next = fleet.primary(&[0, 1, 2, 3]);
    fleet.await_voters(next, 4);

    // A disk is lost: the machine comes back as another voter, and what was taken stays.
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
fn a_machine_without_a_disk_relays_and_is_told_what_is_committed() {
    let mut fleet = Fleet::of("relay", &[true, true, true, false]);
    fleet.start_first();
    let body = configuration(1, 1);
    assert_eq!(fleet.order(REPLACE, 0, &body).status, 200);
    assert_eq!(fleet.describe(3), body);
    fleet.primary(&[0, 1, 2]);
    wait_for("the relay is fed", || {
        fleet
            .status(3)
            .contains("\"in_contact\":true,\"leaving\":false,\"configuration_version\":1")
            .then_some(())
    });
    let taken = wait_for("an order through the relay", || {
        order(
            fleet.machines[3].control_plane,
            REPLACE,
            1,
            &configuration(2, 1),
        )
        .ok()
    });
    assert_eq!(taken.status, 200);
    let status = fleet.status(fleet.primary(&[0, 1, 2]));
    assert_eq!(status.matches("\"votes\":true").count(), 3, "{status}");
}

#[test]
fn a_frozen_primary_that_wakes_gives_no_answer_from_memory() {
    let mut fleet = Fleet::of("frozen", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let primary = fleet.primary(&[0, 1, 2]);
    fleet.await_voters(primary, 3);
    fleet.freeze(primary, true);
    let others: Vec<usize> = (0..3).filter(|place| *place != primary).collect();
    let address = fleet.machines[others[0]].control_plane;
    let taken = wait_for("an order at the others", || {
        order(address, REPLACE, 1, &configuration(2, 2))
            .ok()
            .filter(|answer| answer.status == 200)
    });
    assert_eq!(taken.status, 200);
    // A call that waits in the frozen process' socket is answered after it wakes: with what is true
    // then, or not at all.
    let sleeper = fleet.machines[primary].control_plane;
    let answer = std::thread::scope(|scope| {
        let waits = scope.spawn(move || call(sleeper, "GET", "/configuration/describe", &[], ""));
        std::thread::sleep(Duration::from_millis(300));
        fleet.freeze(primary, false);
        waits.join().unwrap()
    });
    if let Ok(answer) = answer.as_ref().map(Clone::clone) {
        assert!(
            answer.status == 503 || answer.body == configuration(2, 2),
            "{answer:?}"
        );
    }
    assert_eq!(fleet.describe(primary), configuration(2, 2));
}

#[test]
fn a_founder_without_a_disk_makes_way_for_machines_with_one() {
    let mut fleet = Fleet::of("stopgap", &[false, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    wait_for("three voters with disks, and a relay", || {
        let relay = fleet.status(0);
        let primary = (1..4)
            .map(|place| fleet.status(place))
            .find(|status| status.contains("\"role\":\"primary\""))?;
        let voters = primary.matches("\"votes\":true").count() == 3
            && !primary.contains(&format!("{}\",\"votes\"", fleet.machines[0].internal));
        (relay.contains("\"group\":null") && voters).then_some(())
    });
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 1)).status, 200);
    assert_eq!(fleet.describe(0), configuration(2, 1), "through the relay");
}

#[test]
fn where_no_machine_has_a_disk_the_seeds_keep_the_state() {
    let mut fleet = Fleet::of("diskless", &[false, false, false, false]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(0, 3);
    let primary = fleet.primary(&[0, 1, 2]);
    fleet.kill(primary);
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 1)).status, 200);
    assert_eq!(
        fleet.describe(3),
        configuration(2, 1),
        "through the one that is no seed"
    );
}

#[test]
fn a_disk_that_can_not_be_read_counts_as_lost_and_is_kept_aside() {
    let mut fleet = Fleet::of("damaged", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_whole();
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
    fleet.await_whole();
    assert_ne!(text_of(&fleet.status(hurt), "identity").unwrap(), before);
    assert!(
        ring.with_extension("lost").exists(),
        "{}",
        control_support::log_of(&fleet.machines[hurt])
    );
    assert_eq!(fleet.describe(hurt), configuration(1, 1));
}

#[test]
fn a_machine_replaced_for_good_is_voted_out_twice_over() {
    let mut fleet = Fleet::of("replace", &[true, true, true, true, true, true]);
    for place in 0..4 {
        fleet.start(place, true);
    }
    let order_at = |fleet: &Fleet, base, version| {
        wait_for("an order", || {
            let live = &fleet.machines[if fleet.is_running(0) { 0 } else { 1 }];
            order(
                live.control_plane,
                REPLACE,
                base,
                &configuration(version, 1),
            )
            .ok()
            .filter(|answer| answer.status == 200)
        })
    };
    order_at(&fleet, 0, 1);
    fleet.await_voters(0, 4);
    // Two are lost for good, one after the other, and others come in their places.
    for (lost, newcomer, version) in [(3, 4, 2), (2, 5, 3)] {
        fleet.kill(lost);
        // By then the loss can be told from a moment's silence: the newcomer comes in the place of
        // the lost one, not beside it.
        std::thread::sleep(Duration::from_millis(500));
        fleet.start(newcomer, false);
        let gone = format!("{}\",\"votes\"", fleet.machines[lost].internal);
        let began = Instant::now();
        wait_for("the newcomer has the place of the lost one", || {
            let status = fleet.status(0);
            (!status.contains(&gone) && status.matches("\"votes\":true").count() == 4).then_some(())
        });
        println!(
            "a newcomer had the place of a lost machine after {:?}",
            began.elapsed()
        );
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "well within the time to catch up: {:?}",
            began.elapsed()
        );
        order_at(&fleet, version - 1, version);
    }
    // A third loss, of a machine that was there from the start, is borne like the first.
    fleet.kill(0);
    order_at(&fleet, 3, 4);
}

#[test]
fn a_machine_takes_up_changed_seeds_and_shows_how_it_stands() {
    let mut fleet = Fleet::of("seeds", &[true, true, true, false]);
    for place in 0..3 {
        fleet.start(place, true);
    }
    assert_eq!(order_until_taken(&fleet, 0, 1), 200);
    // One that knows nobody is told of others by a change of its settings.
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
            .filter(|answer| answer.status == 200)
    });
    assert!(
        primary.body.contains("\"silent_for_ms\":")
            && primary.body.contains("\"role\":\"primary\""),
        "{primary:?}"
    );
}

fn order_until_taken(fleet: &Fleet, base: u64, version: u64) -> u16 {
    let address = fleet.machines[0].control_plane;
    let taken = wait_for("an order", || {
        order(address, REPLACE, base, &configuration(version, 1))
            .ok()
            .filter(|answer| answer.status != 503)
    });
    taken.status
}

#[test]
fn large_bodies_in_chunks_and_calls_on_one_connection_are_read() {
    use std::io::{Read, Write};
    let mut fleet = Fleet::of("large", &[true, true, true]);
    fleet.start_first();
    // A megabyte and a half, most of it in a field that is only kept, through a machine that is not
    // the primary.
    let body =
        configuration(1, 100).replacen('{', &format!("{{\"note\":\"{}\",", "x".repeat(3 << 19)), 1);
    fleet.await_whole();
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
    // A call without a clear answer is sent again, as operators do: an unoptimised program takes
    // long over such a body.
    let mut stream = wait_for("a clear answer", || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream.write_all(&sent).unwrap();
        let mut answer = vec![0; 4_096];
        let count = stream.read(&mut answer).unwrap();
        let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
        assert!(
            count == 0 || answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
            "{answer}"
        );
        answer.starts_with("HTTP/1.1 200").then_some(stream)
    });

    // The connection stays open, and two calls that come together are answered in turn.
    let status = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";
    let last = "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream
        .write_all(format!("{status}{last}").as_bytes())
        .unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).unwrap();
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "{answers}");
    assert!(answers.find("200 OK").unwrap() < answers.find("404 Not Found").unwrap());
    let read = wait_for("describe", || {
        call(address, "GET", "/configuration/describe", &[], "")
            .ok()
            .filter(|a| a.status == 200)
    });
    assert_eq!(read.body, body);
    // Larger than is taken at all.
    let refused = order(address, REPLACE, 1, &" ".repeat((4 << 20) + 1));
    assert!(refused.is_err() || refused.unwrap().status == 413);
}
