//! The fleet's processes over a day: the faults and planned work that they meet, their restarts, and
//! the record of both.

use crate::bounds::{CONTACT, GRACE};
use crate::journal::{Clock, FaultKind, InjectedFault, Journal, ProcessFault};
use crate::plan::{Action, Target};
use lichenswitch_emulators::fleet_processes::{FleetError, FleetProcesses, Role};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// A process has installed its signal handlers this long after its start.
const SIGNAL_HANDLER_SETUP: Duration = Duration::from_secs(1);
/// A process that has ended by itself is started again after this.
const CRASH_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time between the starts of two machines after a fault of all of them.
const START_STAGGER: Duration = Duration::from_millis(70);
/// Up to so many machines the control processes reach each other over links that can be partitioned: their
/// number grows with the square of that of the machines.
const MAX_LINKED_MACHINES: usize = 8;
/// Texts that no process may log.
const FORBIDDEN_LOG_TEXTS: [&str; 2] = ["invariant violated", "panicked at"];

/// The end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The process is started again.
    Start,
    /// The process is resumed.
    Resume,
    /// All partitions are healed.
    Heal,
}

/// A step and its time.
#[derive(Clone, Copy, Debug)]
struct ScheduledStep {
    at: Duration,
    target: Target,
    step: Step,
}

/// A process that got SIGTERM and has not ended.
#[derive(Clone, Copy, Debug)]
struct Termination {
    terminated_at: Duration,
    /// Time from its end to its next start.
    restart_delay: Duration,
}

/// The processes of the fleet, and the steps that are scheduled for them.
pub struct Processes {
    fleet: FleetProcesses,
    machines: usize,
    clock: Clock,
    started_at: BTreeMap<Target, Duration>,
    terminations: BTreeMap<Target, Termination>,
    scheduled: Vec<ScheduledStep>,
    /// Faults, and rules that processes broke; its other parts stay empty.
    journal: Journal,
}

/// The processes of a machine.
fn targets_of(machine: usize) -> [Target; 2] {
    [(Role::Control, machine), (Role::Router, machine)]
}

/// All processes of a fleet of so many machines.
fn all_targets(machines: usize) -> impl Iterator<Item = Target> {
    (0..machines).flat_map(targets_of)
}

impl Processes {
    /// Starts a fleet of so many machines for the first time.
    ///
    /// # Errors
    /// When there is no room for it, or the program can't be started.
    pub fn start(
        program: &Path,
        more_settings: &str,
        clock: Clock,
        machines: usize,
    ) -> Result<Processes, FleetError> {
        let mut fleet = FleetProcesses::new(program, machines)?
            .with_grace(GRACE.as_secs())
            .with_more_settings(more_settings);
        if machines <= MAX_LINKED_MACHINES {
            fleet = fleet.with_links()?;
        }
        fleet.start_all()?;
        Ok(Processes {
            fleet,
            machines,
            clock,
            started_at: all_targets(machines)
                .map(|target| (target, clock.now()))
                .collect(),
            terminations: BTreeMap::new(),
            scheduled: Vec::new(),
            journal: Journal::default(),
        })
    }

    /// The fleet.
    #[must_use]
    pub fn fleet(&self) -> &FleetProcesses {
        &self.fleet
    }

