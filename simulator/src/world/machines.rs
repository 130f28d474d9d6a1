//! Control machines: their start, end and removal.

use lichenswitch_replication::{
    DurableItem, Identity, Member, RecoverError, Recovered, Replica, Settings,
};

use super::machine::{AfterEnd, Machine, Power};
use super::{Event, World, FIRST_MACHINE};
use crate::control::{ControlProcess, GlueFault, Replicated};
use crate::network::Host;
use crate::oracle::Violation;
use crate::packet::Reply;

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
    /// Adds the first machines, which start within [`START_SPREAD_US`].
    pub(super) fn set_up_machines(&mut self) {
        let hosts: Vec<Host> = (0..self.settings.voters)
            .map(|number| Host(FIRST_MACHINE + number))
            .collect();
        for host in &hosts {
            self.add_machine(*host, host.0 % ZONES, true);
        }
        let founder = hosts.first().and_then(|host| self.machines.get_mut(host));
        if let Some(founder) = founder.filter(|_| self.settings.is_founder_diskless) {
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
            seeds.extend(
                self.present_machines()
                    .into_iter()
                    .filter(|seed| *seed != host),
            );
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

    /// Starts the process of a machine from the contents of its disk, unless one runs already or the
    /// machine was removed.
    pub(super) fn start(&mut self, host: Host) {
        let first_call = self.last_number << 20;
        self.last_number += 1;
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        if machine.process.is_some() || machine.removed {
            return;
        }
        if machine.without_disk && !machine.first_start {
            // It relays from now on, which changes nothing that is judged here.
            return self.remove(host);
        }
        match self.replica(host) {
            Ok(replica) => self.start_process(host, replica, first_call),
            Err(reason) => self
                .oracle
                .violations
                .push(Violation::DiskUnreadable(host, reason.to_string())),
        }
    }

    fn start_process(&mut self, host: Host, replica: Replica<Replicated>, first_call: u64) {
        let now = self.now();
        self.last_fault_change_at = now;
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.incarnation += 1;
        machine.first_start = false;
        machine.power = Power::On;
        machine.after_end = AfterEnd::Restart;
        let identity = replica.member().identity;
        let mut process = ControlProcess::new(replica, self.settings.glue, first_call);
        if machine.without_disk {
            process.stand_in(now, self.settings.tolerate);
            machine.after_end = AfterEnd::Remove;
            self.without_disk.insert(identity);
        }
        machine.process = Some(process);
        self.notify_diskless_members();
        self.record_trace(|| format!("{host} starts as {identity}"));
        self.apply_effects(host);
    }

    fn notify_diskless_members(&mut self) {
        let processes = self
            .machines
            .values_mut()
            .filter_map(|machine| machine.process.as_mut());
        processes.for_each(|process| process.set_diskless_members(&self.without_disk));
    }

    /// The replica of a starting process: recovered from its disk, or new where that is empty.
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
        self.record_trace(|| match power {
            Power::On => format!("{host} ends"),
            Power::Off => format!("{host} ends without power"),
        });
    }

    /// Starts a process again after the usual delay.
    pub(super) fn restart(&mut self, host: Host) {
        let after = RESTART_DELAY_US + self.random.u64(0..2 * RESTART_DELAY_US);
        self.scheduler.after(after, Event::Start(host));
    }

    /// The process of a machine, if it has one.
    pub(super) fn process(&mut self, host: Host) -> Option<&mut ControlProcess> {
        self.machines.get_mut(&host)?.process.as_mut()
    }

    /// Removes a machine, which never starts again.
    pub(super) fn remove(&mut self, host: Host) {
        self.last_fault_change_at = self.now();
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.removed = true;
            machine.power = Power::Off;
        }
        self.record_trace(|| format!("{host} is removed"));
    }
}
