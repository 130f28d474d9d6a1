//! Point 1: cut off for twenty seconds, nobody is handed an old configuration, and no order is
//! refused or confirmed by mistake.

mod common;

use common::{
    acknowledged_between, assert_no_violations, assert_no_violations_with, begun, cut, finds,
    nothing, SECOND,
};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::disk::DiskFault;
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// The primary is cut off; a third of operators and readers go there first; routers start during
/// the cut with its address first.
fn primary_cut(settings: WorldSettings, kind: CutKind, holds: bool) -> World {
    let mut world = begun(settings);
    let primary = world.primary().map_or(Target::Primary, Target::This);
    world.act_after(0, Action::Lure(primary, 3));
    world.act_after(0, cut(vec![primary], kind, 20 * SECOND, holds));
    world.act_after(SECOND, Action::RestartRouters(primary));
    world.act_after(6 * SECOND, Action::RestartRouters(primary));
    world.run_for(22 * SECOND);
    world.finish();
    world
}

/// Two that go to the primary first, and two that don't.
fn four_operators(settings: &mut WorldSettings) {
    settings.operators = 4;
}

/// While the primary was cut off, the other side went on, though an operator who goes to the
/// primary first loses a second with each order. The cut began after 6 s, as time begins at 1 s.
fn goes_on(world: &World) {
    let during = acknowledged_between(world, 10, 26);
    assert!(
        during > 10,
        "only {during} changes were acknowledged during the trouble"
    );
}

fn full_cut(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Full, false)
}

fn full_cut_with_delayed_messages(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Full, true)
}

fn unheard(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Outgoing, true)
}

fn deaf(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Incoming, false)
}

fn partial(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Partial, false)
}

/// The primary is frozen; what is sent to it meanwhile is read when it wakes.
fn frozen(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    let primary = world.primary().map_or(Target::Primary, Target::This);
    world.act_after(0, Action::Lure(primary, 3));
    for round in 0..5 {
        world.act_after(round * 5 * SECOND, Action::Freeze(primary, 3 * SECOND));
        world.act_after(round * 5 * SECOND + SECOND, Action::RestartRouters(primary));
    }
    world.act_after(26 * SECOND, Action::Freeze(Target::Primary, 20 * SECOND));
    world.run_for(48 * SECOND);
    world.finish();
    world
}

#[test]
fn partitioned_primary_serves_no_stale_state() {
    assert_no_violations_with(0..4, four_operators, full_cut, goes_on);
    assert_no_violations_with(
        0..4,
        four_operators,
        full_cut_with_delayed_messages,
        goes_on,
    );
}

#[test]
fn one_way_partitions_cause_no_stale_reads() {
    assert_no_violations_with(0..4, four_operators, unheard, goes_on);
    assert_no_violations_with(0..4, four_operators, deaf, goes_on);
}

#[test]
fn partial_partition_causes_no_stale_reads() {
    assert_no_violations_with(0..4, four_operators, partial, goes_on);
}

#[test]
fn frozen_primary_serves_no_stale_state() {
    assert_no_violations_with(0..4, four_operators, frozen, goes_on);
}

#[test]
fn eight_voters_bear_a_cut_of_three() {
    fn three(settings: WorldSettings) -> World {
        let mut world = begun(settings);
        let targets = vec![Target::Primary, Target::Other(0), Target::Other(3)];
        world.act_after(0, Action::Lure(Target::Primary, 3));
        world.act_after(1, cut(targets, CutKind::Full, 20 * SECOND, false));
        world.act_after(2, Action::RestartRouters(Target::Primary));
        world.run_for(23 * SECOND);
        world.finish();
        world
    }
    assert_no_violations_with(
        0..2,
        |settings| (settings.voters, settings.tolerate, settings.operators) = (8, 2, 4),
        three,
        goes_on,
    );
}

#[test]
fn describe_without_contact_is_found() {
    finds(
        0..10,
        |settings| settings.glue.describe_without_contact = true,
        full_cut,
    );
}

#[test]
fn refusals_without_contact_are_found() {
    finds(
        0..40,
        |settings| settings.glue.refusal_without_contact = true,
        full_cut,
    );
}

#[test]
fn contact_from_memory_is_found() {
    finds(
        0..10,
        |settings| settings.glue.always_in_contact = true,
        full_cut,
    );
}

/// The disk of a voter takes nothing for long: it answers the primary, and falls behind. Routers
/// start anew, and go there first.
fn behind(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    let primary = world.primary().expect("a primary serves");
    let other = Target::This(if primary == Host(1) { Host(2) } else { Host(1) });
    world.act_after(0, Action::Disk(other, DiskFault::Full, 15 * SECOND));
    (1..5).for_each(|round| world.act_after(round * 3 * SECOND, Action::RestartRouters(other)));
    world.run_for(20 * SECOND);
    world.finish();
    world
}

#[test]
fn lagging_replica_serves_no_stale_state() {
    assert_no_violations(0..10, nothing, behind);
}

#[test]
fn contact_of_a_copy_that_is_behind_is_found() {
    finds(
        0..10,
        |settings| settings.glue.contact_while_behind = true,
        behind,
    );
}

#[test]
fn a_primary_that_answers_from_memory_is_found() {
    fn plant(settings: &mut WorldSettings) {
        settings.faults.plant(Fault::ConfirmFromMemory);
        // It never steps down, and wakes for that for ever.
        settings.judges_wakes = false;
    }
    finds(0..10, plant, full_cut);
}

/// Many short cuts of the primary, in front of many readers.
fn short_cuts(settings: WorldSettings) -> World {
    let mut world = begun(settings);
    for _ in 0..12 {
        let primary = world.primary().map_or(Target::Primary, Target::This);
        world.act_after(0, Action::Lure(primary, 2));
        let (targets, kind, duration, holds) = (vec![primary], CutKind::Full, 1_500_000, false);
        world.act_after(
            1,
            Action::Cut {
                targets,
                kind,
                duration,
                holds,
                callers_bound: 0,
            },
        );
        world.run_for(3 * SECOND);
    }
    world.finish();
    world
}

fn watched(settings: &mut WorldSettings) {
    (settings.readers, settings.operators) = (8, 8);
    settings.pace = Pace {
        least_rest: 300_000,
        most_rest: 700_000,
        ..Pace::default()
    };
}

#[test]
fn short_partitions_cause_no_stale_reads() {
    assert_no_violations_with(0..2, watched, short_cuts, |_| {});
}

#[test]
fn a_lease_instead_of_a_round_is_found() {
    fn plant(settings: &mut WorldSettings) {
        watched(settings);
        settings.faults.plant(Fault::EarlyLease);
    }
    finds(0..20, plant, short_cuts);
}
