//! Episodes of one fault after another, within what the group tolerates.

use fastrand::Rng;

use super::fault_generator::{random_fault, random_kind, FaultDuration, FaultKind, FaultMix};
use super::SECOND_US;
use crate::world::{Action, CutKind, Target, World};

pub(super) const SEED_MASK: u64 = 0x77a1_6b5e;
/// Before the next loss of a disk no fault has begun or ended for so many microseconds
/// (`catchUpS`).
const CATCH_UP_US: u64 = 4 * SECOND_US;
/// Highest number of [`Target::Other`], which is taken modulo the machines that run.
const MAX_OTHER: u32 = 16;

const FAULTS: &FaultMix = &[
    (FaultKind::Kill, 1),
    (FaultKind::PowerLoss, 1),
    (FaultKind::Wipe, 1),
    (FaultKind::Replace, 1),
    (FaultKind::PlannedReplace, 1),
    (FaultKind::Terminate, 1),
    (FaultKind::Freeze, 2),
    (FaultKind::Partition, 3),
    (FaultKind::Disk, 2),
    (FaultKind::KillAll, 1),
    (FaultKind::PowerOffAll, 1),
    (FaultKind::LoseReplies, 1),
    (FaultKind::Harm, 1),
    (FaultKind::Lure, 1),
];

/// One fault, until the group has recovered from it.
pub(super) fn episode(world: &mut World, random: &mut Rng) {
    let actions = random_actions(random, world.settings.voters);
    let (duration_us, loses_disk) = (episode_duration_us(&actions[0]), loses_disk(&actions[0]));
    if loses_disk {
        let unchanged = world.now().since(world.last_fault_change_at());
        world.run_for((CATCH_UP_US + SECOND_US / 10).saturating_sub(unchanged));
    }
    for action in actions {
        match random.u32(0..4) {
            0 => world.act_after_acknowledgement(action),
            _ => world.act_after(random.u64(0..SECOND_US / 5), action),
        }
    }
    world.run_for(duration_us);
    let recovery_us = if loses_disk {
        CATCH_UP_US + SECOND_US
    } else {
        random.u64(0..4 * SECOND_US)
    };
    world.run_for(recovery_us);
}

/// The next fault, and what is done to callers with it.
fn random_actions(random: &mut Rng, voters: u32) -> Vec<Action> {
    let target = random_target(random);
    let kind = random_kind(random, FAULTS);
    let partition = |random: &mut Rng| random_partition(random, voters);
    let fault = random_fault(random, kind, target, FaultDuration::ByKind, partition);
    let with_callers = match &fault {
        Action::Lure(..) => vec![Action::RestartRouters(target)],
        Action::Cut { targets, .. } if random.bool() => {
            vec![
                Action::Lure(targets[0], 3),
                Action::RestartRouters(targets[0]),
            ]
        }
        _ => Vec::new(),
    };
    std::iter::once(fault).chain(with_callers).collect()
}

fn random_target(random: &mut Rng) -> Target {
    match random.u32(0..5) {
        0 | 1 => Target::Primary,
        2 => Target::Oldest,
        _ => random_other(random),
    }
}

fn random_other(random: &mut Rng) -> Target {
    Target::Other(random.u32(0..MAX_OTHER))
}

/// A partition of less than half of the voters.
fn random_partition(random: &mut Rng, voters: u32) -> Action {
    let minority = (voters - 1) / 2;
    let others = random.u32(0..minority.max(1));
    let mut targets = vec![random_target(random)];
    targets.extend((0..others).map(|_| random_other(random)));
    let kinds = [
        CutKind::Full,
        CutKind::Full,
        CutKind::Outgoing,
        CutKind::Incoming,
        CutKind::Partial,
    ];
    Action::Cut {
        targets,
        kind: kinds[random.usize(0..kinds.len())],
        duration: random.u64(SECOND_US / 2..20 * SECOND_US),
        holds: random.bool(),
        callers_bound: random.u32(0..40),
    }
}

/// How long the world runs before it recovers from a fault.
fn episode_duration_us(fault: &Action) -> u64 {
    match fault {
        Action::Freeze(_, duration)
        | Action::Disk(_, _, duration)
        | Action::LoseReplies(duration)
        | Action::Harm(_, duration)
        | Action::Cut { duration, .. } => *duration,
        Action::PowerLoss(_) | Action::Wipe(_) | Action::Replace(..) | Action::KillAll => {
            2 * SECOND_US
        }
        Action::PowerOffAll => 3 * SECOND_US,
        Action::Terminate(_) => 8 * SECOND_US,
        Action::PlannedReplace(..) => 9 * SECOND_US,
        _ => SECOND_US,
    }
}

fn loses_disk(fault: &Action) -> bool {
    matches!(
        fault,
        Action::Wipe(_) | Action::Replace(..) | Action::PlannedReplace(..)
    )
}

/// The closing fault comes right after an acknowledgement, when all machines are well.
pub(super) fn close(world: &mut World, random: &mut Rng) {
    world.run_for(CATCH_UP_US + 2 * SECOND_US);
    let victim = if random.bool() {
        Target::Oldest
    } else {
        Target::Primary
    };
    let action = match random.u32(0..4) {
        0 => Action::KillAll,
        1 => Action::PowerOffAll,
        2 => {
            let others = (1..world.settings.tolerate).map(Target::Other);
            Action::WipeAndPowerOff(std::iter::once(victim).chain(others).collect())
        }
        _ => Action::Wipe(victim),
    };
    world.act_after_acknowledgement(action);
    world.run_for(5 * SECOND_US);
    world.finish();
}
