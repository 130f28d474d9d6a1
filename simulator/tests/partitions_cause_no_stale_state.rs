//! A partitioned or frozen primary returns no old configuration, and neither rejects nor
//! acknowledges an order by state that may be old. Point 1 of `docs/operate/control.md`.

mod common;

use common::{
    acknowledged_between, assert_no_violations, assert_no_violations_with, assert_violation_found,
    cut, started_group, unchanged, SECOND,
};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::control::GlueFault;
use lichenswitch_simulator::disk::DiskFault;
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// The primary is partitioned for 20 s. A third of the operators and readers call it first; routers
/// start during the partition with its address first.
fn primary_cut(settings: WorldSettings, kind: CutKind, holds: bool) -> World {
    let mut world = started_group(settings);
    let primary = world.primary().map_or(Target::Primary, Target::This);
    world.act_after(0, Action::Lure(primary, 3));
    world.act_after(0, cut(vec![primary], kind, 20 * SECOND, holds));
    world.act_after(SECOND, Action::RestartRouters(primary));
    world.act_after(6 * SECOND, Action::RestartRouters(primary));
    world.run_for(22 * SECOND);
    world.finish();
    world
}

/// Two that call the primary first, and two that don't.
fn with_four_operators(settings: &mut WorldSettings) {
    settings.operators = 4;
}

/// The majority acknowledged changes during the partition, though an operator that calls the old
/// primary first waits a second with each order. The partition began at 6 s, as time begins at 1 s.
fn assert_served_during_partition(world: &World) {
    let during = acknowledged_between(world, 10, 26);
    assert!(
        during > 10,
        "only {during} changes were acknowledged during the partition"
    );
}

fn full_cut(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Full, false)
}

fn full_cut_with_delayed_messages(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Full, true)
}

fn outgoing_cut(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Outgoing, true)
}

fn incoming_cut(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Incoming, false)
}

fn partial_cut(settings: WorldSettings) -> World {
    primary_cut(settings, CutKind::Partial, false)
}

/// The primary is frozen; it reads what was sent to it meanwhile when it resumes.
fn frozen(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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
    assert_no_violations_with(
        0..4,
        with_four_operators,
        full_cut,
        assert_served_during_partition,
    );
    assert_no_violations_with(
        0..4,
        with_four_operators,
        full_cut_with_delayed_messages,
        assert_served_during_partition,
    );
}

#[test]
fn one_way_partitions_cause_no_stale_reads() {
    assert_no_violations_with(
        0..4,
        with_four_operators,
        outgoing_cut,
        assert_served_during_partition,
    );
    assert_no_violations_with(
        0..4,
        with_four_operators,
        incoming_cut,
        assert_served_during_partition,
    );
}

#[test]
fn partial_partition_causes_no_stale_reads() {
    assert_no_violations_with(
        0..4,
        with_four_operators,
        partial_cut,
        assert_served_during_partition,
    );
}

#[test]
fn frozen_primary_serves_no_stale_state() {
    assert_no_violations_with(
        0..4,
        with_four_operators,
        frozen,
        assert_served_during_partition,
    );
}

#[test]
fn eight_voters_serve_through_a_partition_of_three() {
    fn three(settings: WorldSettings) -> World {
        let mut world = started_group(settings);
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
        assert_served_during_partition,
    );
}

#[test]
fn describe_without_contact_is_found() {
    assert_violation_found(
        0..10,
        |settings| settings.glue.plant(GlueFault::DescribeWithoutContact),
        full_cut,
    );
}

#[test]
fn rejection_without_contact_is_found() {
    assert_violation_found(
        0..40,
        |settings| settings.glue.plant(GlueFault::RejectWithoutContact),
        full_cut,
    );
}

#[test]
fn claimed_contact_without_quorum_is_found() {
    assert_violation_found(
        0..10,
        |settings| settings.glue.plant(GlueFault::ClaimContact),
        full_cut,
    );
}

/// The disk of a voter is full for 15 s: the voter responds to the primary, and lags. Routers restart
/// and connect to it first.
fn lagging_voter(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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
    assert_no_violations(0..10, unchanged, lagging_voter);
}

#[test]
fn contact_of_lagging_replica_is_found() {
    assert_violation_found(
        0..10,
        |settings| settings.glue.plant(GlueFault::ClaimContactWhileLagging),
        lagging_voter,
    );
}

#[test]
fn response_without_confirmation_round_is_found() {
    fn plant(settings: &mut WorldSettings) {
        settings.faults.plant(Fault::ConfirmFromMemory);
        // It never steps down, and wakes for that for ever.
        settings.checks_wakes = false;
    }
    assert_violation_found(0..10, plant, full_cut);
}

/// Many short partitions of the primary, under many readers.
fn short_cuts(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
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

fn with_many_callers(settings: &mut WorldSettings) {
    (settings.readers, settings.operators) = (8, 8);
    settings.pace = Pace {
        min_pause_us: 300_000,
        max_pause_us: 700_000,
        ..Pace::default()
    };
}

#[test]
fn short_partitions_cause_no_stale_reads() {
    assert_no_violations_with(0..2, with_many_callers, short_cuts, |_| {});
}

#[test]
fn lease_in_place_of_confirmation_round_is_found() {
    fn plant(settings: &mut WorldSettings) {
        with_many_callers(settings);
        settings.faults.plant(Fault::EarlyLease);
    }
    assert_violation_found(0..20, plant, short_cuts);
}
