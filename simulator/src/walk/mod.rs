//! Random walks: a group under faults from a seed, then a closing fault, then the read at the end.
//!
//! The seed alone decides what happens. A change to the number or the order of random draws changes
//! what every seed does.

mod fault_generator;
mod one_by_one;
mod overlapping;

use fastrand::Rng;

use crate::oracle::Violation;
use crate::world::{World, WorldSettings};

const MILLISECOND_US: u64 = 1_000;
const SECOND_US: u64 = 1_000 * MILLISECOND_US;

/// How the faults of a walk are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSchedule {
    /// One after another, within what the group tolerates: service goes on.
    OneByOne,
    /// Overlapping, and more at a time than the group tolerates, but for lost disks: service may
    /// pause, and no acknowledged order may be lost.
    Overlapping,
}

/// The parameters of a walk.
#[derive(Clone, Debug)]
pub struct Walk {
    /// The group and its callers.
    pub world: WorldSettings,
    /// Faults one after another, or rounds of overlapping faults.
    pub episodes: u32,
    /// How the faults are scheduled.
    pub schedule: FaultSchedule,
}

/// The result of a walk.
pub struct WalkEnd {
    /// The first violation, if any.
    pub violation: Option<Violation>,
    /// The world as it was then.
    pub world: World,
}

/// Walks to the end, or to the first violation.
pub fn walk(walk: &Walk) -> WalkEnd {
    match walk.schedule {
        FaultSchedule::OneByOne => run(
            walk,
            one_by_one::SEED_MASK,
            one_by_one::episode,
            one_by_one::close,
        ),
        FaultSchedule::Overlapping => run(
            walk,
            overlapping::SEED_MASK,
            overlapping::round,
            overlapping::close,
        ),
    }
}

/// Runs such episodes and closes, or ends with the first violation. `seed_mask` gives each schedule
/// random numbers that are independent of the world's.
fn run(
    walk: &Walk,
    seed_mask: u64,
    episode: impl Fn(&mut World, &mut Rng),
    close: impl FnOnce(&mut World, &mut Rng),
) -> WalkEnd {
    let mut random = Rng::with_seed(walk.world.seed ^ seed_mask);
    let mut world = World::new(walk.world.clone());
    world.run_for(4 * SECOND_US + random.u64(0..2 * SECOND_US));
    for _ in 0..walk.episodes {
        episode(&mut world, &mut random);
        if !world.oracle.violations.is_empty() {
            break;
        }
    }
    if world.oracle.violations.is_empty() {
        close(&mut world, &mut random);
    }
    let violation = world.oracle.violations.first().cloned();
    WalkEnd { violation, world }
}
