//! A run: a group of control machines, its callers, its network, and time.

mod action;
mod callers;
mod check;
mod effects;
mod faults;
mod machine;
mod machine_events;
mod machines;
mod views;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use fastrand::Rng;
use lichenswitch_replication::{Faults, Identity, Time};

pub use self::action::{Action, CutKind, Target};
use self::machine::Machine;
use crate::callers::{Operator, Pace, Reader, Router};
use crate::control::GlueFaults;
use crate::network::{Arrival, CutId, Host, Network};
use crate::oracle::Oracle;
use crate::packet::Packet;
use crate::scheduler::Scheduler;

/// Virtual time at which a run begins; not 0, as that may mean that there is no time.
const BEGIN: Time = Time(1_000_000);
/// Interval of the checks of rules that always hold, in microseconds.
const CHECK_INTERVAL_US: u64 = 100_000;
/// Number of the first control machine; the numbers of callers begin far above.
const FIRST_MACHINE: u32 = 1;
const FIRST_OPERATOR: u32 = 1_000;
const FIRST_READER: u32 = 2_000;
const FIRST_ROUTER: u32 = 3_000;
/// The operators' list of control machines lags by so many microseconds (`seedLagS`).
const LIST_LAG_US: u64 = 3_000_000;
/// Most lines of the trace that are kept; older ones are dropped.
const MAX_TRACE_LINES: usize = 100_000;

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Seed of all that is random.
    pub seed: u64,
    /// Control machines at the start.
    pub voters: u32,
    /// Losses that the group must tolerate.
    pub tolerate: u32,
    /// Operators.
    pub operators: u32,
    /// Readers.
    pub readers: u32,
    /// Routers.
    pub routers: u32,
    /// How fast the operators work.
    pub pace: Pace,
    /// Planted faults of replication.
    pub faults: Faults,
    /// Planted faults of the glue round the replicas.
    pub glue: GlueFaults,
    /// Whether a process that wakes without need violates a rule. Off only where a planted fault
    /// causes that.
    pub checks_wakes: bool,
    /// The first machine, which founds the group, has no disk.
    pub is_founder_diskless: bool,
    /// Whether a trace is kept.
    pub trace: bool,
}

impl WorldSettings {
    /// A group of four that tolerates one loss, with two operators, a reader and three routers.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            voters: 4,
            tolerate: 1,
            operators: 2,
            readers: 1,
            routers: 3,
            pace: Pace::default(),
            faults: Faults::default(),
            glue: GlueFaults::default(),
            checks_wakes: true,
            is_founder_diskless: false,
            trace: false,
        }
    }
}

/// An event of virtual time.
#[derive(Debug)]
enum Event {
    Arrive(Arrival<Packet>),
    Wake(Host, Time),
    DiskDone(Host, u64),
    Start(Host),
    Act(Action),
    Undo(Undo),
    Check,
}

/// The end of a fault.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Thaw(Host),
    Heal(CutId),
    Disk(Host),
    Harm,
    Replies,
}

/// Counters of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Messages between control machines.
    pub messages: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Faults that have begun.
    pub faults: u64,
    /// Largest snapshot that was received from a peer, in bytes.
    pub largest_snapshot: usize,
    /// Snapshots that were received from a peer.
    pub snapshots: u64,
}

/// A run.
pub struct World {
    /// What it consists of.
    pub settings: WorldSettings,
    /// The responses, and the violations found in them.
    pub oracle: Oracle,
    /// Its counters.
    pub counts: Counts,
    scheduler: Scheduler<Event>,
    random: Rng,
    network: Network<Packet>,
    machines: BTreeMap<Host, Machine>,
    operators: BTreeMap<Host, Operator>,
    readers: BTreeMap<Host, Reader>,
    routers: BTreeMap<Host, Router>,
    /// The next wake of each host.
    wakes: BTreeMap<Host, Time>,
    /// How often each host was woken since the last check.
    wake_counts: BTreeMap<Host, u32>,
    /// The operators' list of control machines, with when each version of it was made.
    lists: VecDeque<(Time, Vec<Host>)>,
    /// Number of the last call or connection.
    last_number: u64,
    /// Members that were started without a disk.
    without_disk: BTreeSet<Identity>,
    /// The caller of each call and connection, by its number.
    callers_by_number: BTreeMap<u64, Host>,
    last_fault_change_at: Time,
    is_network_harmed: bool,
    are_replies_lost: bool,
    /// A fault that begins with the next acknowledgement.
    armed_by_acknowledgement: Option<Action>,
    /// A fault that begins so many microseconds after the next order is sent.
    armed_by_order: Option<(u64, Action)>,
    /// More is lost than the group tolerates: what is acknowledged is checked, delays are not.
    is_service_pause_allowed: bool,
    trace: VecDeque<String>,
}

