//! The group that a machine without a disk has founded, when that machine is killed.

mod control_support;

use control_support::{call, configuration, ControlFleet, WAIT_TIMEOUT};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// The configuration that the machines with a disk return in the end.
fn final_configuration(fleet: &ControlFleet, index: usize, expected: &str) -> String {
    let address = fleet.machines[index].control_plane;
    let (started_at, mut read) = (Instant::now(), String::new());
    while started_at.elapsed() < WAIT_TIMEOUT && read != expected {
        read = call(address, "GET", "/configuration/describe", &[], "")
            .map_or_else(|error| error.to_string(), |response| response.body);
        std::thread::sleep(Duration::from_millis(100));
    }
    read
}

fn configuration_after_founder_is_killed(name: &str, disks: &[bool], delay: Duration) -> String {
    let mut fleet = ControlFleet::of(name, disks);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    std::thread::sleep(delay);
    fleet.kill(0);
    final_configuration(&fleet, disks.len() - 1, &configuration(1, 1))
}

#[test]
fn first_acknowledged_order_survives_diskless_founder() {
    let read = configuration_after_founder_is_killed(
        "founders-f1",
        &[false, true, true, true],
        Duration::ZERO,
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn first_acknowledged_order_survives_diskless_founder_lost_a_second_later() {
    let read = configuration_after_founder_is_killed(
        "founders-f2",
        &[false, true, true, true],
        Duration::from_millis(1_000),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn group_with_disks_survives_loss_of_diskless_founder() {
    let read = configuration_after_founder_is_killed(
        "founders-f3",
        &[false, true, true, true],
        Duration::from_secs(5),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn diskless_seeds_yield_to_durable_machines() {
    let read = configuration_after_founder_is_killed(
        "founders-f4",
        &[false, false, false, true, true, true],
        Duration::from_secs(6),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn no_order_is_acknowledged_while_diskless_founder_votes_beside_disks() {
    let mut fleet = ControlFleet::of("founders-f6", &[false, true, true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let statuses: Vec<String> = (1..5).map(|index| fleet.status(index)).collect();
    // A machine that hasn't joined yet shows the membership that it received last.
    let voters: Vec<&String> = statuses
        .iter()
        .filter(|status| !status.contains("\"role\":\"outsider\""))
        .collect();
    assert!(voters.len() >= 3, "{statuses:?}");
    let founder = format!("{}\",\"votes\":true", fleet.machines[0].internal);
    assert!(
        voters.iter().all(|status| !status.contains(&founder)),
        "{statuses:?}"
    );
}

/// Machines with a disk start after all those that started first.
#[test]
fn late_durable_machines_take_over_group() {
    let mut fleet = ControlFleet::of("founders-f5", &[false, false, false, true, true, true]);
    (0..3).for_each(|index| fleet.start(index, true));
    assert_eq!(fleet.order_from_first_three(), 200);
    std::thread::sleep(Duration::from_secs(5));
    (3..6).for_each(|index| fleet.start(index, true));
    std::thread::sleep(Duration::from_secs(6));
    (0..3).for_each(|index| fleet.kill(index));
    assert_eq!(
        final_configuration(&fleet, 5, &configuration(1, 1)),
        configuration(1, 1)
    );
}

trait OrderFromFirst {
    fn order_from_first_three(&self) -> u16;
}

impl OrderFromFirst for ControlFleet {
    /// Sends the first order while only the first three machines run.
    fn order_from_first_three(&self) -> u16 {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
            for machine in &self.machines[..3] {
                let response = control_support::send_order(
                    machine.control_plane,
                    REPLACE,
                    0,
                    &configuration(1, 1),
                );
                if let Ok(response) = response {
                    if response.status != 503 {
                        return response.status;
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        0
    }
}
