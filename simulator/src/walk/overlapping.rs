//! Rounds of faults that overlap, beyond what the group tolerates but for the disks: in each round
//! no more disks are lost than it tolerates. Service may pause meanwhile; nothing acknowledged may
//! be lost or shown in an older state.

use fastrand::Rng;

use super::fault_generator::{
    random_fault, random_kind, FaultDuration, FaultKind, FaultMix, MAX_OVERLAPPING_DURATION_US,
    MIN_OVERLAPPING_DURATION_US,
};
use super::{MILLISECOND_US, SECOND_US};
use crate::network::Host;
use crate::world::{Action, CutKind, Target, World};

pub(super) const SEED_MASK: u64 = 0x1c3e_55a7;
/// The faults of a round begin within so many microseconds.
const ROUND_US: u64 = 4 * SECOND_US;
/// After the last fault has ended service may pause for so long: with the time until orders are
/// overdue this is `recoveryS` (12 s).
const RECOVERY_US: u64 = 5 * SECOND_US;
/// Then no fault is present for so long, in which delays are judged again.
const HEALTHY_PERIOD_US: u64 = 9 * SECOND_US;
/// Most faults of a round, beside those that wait for an acknowledgement or an order.
const MAX_FAULTS: u32 = 5;
/// A fault that waits for an order begins so many microseconds after that was sent.
const DELAY_AFTER_ORDER_US: std::ops::RangeInclusive<u64> =
    5 * MILLISECOND_US..=400 * MILLISECOND_US;

/// The faults that lose no disk.
const FAULTS: &FaultMix = &[
    (FaultKind::Kill, 1),
    (FaultKind::PowerLossFor, 3),
    (FaultKind::PowerLoss, 1),
    (FaultKind::KillAll, 1),
    (FaultKind::PowerOffAll, 1),
    (FaultKind::Freeze, 1),
    (FaultKind::Partition, 2),
    (FaultKind::Terminate, 1),
    (FaultKind::LoseReplies, 1),
    (FaultKind::Lure, 1),
    (FaultKind::Disk, 3),
];

/// Faults that overlap, until all machines have restarted and caught up.
pub(super) fn round(world: &mut World, random: &mut Rng) {
    world.set_service_pause_allowed(true);
    let mut disks = world.settings.tolerate;
    for _ in 0..random.u32(2..=MAX_FAULTS) {
        let action = random_action(world, random, &mut disks);
        world.act_after(random.u64(0..ROUND_US), action);
    }
    if random.bool() {
        let action = random_action(world, random, &mut disks);
        world.act_after_acknowledgement(action);
    }
    if random.bool() {
        let action = random_action(world, random, &mut disks);
        world.act_after_order(random.u64(DELAY_AFTER_ORDER_US), action);
    }
    world.run_for(ROUND_US + MAX_OVERLAPPING_DURATION_US + SECOND_US);
    world.disarm();
    // What was armed last may have begun at the end.
    world.run_for(MAX_OVERLAPPING_DURATION_US + RECOVERY_US);
    world.set_service_pause_allowed(false);
    world.run_for(HEALTHY_PERIOD_US);
}

/// The next fault. `disks`: how many may still be lost in this round.
fn random_action(world: &World, random: &mut Rng, disks: &mut u32) -> Action {
    let target = random_target(world, random);
    let duration = random.u64(MIN_OVERLAPPING_DURATION_US..MAX_OVERLAPPING_DURATION_US);
    if *disks > 0 && random.u32(0..3) == 0 {
        return random_disk_loss(world, random, disks);
    }
    let kind = random_kind(random, FAULTS);
    let partition = |random: &mut Rng| random_even_partition(world, random, duration);
    random_fault(
        random,
        kind,
        target,
        FaultDuration::Fixed(duration),
        partition,
    )
}

fn random_disk_loss(world: &World, random: &mut Rng, disks: &mut u32) -> Action {
    let target = random_target(world, random);
    match random.u32(0..5) {
        0 => {
            let targets = random_machines(world, random, *disks as usize);
            *disks = 0;
            Action::WipeAndPowerOff(targets)
        }
        1 => {
            *disks -= 1;
            Action::Replace(target, random.u64(300 * MILLISECOND_US..2 * SECOND_US))
        }
        _ => {
            *disks -= 1;
            Action::Wipe(target)
        }
    }
}

/// A partition into halves, both of which all callers reach.
fn random_even_partition(world: &World, random: &mut Rng, duration: u64) -> Action {
    Action::Cut {
        targets: random_machines(world, random, world.present_machines().len() / 2),
        kind: CutKind::Full,
        duration,
        holds: random.bool(),
        callers_bound: 0,
    }
}

/// So many machines, each of them once; also such as have no power.
fn random_machines(world: &World, random: &mut Rng, number: usize) -> Vec<Target> {
    let mut hosts: Vec<Host> = world.present_machines();
    random.shuffle(&mut hosts);
    hosts.truncate(number);
    hosts.into_iter().map(Target::This).collect()
}

fn random_target(world: &World, random: &mut Rng) -> Target {
    match random.u32(0..4) {
        0 => Target::Primary,
        1 => Target::Oldest,
        _ => random_machines(world, random, 1)[0],
    }
}

/// The closing fault comes right after an acknowledgement, or soon after an order was sent, half of
/// the time just after halves were joined.
pub(super) fn close(world: &mut World, random: &mut Rng) {
    if random.bool() {
        let duration = random.u64(SECOND_US..4 * SECOND_US);
        let partition = random_even_partition(world, random, duration);
        world.set_service_pause_allowed(true);
        world.act_after(0, partition);
        world.run_for(duration + 1);
    }
    let wiped = random_machines(world, random, world.settings.tolerate as usize);
    let action = match random.u32(0..6) {
        0 => Action::KillAll,
        1 => Action::PowerOffAll,
        _ => Action::WipeAndPowerOff(wiped),
    };
    match random.bool() {
        true => world.act_after_acknowledgement(action),
        false => world.act_after_order(random.u64(DELAY_AFTER_ORDER_US), action),
    }
    world.run_for(6 * SECOND_US);
    world.set_service_pause_allowed(false);
    world.finish();
}
