//! Faults of control machines: of their processes, their power and their disks.

use super::super::machine::{AfterEnd, Power};
use super::super::{Event, Target, Undo, World};
use crate::disk::DiskFault;
use crate::network::Host;

/// `gracePeriodS` with half a second to spare, in microseconds.
const GRACE_PERIOD_US: u64 = 7_500_000;
/// Least time without power, in microseconds; up to as much again is added at random.
const POWER_RETURN_DELAY_US: u64 = 700_000;

impl World {
    pub(super) fn kill(&mut self, host: Host) {
        self.stop(host, Power::On);
        self.restart(host);
    }

    pub(super) fn kill_all(&mut self) {
        for host in self.present_machines() {
            self.kill(host);
        }
    }

    /// Power is lost, and returns after the usual delay.
    pub(super) fn lose_power(&mut self, host: Host) {
        self.stop(host, Power::Off);
        let delay = self.power_return_delay();
        self.scheduler.after(delay, Event::Start(host));
    }

    /// Power is lost, and returns after so many microseconds.
    pub(super) fn lose_power_for(&mut self, host: Host, duration: u64) {
        self.stop(host, Power::Off);
        // The delay is drawn here as well, so that what a seed gives stays as it was.
        self.power_return_delay();
        self.scheduler.after(duration, Event::Start(host));
    }

    fn power_return_delay(&mut self) -> u64 {
        POWER_RETURN_DELAY_US + self.random.u64(0..POWER_RETURN_DELAY_US)
    }

    pub(super) fn power_off_all(&mut self) {
        for host in self.present_machines() {
            self.lose_power(host);
        }
    }

    /// The disk is lost with the power; the machine restarts at its address.
    pub(super) fn wipe(&mut self, host: Host) {
        self.lose_power(host);
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.disk.wipe();
        }
    }

    /// The machines that these targets mean lose their disks, and all others lose power.
    pub(super) fn wipe_and_power_off(&mut self, targets: &[Target]) {
        let wiped = self.resolve_all(targets);
        for host in self.present_machines() {
            match wiped.contains(&host) {
                true => self.wipe(host),
                false => self.lose_power(host),
            }
        }
    }

    /// The machine is removed at once; its successor starts after so many microseconds.
    pub(super) fn replace(&mut self, host: Host, after: u64) {
        self.stop(host, Power::Off);
        self.remove(host);
        self.add_successor(host, after);
    }

    /// The process is asked to leave before the machine is removed; its successor starts after so
    /// many microseconds.
    pub(super) fn replace_planned(&mut self, host: Host, after: u64) {
        self.terminate(host, AfterEnd::Remove);
        self.add_successor(host, after);
    }

    /// The process is asked to leave, and restarts once it has ended.
    pub(super) fn terminate_and_restart(&mut self, host: Host) {
        self.terminate(host, AfterEnd::Restart);
    }

    fn terminate(&mut self, host: Host, after_end: AfterEnd) {
        let now = self.now();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.after_end = after_end;
        if let Some(process) = &mut machine.process {
            process.on_terminate(now, now.after(GRACE_PERIOD_US));
        }
        self.apply_effects(host);
    }

    /// The process does not run for so many microseconds; events wait for it.
    pub(super) fn freeze(&mut self, host: Host, duration: u64) {
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.freeze();
        }
        self.scheduler
            .after(duration, Event::Undo(Undo::Thaw(host)));
    }

    /// The process runs again, and handles the events that waited.
    pub(super) fn thaw(&mut self, host: Host) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        for event in machine.thaw() {
            match event {
                Event::Wake(host, _) => self.wake_machine(host),
                other => self.handle(other),
            }
        }
        self.wake_machine(host);
    }

    /// The disk has a fault for so many microseconds.
    pub(super) fn start_disk_fault(&mut self, host: Host, fault: DiskFault, duration: u64) {
        self.set_disk_fault(host, fault);
        self.scheduler
            .after(duration, Event::Undo(Undo::Disk(host)));
    }

    /// Sets the fault of a disk; a batch that had stalled goes on.
    pub(super) fn set_disk_fault(&mut self, host: Host, fault: DiskFault) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let incarnation = machine.incarnation;
        if let Some(remaining) = machine.disk.set_fault(fault, &mut self.random) {
            self.scheduler
                .after(remaining, Event::DiskDone(host, incarnation));
        }
    }
}
