//! Losses that overlap beyond what the group tolerates, with no more disks lost than it tolerates:
//! no acknowledged order is lost. More:
//! `cargo run --release -p lichenswitch-simulator -- walk --overlaps --episodes 5 --seeds 0..1000`.

mod common;

use common::{
    assert_no_violations, assert_violation_found, started_group, unchanged, CATCH_UP, SECOND,
};
use lichenswitch_replication::Fault;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::control::GlueFault;
use lichenswitch_simulator::disk::DiskFault;
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::walk::{walk, FaultSchedule, Walk};
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// Delays between the sending of an order and a fault, in microseconds.
const DELAYS_AFTER_ORDER_US: [u64; 8] = [
    5_000, 8_000, 15_000, 30_000, 60_000, 120_000, 250_000, 400_000,
];
/// `recoveryS` without the time until an order is overdue, in microseconds.
const RECOVERY: u64 = 5 * SECOND;

fn overlapping(settings: WorldSettings) -> World {
    walk(&Walk {
        world: settings,
        episodes: 4,
        schedule: FaultSchedule::Overlapping,
    })
    .world
}

/// Eight operators, as many as the pages allow at once, that send orders without a pause.
fn with_eager_operators(settings: &mut WorldSettings) {
    (settings.operators, settings.readers) = (8, 4);
    settings.pace = Pace {
        min_pause_us: 0,
        max_pause_us: 200_000,
        repeat_percent: 30,
        ..Pace::default()
    };
}

fn with_three_voters(settings: &mut WorldSettings) {
    with_eager_operators(settings);
    settings.voters = 3;
}

/// Waits until all machines have restarted, and judges delays again.
fn recover(world: &mut World) {
    world.run_for(2 * SECOND + RECOVERY);
    world.set_service_pause_allowed(false);
    world.run_for(CATCH_UP);
}

/// One machine loses its disk while all others lose power, at each delay after an order was sent,
/// and right after an acknowledgement.
fn disk_and_power_losses(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    for target in [Target::Oldest, Target::Primary, Target::Other(1)] {
        for delay in DELAYS_AFTER_ORDER_US {
            world.set_service_pause_allowed(true);
            world.act_after_order(delay, Action::WipeAndPowerOff(vec![target]));
            recover(&mut world);
        }
        world.set_service_pause_allowed(true);
        world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![target]));
        recover(&mut world);
    }
    world.finish();
    world
}

/// A partition into halves that all callers reach, with orders in flight; then one machine loses its
/// disk while all others lose power, at once or up to 0.9 s later.
fn even_partition_then_disk_loss(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    let half = world.present_machines().len() as u32 / 2;
    for (round, later) in [0, 1_000, 30_000, 300_000, 900_000].into_iter().enumerate() {
        world.set_service_pause_allowed(true);
        let targets = std::iter::once(Target::Primary)
            .chain((1..half).map(Target::Other))
            .collect();
        let (kind, duration, holds) = (CutKind::Full, 3 * SECOND, round % 2 == 0);
        world.act_after(
            0,
            Action::Cut {
                targets,
                kind,
                duration,
                holds,
                callers_bound: 0,
            },
        );
        world.act_after(
            duration + later,
            Action::WipeAndPowerOff(vec![Target::Other(round as u32)]),
        );
        world.run_for(duration + later);
        recover(&mut world);
    }
    world.finish();
    world
}

/// A machine loses its disk while another has no power, and is killed several times as it restarts;
/// then a machine is replaced while another has no power.
fn disk_loss_while_another_is_down(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    for lost in [Target::Primary, Target::Oldest] {
        let (away, wiped) = (
            Target::This(Host(2)),
            world.resolve(lost).map_or(lost, Target::This),
        );
        world.set_service_pause_allowed(true);
        world.act_after(0, Action::PowerLossFor(away, 6 * SECOND));
        world.act_after_acknowledgement_or_now(Action::Wipe(wiped));
        for kill in 1..5 {
            world.act_after(kill * 900_000, Action::Kill(wiped));
        }
        world.run_for(8 * SECOND);
        recover(&mut world);
    }
    world.set_service_pause_allowed(true);
    world.act_after(0, Action::PowerLossFor(Target::This(Host(3)), 7 * SECOND));
    world.act_after(400_000, Action::Replace(Target::Primary, SECOND));
    world.run_for(9 * SECOND);
    recover(&mut world);
    world.finish();
    world
}

