//! The world in one virtual time: messages and disks take as long as a script or a seed says, nodes
//! freeze and lose each other.

use std::collections::BTreeMap;

use super::walk::SeededRng;
use super::{Envelope, World};
use crate::*;

/// An event that is due at a time.
#[derive(Clone, Debug)]
enum Event {
    Deliver(Envelope),
    Sync { node: usize, incarnation: u32 },
}

/// The behaviour of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Least time of a message, in microseconds.
    pub latency: u64,
    /// Most time beside it.
    pub jitter: u64,
    /// One message in so many is lost; 0 is none.
    pub loss: u64,
    /// One message in so many arrives twice; 0 is none.
    pub repeat: u64,
    /// Time of a write, in microseconds.
    pub sync: u64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        Self {
            latency: 250,
            jitter: 250,
            loss: 0,
            repeat: 0,
            sync: 1_000,
        }
    }
}

/// A world in one virtual time.
#[derive(Clone, Debug)]
pub struct TimedWorld {
    /// The world.
    pub world: World,
    /// How messages and disks behave.
    pub conditions: NetworkConditions,
    /// The time.
    pub now: Time,
    /// Random numbers.
    pub rng: SeededRng,
    /// Number of messages that were delivered.
    pub delivered: u64,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    frozen_until: Vec<Time>,
    stalled_until: Vec<Time>,
    syncing: Vec<bool>,
    blocked: Vec<Vec<bool>>,
}

impl TimedWorld {
    /// `nodes` nodes that are down, with empty disks.
    pub fn new(settings: Settings, nodes: usize, seed: u64) -> Self {
        let mut world = World::new(settings, nodes, seed);
        world.notices = Some(Vec::new());
        Self {
            now: world.nodes[0].clock,
            world,
            conditions: NetworkConditions::default(),
            rng: SeededRng(seed),
            delivered: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            frozen_until: vec![Time(0); nodes],
            stalled_until: vec![Time(0); nodes],
            syncing: vec![false; nodes],
            blocked: vec![vec![false; nodes]; nodes],
        }
    }

    /// A group of so many voters that serves; other nodes are down.
    ///
    /// # Panics
    /// If the group isn't formed within 30 s.
    pub fn with_group(settings: Settings, voters: usize, nodes: usize, seed: u64) -> Self {
        let mut timed = Self::new(settings, nodes, seed);
        timed.call(0, World::bootstrap);
        for index in 1..voters {
            timed.restart(index);
        }
        let elapsed = timed.run_until(30_000_000, |timed| timed.is_complete(voters));
        assert!(
            elapsed.is_some(),
            "{voters} voters did not come together within 30 s"
        );
        timed
    }

    /// Whether a primary serves whose membership has just so many voters, no change in progress and
    /// all of them up.
    pub fn is_complete(&self, voters: usize) -> bool {
        let Some(index) = self.world.serving_node() else {
            return false;
        };
        let Some(replica) = self.world.nodes[index].replica.as_ref() else {
            return false;
        };
        let membership = replica.membership();
        let up = |member: &Member| {
            let mut nodes = self.world.nodes.iter();
            nodes.any(|node| node.identity == member.identity && node.replica.is_some())
        };
        let all_up = membership.voters.iter().all(up);
        membership.voters.len() == voters && !membership.is_joint() && replica.is_idle() && all_up
    }

    /// Starts a node's process.
    pub fn restart(&mut self, index: usize) {
        self.call(index, |world| world.restart(index));
    }

    /// Ends a node's process; some of what waited for its disk is there all the same.
    pub fn crash(&mut self, index: usize) {
        let waiting = self.world.nodes[index].pending.len();
        let synced_items = self.rng.index(waiting + 1);
        self.crash_keeping(index, synced_items);
    }

    /// Ends a node's process; just so many of the items that waited for its disk are there all the
    /// same.
    pub fn crash_keeping(&mut self, index: usize, synced_items: usize) {
        self.world.crash(index, synced_items);
        self.syncing[index] = false;
        self.frozen_until[index] = Time(0);
    }

    /// Ends a node's process and loses its disk.
    pub fn wipe(&mut self, index: usize) {
        self.world.wipe(index);
        self.syncing[index] = false;
        self.frozen_until[index] = Time(0);
    }

    /// A node's process stands still for so long.
    pub fn freeze(&mut self, index: usize, micros: u64) {
        self.frozen_until[index] = self.now.after(micros);
    }

    /// A node's disk syncs nothing for so long.
    pub fn stall_disk(&mut self, index: usize, micros: u64) {
        self.stalled_until[index] = self.now.after(micros);
    }

