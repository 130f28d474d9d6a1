//! Random walks over the possible orders of events, without a common clock.

use super::{Action, World};

/// Parameters of a random walk.
#[derive(Clone, Copy, Debug)]
pub struct Walk {
    /// Seed of all random choices of the walk.
    pub seed: u64,
    /// Number of voters at the beginning, 3 to 6.
    pub voters: usize,
    /// Number of further nodes, which ask to join when they are started.
    pub spares: usize,
    /// Number of random steps.
    pub steps: usize,
    /// Whether disks may be erased.
    pub has_wipes: bool,
    /// Whether nodes may be asked to leave.
    pub has_departures: bool,
}

/// A deterministic random number generator (splitmix64).
#[derive(Clone, Copy, Debug)]
pub struct SeededRng(pub u64);

impl SeededRng {
    /// Returns a number below `limit`; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }

    /// Returns an index below `limit`; 0 if `limit` is 0.
    pub fn index(&mut self, limit: usize) -> usize {
        self.below(limit as u64) as usize
    }

    /// Returns true with a probability of one in `among`.
    pub fn one_in(&mut self, among: u64) -> bool {
        self.below(among) == 0
    }
}

/// Runs the world without faults, with all clocks advancing equally, until the group has `voters`
/// voters and one of them serves.
///
/// # Panics
/// Panics if that takes more than 60 s on the nodes' clocks.
pub fn form_group(world: &mut World, voters: usize) {
    world.bootstrap();
    for index in 1..voters {
        world.restart(index);
    }
    for _ in 0..6_000 {
        step_without_faults(world, 10_000);
        let serving = world
            .serving_node()
            .and_then(|index| world.nodes[index].replica.as_ref());
        let is_formed = |replica: &crate::Replica<_>| {
            replica.membership().voters.len() == voters
                && !replica.membership().is_joint()
                && replica.is_idle()
        };
        if serving.is_some_and(is_formed) {
            return;
        }
    }
    panic!("{voters} voters do not come together within 60 s");
}

/// Advances all clocks by `micros` microseconds, ticks the nodes that are due, and completes all
/// deliveries and writes.
pub fn step_without_faults(world: &mut World, micros: u64) {
    for index in 0..world.nodes.len() {
        let node = &mut world.nodes[index];
        node.clock = node.clock.after(micros);
        let due = node
            .replica
            .as_ref()
            .is_some_and(|replica| replica.next_wake() <= node.clock);
        if due {
            world.tick(index);
        }
        world.collect(index);
    }
    deliver_everything(world);
}

/// Completes pending writes and delivers messages until none are left, in at most 10,000 steps.
pub fn deliver_everything(world: &mut World) {
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

/// Relative frequencies of actions and faults in a walk, drawn from its seed so that walks differ
/// in how many faults they have.
#[derive(Clone, Copy, Debug)]
struct WalkProfile {
    drop: u64,
    repeat: u64,
    tick: u64,
    sync: u64,
    client: u64,
    fault: u64,
    deliver: u64,
    /// Number of steps between two changes of the nodes' reachability.
    phase: usize,
    /// Chance, out of 8, that a node is partitioned or frozen in a phase.
    separated: u64,
}

impl WalkProfile {
    fn random(rng: &mut SeededRng) -> Self {
        Self {
            drop: [0, 1, 4, 10][rng.index(4)],
            repeat: [0, 1, 4][rng.index(3)],
            tick: [2, 4, 8][rng.index(3)],
            sync: [10, 30][rng.index(2)],
            client: [4, 8][rng.index(2)],
            fault: [0, 1, 2, 4][rng.index(4)],
            deliver: [40, 100][rng.index(2)],
            phase: [20, 60, 150, 400][rng.index(4)],
            separated: [1, 2, 3][rng.index(3)],
        }
    }
}

/// Reachability of a node during a phase of a walk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// The node runs and exchanges messages.
    Connected,
    /// The process runs, but messages to and from it wait in the network.
    Partitioned,
    /// The process is suspended; client requests reachability it when the phase ends.
    Frozen,
}

/// State of a walk apart from the world.
struct WalkState {
    walk: Walk,
    profile: WalkProfile,
    rng: SeededRng,
    reachability: Vec<Reachability>,
}

/// Runs one walk and returns the final world. Stops at the first violation.
pub fn walk(mut world: World, walk: Walk) -> World {
    let mut rng = SeededRng(walk.seed);
    world.network_limit = 64;
    form_group(&mut world, walk.voters);
    let profile = WalkProfile::random(&mut rng);
    let reachability = vec![Reachability::Connected; world.nodes.len()];
    let mut state = WalkState {
        walk,
        profile,
        rng,
        reachability,
    };
    for step in 0..walk.steps {
        if world.oracle.violation.is_some() {
            break;
        }
        if step % state.profile.phase == 0 {
            state.next_phase(&mut world);
        }
        state.step(&mut world);
    }
    world
}

