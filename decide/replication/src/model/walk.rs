//! Random walks over all orders of events, without a common time.

use super::{Action, World};

/// How a walk goes.
#[derive(Clone, Copy, Debug)]
pub struct Walk {
    /// Seed of the walk.
    pub seed: u64,
    /// Voters at its beginning, 3 to 6.
    pub voters: usize,
    /// Nodes beside them, that knock when they are started.
    pub spares: usize,
    /// Actions.
    pub steps: usize,
    /// Loss of disks.
    pub wipes: bool,
    /// Nodes that leave.
    pub leaves: bool,
}

/// A small generator of random numbers (splitmix64).
#[derive(Clone, Copy, Debug)]
pub struct Dice(pub u64);

impl Dice {
    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }

    /// An index below `limit`.
    pub fn index(&mut self, limit: usize) -> usize {
        self.below(limit as u64) as usize
    }

    /// Whether one of `among` comes up.
    pub fn one_in(&mut self, among: u64) -> bool {
        self.below(among) == 0
    }
}

/// Runs the world without faults, each node's clock in step, until `voters` nodes are the voters and one of them serves.
///
/// # Panics
/// If that takes more than 60 s of their time.
pub fn gather(world: &mut World, voters: usize) {
    world.found();
    for index in 1..voters {
        world.restart(index);
    }
    for _ in 0..6_000 {
        calm_step(world, 10_000);
        let serving = world.serving().and_then(|index| world.nodes[index].replica.as_ref());
        let whole = |replica: &crate::Replica<_>| {
            replica.membership().voters.len() == voters
                && !replica.membership().is_joint()
                && replica.is_idle()
        };
        if serving.is_some_and(whole) {
            return;
        }
    }
    panic!("{voters} voters do not come together within 60 s");
}

/// All clocks go on by so many microseconds, and everything that is on its way arrives.
pub fn calm_step(world: &mut World, micros: u64) {
    for index in 0..world.nodes.len() {
        let node = &mut world.nodes[index];
        node.clock = node.clock.after(micros);
        let Some(replica) = &mut node.replica else { continue };
        if replica.next_wake() <= node.clock {
            replica.tick(node.clock);
        }
        world.collect(index);
    }
    settle(world);
}

/// Everything that is on its way to a disk or a node arrives.
pub fn settle(world: &mut World) {
    for _ in 0..10_000 {
        let Some(index) = world.nodes.iter().position(|node| !node.pending.is_empty()) else {
            if world.network.is_empty() {
                return;
            }
            world.act(&Action::Deliver(0));
            continue;
        };
        world.sync(index);
    }
}

/// The chances of a walk, drawn from its seed, so that some walks are calm and some are not.
#[derive(Clone, Copy, Debug)]
struct Chances {
    drop: u64,
    repeat: u64,
    tick: u64,
    sync: u64,
    client: u64,
    fault: u64,
    burst: u64,
}

impl Chances {
    fn draw(dice: &mut Dice) -> Self {
        Self {
            drop: [0, 2, 5, 15][dice.index(4)],
            repeat: [0, 1, 4][dice.index(3)],
            tick: [1, 2, 4, 8][dice.index(4)],
            sync: [8, 20, 40][dice.index(3)],
            client: [4, 8][dice.index(2)],
            fault: [1, 2, 4][dice.index(3)],
            burst: [10, 30, 100][dice.index(3)],
        }
    }
}

/// One walk; the world at its end. Stops at the first violation.
pub fn walk(mut world: World, walk: Walk) -> World {
    let mut dice = Dice(walk.seed);
    world.network_limit = 64;
    gather(&mut world, walk.voters);
    let chances = Chances::draw(&mut dice);
    for _ in 0..walk.steps {
        if world.ledger.violation.is_some() {
            break;
        }
        step(&mut world, walk, chances, &mut dice);
    }
    world
}

fn step(world: &mut World, walk: Walk, chances: Chances, dice: &mut Dice) {
    let node = dice.index(world.nodes.len());
    let mut roll = dice.below(100 + chances.burst);
    let mut hit = |chance: u64| {
        let is_hit = roll < chance;
        roll = roll.saturating_sub(chance);
        is_hit && {
            roll = u64::MAX;
            true
        }
    };
    if hit(chances.tick) {
        world.act(&Action::Tick(node));
    } else if hit(chances.sync) {
        world.act(&Action::Sync(node));
    } else if hit(chances.client) {
        client(world, node, dice);
    } else if hit(chances.fault) {
        fault(world, walk, node, dice);
    } else if hit(chances.drop) {
        world.act(&Action::Drop(dice.index(world.network.len())));
    } else if hit(chances.repeat) {
        world.act(&Action::Repeat(dice.index(world.network.len())));
    } else if !world.network.is_empty() {
        world.act(&Action::Deliver(dice.index(world.network.len())));
    } else {
        world.act(&Action::Sync(node));
    }
}

fn client(world: &mut World, node: usize, dice: &mut Dice) {
    let leads = |world: &World, at: usize| {
        world.nodes[at].replica.as_ref().is_some_and(|replica| replica.is_serving())
    };
    let leaders: Vec<usize> = (0..world.nodes.len()).filter(|at| leads(world, *at)).collect();
    let node = if leaders.is_empty() || dice.one_in(10) { node } else { leaders[dice.index(leaders.len())] };
    world.act(&if dice.one_in(2) { Action::Propose(node) } else { Action::Confirm(node) });
}

fn fault(world: &mut World, walk: Walk, node: usize, dice: &mut Dice) {
    if world.nodes[node].replica.is_none() {
        return world.act(&Action::Restart(node));
    }
    let waiting = world.nodes[node].pending.len();
    match dice.below(12) {
        0..=3 => world.act(&Action::Crash(node, dice.index(waiting + 1))),
        4 | 5 if walk.wipes => world.act(&Action::Wipe(node)),
        6 | 7 if walk.leaves => world.act(&Action::Leave(node)),
        8 => world.act(&Action::FailSync(node)),
        9 => world.act(&Action::Elapse(node, 300_000 + dice.below(1_000_000))),
        10 => world.act(&Action::Elapse(node, 6_000_000)),
        _ => world.act(&Action::Tick(node)),
    }
}
