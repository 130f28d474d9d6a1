//! How each fault begins and ends: the choice by kind, and which machine a target means.
//!
//! The faults themselves are in files by what they apply to: machines, the network, and callers.

mod callers;
mod machines;
mod network;

use super::{Action, Target, Undo, World};
use crate::disk::DiskFault;
use crate::network::Host;

impl World {
    /// Begins a fault, and schedules its end where it has one.
    pub(super) fn act(&mut self, action: Action) {
        self.last_fault_change_at = self.now();
        self.counts.faults += 1;
        self.record_trace(|| format!("== {action}"));
        match action {
            Action::Kill(target) => self.on_target(target, Self::kill),
            Action::PowerLoss(target) => self.on_target(target, Self::lose_power),
            Action::PowerLossFor(target, duration) => {
                self.on_target(target, |world, host| world.lose_power_for(host, duration));
            }
            Action::Wipe(target) => self.on_target(target, Self::wipe),
            Action::Replace(target, after) => {
                self.on_target(target, |world, host| world.replace(host, after));
            }
            Action::PlannedReplace(target, after) => {
                self.on_target(target, |world, host| world.replace_planned(host, after));
            }
            Action::Terminate(target) => self.on_target(target, Self::terminate_and_restart),
            Action::Freeze(target, duration) => {
                self.on_target(target, |world, host| world.freeze(host, duration));
            }
            Action::Disk(target, fault, duration) => {
                self.on_target(target, |world, host| {
                    world.start_disk_fault(host, fault, duration);
                });
            }
            Action::KillAll => self.kill_all(),
            Action::PowerOffAll => self.power_off_all(),
            Action::WipeAndPowerOff(targets) => self.wipe_and_power_off(&targets),
            Action::Cut {
                targets,
                kind,
                duration,
                holds,
                callers_bound,
            } => self.cut(&targets, kind, duration, holds, callers_bound),
            Action::LoseReplies(duration) => self.lose_replies(duration),
            Action::Harm(harm, duration) => self.harm(harm, duration),
            Action::RestartRouters(target) => self.restart_routers(target),
            Action::Lure(target, one_of) => self.lure(target, one_of),
        }
    }

    /// Ends a fault.
    pub(super) fn undo(&mut self, undo: Undo) {
        self.last_fault_change_at = self.now();
        self.record_trace(|| format!("== end of {undo:?}"));
        match undo {
            Undo::Thaw(host) => self.thaw(host),
            Undo::Heal(cut) => self.heal(cut),
            Undo::Disk(host) => self.set_disk_fault(host, DiskFault::None),
            Undo::Harm => self.end_harm(),
            Undo::Replies => self.are_replies_lost = false,
        }
    }

    /// Applies a fault to the machine that a target means now, if there is one.
    fn on_target(&mut self, target: Target, begin: impl FnOnce(&mut Self, Host)) {
        if let Some(host) = self.resolve(target) {
            begin(self, host);
        }
    }

    fn resolve_all(&self, targets: &[Target]) -> Vec<Host> {
        targets
            .iter()
            .filter_map(|target| self.resolve(*target))
            .collect()
    }

    /// The machine that a target means now; none if no such machine runs.
    pub fn resolve(&self, target: Target) -> Option<Host> {
        let running = || {
            self.machines
                .values()
                .filter(|machine| machine.runs() && !machine.removed)
                .map(|machine| machine.host)
        };
        let primary = self.primary().filter(|host| self.machines[host].runs());
        match target {
            Target::Primary => primary.or_else(|| running().next()),
            Target::Other(number) => {
                let others: Vec<Host> = running().filter(|host| Some(*host) != primary).collect();
                (!others.is_empty()).then(|| others[number as usize % others.len()])
            }
            Target::Oldest => running().next(),
            Target::This(host) => Some(host),
        }
    }
}
