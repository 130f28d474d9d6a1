//! Random walks: one fault after another from a seed, within what must be borne, then a closing
//! fault, then the read at the end.

use fastrand::Rng;

use crate::disk::DiskFault;
use crate::network::Harm;
use crate::oracle::Violation;
use crate::world::{Action, CutKind, Target, World, WorldSettings};

/// Before the next loss of a disk, all that was lost has been back for so many microseconds
/// (`catchUpS`).
const CATCH_UP_US: u64 = 4_000_000;
const SECOND_US: u64 = 1_000_000;

/// The parameters of a walk.
#[derive(Clone, Debug)]
pub struct Walk {
    /// The group and its callers.
    pub world: WorldSettings,
    /// Faults, one after another.
    pub episodes: u32,
}

/// The result of a walk.
pub struct WalkEnd {
    /// The first violation, if any.
    pub violation: Option<Violation>,
    /// The world as it stood then.
    pub world: World,
}

/// A fault with the time that it takes, and whether disks are lost by it.
struct Episode {
    actions: Vec<Action>,
    duration_us: u64,
    loses_disks: bool,
}

impl Episode {
    fn new(action: Action, duration_us: u64) -> Self {
        Self {
            actions: vec![action],
            duration_us,
            loses_disks: false,
        }
    }

    fn losing(action: Action, duration_us: u64) -> Self {
        Self {
            loses_disks: true,
            ..Self::new(action, duration_us)
        }
    }
}

/// Walks in episodes of one fault after another.
pub fn walk(walk: &Walk) -> WalkEnd {
    let episode = |world: &mut World, random: &mut Rng| {
        let episode = generate_episode(random, &walk.world);
        play(world, random, episode);
    };
    walk_by(
        walk,
        Rng::with_seed(walk.world.seed ^ 0x77a1_6b5e),
        episode,
        close,
    )
}

/// Walks in such episodes and closes, or ends with the first violation.
pub(crate) fn walk_by(
    walk: &Walk,
    mut random: Rng,
    mut episode: impl FnMut(&mut World, &mut Rng),
    close: impl FnOnce(&mut World, &mut Rng),
) -> WalkEnd {
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

fn play(world: &mut World, random: &mut Rng, episode: Episode) {
    if episode.loses_disks {
        let since = world.now().since(world.last_fault_change_at());
        world.run_for((CATCH_UP_US + SECOND_US / 10).saturating_sub(since));
    }
    for action in episode.actions {
        match random.u32(0..4) {
            0 => world.act_after_acknowledgement(action),
            _ => world.act_after(random.u64(0..SECOND_US / 5), action),
        }
    }
    world.run_for(episode.duration_us);
    let rest = if episode.loses_disks {
        CATCH_UP_US + SECOND_US
    } else {
        random.u64(0..4 * SECOND_US)
    };
    world.run_for(rest);
}

fn generate_episode(random: &mut Rng, settings: &WorldSettings) -> Episode {
    let target = choose_target(random);
    match random.u32(0..18) {
        0 => Episode::new(Action::Kill(target), SECOND_US),
        1 => Episode::new(Action::PowerLoss(target), 2 * SECOND_US),
        2 => Episode::losing(Action::Wipe(target), 2 * SECOND_US),
        3 => Episode::losing(
            Action::Replace(target, random.u64(300_000..1_500_000)),
            2 * SECOND_US,
        ),
        4 => Episode::losing(
            Action::PlannedReplace(target, random.u64(0..4 * SECOND_US)),
            9 * SECOND_US,
        ),
        5 => Episode::new(Action::Terminate(target), 8 * SECOND_US),
        6 | 7 => generate_freeze(random, target),
        8..=10 => generate_cut(random, settings),
        11 | 12 => generate_disk_episode(random, target),
        13 => Episode::new(Action::KillAll, 2 * SECOND_US),
        14 => Episode::new(Action::PowerOffAll, 3 * SECOND_US),
        15 => {
            let duration = random.u64(SECOND_US / 2..5 * SECOND_US);
            Episode::new(Action::LoseReplies(duration), duration)
        }
        16 => generate_network_harm(random),
        _ => Episode {
            actions: vec![
                Action::Lure(target, random.u32(1..4)),
                Action::RestartRouters(target),
            ],
            duration_us: SECOND_US,
            loses_disks: false,
        },
    }
}

fn choose_target(random: &mut Rng) -> Target {
    match random.u32(0..5) {
        0 | 1 => Target::Primary,
        2 => Target::Oldest,
        _ => Target::Other(random.u32(0..16)),
    }
}

fn generate_freeze(random: &mut Rng, target: Target) -> Episode {
    let duration = random.u64(SECOND_US / 4..20 * SECOND_US);
    Episode::new(Action::Freeze(target, duration), duration)
}

fn generate_cut(random: &mut Rng, settings: &WorldSettings) -> Episode {
    let most = (settings.voters - 1) / 2;
    let others = random.u32(0..most.max(1));
    let mut targets = vec![choose_target(random)];
    targets.extend((0..others).map(|_| Target::Other(random.u32(0..16))));
    let kinds = [
        CutKind::Full,
        CutKind::Full,
        CutKind::Outgoing,
        CutKind::Incoming,
        CutKind::Partial,
    ];
    let kind = kinds[random.usize(0..kinds.len())];
    let duration = random.u64(SECOND_US / 2..20 * SECOND_US);
    let (holds, callers_bound) = (random.bool(), random.u32(0..40));
    let first = targets[0];
    let cut = Action::Cut {
        targets,
        kind,
        duration,
        holds,
        callers_bound,
    };
    let mut actions = vec![cut];
    if random.bool() {
        actions.extend([Action::Lure(first, 3), Action::RestartRouters(first)]);
    }
    Episode {
        actions,
        duration_us: duration,
        loses_disks: false,
    }
}

fn generate_disk_episode(random: &mut Rng, target: Target) -> Episode {
    let fault = match random.u32(0..3) {
        0 => DiskFault::Full,
        1 => DiskFault::Stalled,
        _ => DiskFault::Slow(random.u64(20_000..900_000)),
    };
    let duration = random.u64(SECOND_US..15 * SECOND_US);
    Episode::new(Action::Disk(target, fault, duration), duration)
}

fn generate_network_harm(random: &mut Rng) -> Episode {
    let loss = random.u32(0..150);
    let (repeat, reorder, delay) = (
        random.u32(0..150),
        random.u32(0..200),
        random.u64(0..20_000),
    );
    let duration = random.u64(SECOND_US..8 * SECOND_US);
    Episode::new(
        Action::Harm(
            Harm {
                loss,
                repeat,
                reorder,
                delay,
            },
            duration,
        ),
        duration,
    )
}

/// The closing fault comes right after an acknowledgement, when all are well.
fn close(world: &mut World, random: &mut Rng) {
    world.run_for(CATCH_UP_US + 2 * SECOND_US);
    let victims = if random.bool() {
        Target::Oldest
    } else {
        Target::Primary
    };
    let mut targets = vec![victims];
    targets.extend((1..world.settings.tolerate).map(Target::Other));
    let action = match random.u32(0..4) {
        0 => Action::KillAll,
        1 => Action::PowerOffAll,
        2 => Action::WipeAndPowerOff(targets),
        _ => Action::Wipe(targets[0]),
    };
    world.act_after_acknowledgement(action);
    world.run_for(5 * SECOND_US);
    world.finish();
}
