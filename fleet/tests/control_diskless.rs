//! No acknowledgement depends on control machines without a disk, once machines with a disk have
//! founded the group.

mod control_support;

use control_support::{configuration, text_of, wait_for, ControlFleet};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";
/// A seed without a disk, which is not the first one.
const DISKLESS: usize = 2;
/// Machines with a disk; two of the three seeds are among them.
const WITH_DISK: [usize; 3] = [0, 1, 3];
/// Longer than a machine without a disk waits for those with one.
const STAND_IN_WAIT: Duration = Duration::from_millis(3_500);
/// By then a machine without a disk that applied to join would have joined.
const JOIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Three machines with a disk and one without, which has run since the first start; the group has a
/// configuration.
fn started_group(name: &str) -> ControlFleet {
    let mut fleet = ControlFleet::of(name, &[true, true, false, true]);
    fleet.start_first();
    let started_at = Instant::now();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&WITH_DISK), 3);
    std::thread::sleep(STAND_IN_WAIT.saturating_sub(started_at.elapsed()));
    fleet
}

/// Whether any running machine reports the machine without a disk as a voter.
fn diskless_votes(fleet: &ControlFleet) -> bool {
    let voter = format!("{}\",\"votes\":true", fleet.machines[DISKLESS].internal);
    WITH_DISK
        .iter()
        .filter(|index| fleet.is_running(**index))
        .any(|index| fleet.status(*index).contains(&voter))
}

/// Whether it becomes a voter within the time that joining takes.
fn diskless_joins_voters(fleet: &ControlFleet) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < JOIN_TIMEOUT {
        if diskless_votes(fleet) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Kills all machines with a disk at one moment, and restarts all but the last.
fn kill_durable_machines_and_restart_two(fleet: &mut ControlFleet) {
    WITH_DISK.iter().for_each(|index| fleet.kill(*index));
    std::thread::sleep(Duration::from_millis(500));
    WITH_DISK[..2]
        .iter()
        .for_each(|index| fleet.start(*index, false));
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 1)).status,
        200
    );
}

#[test]
fn diskless_machine_gets_no_vote_beside_durable_voters() {
    let mut fleet = started_group("diskless-vote");
    kill_durable_machines_and_restart_two(&mut fleet);
    assert!(
        !diskless_joins_voters(&fleet),
        "{}",
        control_support::log_of(&fleet.machines[DISKLESS])
    );
}

/// One machine with a disk is down, and another loses its disk while all others lose power: one disk
/// is lost, as many as have to be tolerated.
#[test]
fn acknowledged_orders_survive_one_lost_disk_and_power_loss_of_others() {
    let mut fleet = started_group("diskless-loss");
    kill_durable_machines_and_restart_two(&mut fleet);
    let voted = diskless_joins_voters(&fleet);
    assert_eq!(
        fleet.send_order(REPLACE, 2, &configuration(3, 1)).status,
        200
    );

    [0, 1, DISKLESS].iter().for_each(|index| fleet.kill(*index));
    fleet.wipe(0);
    (0..4).for_each(|index| fleet.start(index, false));
    let started_at = Instant::now();
    let mut read = String::new();
    while started_at.elapsed() < control_support::WAIT_TIMEOUT && read != configuration(3, 1) {
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

/// A machine that was unreachable for a while relays again afterwards.
#[test]
fn isolated_diskless_machine_becomes_relay_again() {
    let mut fleet = started_group("diskless-alone");
    WITH_DISK
        .iter()
        .for_each(|index| fleet.freeze(*index, true));
    std::thread::sleep(Duration::from_secs(4));
    WITH_DISK
        .iter()
        .for_each(|index| fleet.freeze(*index, false));
    let voted = diskless_joins_voters(&fleet);
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

/// One machine with a disk is down, and all machines without a disk fail: no disk is lost.
#[test]
fn any_number_of_diskless_machines_may_fail() {
    let mut fleet = ControlFleet::of("diskless-many", &[true, false, false, true, true]);
    let (with_disk, without) = ([0, 3, 4], [1, 2]);
    fleet.start_first();
    let started_at = Instant::now();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_voters(fleet.primary(&with_disk), 3);
    std::thread::sleep(STAND_IN_WAIT.saturating_sub(started_at.elapsed()));

    with_disk.iter().for_each(|index| fleet.kill(*index));
    std::thread::sleep(Duration::from_millis(500));
    [0, 3].iter().for_each(|index| fleet.start(*index, false));
    assert_eq!(
        fleet.send_order(REPLACE, 1, &configuration(2, 1)).status,
        200
    );
    std::thread::sleep(JOIN_TIMEOUT);
    let voters = fleet
        .status(fleet.primary(&[0, 3]))
        .matches("\"votes\":true")
        .count();
    without.iter().for_each(|index| fleet.kill(*index));
    without
        .iter()
        .chain(&[4])
        .for_each(|index| fleet.start(*index, false));

    let started_at = Instant::now();
    let mut read = String::new();
    while started_at.elapsed() < control_support::WAIT_TIMEOUT && read != configuration(2, 1) {
        read = describe_once(&fleet, 0);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(read, configuration(2, 1), "there were {voters} voters");
}

/// The body of one `describe`, or its error.
fn describe_once(fleet: &ControlFleet, index: usize) -> String {
    let address = fleet.machines[index].control_plane;
    let response = control_support::call(address, "GET", "/configuration/describe", &[], "");
    response.map_or_else(|error| error.to_string(), |response| response.body)
}
