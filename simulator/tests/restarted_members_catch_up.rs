//! After hundreds of changes a member that restarts catches up within a bounded time, and never
//! becomes primary with old state. Point 4 of `docs/operate/control.md`.

mod common;

use common::{
    acknowledged_between, assert_no_violations, assert_no_violations_with, assert_violation_found,
    cut, started_group, SECOND,
};
use lichenswitch_replication::{Fault, MemberRole};
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::disk::DiskFault;
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// Operators that send ten changes a second and more.
fn with_busy_operators(settings: &mut WorldSettings) {
    settings.operators = 4;
    settings.pace = Pace {
        min_pause_us: 30_000,
        max_pause_us: 250_000,
        ..Pace::default()
    };
}

/// Half a minute of changes with kills, losses of power, full disks and a stalled one.
fn storm(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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

/// More than 200 changes were acknowledged in spite of the faults.
fn assert_hundreds_of_changes(world: &World) {
    let acknowledged = acknowledged_between(world, 6, 40);
    assert!(
        acknowledged > 200,
        "only {acknowledged} changes were acknowledged"
    );
}

/// The primary has no power for 20 s and restarts; then all lose power at once, three times.
fn long_power_loss(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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

/// All lose power right after an acknowledgement, twelve times.
fn repeated_power_losses(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    for _ in 0..12 {
        world.act_after_acknowledgement(Action::PowerOffAll);
        world.run_for(3 * SECOND);
    }
    world.finish();
    world
}

/// Each machine that is elected is partitioned before its first record is committed, others become
/// primary, and then all lose power: the record with the highest number is not the newest one.
fn isolated_primaries(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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
        if let Some(host) = world.present_machines().into_iter().find(elected) {
            return Some(host);
        }
    }
    None
}

#[test]
fn changes_survive_kills_and_disk_faults() {
    assert_no_violations_with(0..4, with_busy_operators, storm, assert_hundreds_of_changes);
}

#[test]
fn member_without_power_for_long_catches_up() {
    assert_no_violations(0..4, with_busy_operators, long_power_loss);
}

#[test]
fn isolated_primaries_leave_no_uncommitted_state() {
    assert_no_violations(0..3, with_busy_operators, isolated_primaries);
}

#[test]
fn response_before_sync_is_found() {
    fn plant(settings: &mut WorldSettings) {
        with_busy_operators(settings);
        settings.faults.plant(Fault::RespondBeforeSync);
    }
    assert_no_violations(0..2, with_busy_operators, repeated_power_losses);
    assert_violation_found(0..20, plant, repeated_power_losses);
}

#[test]
fn half_as_quorum_is_found() {
    /// Two machines and two others can't reach each other.
    fn halves(settings: WorldSettings) -> World {
        let mut world = started_group(settings);
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
        with_busy_operators(settings);
        settings.faults.plant(Fault::HalfIsQuorum);
    }
    assert_no_violations(0..3, with_busy_operators, halves);
    assert_violation_found(0..20, plant, halves);
}
