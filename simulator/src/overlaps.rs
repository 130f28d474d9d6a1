//! Random walks whose faults overlap, beyond what service has to bear but for the disks: in each
//! round no more disks are lost than must be borne. Service may rest meanwhile; nothing
//! acknowledged may be lost or shown in an older state.

use fastrand::Rng;

use crate::disk::DiskFault;
use crate::network::Host;
use crate::walk::{walk_by, Walk, WalkEnd};
use crate::world::{Action, CutKind, Target, World};

const SECOND_US: u64 = 1_000_000;
const MILLISECOND_US: u64 = 1_000;
/// The faults of a round begin within so many microseconds.
const ROUND_US: u64 = 4 * SECOND_US;
/// The longest duration of a fault, in microseconds.
const MAX_FAULT_DURATION_US: u64 = 8 * SECOND_US;
/// After the last has ended service may rest for so long: with the time until orders are overdue
/// this is `recoveryS` (12 s).
const RECOVERY_US: u64 = 5 * SECOND_US;
/// Then no fault is present for so long, in which delays are judged again.
const HEALTHY_PERIOD_US: u64 = 9 * SECOND_US;
/// Most faults of a round.
const MAX_FAULTS: u32 = 5;
/// A fault that waits for an order is brought about so many microseconds after that was sent.
const DELAY_AFTER_ORDER_US: std::ops::RangeInclusive<u64> =
    5 * MILLISECOND_US..=400 * MILLISECOND_US;

/// Walks in rounds of overlapping faults, `episodes` of them, and ends with one right round an
/// order.
pub fn walk(walk: &Walk) -> WalkEnd {
    walk_by(
        walk,
        Rng::with_seed(walk.world.seed ^ 0x1c3e_55a7),
        round,
        close,
    )
}

/// Faults that overlap, until all is back and well.
fn round(world: &mut World, random: &mut Rng) {
    world.let_service_rest(true);
    let mut disks = world.settings.tolerate;
    for _ in 0..random.u32(2..=MAX_FAULTS) {
        let action = generate_fault(world, random, &mut disks);
        world.act_after(random.u64(0..ROUND_US), action);
    }
    if random.bool() {
        let action = generate_fault(world, random, &mut disks);
        world.act_after_acknowledgement(action);
    }
    if random.bool() {
        let action = generate_fault(world, random, &mut disks);
        world.act_after_order(random.u64(DELAY_AFTER_ORDER_US), action);
    }
    world.run_for(ROUND_US + MAX_FAULT_DURATION_US + SECOND_US);
    world.disarm();
    // What was armed last may have come about at the end.
    world.run_for(MAX_FAULT_DURATION_US + RECOVERY_US);
    world.let_service_rest(false);
    world.run_for(HEALTHY_PERIOD_US);
}

/// The next fault; takes the disks that it costs from what is left of them.
fn generate_fault(world: &World, random: &mut Rng, disks: &mut u32) -> Action {
    let target = choose_target(world, random);
    let duration = random.u64(100 * MILLISECOND_US..MAX_FAULT_DURATION_US);
    if *disks > 0 && random.u32(0..3) == 0 {
        return generate_disk_loss(world, random, disks);
    }
    match random.u32(0..16) {
        0 => Action::Kill(target),
        1..=3 => Action::PowerLossFor(target, duration),
        4 => Action::PowerLoss(target),
        5 => Action::KillAll,
        6 => Action::PowerOffAll,
        7 => Action::Freeze(target, duration),
        8 | 9 => generate_halves(world, random, duration),
        10 => Action::Terminate(target),
        11 => Action::LoseReplies(duration),
        12 => Action::Lure(target, random.u32(1..4)),
        _ => Action::Disk(target, generate_disk_fault(random), duration),
    }
}

fn generate_disk_loss(world: &World, random: &mut Rng, disks: &mut u32) -> Action {
    let target = choose_target(world, random);
    match random.u32(0..5) {
        0 => {
            let targets = distinct(world, random, *disks as usize);
            *disks = 0;
            Action::WipeAndPowerOff(targets.into_iter().map(Target::This).collect())
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

/// Both halves are reached by all others.
fn generate_halves(world: &World, random: &mut Rng, duration: u64) -> Action {
    let half = world.core().len() / 2;
    let targets = distinct(world, random, half)
        .into_iter()
        .map(Target::This)
        .collect();
    Action::Cut {
        targets,
        kind: CutKind::Full,
        duration,
        holds: random.bool(),
        callers_bound: 0,
    }
}

fn distinct(world: &World, random: &mut Rng, number: usize) -> Vec<Host> {
    let mut hosts = world.core();
    random.shuffle(&mut hosts);
    hosts.truncate(number);
    hosts
}

fn choose_target(world: &World, random: &mut Rng) -> Target {
    match random.u32(0..4) {
        0 => Target::Primary,
        1 => Target::Oldest,
        // One that has no power may be hit again.
        _ => Target::This(distinct(world, random, 1)[0]),
    }
}

fn generate_disk_fault(random: &mut Rng) -> DiskFault {
    match random.u32(0..3) {
        0 => DiskFault::Full,
        1 => DiskFault::Stalled,
        _ => DiskFault::Slow(random.u64(20 * MILLISECOND_US..900 * MILLISECOND_US)),
    }
}

/// The closing fault comes right after an acknowledgement, or soon after an order was sent, at
/// times just after halves were joined.
fn close(world: &mut World, random: &mut Rng) {
    if random.bool() {
        let duration = random.u64(SECOND_US..4 * SECOND_US);
        let halves = generate_halves(world, random, duration);
        world.let_service_rest(true);
        world.act_after(0, halves);
        world.run_for(duration + 1);
    }
    let wiped = distinct(world, random, world.settings.tolerate as usize);
    let action = match random.u32(0..6) {
        0 => Action::KillAll,
        1 => Action::PowerOffAll,
        _ => Action::WipeAndPowerOff(wiped.into_iter().map(Target::This).collect()),
    };
    match random.bool() {
        true => world.act_after_acknowledgement(action),
        false => world.act_after_order(random.u64(DELAY_AFTER_ORDER_US), action),
    }
    world.run_for(6 * SECOND_US);
    world.let_service_rest(false);
    world.finish();
}
