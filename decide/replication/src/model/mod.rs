//! A deterministic model of a replica group for tests and simulations. The network loses, repeats
//! and reorders messages, disk writes complete late, fail or are lost, and every node has its own
//! clock. An [`Oracle`] checks the results that the replicas report.
//!
//! [`World`] has no common time: each node's clock advances independently, so a safety property
//! that holds here does not depend on clocks. [`timed::TimedWorld`] runs the same world on one
//! virtual clock, to check liveness.

pub mod oracle;
pub mod timed;
pub mod walk;

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use crate::*;

pub use oracle::{ClientRequest, History, Oracle};

/// A simulated node: a process that may be down, its disk and its clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// Network address, `n` followed by the node's index.
    pub address: String,
    /// Local time, independent of the clocks of other nodes.
    pub clock: Time,
    /// The running process; `None` while the process is down.
    pub replica: Option<Replica<History>>,
    /// Items that are written durably, oldest first.
    pub disk: Vec<DurableItem>,
    /// Items that are not written durably yet, oldest first.
    pub pending: VecDeque<(WriteId, DurableItem)>,
    /// Identity of the replica; a node that starts with an empty disk gets a new one.
    pub identity: Identity,
    /// Number of times that the process was started.
    pub incarnations: u32,
    /// Whether the running process was asked to leave the group.
    pub is_leaving: bool,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Hash of sender, receiver and message. Sorting the network by it makes two worlds with the
    /// same messages in flight equal, whatever the order of sending.
    key: u64,
    /// Index of the sender.
    pub from: usize,
    /// Index of the receiver.
    pub to: usize,
    /// The message to deliver.
    pub message: Message,
}

/// Deliberate errors in the environment of the replicas, which the oracle has to detect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlantedFaults {
    /// Whether a node that lost its disk restarts under its old identity.
    pub wiped_keeps_identity: bool,
    /// Whether the first node bootstraps a new group after it lost its disk.
    pub wiped_founder_bootstraps: bool,
}

/// A step of a simulated run: an event or a fault.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Delivers the message at this index of the network.
    Deliver(usize),
    /// Loses the message at this index of the network.
    Drop(usize),
    /// Delivers the message at this index of the network and keeps it in flight.
    Repeat(usize),
    /// Completes the oldest pending write of a node.
    Sync(usize),
    /// Fails the oldest pending write of a node and discards the later ones.
    FailSync(usize),
    /// Advances a node's clock to its next wake time and ticks the node.
    Tick(usize),
    /// Advances a node's clock by this many microseconds without a tick, as after a freeze.
    Elapse(usize, u64),
    /// Proposes a new change at a node on behalf of a client.
    Propose(usize),
    /// Requests a confirmation from a node on behalf of a client.
    Confirm(usize),
    /// Ends a node's process; this many of its pending writes, oldest first, still reach the disk.
    Crash(usize, usize),
    /// Ends a node's process and erases its disk.
    Wipe(usize),
    /// Starts a node's process if it is down.
    Restart(usize),
    /// Asks a node to leave the group.
    Leave(usize),
}

/// The complete simulated system: all nodes, the network between them, and the oracle.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Settings that every replica is started with.
    pub settings: Settings,
    /// Deliberate errors in the environment; none by default.
    pub planted: PlantedFaults,
    /// Nodes by index, including those that are down.
    pub nodes: Vec<Node>,
    /// Messages in flight, sorted by key.
    pub network: Vec<Envelope>,
    /// Checks the promises made to clients against the committed history.
    pub oracle: Oracle,
    /// Notices of all nodes, each with the node's index, until the caller takes them. `None`
    /// disables the collection.
    pub notices: Option<Vec<(usize, Notice)>>,
    /// State that [`World::bootstrap`] gives to the first node.
    pub initial_state: History,
    /// Maximum number of messages in flight; beyond it, those with the highest keys are dropped.
    pub network_limit: usize,
    seed: u64,
    next_identity: u64,
}

impl World {
    /// Creates a world of `nodes` nodes that are down and have empty disks.
    pub fn new(settings: Settings, nodes: usize, seed: u64) -> Self {
        let node = |index: usize| Node {
            address: format!("n{index}"),
            clock: Time(1_000_000),
            replica: None,
            disk: Vec::new(),
            pending: VecDeque::new(),
            identity: Identity(0),
            incarnations: 0,
            is_leaving: false,
        };
        Self {
            settings,
            planted: PlantedFaults::default(),
            nodes: (0..nodes).map(node).collect(),
            network: Vec::new(),
            oracle: Oracle::default(),
            notices: None,
            initial_state: History::default(),
            network_limit: usize::MAX,
            seed,
            next_identity: 1,
        }
    }

