//! Control machines: their start and end, the events that reach them, and the effects that their
//! processes request.

use lichenswitch_replication::{
    DurableItem, Identity, Member, Notice, Position, RecoverError, Recovered, Replica, Settings,
    Status, Time, WriteId,
};

use super::machine::{AfterEnd, Machine, Power};
use super::{Event, World, FIRST_MACHINE};
use crate::control::{ControlProcess, Effect, GlueFault, Replicated};
use crate::disk::BatchOutcome;
use crate::network::{Arrival, Host};
use crate::oracle::Violation;
use crate::packet::{CallId, Packet, Reply};

/// Zones of the machines.
const ZONES: u32 = 4;
/// All machines start within so many microseconds.
const START_SPREAD_US: u64 = 300_000;
/// Machines that `seedNodes` names.
const SEEDS: usize = 3;
/// Least time before a killed process restarts, in microseconds; up to twice as much is added at
/// random.
const RESTART_DELAY_US: u64 = 150_000;

impl World {
    pub(super) fn set_up_machines(&mut self) {
        let hosts: Vec<Host> = (0..self.settings.voters)
            .map(|number| Host(FIRST_MACHINE + number))
            .collect();
        for host in &hosts {
            self.add_machine(*host, host.0 % ZONES, true);
        }
        let founder = hosts.first().and_then(|host| self.machines.get_mut(host));
        if let Some(founder) = founder.filter(|_| self.settings.founder_without_disk) {
            founder.without_disk = true;
        }
        let seeds: Vec<String> = hosts
            .iter()
            .take(SEEDS)
            .map(|host| self.machines[host].address.clone())
            .collect();
        for host in &hosts {
            if let Some(machine) = self.machines.get_mut(host) {
                machine.seeds.clone_from(&seeds);
            }
            let after = self.random.u64(0..START_SPREAD_US);
            self.scheduler.after(after, Event::Start(*host));
        }
        self.lists.push_back((self.now(), hosts));
    }

    fn add_machine(&mut self, host: Host, zone: u32, first_start: bool) {
        self.network.place(host, zone);
        self.machines
            .insert(host, Machine::new(host, zone, first_start));
    }

