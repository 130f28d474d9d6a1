//! The group that a machine without a disk has founded, when that machine is killed.

mod control_support;

use control_support::{call, configuration, Fleet, PATIENCE};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// What the machines with a disk answer in the end.
fn read_back(fleet: &Fleet, place: usize, expected: &str) -> String {
    let address = fleet.machines[place].control_plane;
    let (began, mut read) = (Instant::now(), String::new());
    while began.elapsed() < PATIENCE && read != expected {
        read = call(address, "GET", "/configuration/describe", &[], "")
            .map_or_else(|error| error.to_string(), |answer| answer.body);
        std::thread::sleep(Duration::from_millis(100));
    }
    read
}

fn killed_after(name: &str, disks: &[bool], rest: Duration) -> String {
    let mut fleet = Fleet::of(name, disks);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    std::thread::sleep(rest);
    fleet.kill(0);
    read_back(&fleet, disks.len() - 1, &configuration(1, 1))
}

#[test]
fn the_first_acknowledgement_outlives_a_founder_without_a_disk() {
    let read = killed_after("founders-f1", &[false, true, true, true], Duration::ZERO);
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn the_first_acknowledgement_outlives_a_founder_without_a_disk_that_goes_a_little_later() {
    let read = killed_after(
        "founders-f2",
        &[false, true, true, true],
        Duration::from_millis(1_000),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn a_group_with_disks_goes_on_once_its_founder_without_a_disk_is_gone() {
    let read = killed_after(
        "founders-f3",
        &[false, true, true, true],
        Duration::from_secs(5),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn seeds_without_a_disk_make_way_for_machines_with_one() {
    let read = killed_after(
        "founders-f4",
        &[false, false, false, true, true, true],
        Duration::from_secs(6),
    );
    assert_eq!(read, configuration(1, 1));
}

#[test]
fn nothing_is_acknowledged_while_a_founder_without_a_disk_votes_beside_disks() {
    let mut fleet = Fleet::of("founders-f6", &[false, true, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let voters: Vec<String> = (1..5).map(|place| fleet.status(place)).collect();
    let founder = format!("{}\",\"votes\":true", fleet.machines[0].internal);
    assert!(
        voters.iter().all(|status| !status.contains(&founder)),
        "{voters:?}"
    );
}

/// Machines with a disk come after all machines that started first.
#[test]
fn machines_with_a_disk_that_come_late_take_the_group_over() {
    let mut fleet = Fleet::of("founders-f5", &[false, false, false, true, true, true]);
    (0..3).for_each(|place| fleet.start(place, true));
    assert_eq!(fleet.order_at_first(), 200);
    std::thread::sleep(Duration::from_secs(5));
    (3..6).for_each(|place| fleet.start(place, true));
    std::thread::sleep(Duration::from_secs(6));
    (0..3).for_each(|place| fleet.kill(place));
    assert_eq!(
        read_back(&fleet, 5, &configuration(1, 1)),
        configuration(1, 1)
    );
}

trait First {
    fn order_at_first(&self) -> u16;
}

impl First for Fleet {
    /// Only the first three run.
    fn order_at_first(&self) -> u16 {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            for machine in &self.machines[..3] {
                let answer =
                    control_support::order(machine.control_plane, REPLACE, 0, &configuration(1, 1));
                if let Ok(answer) = answer {
                    if answer.status != 503 {
                        return answer.status;
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        0
    }
}
