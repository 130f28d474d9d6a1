//! A deterministic world of replicas: a network that loses, repeats and reorders, disks that sync
//! late, crash or are lost, and clocks that run as they like. An oracle judges what the replicas
//! report. For tests and simulations only.
//!
//! [`World`] knows no common time: each node's clock advances by itself, so what holds here holds
//! whatever clocks do. [`timed::TimedWorld`] runs the same world in one virtual time, for what must
//! *happen*.

pub mod oracle;
pub mod timed;
pub mod walk;

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use crate::*;

pub use oracle::{ClientRequest, History, Oracle};

/// One node: a process that may be down, its disk and its clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// Its address.
    pub address: String,
    /// Its clock.
    pub clock: Time,
    /// Its process, if it runs.
    pub replica: Option<Replica<History>>,
    /// What is synced.
    pub disk: Vec<DurableItem>,
    /// What waits to be synced.
    pub pending: VecDeque<(WriteId, DurableItem)>,
    /// Its identity; chosen anew with an empty disk.
    pub identity: Identity,
    /// Number of processes that it has had.
    pub incarnations: u32,
    /// It has asked to leave in this incarnation.
    pub is_leaving: bool,
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Orders the network, so that it doesn't matter what was sent first.
    key: u64,
    /// Index of the sender.
    pub from: usize,
    /// Index of the receiver.
    pub to: usize,
    /// What is sent.
    pub message: Message,
}

/// Faults outside of the replicas that tests plant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlantedFaults {
    /// A wiped node comes back under its old identity.
    pub wiped_keeps_identity: bool,
    /// The first node bootstraps a new group after its disk was lost.
    pub wiped_founder_bootstraps: bool,
}

/// An event, or a fault.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The message of this index arrives.
    Deliver(usize),
    /// It is lost.
    Drop(usize),
    /// It arrives, and will arrive again.
    Repeat(usize),
    /// The oldest item that waits at a node is synced.
    Sync(usize),
    /// It can't be written.
    FailSync(usize),
    /// A node's clock goes on to its next wake.
    Tick(usize),
    /// A node's clock goes on by so many microseconds: it was frozen.
    Elapse(usize, u64),
    /// A client proposes at a node.
    Propose(usize),
    /// A client asks a node for a confirmation.
    Confirm(usize),
    /// A node's process ends; so many of the items that waited are on disk all the same.
    Crash(usize, usize),
    /// A node's process ends and its disk is lost.
    Wipe(usize),
    /// A node's process starts.
    Restart(usize),
    /// A node is asked to leave.
    Leave(usize),
}

/// All nodes, the network between them, and the oracle.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Settings of all replicas.
    pub settings: Settings,
    /// Planted faults outside of the replicas.
    pub planted: PlantedFaults,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Messages on their way.
    pub network: Vec<Envelope>,
    /// Judges what is promised to clients.
    pub oracle: Oracle,
    /// Notices of all nodes since they were last taken; kept only if asked for.
    pub notices: Option<Vec<(usize, Notice)>>,
    /// The state that the founder begins with.
    pub initial_state: History,
    /// Most messages on their way; the oldest by key go first.
    pub network_limit: usize,
    seed: u64,
    next_identity: u64,
}

impl World {
    /// `nodes` nodes that are down, with empty disks.
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

    /// The first node bootstraps the group; the others stay down.
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

    /// Starts a node's process on what its disk holds.
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

    /// Ends a node's process. Of what waited for the disk, the first `synced_items` items are there all the
    /// same.
    pub fn crash(&mut self, index: usize, synced_items: usize) {
        let node = &mut self.nodes[index];
        for _ in 0..synced_items {
            if let Some((_, item)) = node.pending.pop_front() {
                node.write(item);
            }
        }
        node.pending.clear();
        node.replica = None;
        self.oracle.forget(index);
    }

    /// Ends a node's process and loses its disk.
    pub fn wipe(&mut self, index: usize) {
        self.crash(index, 0);
        self.nodes[index].disk.clear();
    }

    /// Does one action; one that makes no sense does nothing.
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

    /// A message arrives, if its receiver is up.
    pub fn deliver(&mut self, envelope: Envelope) {
        let node = &mut self.nodes[envelope.to];
        let Some(replica) = &mut node.replica else {
            return;
        };
        replica.on_message(node.clock, envelope.message);
        self.collect(envelope.to);
    }

    /// The oldest item that waits at a node is synced.
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

    /// The oldest item that waits at a node can't be written, and none after it.
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

    /// A node's clock goes on to its next wake.
    pub fn tick_to_wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        node.clock = node.clock.max(replica.next_wake());
        self.tick(index);
    }

    /// A node is ticked at its time. It must then have nothing left to do at that time: a process that
    /// sleeps until [`Replica::next_wake`] would be woken over and over.
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

    /// A client proposes at a node.
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

    /// A client asks a node for a confirmation.
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

    /// A node is asked to leave.
    pub fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        node.is_leaving = true;
        replica.leave(node.clock);
        self.collect(index);
    }

    /// Takes the outputs of a replica.
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
                self.oracle.committed(index, position, &history);
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
            // Keys are as good as random.
            self.network.pop();
        }
    }

    /// The node that serves as primary; of several, the one of the highest epoch.
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
            // What is before a snapshot is not needed; the check of identity and order is kept by the
            // last item.
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
