//! A group that a machine without a disk has founded, while machines with one come: nothing that is
//! acknowledged rests on a memory that a loss of power takes.

mod common;

use common::{assert_no_violations, finds, CATCH_UP, SECOND};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::world::{Action, Target, World, WorldSettings};

/// Once the beginning is over.
const CALM: Pace = Pace {
    least_rest: 200_000,
    most_rest: 500_000,
    in_step: 0,
    repeats: 10,
    invalid: 0,
    most_step: 3,
};

/// The founder and four machines with a disk, one of which may be lost.
fn five(settings: &mut WorldSettings) {
    settings.founder_without_disk = true;
    settings.voters = 5;
    settings.pace = Pace {
        least_rest: 0,
        most_rest: 20_000,
        ..Pace::default()
    };
}

/// Right after the first acknowledgements a disk is lost with the power of all others, the
/// founder's among them.
fn a_disk_is_lost_at_the_beginning(settings: WorldSettings) -> World {
    let positions = [
        Target::Primary,
        Target::Other(0),
        Target::Other(1),
        Target::Other(2),
    ];
    let target = positions[settings.seed as usize % positions.len()];
    let mut world = World::new(settings);
    world.let_service_rest(true);
    world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![target]));
    world.run_for(2 * SECOND);
    world.set_pace(CALM);
    world.run_for(6 * SECOND);
    world.let_service_rest(false);
    world.run_for(CATCH_UP);
    world.finish();
    world
}

/// The founder is killed right after the first acknowledgement.
fn the_founder_goes(settings: WorldSettings) -> World {
    let mut world = World::new(settings);
    world.act_after_acknowledgement(Action::PowerLoss(Target::Oldest));
    world.run_for(2 * SECOND);
    world.set_pace(CALM);
    world.run_for(6 * SECOND);
    world.finish();
    world
}

#[test]
fn first_acknowledgement_survives_a_disk_loss_and_a_power_loss() {
    assert_no_violations(0..16, five, a_disk_is_lost_at_the_beginning);
}

#[test]
fn a_group_goes_on_without_its_founder() {
    assert_no_violations(0..4, five, the_founder_goes);
}

#[test]
fn votes_of_memory_that_count_are_found() {
    fn counted(settings: &mut WorldSettings) {
        five(settings);
        settings.faults.plant(Fault::ChangesBesideDisklessVoters);
    }
    finds(0..16, counted, a_disk_is_lost_at_the_beginning);
}
