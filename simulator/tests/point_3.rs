//! Point 3: a second loss right after a repair is like the first, and one that leaves never has the
//! only copy.

mod common;

use common::{assert_no_violations, begun, finds, nothing, CATCH_UP, SECOND};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::world::{Action, Target, World, WorldSettings};

/// How a machine is lost and repaired.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Replacement,
    Wipe,
    Planned,
}

const REPAIRS: [Repair; 3] = [Repair::Replacement, Repair::Wipe, Repair::Planned];
/// A successor starts after so long.
const STARTS_AFTER: u64 = SECOND / 2;

impl Repair {
    fn action(self, target: Target) -> Action {
        match self {
            Repair::Replacement => Action::Replace(target, STARTS_AFTER),
            Repair::Wipe => Action::Wipe(target),
            Repair::Planned => Action::PlannedReplace(target, STARTS_AFTER),
        }
    }
}

/// Runs until all machines have been up for `catchUpS`, and no longer.
fn run_until_caught_up(world: &mut World) {
    world.run_for(3 * SECOND);
    for _ in 0..20 {
        let since = world.now().since(world.last_fault_change_at());
        if since >= CATCH_UP || !world.oracle.violations.is_empty() {
            return;
        }
        world.run_for(CATCH_UP - since);
    }
}

/// One repair after another, each as soon as the one before has had `catchUpS`; then as many
/// machines as must be borne are dead for long.
fn repaired(settings: WorldSettings, repairs: &[Repair], targets: &[Target]) -> World {
    let mut world = begun(settings);
    for repair in repairs {
        targets
            .iter()
            .for_each(|target| world.act_after_acknowledgement_or_now(repair.action(*target)));
        run_until_caught_up(&mut world);
    }
    for target in targets {
        world.act_after(0, Action::PowerLossFor(*target, 15 * SECOND));
    }
    world.run_for(20 * SECOND);
    world.finish();
    world
}

fn all_pairs(settings: WorldSettings, targets: &[Target]) -> World {
    let mut last = None;
    for first in REPAIRS {
        for second in REPAIRS {
            let world = repaired(settings.clone(), &[first, second], targets);
            if let Some(violation) = world.oracle.violations.first() {
                println!("{first:?} then {second:?}: {violation}");
                return world;
            }
            last = Some(world);
        }
    }
    last.expect("there are pairs")
}

fn pairs_of_the_primary(settings: WorldSettings) -> World {
    all_pairs(settings, &[Target::Primary])
}

fn pairs_of_the_oldest(settings: WorldSettings) -> World {
    all_pairs(settings, &[Target::Oldest])
}

fn three_repairs(settings: WorldSettings) -> World {
    repaired(settings, &REPAIRS, &[Target::Oldest])
}

fn five_repairs(settings: WorldSettings) -> World {
    use Repair::{Planned, Replacement, Wipe};
    repaired(
        settings,
        &[Replacement, Replacement, Planned, Wipe, Replacement],
        &[Target::Oldest],
    )
}

fn two_at_once(settings: WorldSettings) -> World {
    repaired(settings, &REPAIRS, &[Target::Primary, Target::Other(2)])
}

fn eight(settings: &mut WorldSettings) {
    (settings.voters, settings.tolerate) = (8, 2);
}

#[test]
fn four_voters_bear_all_pairs_of_repairs_of_the_primary() {
    assert_no_violations(0..1, nothing, pairs_of_the_primary);
}

#[test]
fn four_voters_bear_all_pairs_of_repairs_of_the_oldest() {
    assert_no_violations(1..2, nothing, pairs_of_the_oldest);
}

#[test]
fn four_voters_bear_three_repairs_in_a_row() {
    assert_no_violations(0..4, nothing, three_repairs);
    assert_no_violations(0..2, nothing, five_repairs);
}

#[test]
fn eight_voters_bear_two_at_once() {
    assert_no_violations(0..2, eight, two_at_once);
}

/// The smallest form: a machine whose seeds are all gone loses its disk, and comes back at its
/// address.
fn wiped_with_dead_seeds(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    for _ in 0..3 {
        world.act_after(0, Action::Replace(Target::Oldest, STARTS_AFTER));
        run_until_caught_up(&mut world);
    }
    let oldest = world.resolve(Target::Oldest).expect("machines run");
    world.act_after(0, Action::Wipe(Target::This(oldest)));
    run_until_caught_up(&mut world);
    world.finish();
    world
}

#[test]
fn a_wiped_disk_joins_though_its_seeds_are_gone() {
    assert_no_violations(0..2, nothing, wiped_with_dead_seeds);
}

#[test]
fn dead_voters_that_stay_are_found() {
    finds(
        0..6,
        |settings| settings.faults.plant(Fault::NeverRemoveVoters),
        five_repairs,
    );
}

/// The disk of the primary is lost with the power of all others, again and again. (An empty disk
/// that votes can't be planted here: it has a new identity, which counts in no quorum.
/// `decide/replication/tests` plants it.)
#[test]
fn disks_lost_with_the_power_of_all_others() {
    fn wipes(settings: WorldSettings) -> World {
        let mut world = begun(settings);
        for _ in 0..4 {
            world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![Target::Primary]));
            world.run_for(6 * SECOND);
            run_until_caught_up(&mut world);
        }
        world.finish();
        world
    }
    assert_no_violations(0..4, nothing, wipes);
}

#[test]
fn a_leaver_that_commits_alone_is_found() {
    fn leaves(settings: WorldSettings) -> World {
        let mut world = begun(settings);
        for _ in 0..4 {
            world.act_after(
                0,
                Action::Cut {
                    targets: vec![Target::Primary],
                    kind: lichenswitch_simulator::world::CutKind::Full,
                    duration: 3 * SECOND,
                    holds: false,
                    callers_bound: 0,
                },
            );
            world.act_after(50_000, Action::PlannedReplace(Target::Primary, SECOND));
            world.run_for(8 * SECOND);
            run_until_caught_up(&mut world);
        }
        world.finish();
        world
    }
    finds(
        0..20,
        |settings| settings.faults.plant(Fault::LeaverCommitsAlone),
        leaves,
    );
}
