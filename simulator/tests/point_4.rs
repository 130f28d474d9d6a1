//! Point 4: after hundreds of changes a member that starts anew catches up in a bounded time, and
//! never leads with old state.

mod common;

use common::{
    acknowledged_between, assert_no_violations, assert_no_violations_with, begun, cut, finds,
    SECOND,
};
use lichenswitch_replication::{Fault, MemberRole};
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::disk::DiskFault;
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// Operators who bring ten changes a second and more.
fn busy(settings: &mut WorldSettings) {
    settings.operators = 4;
    settings.pace = Pace {
        least_rest: 30_000,
        most_rest: 250_000,
        ..Pace::default()
    };
}

/// Half a minute of changes around kills, a full disk and a stalled one.
fn storm(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    world.act_after(0, Action::Kill(Target::Primary));
    world.act_after(
        4 * SECOND,
        Action::Disk(Target::Other(1), DiskFault::Full, 5 * SECOND),
    );
    world.act_after(8 * SECOND, Action::PowerLoss(Target::Other(1)));
    world.act_after(
        12 * SECOND,
        Action::Disk(Target::Primary, DiskFault::Stalled, 5 * SECOND),
    );
    world.act_after(19 * SECOND, Action::Kill(Target::Primary));
    world.act_after(
        22 * SECOND,
        Action::Disk(Target::Primary, DiskFault::Full, 4 * SECOND),
    );
    world.act_after(28 * SECOND, Action::PowerOffAll);
    world.run_for(34 * SECOND);
    world.finish();
    world
}

/// There were hundreds of changes, though much of the time somebody was being killed.
fn stormed(world: &World) {
    let taken = acknowledged_between(world, 6, 40);
    assert!(taken > 200, "only {taken} changes in the storm");
}

/// A member that is away for long comes back, and all others end at once.
fn away(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    world.act_after(0, Action::PowerLossFor(Target::Primary, 20 * SECOND));
    world.run_for(21 * SECOND);
    for _ in 0..3 {
        world.act_after_acknowledgement(Action::PowerOffAll);
        world.run_for(5 * SECOND);
        world.act_after(0, Action::Freeze(Target::Primary, 2 * SECOND));
        world.run_for(4 * SECOND);
    }
    world.finish();
    world
}

/// All lose power right after an acknowledgement, again and again.
fn power_lost(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    for _ in 0..12 {
        world.act_after_acknowledgement(Action::PowerOffAll);
        world.run_for(3 * SECOND);
    }
    world.finish();
    world
}

/// Whoever is elected is cut off before its first record is committed, others lead on, and then all
/// lose power: what is newest by number is not what counts.
fn unheard_primaries(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    for _ in 0..6 {
        world.act_after(0, Action::PowerOffAll);
        for _ in 0..2 {
            if let Some(elected) = run_until_elected(&mut world) {
                world.act_after(
                    0,
                    cut(
                        vec![Target::This(elected)],
                        CutKind::Full,
                        2 * SECOND,
                        false,
                    ),
                );
            }
            world.run_for(SECOND / 2);
        }
        world.run_for(SECOND);
    }
    world.finish();
    world
}

/// Runs until a machine has been elected, and its first record is not committed yet.
fn run_until_elected(world: &mut World) -> Option<Host> {
    world.run_for(SECOND / 2);
    for _ in 0..20_000 {
        world.run_for(200);
        let elected = |host: &Host| {
            let role = world.status(*host).map(|status| status.role);
            role == Some(MemberRole::Primary { serving: false })
        };
        if let Some(host) = world.core().into_iter().find(elected) {
            return Some(host);
        }
    }
    None
}

#[test]
fn a_storm_of_changes_around_kills_and_bad_disks() {
    assert_no_violations_with(0..4, busy, storm, stormed);
}

#[test]
fn a_member_that_was_away_catches_up() {
    assert_no_violations(0..4, busy, away);
}

#[test]
fn primaries_that_are_not_heard_leave_nothing_behind() {
    assert_no_violations(0..3, busy, unheard_primaries);
}

#[test]
fn answers_before_the_sync_are_found() {
    fn plant(settings: &mut WorldSettings) {
        busy(settings);
        settings.faults.plant(Fault::RespondBeforeSync);
    }
    assert_no_violations(0..2, busy, power_lost);
    finds(0..20, plant, power_lost);
}

#[test]
fn half_as_a_quorum_is_found() {
    /// Two and two cannot reach each other.
    fn halves(settings: WorldSettings) -> World {
        let mut world = begun(settings);
        world.act_after(
            0,
            cut(
                vec![Target::Primary, Target::Other(0)],
                CutKind::Full,
                5 * SECOND,
                false,
            ),
        );
        world.run_for(7 * SECOND);
        world.finish();
        world
    }
    fn plant(settings: &mut WorldSettings) {
        busy(settings);
        settings.faults.plant(Fault::HalfIsQuorum);
    }
    assert_no_violations(0..3, busy, halves);
    finds(0..20, plant, halves);
}
