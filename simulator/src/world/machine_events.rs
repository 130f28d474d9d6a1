//! Events that reach control machines: packets, wakes, and the ends of writes.

use super::machine::Power;
use super::{Event, World};
use crate::disk::BatchOutcome;
use crate::network::{Arrival, Host};
use crate::packet::{Packet, Reply};

impl World {
    /// A packet arrives at a machine; while the process is frozen it waits.
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
        self.apply_effects(arrival.to);
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

    /// The time has come at which a process asked to be woken.
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
        self.apply_effects(host);
    }

    /// The time of a batch of writes has passed.
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
        self.apply_effects(host);
    }

    /// Begins to write the submitted items, unless a batch is being written.
    pub(super) fn begin_write(&mut self, host: Host) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let incarnation = machine.incarnation;
        if let Some(duration) = machine.disk.begin_batch(&mut self.random) {
            self.scheduler
                .after(duration, Event::DiskDone(host, incarnation));
        }
    }
}
