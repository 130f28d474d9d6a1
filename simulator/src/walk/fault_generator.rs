//! Draws faults: a kind by its weight, and then what that kind needs.

use fastrand::Rng;

use super::{MILLISECOND_US, SECOND_US};
use crate::disk::DiskFault;
use crate::network::Harm;
use crate::world::{Action, Target};

/// The longest duration of a fault that overlaps others, in microseconds.
pub(super) const MAX_OVERLAPPING_DURATION_US: u64 = 8 * SECOND_US;
/// The shortest one.
pub(super) const MIN_OVERLAPPING_DURATION_US: u64 = 100 * MILLISECOND_US;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultKind {
    Kill,
    PowerLoss,
    PowerLossFor,
    Wipe,
    Replace,
    PlannedReplace,
    Terminate,
    Freeze,
    Partition,
    Disk,
    KillAll,
    PowerOffAll,
    LoseReplies,
    Harm,
    Lure,
}

/// Kinds of faults, each with its weight.
pub(super) type FaultMix = [(FaultKind, u32)];

/// The duration of a fault that has one.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultDuration {
    /// It is drawn from the range of the kind.
    ByKind,
    /// So many microseconds.
    Fixed(u64),
}

impl FaultDuration {
    fn sample(self, random: &mut Rng, range_us: std::ops::Range<u64>) -> u64 {
        match self {
            FaultDuration::ByKind => random.u64(range_us),
            FaultDuration::Fixed(duration_us) => duration_us,
        }
    }
}

/// Draws a kind with one draw below the sum of the weights.
///
/// # Panics
/// If no kind has a weight.
pub(super) fn random_kind(random: &mut Rng, mix: &FaultMix) -> FaultKind {
    let total: u32 = mix.iter().map(|(_, weight)| weight).sum();
    let mut remaining = random.u32(0..total);
    for (kind, weight) in mix {
        if remaining < *weight {
            return *kind;
        }
        remaining -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

/// A fault of a kind at a target. `partition` draws the partition, which depends on the schedule.
pub(super) fn random_fault(
    random: &mut Rng,
    kind: FaultKind,
    target: Target,
    duration: FaultDuration,
    partition: impl FnOnce(&mut Rng) -> Action,
) -> Action {
    match kind {
        FaultKind::Kill => Action::Kill(target),
        FaultKind::PowerLoss => Action::PowerLoss(target),
        FaultKind::PowerLossFor => {
            let range = MIN_OVERLAPPING_DURATION_US..MAX_OVERLAPPING_DURATION_US;
            Action::PowerLossFor(target, duration.sample(random, range))
        }
        FaultKind::Wipe => Action::Wipe(target),
        FaultKind::Replace => {
            let after = random.u64(300 * MILLISECOND_US..1_500 * MILLISECOND_US);
            Action::Replace(target, after)
        }
        FaultKind::PlannedReplace => Action::PlannedReplace(target, random.u64(0..4 * SECOND_US)),
        FaultKind::Terminate => Action::Terminate(target),
        FaultKind::Freeze => {
            let range = SECOND_US / 4..20 * SECOND_US;
            Action::Freeze(target, duration.sample(random, range))
        }
        FaultKind::Partition => partition(random),
        FaultKind::Disk => {
            let fault = random_disk_fault(random);
            let duration = duration.sample(random, SECOND_US..15 * SECOND_US);
            Action::Disk(target, fault, duration)
        }
        FaultKind::KillAll => Action::KillAll,
        FaultKind::PowerOffAll => Action::PowerOffAll,
        FaultKind::LoseReplies => {
            Action::LoseReplies(duration.sample(random, SECOND_US / 2..5 * SECOND_US))
        }
        FaultKind::Harm => {
            let harm = random_harm(random);
            Action::Harm(harm, duration.sample(random, SECOND_US..8 * SECOND_US))
        }
        FaultKind::Lure => Action::Lure(target, random.u32(1..4)),
    }
}

fn random_disk_fault(random: &mut Rng) -> DiskFault {
    match random.u32(0..3) {
        0 => DiskFault::Full,
        1 => DiskFault::Stalled,
        _ => DiskFault::Slow(random.u64(20 * MILLISECOND_US..900 * MILLISECOND_US)),
    }
}

fn random_harm(random: &mut Rng) -> Harm {
    Harm {
        loss: random.u32(0..150),
        repeat: random.u32(0..150),
        reorder: random.u32(0..200),
        delay: random.u64(0..20 * MILLISECOND_US),
    }
}
