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
        assert_eq!(fleet.describe(place), body, "as it came, at machine {place}");
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
    assert_eq!(fleet.order(REPLACE, 3, &configuration(3, 1)).status, 400, "not above its base");
    let address = fleet.machines[1].control_plane;
    assert_eq!(
        call(address, "POST", REPLACE, &[], &configuration(5, 1)).unwrap().status,
        400,
        "no Base-Version"
    );
    assert_eq!(call(address, "GET", REPLACE, &[], "").unwrap().status, 405);
    assert_eq!(call(address, "GET", "/nowhere", &[], "").unwrap().status, 404);

    // Two operators pick the same number for different changes, at different machines.
    let (one, other) = (configuration(5, 2), configuration(5, 3));
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| order(fleet.machines[0].control_plane, REPLACE, 3, &one).unwrap());
        let second = scope.spawn(|| order(fleet.machines[2].control_plane, REPLACE, 3, &other).unwrap());
        (first.join().unwrap(), second.join().unwrap())
    });
    let mut both = [first.status, second.status];
    both.sort_unstable();
    assert_eq!(both, [200, 412], "{first:?} {second:?}");
    let (winner, loser) = if first.status == 200 { (&one, &other) } else { (&other, &one) };
    assert_eq!(&fleet.describe(1), winner);
    assert_eq!(fleet.order(REPLACE, 3, winner).status, 200, "a repeat of the one that was taken");
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
    assert_eq!(control_support::beat(address, "i-1", "ready", 1).unwrap().status, 503);

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
        order(fleet.machines[3].control_plane, REPLACE, 1, &configuration(2, 1)).ok()
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
        order(address, REPLACE, 1, &configuration(2, 2)).ok().filter(|answer| answer.status == 200)
    });
    assert_eq!(taken.status, 200);
    // A call that waits in the frozen process' socket is answered after it wakes: with what is true then, or not at all.
    let sleeper = fleet.machines[primary].control_plane;
    let answer = std::thread::scope(|scope| {
        let waits = scope.spawn(move || call(sleeper, "GET", "/configuration/describe", &[], ""));
        std::thread::sleep(Duration::from_millis(300));
        fleet.freeze(primary, false);
        waits.join().unwrap()
    });
    if let Ok(answer) = answer.as_ref().map(Clone::clone) {
        assert!(answer.status == 503 || answer.body == configuration(2, 2), "{answer:?}");
    }
    assert_eq!(fleet.describe(primary), configuration(2, 2));
}