impl World {
    /// A group that starts for the first time: all machines within 0.3 s.
    pub fn new(settings: WorldSettings) -> Self {
        let mut random = Rng::with_seed(settings.seed);
        let network = Network::new(random.u64(..));
        let mut world = Self {
            oracle: Oracle::default(),
            counts: Counts::default(),
            scheduler: Scheduler::new(BEGIN),
            random,
            network,
            machines: BTreeMap::new(),
            operators: BTreeMap::new(),
            readers: BTreeMap::new(),
            routers: BTreeMap::new(),
            wakes: BTreeMap::new(),
            wake_counts: BTreeMap::new(),
            lists: VecDeque::new(),
            last_number: 0,
            without_disk: BTreeSet::new(),
            callers_by_number: BTreeMap::new(),
            last_fault_change_at: BEGIN,
            is_network_harmed: false,
            are_replies_lost: false,
            armed_by_acknowledgement: None,
            armed_by_order: None,
            is_service_pause_allowed: false,
            trace: VecDeque::new(),
            settings,
        };
        world.set_up_machines();
        world.set_up_callers();
        world.scheduler.after(0, Event::Check);
        world
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.scheduler.now()
    }

    /// Runs for so many microseconds, or until a rule is violated.
    pub fn run_for(&mut self, microseconds: u64) {
        let until = self.now().after(microseconds);
        while self.oracle.violations.is_empty() {
            let Some(event) = self.scheduler.next(until) else {
                return;
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(arrival) => self.on_arrival(arrival),
            Event::Wake(host, at) => self.on_wake(host, at),
            Event::DiskDone(host, incarnation) => self.on_disk_done(host, incarnation),
            Event::Start(host) => self.start(host),
            Event::Act(action) => self.act(action),
            Event::Undo(undo) => self.undo(undo),
            Event::Check => {
                self.check();
                self.scheduler.after(CHECK_INTERVAL_US, Event::Check);
            }
        }
    }

    /// Begins a fault after so many microseconds.
    pub fn act_after(&mut self, microseconds: u64, action: Action) {
        self.scheduler.after(microseconds, Event::Act(action));
    }

    /// Begins a fault with the next acknowledgement that a machine sends.
    pub fn act_after_acknowledgement(&mut self, action: Action) {
        self.armed_by_acknowledgement = Some(action);
    }

    /// Begins a fault so many microseconds after the next order that an operator sends, when the
    /// outcome of the order is open.
    pub fn act_after_order(&mut self, microseconds: u64, action: Action) {
        self.armed_by_order = Some((microseconds, action));
    }

    /// Sets whether service may pause from now on: delays aren't checked then. Acknowledged orders
    /// may not be lost, or shown in an older state, either way.
    pub fn set_service_pause_allowed(&mut self, is_allowed: bool) {
        self.is_service_pause_allowed = is_allowed;
        self.last_fault_change_at = self.now();
    }

    /// Begins a fault with the next acknowledgement, or at once if one waits for that already.
    pub fn act_after_acknowledgement_or_now(&mut self, action: Action) {
        match self.armed_by_acknowledgement {
            None => self.armed_by_acknowledgement = Some(action),
            Some(_) => self.act_after(0, action),
        }
    }

    /// Cancels the faults that wait for an acknowledgement or an order.
    pub fn disarm(&mut self) {
        (self.armed_by_acknowledgement, self.armed_by_order) = (None, None);
    }

    /// The trace, the oldest line first.
    pub fn trace(&self) -> impl Iterator<Item = &str> {
        self.trace.iter().map(String::as_str)
    }

    /// Adds a line to the trace, if one is kept.
    fn record_trace(&mut self, text: impl FnOnce() -> String) {
        if !self.settings.trace {
            return;
        }
        if self.trace.len() >= MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        let now = self.now();
        self.trace
            .push_back(format!("{:>9.3} {}", now.since(BEGIN) as f64 / 1e6, text()));
    }

    fn send(&mut self, from: Host, to: Host, packet: Packet, lossy: bool) {
        let now = self.now();
        for arrival in self.network.send(now, from, to, packet, lossy) {
            self.scheduler.at(arrival.at, Event::Arrive(arrival));
        }
    }

    fn on_arrival(&mut self, arrival: Arrival<Packet>) {
        if self.machines.contains_key(&arrival.to) {
            self.on_machine_arrival(arrival);
        } else {
            self.on_caller_arrival(arrival);
        }
    }

    /// Schedules the wake of a host at this time, unless an earlier one is scheduled.
    fn wake_at(&mut self, host: Host, at: Time) {
        let at = at.max(self.now().after(1));
        if at.0 == u64::MAX || self.wakes.get(&host).is_some_and(|wake| *wake <= at) {
            return;
        }
        self.wakes.insert(host, at);
        self.scheduler.at(at, Event::Wake(host, at));
    }

    fn on_wake(&mut self, host: Host, at: Time) {
        if self.wakes.get(&host) != Some(&at) {
            return;
        }
        self.wakes.remove(&host);
        *self.wake_counts.entry(host).or_default() += 1;
        if self.machines.contains_key(&host) {
            self.wake_machine(host);
        } else {
            self.wake_caller(host);
        }
    }

    /// The control machines on the operators' list.
    fn listed(&self) -> Vec<Host> {
        self.lists
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
