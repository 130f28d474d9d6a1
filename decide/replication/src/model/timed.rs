//! A [`World`] on one virtual clock. A script or a seed sets the delays of messages and writes;
//! nodes can be frozen and partitioned.

use std::collections::BTreeMap;

use super::walk::SeededRng;
use super::{Envelope, World};
use crate::*;

/// An event that is scheduled for a time.
#[derive(Clone, Debug)]
enum Event {
    Deliver(Envelope),
    Sync { node: usize, incarnation: u32 },
}

/// Delays and fault rates of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Minimum delay of a message, in microseconds.
    pub latency: u64,
    /// Maximum additional delay of a message, in microseconds; ten times as much for an extra copy.
    pub jitter: u64,
    /// Loses one message in this many; 0 disables loss.
    pub loss: u64,
    /// Delivers one message in this many twice; 0 disables repetition.
    pub repeat: u64,
    /// Minimum duration of a write, in microseconds; the maximum is twice as long.
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

/// A world in which all nodes share one virtual clock.
#[derive(Clone, Debug)]
pub struct TimedWorld {
    /// The nodes, their network and the oracle.
    pub world: World,
    /// Delays and fault rates; may be changed during a run.
    pub conditions: NetworkConditions,
    /// Current virtual time.
    pub now: Time,
    /// Source of the random delays and faults.
    pub rng: SeededRng,
    /// Number of messages delivered so far, including those to nodes that are down.
    pub delivered: u64,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    frozen_until: Vec<Time>,
    stalled_until: Vec<Time>,
    syncing: Vec<bool>,
    blocked: Vec<Vec<bool>>,
}

impl TimedWorld {
    /// Creates a world of `nodes` nodes that are down and have empty disks.
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

    /// Creates a world with a serving group of `voters` voters; the other nodes are down.
    ///
    /// # Panics
    /// Panics if the group is not formed within 30 s of virtual time.
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

    /// Whether a primary serves, its membership has exactly `voters` voters, all of them are up,
    /// and no change is in progress.
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

    /// Starts a node's process if it is down.
    pub fn restart(&mut self, index: usize) {
        self.call(index, |world| world.restart(index));
    }

    /// Ends a node's process; a random number of its pending writes still reach the disk.
    pub fn crash(&mut self, index: usize) {
        let waiting = self.world.nodes[index].pending.len();
        let synced_items = self.rng.index(waiting + 1);
        self.crash_keeping(index, synced_items);
    }

    /// Ends a node's process; exactly `synced_items` of its pending writes still reach the disk.
    pub fn crash_keeping(&mut self, index: usize, synced_items: usize) {
        self.world.crash(index, synced_items);
        self.syncing[index] = false;
        self.frozen_until[index] = Time(0);
    }

    /// Ends a node's process and erases its disk.
    pub fn wipe(&mut self, index: usize) {
        self.world.wipe(index);
        self.syncing[index] = false;
        self.frozen_until[index] = Time(0);
    }

    /// Freezes a node's process for `micros` microseconds.
    pub fn freeze(&mut self, index: usize, micros: u64) {
        self.frozen_until[index] = self.now.after(micros);
    }

    /// Blocks the writes to a node's disk for `micros` microseconds.
    pub fn stall_disk(&mut self, index: usize, micros: u64) {
        self.stalled_until[index] = self.now.after(micros);
    }

    /// Drops messages from `from` to `to` until [`Self::heal`] is called.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked[from][to] = true;
    }

    /// Blocks the links between a node and all others in both directions.
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

    /// Runs `action` with the node's clock set to the current time, and schedules what it causes.
    pub fn call(&mut self, index: usize, action: impl FnOnce(&mut World)) {
        self.world.nodes[index].clock = self.now;
        action(&mut self.world);
        self.schedule();
    }

    /// Runs all events of the next `micros` microseconds.
    pub fn run_for(&mut self, micros: u64) {
        let end = self.now.after(micros);
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `condition` holds and returns the elapsed microseconds; returns `None` if it does
    /// not hold within `micros`.
    pub fn run_until(&mut self, micros: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let (begin, end) = (self.now, self.now.after(micros));
        while !condition(self) {
            if !self.step(end) {
                return None;
            }
        }
        Some(self.now.since(begin))
    }

    /// Proposes a change at the serving node every 20 ms until one is acknowledged. Returns the
    /// elapsed microseconds, or `None` if that takes longer than `micros`.
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

    /// Runs the next event or tick that is due by `end`; returns whether there was one.
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

    /// Schedules the delivery of sent messages and the completion of pending writes.
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
