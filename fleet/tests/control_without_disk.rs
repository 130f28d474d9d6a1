//! Control machines without a disk hold nothing that an acknowledgement rests on, once machines
//! with a disk have founded the group.

mod control_support;

use control_support::{configuration, text_of, wait_for, Fleet};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";
/// A seed without a disk, which is not the first one.
const DISKLESS: usize = 2;
/// Machines with a disk; two of the three seeds are among them.
const WITH_DISK: [usize; 3] = [0, 1, 3];
/// Longer than a machine without a disk waits for those with one.
const AFTER_THE_START: Duration = Duration::from_millis(3_500);
/// By then a machine without a disk that asks for a vote has had time to get it.
const TIME_TO_JOIN: Duration = Duration::from_secs(4);

/// Three machines with a disk and one without, which has run since the first start; the group has a
/// configuration.
fn begun(name: &str) -> Fleet {
    let mut fleet = Fleet::of(name, &[true, true, false, true]);
    fleet.start_first();
    let began = Instant::now();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&WITH_DISK), 3);
    std::thread::sleep(AFTER_THE_START.saturating_sub(began.elapsed()));
    fleet
}

/// Whether the machine without a disk votes, in the eyes of any that runs.
fn diskless_votes(fleet: &Fleet) -> bool {
    let voter = format!("{}\",\"votes\":true", fleet.machines[DISKLESS].internal);
    WITH_DISK
        .iter()
        .filter(|place| fleet.is_running(**place))
        .any(|place| fleet.status(*place).contains(&voter))
}

/// Whether it comes to vote within the time that it takes to join.
fn diskless_comes_to_vote(fleet: &Fleet) -> bool {
    let began = Instant::now();
    while began.elapsed() < TIME_TO_JOIN {
        if diskless_votes(fleet) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// All that count are killed at one moment, and all but the last come back.
fn lose_all_that_count_and_bring_two_back(fleet: &mut Fleet) {
    WITH_DISK.iter().for_each(|place| fleet.kill(*place));
    std::thread::sleep(Duration::from_millis(500));
    WITH_DISK[..2]
        .iter()
        .for_each(|place| fleet.start(*place, false));
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 1)).status, 200);
}

#[test]
fn a_machine_without_a_disk_gets_no_vote_in_a_group_that_has_disks() {
    let mut fleet = begun("diskless-vote");
    lose_all_that_count_and_bring_two_back(&mut fleet);
    assert!(
        !diskless_comes_to_vote(&fleet),
        "{}",
        control_support::log_of(&fleet.machines[DISKLESS])
    );
}

/// One machine that counts is away, and another loses its disk while all others lose power: one
/// disk is lost, as many as must be borne.
#[test]
fn what_was_acknowledged_outlives_one_disk_and_the_power_of_all_others() {
    let mut fleet = begun("diskless-loss");
    lose_all_that_count_and_bring_two_back(&mut fleet);
    let voted = diskless_comes_to_vote(&fleet);
    assert_eq!(fleet.order(REPLACE, 2, &configuration(3, 1)).status, 200);

    [0, 1, DISKLESS].iter().for_each(|place| fleet.kill(*place));
    fleet.wipe(0);
    (0..4).for_each(|place| fleet.start(place, false));
    let began = Instant::now();
    let mut read = String::new();
    while began.elapsed() < control_support::PATIENCE && read != configuration(3, 1) {
        read = describe_once(&fleet, 1);
        std::thread::sleep(Duration::from_millis(100));
    }
    let primary = text_of(&fleet.status(1), "primary");
    assert_eq!(
        read,
        configuration(3, 1),
        "the machine without a disk voted: {voted}; primary: {primary:?}"
    );
}

/// One that was out of reach for a while goes on relaying when it is reached again.
#[test]
fn a_machine_without_a_disk_that_was_alone_for_a_while_relays_again() {
    let mut fleet = begun("diskless-alone");
    WITH_DISK
        .iter()
        .for_each(|place| fleet.freeze(*place, true));
    std::thread::sleep(Duration::from_secs(4));
    WITH_DISK
        .iter()
        .for_each(|place| fleet.freeze(*place, false));
    let voted = diskless_comes_to_vote(&fleet);
    wait_for("a relay", || {
        fleet
            .status(DISKLESS)
            .contains("\"group\":null")
            .then_some(())
    });
    assert!(
        !voted,
        "{}",
        control_support::log_of(&fleet.machines[DISKLESS])
    );
}

/// One machine that counts is away, and all machines without a disk end: no disk is lost at all.
#[test]
fn machines_without_a_disk_may_go_in_any_number() {
    let mut fleet = Fleet::of("diskless-many", &[true, false, false, true, true]);
    let (with_disk, without) = ([0, 3, 4], [1, 2]);
    fleet.start_first();
    let began = Instant::now();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_voters(fleet.primary(&with_disk), 3);
    std::thread::sleep(AFTER_THE_START.saturating_sub(began.elapsed()));

    with_disk.iter().for_each(|place| fleet.kill(*place));
    std::thread::sleep(Duration::from_millis(500));
    [0, 3].iter().for_each(|place| fleet.start(*place, false));
    assert_eq!(fleet.order(REPLACE, 1, &configuration(2, 1)).status, 200);
    std::thread::sleep(TIME_TO_JOIN);
    let voters = fleet
        .status(fleet.primary(&[0, 3]))
        .matches("\"votes\":true")
        .count();
    without.iter().for_each(|place| fleet.kill(*place));
    without
        .iter()
        .chain(&[4])
        .for_each(|place| fleet.start(*place, false));

    let began = Instant::now();
    let mut read = String::new();
    while began.elapsed() < control_support::PATIENCE && read != configuration(2, 1) {
        read = describe_once(&fleet, 0);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(read, configuration(2, 1), "there were {voters} voters");
}

/// What one machine answers to one question, whatever it is.
fn describe_once(fleet: &Fleet, place: usize) -> String {
    let address = fleet.machines[place].control_plane;
    let answer = control_support::call(address, "GET", "/configuration/describe", &[], "");
    answer.map_or_else(|error| error.to_string(), |answer| answer.body)
}
