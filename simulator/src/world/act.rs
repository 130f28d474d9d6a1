//! How each fault begins and ends.

use std::collections::BTreeSet;

use lichenswitch_replication::Time;

use super::machine::AfterEnd;
use super::{Action, CutKind, Event, Target, Undo, World};
use crate::disk::DiskFault;
use crate::network::{Harm, Host};

/// `gracePeriodS` with half a second to spare, in microseconds.
const GRACE_PERIOD_US: u64 = 7_500_000;
/// Least time without power, in microseconds; up to as much again is added at random.
const POWER_RETURN_DELAY_US: u64 = 700_000;

impl World {
    #[expect(clippy::too_many_lines, reason = "one arm for each action")]
    pub(super) fn act(&mut self, action: Action) {
        self.last_fault_change_at = self.now();
        self.counts.faults += 1;
        self.note(|| format!("== {action}"));
        match action {
            Action::Kill(target) => self.each(&[target], |world, host| world.kill(host)),
            Action::PowerLoss(target) => {
                self.each(&[target], |world, host| world.lose_power(host, None))
            }
            Action::PowerLossFor(target, duration) => {
                self.each(&[target], |world, host| {
                    world.lose_power(host, Some(duration))
                });
            }
            Action::Wipe(target) => self.each(&[target], Self::wipe),
            Action::Replace(target, after) => {
                self.each(&[target], |world, host| world.replace(host, after))
            }
            Action::PlannedReplace(target, after) => self.each(&[target], |world, host| {
                world.terminate(host, AfterEnd::Remove);
                world.add_successor(host, after);
            }),
            Action::Terminate(target) => {
                self.each(&[target], |world, host| {
                    world.terminate(host, AfterEnd::Restart)
                });
            }
            Action::Freeze(target, duration) => {
                self.each(&[target], |world, host| world.freeze(host, duration))
            }
            Action::Cut {
                targets,
                kind,
                duration,
                holds,
                callers_bound,
            } => {
                self.cut(&targets, kind, duration, holds, callers_bound);
            }
            Action::Disk(target, fault, duration) => {
                self.each(&[target], |world, host| {
                    world.start_disk_fault(host, fault, duration)
                });
            }
            Action::KillAll => self.core().into_iter().for_each(|host| self.kill(host)),
            Action::PowerOffAll => self
                .core()
                .into_iter()
                .for_each(|host| self.lose_power(host, None)),
            Action::WipeAndPowerOff(targets) => self.wipe_and_power_off(&targets),
            Action::LoseReplies(duration) => {
                self.replies_lost = true;
                self.scheduler.after(duration, Event::Undo(Undo::Replies));
            }
            Action::Harm(harm, duration) => {
                self.harmed = true;
                self.network.set_harm(harm);
                self.scheduler.after(duration, Event::Undo(Undo::Harm));
            }
            Action::RestartRouters(target) => {
                let first = self.resolve(target);
                let routers: Vec<Host> = self.routers.keys().copied().collect();
                routers
                    .into_iter()
                    .for_each(|host| self.restart_router(host, first));
            }
            Action::Lure(target, one_of) => self.lure(target, one_of),
        }
    }

    fn each(&mut self, targets: &[Target], act: impl Fn(&mut Self, Host)) {
        for host in self.resolve_all(targets) {
            act(self, host);
        }
    }

    fn resolve_all(&self, targets: &[Target]) -> Vec<Host> {
        targets
            .iter()
            .filter_map(|target| self.resolve(*target))
            .collect()
    }

    /// The machine that a target means now.
    pub fn resolve(&self, target: Target) -> Option<Host> {
        let running = || {
            self.machines
                .values()
                .filter(|machine| machine.runs() && !machine.removed)
        };
        let primary = self.primary().filter(|host| self.machines[host].runs());
        match target {
            Target::Primary => primary.or_else(|| running().next().map(|machine| machine.host)),
            Target::Other(number) => {
                let others: Vec<Host> = running()
                    .map(|m| m.host)
                    .filter(|host| Some(*host) != primary)
                    .collect();
                (!others.is_empty()).then(|| others[number as usize % others.len()])
            }
            Target::Oldest => running().next().map(|machine| machine.host),
            Target::This(host) => Some(host),
        }
    }

    fn kill(&mut self, host: Host) {
        self.stop(host, false);
        self.restart(host);
    }

    fn lose_power(&mut self, host: Host, duration: Option<u64>) {
        self.stop(host, true);
        let usual = POWER_RETURN_DELAY_US + self.random.u64(0..POWER_RETURN_DELAY_US);
        self.scheduler
            .after(duration.unwrap_or(usual), Event::Start(host));
    }