/// Disks of the primary and of backups are full, stalled or slow at once under orders; then one
/// machine loses its disk while all others lose power.
fn disk_faults(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    let faults = [
        DiskFault::Full,
        DiskFault::Stalled,
        DiskFault::Slow(400_000),
    ];
    for (one, two) in faults.into_iter().zip([1, 2, 0].map(|other| faults[other])) {
        for positions in [
            [Target::Primary, Target::Other(0)],
            [Target::Other(0), Target::Other(1)],
        ] {
            world.set_service_pause_allowed(true);
            world.act_after(0, Action::Disk(positions[0], one, 3 * SECOND));
            world.act_after(1, Action::Disk(positions[1], two, 2 * SECOND));
            world.act_after(1_500_000, Action::Kill(Target::Primary));
            world.run_for(2_500_000);
            world.act_after_acknowledgement(Action::WipeAndPowerOff(vec![Target::Oldest]));
            world.run_for(SECOND);
            recover(&mut world);
        }
    }
    world.finish();
    world
}

/// Of eight machines four lose power one after another, each for longer than an unresponsive voter
/// is kept; then two of the others lose their disks, and all restart.
fn four_power_losses_then_two_disk_losses(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    world.set_service_pause_allowed(true);
    let primary = world.primary();
    let others: Vec<Host> = world
        .present_machines()
        .into_iter()
        .filter(|host| Some(*host) != primary)
        .collect();
    for dark in &others[..4] {
        world.act_after(0, Action::PowerLossFor(Target::This(*dark), 60 * SECOND));
        world.run_for(7 * SECOND);
    }
    let wiped = others[4..6].iter().copied().map(Target::This).collect();
    world.act_after_acknowledgement_or_now(Action::WipeAndPowerOff(wiped));
    world.run_for(SECOND);
    recover(&mut world);
    world.finish();
    world
}

#[test]
fn overlapping_losses_lose_no_order() {
    assert_no_violations(0..3, unchanged, overlapping);
    assert_no_violations(100..101, with_eager_operators, overlapping);
    assert_no_violations(200..202, with_three_voters, overlapping);
}

#[test]
fn two_lost_disks_of_eight_voters_lose_no_order() {
    assert_no_violations(
        300..301,
        |settings| (settings.voters, settings.tolerate) = (8, 2),
        overlapping,
    );
}

#[test]
fn disk_and_power_loss_after_an_order_lose_no_order() {
    assert_no_violations(0..1, with_eager_operators, disk_and_power_losses);
    assert_no_violations(2..3, with_three_voters, disk_and_power_losses);
}

#[test]
fn disk_loss_after_an_even_partition_loses_no_order() {
    assert_no_violations(0..2, with_eager_operators, even_partition_then_disk_loss);
}

#[test]
fn disk_loss_while_another_machine_is_down_loses_no_order() {
    assert_no_violations(0..2, with_eager_operators, disk_loss_while_another_is_down);
}

#[test]
fn disk_faults_around_an_acknowledgement_lose_no_order() {
    assert_no_violations(0..2, with_eager_operators, disk_faults);
}

#[test]
fn planted_faults_are_found_by_overlapping_losses() {
    fn rejecting_without_contact(settings: &mut WorldSettings) {
        with_eager_operators(settings);
        settings.glue.plant(GlueFault::RejectWithoutContact);
    }
    assert_violation_found(
        0..20,
        |settings| settings.faults.plant(Fault::HalfIsQuorum),
        overlapping,
    );
    assert_violation_found(
        0..20,
        |settings| settings.faults.plant(Fault::NeverRemoveVoters),
        overlapping,
    );
    assert_violation_found(
        0..20,
        |settings| settings.glue.plant(GlueFault::DescribeWithoutContact),
        overlapping,
    );
    assert_violation_found(6..20, rejecting_without_contact, overlapping);
}

#[test]
fn planted_faults_are_found_by_disk_and_power_loss() {
    fn responding_before_sync(settings: &mut WorldSettings) {
        with_eager_operators(settings);
        settings.faults.plant(Fault::RespondBeforeSync);
    }
    fn without_history(settings: &mut WorldSettings) {
        with_eager_operators(settings);
        settings.glue.plant(GlueFault::LoseHistory);
    }
    fn recognizing_by_version(settings: &mut WorldSettings) {
        with_eager_operators(settings);
        settings.glue.plant(GlueFault::RecognizeByVersion);
    }
    assert_violation_found(5..20, responding_before_sync, disk_and_power_losses);
    assert_violation_found(0..20, without_history, disk_and_power_losses);
    assert_violation_found(0..20, recognizing_by_version, disk_and_power_losses);
}

#[test]
fn two_lost_disks_after_four_long_power_losses_lose_no_order() {
    assert_no_violations(
        0..4,
        |settings| (settings.voters, settings.tolerate) = (8, 2),
        four_power_losses_then_two_disk_losses,
    );
}