    /// What `from` sends doesn't reach `to`.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked[from][to] = true;
    }

    /// A node and all others don't reach each other.
    pub fn isolate(&mut self, index: usize) {
        for other in 0..self.blocked.len() {
            self.block_link(index, other);
            self.block_link(other, index);
        }
    }

    /// Ends all partitions, freezes and stalls.
    pub fn heal(&mut self) {
        for row in &mut self.blocked {
            row.fill(false);
        }
        self.frozen_until.fill(Time(0));
        self.stalled_until.fill(Time(0));
    }

    /// Calls into the world on behalf of a node, at the present time.
    pub fn call(&mut self, index: usize, action: impl FnOnce(&mut World)) {
        self.world.nodes[index].clock = self.now;
        action(&mut self.world);
        self.schedule();
    }

    /// Time passes.
    pub fn run_for(&mut self, micros: u64) {
        let end = self.now.after(micros);
        while self.step(end) {}
        self.now = end;
    }

    /// Time passes until something is so, at most `micros`; how long that took.
    pub fn run_until(&mut self, micros: u64, is_so: impl Fn(&Self) -> bool) -> Option<u64> {
        let (begin, end) = (self.now, self.now.after(micros));
        while !is_so(self) {
            if !self.step(end) {
                return None;
            }
        }
        Some(self.now.since(begin))
    }

    /// A client proposes at the node that serves, every 20 ms, until a change is acknowledged; how long
    /// that took.
    pub fn commit_within(&mut self, micros: u64) -> Option<u64> {
        let (begin, end) = (self.now, self.now.after(micros));
        let before = self.world.oracle.acknowledged.len();
        while self.now < end {
            if let Some(index) = self.world.serving_node() {
                self.call(index, |world| world.propose(index));
            }
            let left = end.since(self.now).min(20_000);
            if self
                .run_until(left, |timed| timed.world.oracle.acknowledged.len() > before)
                .is_some()
            {
                return Some(self.now.since(begin));
            }
            self.now = self.now.max(begin).after(u64::from(left == 0));
        }
        None
    }

    /// Does the next thing that happens before `end`; whether there was one.
    fn step(&mut self, end: Time) -> bool {
        let event = self.queue.first_key_value().map(|(key, _)| *key);
        let wake = self.next_wake();
        let event_at = event.map_or(Time(u64::MAX), |(at, _)| at);
        let wake_at = wake.map_or(Time(u64::MAX), |(at, _)| at);
        if event_at.min(wake_at) > end {
            self.now = end;
            return false;
        }
        if let (Some(key), true) = (event, event_at <= wake_at) {
            self.now = self.now.max(event_at);
            if let Some(event) = self.queue.remove(&key) {
                self.handle_event(event);
            }
        } else if let Some((at, index)) = wake {
            self.now = self.now.max(at);
            self.call(index, |world| world.tick(index));
        }
        true
    }

    fn next_wake(&self) -> Option<(Time, usize)> {
        let nodes = self.world.nodes.iter().enumerate();
        let wakes = nodes.filter_map(|(index, node)| {
            let wake = node.replica.as_ref()?.next_wake();
            Some((wake.max(self.frozen_until[index]), index))
        });
        wakes.min()
    }

    fn handle_event(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver(envelope) => envelope.to,
            Event::Sync { node, .. } => *node,
        };
        if self.frozen_until[index] > self.now {
            let at = self.frozen_until[index];
            return self.schedule_event(at, event);
        }
        match event {
            Event::Deliver(envelope) => {
                if !self.blocked[envelope.from][envelope.to] {
                    self.delivered += 1;
                    self.call(index, |world| world.deliver(envelope));
                }
            }
            Event::Sync { node, incarnation } => {
                if self.world.nodes[node].incarnations != incarnation {
                    return;
                }
                if self.stalled_until[node] > self.now {
                    let at = self.stalled_until[node];
                    return self.schedule_event(at, Event::Sync { node, incarnation });
                }
                self.syncing[node] = false;
                self.call(node, |world| world.sync(node));
            }
        }
    }

    fn schedule_event(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Schedules the messages that were sent and the writes that are pending.
    fn schedule(&mut self) {
        let conditions = self.conditions;
        for envelope in std::mem::take(&mut self.world.network) {
            if conditions.loss > 0 && self.rng.one_in(conditions.loss) {
                continue;
            }
            if conditions.repeat > 0 && self.rng.one_in(conditions.repeat) {
                let at = self
                    .now
                    .after(conditions.latency + self.rng.below(conditions.jitter * 10 + 1));
                self.schedule_event(at, Event::Deliver(envelope.clone()));
            }
            let at = self
                .now
                .after(conditions.latency + self.rng.below(conditions.jitter + 1));
            self.schedule_event(at, Event::Deliver(envelope));
        }
        for node in 0..self.world.nodes.len() {
            if !self.syncing[node] && !self.world.nodes[node].pending.is_empty() {
                self.syncing[node] = true;
                let incarnation = self.world.nodes[node].incarnations;
                let at = self
                    .now
                    .after(conditions.sync + self.rng.below(conditions.sync + 1));
                self.schedule_event(at, Event::Sync { node, incarnation });
            }
        }
    }
}