    /// A new machine in the zone of another, at a new address, which starts after so many
    /// microseconds.
    pub(super) fn add_successor(&mut self, of: Host, after: u64) -> Host {
        let last = self
            .machines
            .keys()
            .last()
            .map_or(FIRST_MACHINE, |host| host.0);
        let host = Host(last + 1);
        let zone = self.machines[&of].zone;
        self.add_machine(host, zone, false);
        let mut seeds = self.listed();
        self.random.shuffle(&mut seeds);
        if seeds.len() < SEEDS {
            // Three are named wherever three serve, also where most had no power when the list was
            // made.
            seeds.extend(self.core().into_iter().filter(|seed| *seed != host));
        }
        let seeds = seeds
            .iter()
            .take(SEEDS)
            .map(|seed| self.machines[seed].address.clone())
            .collect();
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.seeds = seeds;
        }
        self.scheduler.after(after, Event::Start(host));
        host
    }

    /// The process of a machine starts, with what its disk holds.
    pub(super) fn start(&mut self, host: Host) {
        let now = self.now();
        let first_call = self.last_number << 20;
        self.last_number += 1;
        let runs = self
            .machines
            .get(&host)
            .is_none_or(|machine| machine.process.is_some() || machine.removed);
        if runs {
            return;
        }
        if self
            .machines
            .get(&host)
            .is_some_and(|machine| machine.without_disk && !machine.first_start)
        {
            // It relays from now on, which changes nothing that is judged here.
            return self.remove(host);
        }
        let replica = match self.replica(host) {
            Ok(replica) => replica,
            Err(reason) => {
                return self
                    .oracle
                    .violations
                    .push(Violation::DiskUnreadable(host, reason.to_string()))
            }
        };
        self.last_fault_change_at = now;
        let (glue, tolerated) = (self.settings.glue, self.settings.tolerate);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.incarnation += 1;
        machine.first_start = false;
        machine.power = Power::On;
        machine.after_end = AfterEnd::Restart;
        let identity = replica.member().identity;
        let mut process = ControlProcess::new(replica, glue, first_call);
        if machine.without_disk {
            process.stand_in(now, tolerated);
            machine.after_end = AfterEnd::Remove;
            self.without_disk.insert(identity);
        }
        machine.process = Some(process);
        self.notify_diskless_members();
        self.note(|| format!("{host} starts as {identity}"));
        self.settle(host);
    }

    fn notify_diskless_members(&mut self) {
        let processes = self
            .machines
            .values_mut()
            .filter_map(|machine| machine.process.as_mut());
        processes.for_each(|process| process.set_diskless_members(&self.without_disk));
    }

    fn replica(&mut self, host: Host) -> Result<Replica<Replicated>, RecoverError> {
        let now = self.now();
        let (seed, identity) = (self.random.u64(..), Identity(self.random.u64(1..)));
        let settings = self.replication_settings();
        let machine = &self.machines[&host];
        let address = machine.address.clone();
        let mut replica = if machine.disk.is_empty() {
            let founds = machine.first_start && machine.seeds.first() == Some(&address);
            let member = Member { identity, address };
            let state = Replicated::new(self.settings.glue.has(GlueFault::LoseHistory));
            match founds {
                true => Replica::bootstrap(settings, member, state, seed, now),
                false => Replica::learner(settings, member, seed, now),
            }
        } else {
            let items: Vec<DurableItem> = machine.disk.items().to_vec();
            let recovered = Recovered::from_items(items)?;
            Replica::recover(settings, address, recovered, seed, now)?
        };
        replica.add_peer_addresses(machine.seeds.clone());
        Ok(replica)
    }

    fn replication_settings(&self) -> Settings {
        Settings {
            fault_tolerance: self.settings.tolerate,
            faults: self.settings.faults,
            ..Settings::default()
        }
    }

    /// A process ends: it is killed, or loses its power. Calls and connections end with a reset, or
    /// without one where there is no power.
    pub(super) fn stop(&mut self, host: Host, power: Power) {
        self.last_fault_change_at = self.now();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.incarnation += 1;
        machine.power = power;
        machine.backlog = None;
        machine.disk.stop(&mut self.random);
        if machine.without_disk {
            machine.disk.wipe();
        }
        let Some(process) = machine.process.take() else {
            return;
        };
        self.wakes.remove(&host);
        let (calls, connections) = process.open();
        for call in calls {
            self.reply(host, *call, Reply::Closed, power);
        }
        let resets = match power {
            Power::On => connections,
            Power::Off => Vec::new(),
        };
        for connection in resets {
            self.send_to_router(host, connection, None);
        }
        self.note(|| match power {
            Power::On => format!("{host} ends"),
            Power::Off => format!("{host} ends without power"),
        });
    }

    /// Starts a process again after the usual delay.
    pub(super) fn restart(&mut self, host: Host) {
        let after = RESTART_DELAY_US + self.random.u64(0..2 * RESTART_DELAY_US);
        self.scheduler.after(after, Event::Start(host));
    }

    pub(super) fn on_machine_arrival(&mut self, arrival: Arrival<Packet>) {
        let Some(machine) = self.machines.get_mut(&arrival.to) else {
            return;
        };
        if let Some(backlog) = &mut machine.backlog {
            return backlog.push(Event::Arrive(arrival));
        }
        if machine.process.is_none() {
            return self.reset(&arrival);
        }
        let now = self.now();
        let from = self
            .machines
            .get(&arrival.from)
            .map(|machine| machine.address.clone());
        let Some(process) = self.process(arrival.to) else {
            return;
        };
        match arrival.packet {
            Packet::Peer(message) => process.on_peer(now, &from.unwrap_or_default(), message),
            Packet::Call(id, question) => process.on_call(now, id, question),
            Packet::FromRouter(id, message) => process.on_router(id, now, message.as_ref()),
            Packet::Reply(..) | Packet::ToRouter(..) => {}
        }
        self.settle(arrival.to);
    }

    /// No process listens there: the connection is reset, unless the machine has no power.
    fn reset(&mut self, arrival: &Arrival<Packet>) {
        if self.machines[&arrival.to].power == Power::Off {
            return;
        }
        match arrival.packet {
            Packet::Call(id, _) => self.reply(arrival.to, id, Reply::Closed, Power::On),
            Packet::FromRouter(id, Some(_)) => {
                self.send(arrival.to, arrival.from, Packet::ToRouter(id, None), false);
            }
            _ => {}
        }
    }

    fn process(&mut self, host: Host) -> Option<&mut ControlProcess> {
        self.machines.get_mut(&host)?.process.as_mut()
    }

    pub(super) fn wake_machine(&mut self, host: Host) {
        let now = self.now();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        if let Some(backlog) = &mut machine.backlog {
            return backlog.push(Event::Wake(host, now));
        }
        if let Some(process) = self.process(host) {
            process.tick(now);
        }
        self.settle(host);
    }

    pub(super) fn on_disk_done(&mut self, host: Host, incarnation: u64) {
        let now = self.now();
        let Some(machine) = self
            .machines
            .get_mut(&host)
            .filter(|machine| machine.incarnation == incarnation)
        else {
            return;
        };
        if let Some(backlog) = &mut machine.backlog {
            return backlog.push(Event::DiskDone(host, incarnation));
        }
        let finished = machine.disk.finish_batch(&mut self.random);
        if let Some(process) = &mut machine.process {
            match finished {
                BatchOutcome::Persisted(write_id) => process.on_persisted(now, write_id),
                BatchOutcome::Failed(write_id) => process.on_persist_failed(now, write_id),
                BatchOutcome::Stalled => {}
            }
        }
        self.begin_write(host);
        self.settle(host);
    }

    fn begin_write(&mut self, host: Host) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let incarnation = machine.incarnation;
        if let Some(duration) = machine.disk.begin_batch(&mut self.random) {
            self.scheduler
                .after(duration, Event::DiskDone(host, incarnation));
        }
    }

    /// Carries out the effects that a process requests.
    pub(super) fn settle(&mut self, host: Host) {
        let now = self.now();
        let Some(process) = self.process(host) else {
            return;
        };
        let effects = process.take_effects(now);
        for effect in effects {
            self.do_effect(host, effect);
        }
        let Some(process) = self.process(host) else {
            return;
        };
        let wake = process.next_wake();
        self.wake_at(host, wake);
    }

    fn do_effect(&mut self, host: Host, effect: Effect) {
        match effect {
            Effect::Persist(write_id, item) => self.persist(host, write_id, item),
            Effect::SendPeer(to, message) => self.send_peer(host, &to, Packet::Peer(message)),
            Effect::Reply(id, reply) => self.reply(host, id, reply, Power::On),
            Effect::ToRouter(id, message) => self.send_to_router(host, id, Some(message)),
            Effect::Committed(position) => self.on_committed(host, position),
            Effect::Notice(notice) => self.on_notice(host, &notice),
            Effect::End => self.on_end(host),
        }
    }

    /// A segment that is nearly full begins anew with everything that the item and those before it
    /// come to.
    fn persist(&mut self, host: Host, write_id: WriteId, item: DurableItem) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let whole = machine
            .process
            .as_ref()
            .filter(|_| machine.disk.wants_snapshot());
        let item = whole
            .and_then(|process| process.replica().snapshot_for(write_id))
            .unwrap_or(item);
        machine.disk.submit(write_id, item);
        self.begin_write(host);
    }

    fn send_peer(&mut self, host: Host, to: &str, packet: Packet) {
        self.counts.messages += 1;
        if let Packet::Peer(lichenswitch_messages::PeerMessage::Replication(bytes)) = &packet {
            self.counts.bytes += bytes.len() as u64;
        }
        let to = self
            .machines
            .values()
            .find(|machine| machine.address == to)
            .map(|machine| machine.host);
        if let Some(to) = to {
            self.send(host, to, packet, true);
        }
    }

    /// Ends a call; where the machine has no power, no response is sent.
    pub(super) fn reply(&mut self, host: Host, id: CallId, reply: Reply, power: Power) {
        let now = self.now();
        let acknowledged = self.oracle.on_reply(now, host, id, &reply);
        let caller = self.caller_of(id);
        if let Some(caller) = caller.filter(|_| power == Power::On && !self.replies_lost) {
            self.send(host, caller, Packet::Reply(id, reply), false);
        }
        if let Some(action) = self.armed.take_if(|_| acknowledged) {
            self.act_after(0, action);
        }
    }

    fn on_committed(&mut self, host: Host, position: Position) {
        let Some(process) = self
            .machines
            .get(&host)
            .and_then(|machine| machine.process.as_ref())
        else {
            return;
        };
        // Several positions may have been committed at once: only the last one's state is here.
        if let Some((here, replicated)) = process
            .replica()
            .committed()
            .filter(|(here, _)| *here == position)
        {
            self.oracle.on_committed(host, here, replicated);
        }
    }

    fn on_notice(&mut self, host: Host, notice: &Notice) {
        if let Notice::SnapshotReceived { bytes, .. } = notice {
            self.counts.snapshots += 1;
            self.counts.largest_snapshot = self.counts.largest_snapshot.max(*bytes);
        }
        self.note(|| format!("{host} {notice:?}"));
    }

    /// The process has ended by itself, as it was told to.
    fn on_end(&mut self, host: Host) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let after_end = machine.after_end;
        match after_end {
            AfterEnd::Restart => {
                self.stop(host, Power::On);
                self.restart(host);
            }
            AfterEnd::Remove => {
                self.stop(host, Power::Off);
                self.remove(host);
            }
        }
    }

    /// A machine is gone for good.
    pub(super) fn remove(&mut self, host: Host) {
        self.last_fault_change_at = self.now();
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.removed = true;
            machine.power = Power::Off;
        }
        self.note(|| format!("{host} is removed"));
    }

    /// Machines that have not been removed.
    pub fn core(&self) -> Vec<Host> {
        self.machines
            .values()
            .filter(|machine| !machine.removed)
            .map(|machine| machine.host)
            .collect()
    }

    /// How a machine's replica sees itself.
    pub fn status(&self, host: Host) -> Option<Status> {
        let process = self.machines.get(&host)?.process.as_ref()?;
        Some(process.replica().status(self.now()))
    }

    /// The machine that serves as primary, of the highest epoch.
    pub fn primary(&self) -> Option<Host> {
        let serving = self.machines.values().filter_map(|machine| {
            let replica = machine.process.as_ref()?.replica();
            replica
                .is_serving()
                .then(|| (replica.promised(), machine.host))
        });
        serving.max().map(|(_, host)| host)
    }

    /// The committed state at a machine.
    pub fn committed(&self, host: Host) -> Option<(Position, &Replicated)> {
        self.machines
            .get(&host)?
            .process
            .as_ref()?
            .replica()
            .committed()
    }

    /// Bytes of the encoded state at the primary.
    pub fn state_bytes(&self) -> usize {
        let committed = self.primary().and_then(|host| self.committed(host));
        committed.map_or(0, |(_, replicated)| replicated.state().encode().len())
    }

    /// When a fault last began or ended.
    pub fn last_fault_change_at(&self) -> Time {
        self.last_fault_change_at
    }
}
