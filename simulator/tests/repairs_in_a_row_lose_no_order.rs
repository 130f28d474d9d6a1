//! A second loss right after a repair loses no acknowledged order, and a member that leaves never
//! has the only copy of one. Point 3 of `docs/operate/control.md`.

mod common;

use common::{
    assert_no_violations, assert_violation_found, started_group, unchanged, CATCH_UP, SECOND,
};
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
/// Time until a successor starts, in microseconds.
const SUCCESSOR_DELAY: u64 = SECOND / 2;

impl Repair {
    fn action(self, target: Target) -> Action {
        match self {
            Repair::Replacement => Action::Replace(target, SUCCESSOR_DELAY),
            Repair::Wipe => Action::Wipe(target),
            Repair::Planned => Action::PlannedReplace(target, SUCCESSOR_DELAY),
        }
    }
}

/// Runs until no fault has begun or ended for `catchUpS`, and no longer.
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

/// One repair after another, each `catchUpS` after the one before; then as many machines as the group
/// tolerates lose power for 15 s.
fn repaired(settings: WorldSettings, repairs: &[Repair], targets: &[Target]) -> World {
    let mut world = started_group(settings);
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
fn two_repairs_of_the_primary_lose_no_order() {
    assert_no_violations(0..1, unchanged, pairs_of_the_primary);
}

#[test]
fn two_repairs_of_the_oldest_lose_no_order() {
    assert_no_violations(1..2, unchanged, pairs_of_the_oldest);
}

#[test]
fn three_and_five_repairs_in_a_row_lose_no_order() {
    assert_no_violations(0..4, unchanged, three_repairs);
    assert_no_violations(0..2, unchanged, five_repairs);
}

#[test]
fn two_repairs_at_once_of_eight_voters_lose_no_order() {
    assert_no_violations(0..2, eight, two_at_once);
}

/// The smallest form: a machine whose seeds have all been replaced loses its disk, and restarts at
/// its address.
fn disk_loss_with_removed_seeds(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    for _ in 0..3 {
        world.act_after(0, Action::Replace(Target::Oldest, SUCCESSOR_DELAY));
        run_until_caught_up(&mut world);
    }
    let oldest = world.resolve(Target::Oldest).expect("machines run");
    world.act_after(0, Action::Wipe(Target::This(oldest)));
    run_until_caught_up(&mut world);
    world.finish();
    world
}

#[test]
fn wiped_machine_rejoins_when_all_its_seeds_are_removed() {
    assert_no_violations(0..2, unchanged, disk_loss_with_removed_seeds);
}

#[test]
fn dead_voters_that_are_never_removed_are_found() {
    assert_violation_found(
        0..6,
        |settings| settings.faults.plant(Fault::NeverRemoveVoters),
        five_repairs,
    );
}

/// Four times the primary loses its disk while all others lose power. (An empty disk that votes
/// can't be planted here: it has a new identity, which counts in no quorum.
/// `decide/replication/tests` plants it.)
#[test]
fn disk_loss_with_power_loss_of_all_others_loses_no_order() {
    fn wipes(settings: WorldSettings) -> World {
        let mut world = started_group(settings);
        for _ in 0..4 {
            world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![Target::Primary]));
            world.run_for(6 * SECOND);
            run_until_caught_up(&mut world);
        }
        world.finish();
        world
    }
    assert_no_violations(0..4, unchanged, wipes);
}

#[test]
fn leaver_that_commits_alone_is_found() {
    fn leaves(settings: WorldSettings) -> World {
        let mut world = started_group(settings);
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
    assert_violation_found(
        0..20,
        |settings| settings.faults.plant(Fault::LeaverCommitsAlone),
        leaves,
    );
}