impl WalkState {
    fn next_phase(&mut self, world: &mut World) {
        for index in 0..self.reachability.len() {
            let was_frozen = self.reachability[index] == Reachability::Frozen;
            let separated = self.rng.below(8) < self.profile.separated;
            self.reachability[index] = match (separated, self.rng.one_in(2)) {
                (false, _) => Reachability::Connected,
                (true, true) => Reachability::Partitioned,
                (true, false) => Reachability::Frozen,
            };
            if was_frozen {
                // The clock advanced during the freeze, and a client request may be the first event
                // after it.
                world.act(&Action::Elapse(index, self.rng.below(2_000_000)));
                if self.rng.one_in(2) {
                    world.act(&Action::Confirm(index));
                }
            }
        }
    }

    fn step(&mut self, world: &mut World) {
        let node = self.rng.index(world.nodes.len());
        let is_running = self.reachability[node] != Reachability::Frozen;
        let profile = self.profile;
        let table = [
            profile.tick,
            profile.sync,
            profile.client,
            profile.fault,
            profile.drop,
            profile.repeat,
        ];
        let mut roll = self.rng.below(table.iter().sum::<u64>() + profile.deliver);
        let mut choice = 0;
        while choice < table.len() && roll >= table[choice] {
            roll -= table[choice];
            choice += 1;
        }
        match choice {
            0 if is_running => world.act(&Action::Tick(node)),
            1 if is_running => world.act(&Action::Sync(node)),
            2 => self.send_request(world, node),
            3 => self.inject_fault(world, node),
            4 => world.act(&Action::Drop(self.rng.index(world.network.len()))),
            5 => self.deliver_message(world, true),
            _ => self.deliver_message(world, false),
        }
    }

    /// Delivers a random message between two connected nodes. If there is none, completes a pending
    /// write instead.
    fn deliver_message(&mut self, world: &mut World, is_repeated: bool) {
        let is_connected = |index: usize| self.reachability[index] == Reachability::Connected;
        let open = world.network.iter().enumerate();
        let open =
            open.filter(|(_, envelope)| is_connected(envelope.from) && is_connected(envelope.to));
        let open: Vec<usize> = open.map(|(at, _)| at).collect();
        if open.is_empty() {
            let waits = |node: &super::Node| !node.pending.is_empty();
            if let Some(node) = world
                .nodes
                .iter()
                .position(waits)
                .filter(|at| self.reachability[*at] != Reachability::Frozen)
            {
                world.act(&Action::Sync(node));
            }
            return;
        }
        let at = open[self.rng.index(open.len())];
        world.act(&if is_repeated {
            Action::Repeat(at)
        } else {
            Action::Deliver(at)
        });
    }

    fn send_request(&mut self, world: &mut World, node: usize) {
        let serves = |world: &World, at: usize| {
            let replica = world.nodes[at].replica.as_ref();
            self.reachability[at] != Reachability::Frozen
                && replica.is_some_and(|replica| replica.is_serving())
        };
        let serving: Vec<usize> = (0..world.nodes.len())
            .filter(|at| serves(world, *at))
            .collect();
        let any = serving.is_empty() || self.rng.one_in(10);
        let node = if any {
            node
        } else {
            serving[self.rng.index(serving.len())]
        };
        if self.reachability[node] == Reachability::Frozen {
            return;
        }
        world.act(&if self.rng.one_in(2) {
            Action::Propose(node)
        } else {
            Action::Confirm(node)
        });
    }

    fn inject_fault(&mut self, world: &mut World, node: usize) {
        if world.nodes[node].replica.is_none() {
            return world.act(&Action::Restart(node));
        }
        let waiting = world.nodes[node].pending.len();
        match self.rng.below(14) {
            0 | 1 => world.act(&Action::Crash(node, self.rng.index(waiting + 1))),
            2..=5 => {
                world.act(&Action::Crash(node, self.rng.index(waiting + 1)));
                world.act(&Action::Restart(node));
            }
            6 | 7 if self.walk.has_wipes => {
                world.act(&Action::Wipe(node));
                if self.rng.one_in(2) {
                    world.act(&Action::Restart(node));
                }
            }
            8 | 9 if self.walk.has_departures => world.act(&Action::Leave(node)),
            10 => world.act(&Action::FailSync(node)),
            11 => world.act(&Action::Elapse(node, 300_000 + self.rng.below(1_000_000))),
            12 => world.act(&Action::Elapse(node, 6_000_000)),
            _ => world.act(&Action::Tick(node)),
        }
    }
}