    /// Bootstraps the group on the first node; the others stay down.
    pub fn bootstrap(&mut self) {
        let me = self.new_member(0);
        let node = &mut self.nodes[0];
        node.incarnations += 1;
        let replica = Replica::bootstrap(
            self.settings.clone(),
            me,
            self.initial_state.clone(),
            self.seed,
            node.clock,
        );
        self.start(0, replica);
    }

    fn new_member(&mut self, index: usize) -> Member {
        let node = &mut self.nodes[index];
        let keeps = self.planted.wiped_keeps_identity && node.identity.0 != 0;
        if !keeps {
            node.identity = Identity(self.next_identity);
            self.next_identity += 1;
        }
        Member {
            identity: node.identity,
            address: node.address.clone(),
        }
    }

    fn start(&mut self, index: usize, mut replica: Replica<History>) {
        let all = self.nodes.iter().map(|node| node.address.clone()).collect();
        replica.add_peer_addresses(all);
        let node = &mut self.nodes[index];
        node.replica = Some(replica);
        node.is_leaving = false;
        self.collect(index);
    }

    /// Starts a node's process from the contents of its disk; does nothing if it runs already.
    pub fn restart(&mut self, index: usize) {
        if self.nodes[index].replica.is_some() {
            return;
        }
        self.nodes[index].incarnations += 1;
        let seed = self
            .seed
            .wrapping_add(u64::from(self.nodes[index].incarnations) * 7919 + index as u64);
        let (settings, node) = (self.settings.clone(), &self.nodes[index]);
        let (address, clock) = (node.address.clone(), node.clock);
        let replica = match Recovered::from_items(node.disk.iter().cloned()) {
            Ok(recovered) => Replica::recover(settings, address, recovered, seed, clock),
            Err(RecoverError::Empty) if self.planted.wiped_founder_bootstraps && index == 0 => {
                return self.bootstrap();
            }
            Err(RecoverError::Empty) => {
                let me = self.new_member(index);
                Ok(Replica::learner(settings, me, seed, clock))
            }
            Err(error) => Err(error),
        };
        match replica {
            Ok(replica) => self.start(index, replica),
            Err(error) => self
                .oracle
                .report_violation(format!("node {index} can't read its disk: {error}")),
        }
    }

    /// Ends a node's process. The first `synced_items` of its pending writes still reach the disk.
    pub fn crash(&mut self, index: usize, synced_items: usize) {
        let node = &mut self.nodes[index];
        for _ in 0..synced_items {
            if let Some((_, item)) = node.pending.pop_front() {
                node.write(item);
            }
        }
        node.pending.clear();
        node.replica = None;
        self.oracle.discard_requests(index);
    }

    /// Ends a node's process and erases its disk.
    pub fn wipe(&mut self, index: usize) {
        self.crash(index, 0);
        self.nodes[index].disk.clear();
    }

    /// Applies one action; an action that does not apply to the present state is ignored.
    pub fn act(&mut self, action: &Action) {
        match action {
            Action::Deliver(at) => {
                if *at < self.network.len() {
                    let envelope = self.network.remove(*at);
                    self.deliver(envelope);
                }
            }
            Action::Drop(at) => {
                if *at < self.network.len() {
                    self.network.remove(*at);
                }
            }
            Action::Repeat(at) => {
                if let Some(envelope) = self.network.get(*at).cloned() {
                    self.deliver(envelope);
                }
            }
            Action::Sync(index) => self.sync(*index),
            Action::FailSync(index) => self.fail_sync(*index),
            Action::Tick(index) => self.tick_to_wake(*index),
            Action::Elapse(index, micros) => {
                let node = &mut self.nodes[*index];
                node.clock = node.clock.after(*micros);
            }
            Action::Propose(index) => self.propose(*index),
            Action::Confirm(index) => self.confirm(*index),
            Action::Crash(index, synced_items) => self.crash(*index, *synced_items),
            Action::Wipe(index) => self.wipe(*index),
            Action::Restart(index) => self.restart(*index),
            Action::Leave(index) => self.leave(*index),
        }
    }

    /// Delivers a message if its receiver is up; discards it otherwise.
    pub fn deliver(&mut self, envelope: Envelope) {
        let node = &mut self.nodes[envelope.to];
        let Some(replica) = &mut node.replica else {
            return;
        };
        replica.on_message(node.clock, envelope.message);
        self.collect(envelope.to);
    }