    /// Whether all processes run and nothing is scheduled.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.scheduled.is_empty()
            && self.terminations.is_empty()
            && self.targets().all(|target| self.is_running(target))
    }

    /// Carries out an action on processes; returns whether it was one.
    ///
    /// # Errors
    /// When a disk can't be emptied.
    pub fn apply(&mut self, action: Action) -> Result<bool, FleetError> {
        match action {
            Action::Restart(machine, restart_delay) => {
                for target in targets_of(machine) {
                    self.terminate(target, restart_delay);
                }
            }
            Action::HangUp(machine) => {
                for target in targets_of(machine) {
                    self.hang_up(target);
                }
            }
            Action::Kill(target, restart_delay) => {
                self.kill(FaultKind::Killed, target, restart_delay);
            }
            Action::Wipe(machine, restart_delay) => self.wipe(machine, restart_delay)?,
            Action::Pause(target, time) => self.pause(target, time),
            Action::KillAll(wiped, restart_delay) => self.kill_all(wiped, restart_delay)?,
            Action::TerminateAgain(machine) => {
                for target in targets_of(machine) {
                    self.terminate_again(target);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// All processes of the fleet.
    fn targets(&self) -> impl Iterator<Item = Target> {
        all_targets(self.machines)
    }

    fn is_running(&self, (role, machine): Target) -> bool {
        self.fleet.has(role, machine)
    }

    /// Whether a process may not have its signal handlers yet: a signal would end it.
    fn is_starting(&self, target: Target) -> bool {
        self.started_at
            .get(&target)
            .is_some_and(|at| self.clock.now() < *at + SIGNAL_HANDLER_SETUP)
    }

    fn is_paused(&self, target: Target) -> bool {
        self.scheduled
            .iter()
            .any(|scheduled| scheduled.target == target && scheduled.step == Step::Resume)
    }

    /// Records a fault that ends at `to`, or for `None` when [`Processes::record_end`] is called.
    fn record(&mut self, kind: FaultKind, target: Target, to: Option<Duration>) {
        self.journal.faults.push(InjectedFault {
            kind,
            target,
            from: self.clock.now(),
            to: to.unwrap_or(Duration::MAX),
        });
    }

    /// Records the end of the faults of a process that last until now.
    fn record_end(&mut self, target: Target) {
        let now = self.clock.now();
        self.journal
            .faults
            .iter_mut()
            .filter(|fault| fault.target == target && fault.to == Duration::MAX)
            .for_each(|fault| fault.to = now);
    }

    fn schedule(&mut self, delay: Duration, target: Target, step: Step) {
        let at = self.clock.now() + delay;
        self.scheduled.push(ScheduledStep { at, target, step });
    }

    fn hang_up(&mut self, target: Target) {
        if self.is_running(target) && !self.is_starting(target) {
            self.record(FaultKind::HungUp, target, Some(self.clock.now()));
            self.fleet.hang_up(target.0, target.1);
        }
    }

    fn terminate(&mut self, target: Target, restart_delay: Duration) {
        if self.terminations.contains_key(&target)
            || self.is_paused(target)
            || self.is_starting(target)
            || !self.is_running(target)
        {
            return;
        }
        self.record(FaultKind::Terminated, target, None);
        let termination = Termination {
            terminated_at: self.clock.now(),
            restart_delay,
        };
        self.terminations.insert(target, termination);
        self.fleet.terminate(target.0, target.1);
    }

    /// Sends SIGTERM to a process that has got it and has not ended.
    fn terminate_again(&mut self, target: Target) {
        if self.terminations.contains_key(&target) && self.is_running(target) {
            self.fleet.terminate(target.0, target.1);
        }
    }

    fn kill(&mut self, kind: FaultKind, target: Target, restart_delay: Duration) {
        if !self.is_running(target) {
            return;
        }
        self.record(kind, target, None);
        self.fleet.kill(target.0, target.1);
        self.terminations.remove(&target);
        self.scheduled
            .retain(|scheduled| scheduled.target != target || scheduled.step == Step::Heal);
        self.schedule(restart_delay, target, Step::Start);
    }

    fn wipe(&mut self, machine: usize, restart_delay: Duration) -> Result<(), FleetError> {
        self.kill(FaultKind::Wiped, (Role::Control, machine), restart_delay);
        self.fleet.wipe(Role::Control, machine)
    }

    fn kill_all(
        &mut self,
        wiped: Option<usize>,
        restart_delay: Duration,
    ) -> Result<(), FleetError> {
        for (role, machine) in self.targets() {
            let is_wiped = role == Role::Control && Some(machine) == wiped;
            let kind = if is_wiped {
                FaultKind::Wiped
            } else {
                FaultKind::Killed
            };
            let stagger = START_STAGGER * u32::try_from(machine).unwrap_or(0);
            self.kill(kind, (role, machine), restart_delay + stagger);
        }
        wiped.map_or(Ok(()), |machine| self.fleet.wipe(Role::Control, machine))
    }

    fn pause(&mut self, target: Target, time: Duration) {
        if !self.is_running(target)
            || self.terminations.contains_key(&target)
            || self.is_paused(target)
        {
            return;
        }
        self.record(FaultKind::Paused, target, None);
        self.fleet.pause(target.0, target.1);
        self.schedule(time, target, Step::Resume);
    }

    /// Partitions the control processes of these machines from the others for a time. A later
    /// partition replaces an earlier one.
    pub fn partition(&mut self, side: &[usize], time: Duration) {
        let healed_at = self.clock.now() + time;
        self.scheduled
            .retain(|scheduled| scheduled.step != Step::Heal);
        self.fleet.partition(side);
        for machine in side {
            let target = (Role::Control, *machine);
            self.record(FaultKind::Partitioned, target, Some(healed_at));
        }
        if let Some(machine) = side.first() {
            self.scheduled.push(ScheduledStep {
                at: healed_at,
                target: (Role::Control, *machine),
                step: Step::Heal,
            });
        }
    }

    /// Carries out the steps that are due, and restarts processes that have ended.
    ///
    /// # Errors
    /// When a process can't be started.
    pub fn tick(&mut self) -> Result<(), FleetError> {
        let now = self.clock.now();
        let (due, scheduled): (Vec<_>, Vec<_>) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|scheduled| scheduled.at <= now);
        self.scheduled = scheduled;
        for ScheduledStep { target, step, .. } in due {
            match step {
                Step::Heal => {
                    self.fleet.partition(&[]);
                    continue;
                }
                Step::Resume => self.fleet.resume(target.0, target.1),
                Step::Start if self.is_running(target) => {}
                Step::Start => {
                    self.fleet.start(target.0, target.1, false)?;
                    self.started_at.insert(target, now);
                }
            }
            self.record_end(target);
        }
        self.restart_ended();
        self.kill_overdue();
        Ok(())
    }

    /// Schedules the start of processes that have ended, and records those that ended by themselves
    /// or with a failure.
    fn restart_ended(&mut self) {
        for ended in self.fleet.ended() {
            let target = (ended.role, ended.machine);
            let termination = self.terminations.remove(&target);
            if termination.is_none() || !ended.status.success() {
                self.journal
                    .process_faults
                    .push(ProcessFault::Ended(target, ended.status.code()));
            }
            let delay = termination.map_or(CRASH_RESTART_DELAY, |ended| ended.restart_delay);
            self.schedule(delay, target, Step::Start);
        }
    }

    /// Kills processes that have not ended within the grace, as the platform does.
    fn kill_overdue(&mut self) {
        let now = self.clock.now();
        let overdue: Vec<(Target, Termination)> = self
            .terminations
            .iter()
            .filter(|(_, termination)| now >= termination.terminated_at + GRACE)
            .map(|(target, termination)| (*target, *termination))
            .collect();
        for (target, termination) in overdue {
            let contact_from = termination.terminated_at.saturating_sub(CONTACT);
            if !self.journal.has_unplanned_fault(contact_from, now) {
                self.journal
                    .process_faults
                    .push(ProcessFault::Overstayed(target));
            }
            self.terminations.remove(&target);
            self.fleet.kill(target.0, target.1);
            self.schedule(termination.restart_delay, target, Step::Start);
        }
    }

    /// Copies the logs of all processes into a folder.
    ///
    /// # Errors
    /// When they can't be copied.
    pub fn copy_logs(&self, to: &Path) -> Result<(), FleetError> {
        for (role, machine) in self.targets() {
            let from = self.fleet.log(role, machine);
            std::fs::copy(&from, to.join(format!("{role}-{machine}.log")))
                .map_err(|source| FleetError::System { path: from, source })?;
        }
        Ok(())
    }

    /// Ends all processes, and returns their faults and the rules that they broke.
    #[must_use]
    pub fn finish(mut self) -> Journal {
        self.fleet.stop_all(Duration::ZERO);
        for target in self.targets() {
            let log = self.fleet.log(target.0, target.1);
            let log = std::fs::read_to_string(log).unwrap_or_default();
            let is_forbidden =
                |line: &&str| FORBIDDEN_LOG_TEXTS.iter().any(|text| line.contains(text));
            let fault = |line: &str| ProcessFault::Logged(target, line.to_owned());
            self.journal
                .process_faults
                .extend(log.lines().filter(is_forbidden).map(fault));
        }
        self.journal
    }
}