    fn wipe(&mut self, host: Host) {
        self.lose_power(host, None);
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.disk.wipe();
        }
    }

    fn replace(&mut self, host: Host, after: u64) {
        self.stop(host, true);
        self.remove(host);
        self.add_successor(host, after);
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
        self.settle(host);
    }

    fn freeze(&mut self, host: Host, duration: u64) {
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.frozen = true;
        }
        self.scheduler
            .after(duration, Event::Undo(Undo::Thaw(host)));
    }

    fn thaw(&mut self, host: Host) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.frozen = false;
        let backlog = std::mem::take(&mut machine.backlog);
        for event in backlog {
            match event {
                Event::Wake(host, _) => self.wake_machine(host),
                other => self.handle(other),
            }
        }
        self.wake_machine(host);
    }

    fn start_disk_fault(&mut self, host: Host, fault: DiskFault, duration: u64) {
        self.set_disk_fault(host, fault);
        self.scheduler
            .after(duration, Event::Undo(Undo::Disk(host)));
    }

    fn set_disk_fault(&mut self, host: Host, fault: DiskFault) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let incarnation = machine.incarnation;
        if let Some(ends) = machine.disk.set_fault(fault, &mut self.random) {
            self.scheduler
                .after(ends, Event::DiskDone(host, incarnation));
        }
    }

    fn wipe_and_power_off(&mut self, targets: &[Target]) {
        let wiped = self.resolve_all(targets);
        for host in self.core() {
            match wiped.contains(&host) {
                true => self.wipe(host),
                false => self.lose_power(host, None),
            }
        }
    }

    fn cut(
        &mut self,
        targets: &[Target],
        kind: CutKind,
        duration: u64,
        holds: bool,
        callers_bound: u32,
    ) {
        let side: BTreeSet<Host> = self.resolve_all(targets).into_iter().collect();
        let rest: BTreeSet<Host> = self
            .core()
            .into_iter()
            .filter(|host| !side.contains(host))
            .collect();
        let mut links = links_between(&side, &rest, kind);
        for caller in self.callers() {
            let percentile = self.random.u32(0..100);
            let beyond = match percentile {
                _ if percentile < callers_bound => &rest,
                _ if percentile < 2 * callers_bound => &side,
                _ => continue,
            };
            links.extend(
                beyond
                    .iter()
                    .flat_map(|host| [(caller, *host), (*host, caller)]),
            );
        }
        let id = self.network.cut(links, holds);
        self.scheduler.after(duration, Event::Undo(Undo::Heal(id)));
    }

    fn lure(&mut self, target: Target, one_of: u32) {
        let first = self.resolve(target);
        let lured = |number: usize| first.filter(|_| number.is_multiple_of(one_of.max(1) as usize));
        for (number, operator) in self.operators.values_mut().enumerate() {
            operator.set_first(lured(number));
        }
        for (number, reader) in self.readers.values_mut().enumerate() {
            reader.set_first(lured(number));
        }
    }

    pub(super) fn undo(&mut self, undo: Undo) {
        let now: Time = self.now();
        self.last_fault_change_at = now;
        self.note(|| format!("== end of {undo:?}"));
        match undo {
            Undo::Thaw(host) => self.thaw(host),
            Undo::Heal(id) => {
                for arrival in self.network.heal(now, id) {
                    self.scheduler.at(arrival.at, Event::Arrive(arrival));
                }
            }
            Undo::Disk(host) => self.set_disk_fault(host, DiskFault::None),
            Undo::Harm => {
                self.harmed = false;
                self.network.set_harm(Harm::default());
            }
            Undo::Replies => self.replies_lost = false,
        }
    }
}

fn links_between(
    side: &BTreeSet<Host>,
    rest: &BTreeSet<Host>,
    kind: CutKind,
) -> BTreeSet<(Host, Host)> {
    let rest: Vec<Host> = rest
        .iter()
        .copied()
        .take(if kind == CutKind::Partial {
            1
        } else {
            usize::MAX
        })
        .collect();
    let pairs = side
        .iter()
        .flat_map(|one| rest.iter().map(move |other| (*one, *other)));
    let links = pairs.flat_map(|(one, other)| match kind {
        CutKind::Full | CutKind::Partial => vec![(one, other), (other, one)],
        CutKind::Outgoing => vec![(one, other)],
        CutKind::Incoming => vec![(other, one)],
    });
    links.collect()
}