    /// Completes the oldest pending write of a node.
    pub fn sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some((write_id, item)) = node.pending.pop_front() else {
            return;
        };
        node.write(item);
        if let Some(replica) = &mut node.replica {
            replica.on_persisted(node.clock, write_id);
        }
        self.collect(index);
    }

    /// Fails the oldest pending write of a node and discards the later ones.
    pub fn fail_sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some((write_id, _)) = node.pending.pop_front() else {
            return;
        };
        node.pending.clear();
        if let Some(replica) = &mut node.replica {
            replica.on_persist_failed(node.clock, write_id);
        }
        self.collect(index);
    }

    /// Advances a node's clock to its next wake time and ticks the node.
    pub fn tick_to_wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        node.clock = node.clock.max(replica.next_wake());
        self.tick(index);
    }

    /// Ticks a node at its local time. Reports a violation if the next wake time is not later than
    /// that: a process that sleeps until [`Replica::next_wake`] would wake up in a busy loop.
    pub fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let now = node.clock;
        replica.tick(now);
        self.collect(index);
        let wake = self.nodes[index].replica.as_ref().map(Replica::next_wake);
        if let Some(wake) = wake.filter(|wake| *wake <= now) {
            let (wake, now) = (wake.0, now.0);
            self.oracle.report_violation(format!(
                "node {index} was ticked at {now}, and is to be woken at {wake}"
            ));
        }
    }

    /// Proposes a new change at a node on behalf of a client.
    pub fn propose(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let change = self.oracle.next_change();
        let request = replica.propose(node.clock, change.to_le_bytes().to_vec());
        self.oracle
            .on_request(index, request, ClientRequest::Change(change));
        self.collect(index);
    }

    /// Requests a confirmation from a node on behalf of a client.
    pub fn confirm(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        let expected = ClientRequest::AtLeast(self.oracle.committed.len());
        let request = replica.confirm(node.clock);
        self.oracle.on_request(index, request, expected);
        self.collect(index);
    }

    /// Asks a node to leave the group.
    pub fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        node.is_leaving = true;
        replica.leave(node.clock);
        self.collect(index);
    }

    /// Applies the outputs that a node's replica has produced.
    pub fn collect(&mut self, index: usize) {
        let Some(replica) = &mut self.nodes[index].replica else {
            return;
        };
        for output in replica.take_outputs() {
            self.take_output(index, output);
        }
    }

    fn take_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.route(index, &to, message),
            Output::Persist { write_id, item } => {
                self.nodes[index].pending.push_back((write_id, item))
            }
            Output::Completed { request, outcome } => {
                let history = self.history(index);
                self.oracle.on_completed(index, request, &outcome, history);
            }
            Output::Committed(position) => {
                let history = self.history(index);
                self.oracle.on_committed(index, position, &history);
            }
            Output::Notice(notice) => {
                if let Some(notices) = &mut self.notices {
                    notices.push((index, notice));
                }
            }
        }
    }

    fn history(&self, index: usize) -> Vec<u64> {
        let replica = self.nodes[index].replica.as_ref();
        let committed = replica.and_then(|replica| replica.committed());
        committed
            .map(|(_, history)| history.changes.clone())
            .unwrap_or_default()
    }

    fn route(&mut self, from: usize, address: &str, message: Message) {
        let Some(to) = self.nodes.iter().position(|node| node.address == address) else {
            return;
        };
        let key = BuildHasherDefault::<DefaultHasher>::default().hash_one((from, to, &message));
        let at = self.network.partition_point(|envelope| envelope.key < key);
        self.network.insert(
            at,
            Envelope {
                key,
                from,
                to,
                message,
            },
        );
        while self.network.len() > self.network_limit {
            // Keys are hashes, so this drops an effectively random message.
            self.network.pop();
        }
    }

    /// Returns the node that serves as primary; if several do, the one with the highest epoch.
    pub fn serving_node(&self) -> Option<usize> {
        let serves = |index: &usize| {
            self.nodes[*index]
                .replica
                .as_ref()
                .is_some_and(Replica::is_serving)
        };
        let epoch = |index: &usize| self.nodes[*index].replica.as_ref().map(Replica::promised);
        (0..self.nodes.len()).filter(serves).max_by_key(epoch)
    }
}

impl Node {
    fn write(&mut self, item: DurableItem) {
        if matches!(item, DurableItem::Snapshot(_)) {
            // Items before a snapshot are not needed for recovery; the check of identity and order
            // is kept by the last item.
            if let Some(last) = self
                .disk
                .iter()
                .rposition(|item| matches!(item, DurableItem::Snapshot(_)))
            {
                self.disk.drain(..last);
            }
        }
        self.disk.push(item);
    }
}
