//! A group that was bootstrapped by a machine without a disk, while machines with one join: no
//! acknowledged order depends on the memory of a machine that loses power.

mod common;

use common::{assert_no_violations, assert_violation_found, CATCH_UP, SECOND};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::world::{Action, Target, World, WorldSettings};

/// The pace after the first seconds.
const STEADY_PACE: Pace = Pace {
    min_pause_us: 200_000,
    max_pause_us: 500_000,
    step_us: 0,
    repeat_percent: 10,
    invalid_percent: 0,
    max_version_step: 3,
};

/// The founder and four machines with a disk, one of which may be lost.
fn with_diskless_founder(settings: &mut WorldSettings) {
    settings.is_founder_diskless = true;
    settings.voters = 5;
    settings.pace = Pace {
        min_pause_us: 0,
        max_pause_us: 20_000,
        ..Pace::default()
    };
}

/// Right after the first acknowledgement one machine loses its disk while all others, the founder
/// among them, lose power.
fn disk_loss_after_first_acknowledgement(settings: WorldSettings) -> World {
    let positions = [
        Target::Primary,
        Target::Other(0),
        Target::Other(1),
        Target::Other(2),
    ];
    let target = positions[settings.seed as usize % positions.len()];
    let mut world = World::new(settings);
    world.set_service_pause_allowed(true);
    world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![target]));
    world.run_for(2 * SECOND);
    world.set_pace(STEADY_PACE);
    world.run_for(6 * SECOND);
    world.set_service_pause_allowed(false);
    world.run_for(CATCH_UP);
    world.finish();
    world
}

/// The founder loses power right after the first acknowledgement.
fn founder_power_loss(settings: WorldSettings) -> World {
    let mut world = World::new(settings);
    world.act_after_acknowledgement(Action::PowerLoss(Target::Oldest));
    world.run_for(2 * SECOND);
    world.set_pace(STEADY_PACE);
    world.run_for(6 * SECOND);
    world.finish();
    world
}

#[test]
fn first_acknowledgement_survives_a_disk_loss_and_a_power_loss() {
    assert_no_violations(
        0..16,
        with_diskless_founder,
        disk_loss_after_first_acknowledgement,
    );
}

#[test]
fn group_serves_after_loss_of_its_diskless_founder() {
    assert_no_violations(0..4, with_diskless_founder, founder_power_loss);
}

#[test]
fn counted_votes_of_diskless_voters_are_found() {
    fn counted(settings: &mut WorldSettings) {
        with_diskless_founder(settings);
        settings.faults.plant(Fault::ChangesBesideDisklessVoters);
    }
    assert_violation_found(0..16, counted, disk_loss_after_first_acknowledgement);
}
