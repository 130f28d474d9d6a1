//! The fleet's processes over a day: what is done to them, their restarts, and the record of both.

use crate::bounds::{CONTACT, GRACE, MACHINES};
use crate::journal::{Clock, FaultKind, InjectedFault, Journal, ProcessFault};
use crate::plan::{Action, Target};
use lichenswitch_emulators::fleet_processes::{FleetError, FleetProcesses, Role};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// A process that was started so shortly before may not have its handlers of signals yet.
const STARTING: Duration = Duration::from_secs(1);
/// A process that has ended by itself is started again after this.
const PLATFORM_DELAY: Duration = Duration::from_millis(200);
/// Between the starts of two machines that are started together.
const SPREAD: Duration = Duration::from_millis(70);
/// What no process may say.
const FORBIDDEN: [&str; 2] = ["invariant violated", "panicked at"];

/// What is due later.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    Resume,
    Heal,
}

/// A process that was told to end.
#[derive(Clone, Copy, Debug)]
struct Ending {
    since: Duration,
    rest: Duration,
}

/// The processes and what is due of them.
pub struct Processes {
    fleet: FleetProcesses,
    clock: Clock,
    started: BTreeMap<Target, Duration>,
    ending: BTreeMap<Target, Ending>,
    later: Vec<(Duration, Target, Step)>,
    journal: Journal,
}

/// Every process of the fleet.
fn targets() -> impl Iterator<Item = Target> {
    (0..MACHINES).flat_map(|machine| [(Role::Control, machine), (Role::Router, machine)])
}

impl Processes {
    /// Starts a fleet for the first time.
    ///
    /// # Errors
    /// When there is no room for it, or the program can't be started.
    pub fn start(
        program: &Path,
        more_settings: &str,
        clock: Clock,
    ) -> Result<Processes, FleetError> {
        let fleet = FleetProcesses::new(program, MACHINES)?.with_grace(GRACE.as_secs());
        let mut fleet = fleet.with_more_settings(more_settings).with_links()?;
        fleet.start_all()?;
        let started = targets().map(|target| (target, clock.now())).collect();
        let (ending, later, journal) = (BTreeMap::new(), Vec::new(), Journal::default());
        Ok(Processes {
            fleet,
            clock,
            started,
            ending,
            later,
            journal,
        })
    }

    /// The fleet.
    #[must_use]
    pub fn fleet(&self) -> &FleetProcesses {
        &self.fleet
    }

    /// Whether all processes run and nothing is due.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.later.is_empty()
            && self.ending.is_empty()
            && targets().all(|target| self.fleet.has(target.0, target.1))
    }

    /// Does what is to be done to processes; tells whether it was that.
    ///
    /// # Errors
    /// When a disk can't be emptied.
    pub fn act(&mut self, action: Action) -> Result<bool, FleetError> {
        match action {
            Action::Restart(machine, rest) => {
                self.terminate((Role::Control, machine), rest);
                self.terminate((Role::Router, machine), rest);
            }
            Action::HangUp(machine) => {
                for target in [(Role::Control, machine), (Role::Router, machine)] {
                    // One that has no handler yet would end of it.
                    if self.runs(target) && !self.is_starting(target) {
                        self.record(FaultKind::HungUp, target, Some(self.clock.now()));
                        self.fleet.hang_up(target.0, target.1);
                    }
                }
            }
            Action::Kill(target, rest) => self.kill(FaultKind::Killed, target, rest),
            Action::Wipe(machine, rest) => self.wipe(machine, rest)?,
            Action::ProcessPause(target, time) => self.process_pause(target, time),
            Action::KillAll(wiped, rest) => self.kill_all(wiped, rest)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn runs(&self, target: Target) -> bool {
        self.fleet.has(target.0, target.1)
    }

    fn is_starting(&self, target: Target) -> bool {
        self.started
            .get(&target)
            .is_some_and(|at| self.clock.now() < *at + STARTING)
    }

    fn is_paused(&self, target: Target) -> bool {
        self.later
            .iter()
            .any(|(_, whom, step)| *whom == target && matches!(step, Step::Resume))
    }

    fn record(&mut self, kind: FaultKind, target: Target, to: Option<Duration>) {
        let from = self.clock.now();
        self.journal.faults.push(InjectedFault {
            kind,
            target,
            from,
            to: to.unwrap_or(Duration::MAX),
        });
    }

    /// What befell a process is over.
    fn close(&mut self, target: Target) {
        let now = self.clock.now();
        let open = |fault: &&mut InjectedFault| fault.target == target && fault.to == Duration::MAX;
        self.journal
            .faults
            .iter_mut()
            .filter(open)
            .for_each(|fault| fault.to = now);
    }

    fn terminate(&mut self, target: Target, rest: Duration) {
        let busy =
            self.ending.contains_key(&target) || self.is_paused(target) || self.is_starting(target);
        if busy || !self.runs(target) {
            return;
        }
        self.record(FaultKind::Terminated, target, None);
        self.ending.insert(
            target,
            Ending {
                since: self.clock.now(),
                rest,
            },
        );
        self.fleet.terminate(target.0, target.1);
    }

    fn kill(&mut self, kind: FaultKind, target: Target, rest: Duration) {
        if !self.runs(target) {
            return;
        }
        self.record(kind, target, None);
        self.fleet.kill(target.0, target.1);
        self.ending.remove(&target);
        self.later
            .retain(|(_, whom, step)| *whom != target || matches!(step, Step::Heal));
        self.start_after(target, rest);
    }

    fn wipe(&mut self, machine: usize, rest: Duration) -> Result<(), FleetError> {
        let target = (Role::Control, machine);
        self.kill(FaultKind::Wiped, target, rest);
        self.fleet.wipe(target.0, target.1)
    }

    fn kill_all(&mut self, wiped: Option<usize>, rest: Duration) -> Result<(), FleetError> {
        for (role, machine) in targets() {
            let is_wiped = role == Role::Control && Some(machine) == wiped;
            let kind = if is_wiped {
                FaultKind::Wiped
            } else {
                FaultKind::Killed
            };
            let spread = SPREAD * u32::try_from(machine).unwrap_or(0);
            self.kill(kind, (role, machine), rest + spread);
        }
        wiped.map_or(Ok(()), |machine| self.fleet.wipe(Role::Control, machine))
    }

    fn process_pause(&mut self, target: Target, time: Duration) {
        if !self.runs(target) || self.ending.contains_key(&target) || self.is_paused(target) {
            return;
        }
        self.record(FaultKind::Paused, target, None);
        self.fleet.pause(target.0, target.1);
        self.later
            .push((self.clock.now() + time, target, Step::Resume));
    }

    /// Cuts the control processes of these machines off from the others for a time. A later cut
    /// takes the place of an earlier one.
    pub fn cut(&mut self, side: &[usize], time: Duration) {
        let until = self.clock.now() + time;
        self.later
            .retain(|(_, _, step)| !matches!(step, Step::Heal));
        self.fleet.partition(side);
        for machine in side {
            self.record(FaultKind::Cut, (Role::Control, *machine), Some(until));
        }
        if let Some(machine) = side.first() {
            self.later
                .push((until, (Role::Control, *machine), Step::Heal));
        }
    }

    fn start_after(&mut self, target: Target, rest: Duration) {
        self.later
            .push((self.clock.now() + rest, target, Step::Start));
    }

    /// Does what is due.
    ///
    /// # Errors
    /// When a process can't be started.
    pub fn tick(&mut self) -> Result<(), FleetError> {
        let now = self.clock.now();
        let (due_at, later) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.later = later;
        let due_at: Vec<(Duration, Target, Step)> = due_at;
        for (_, target, step) in due_at {
            if matches!(step, Step::Heal) {
                self.fleet.partition(&[]);
                continue;
            }
            match step {
                Step::Heal => {}
                Step::Resume => self.fleet.resume(target.0, target.1),
                Step::Start if self.runs(target) => {}
                Step::Start => {
                    self.fleet.start(target.0, target.1, false)?;
                    self.started.insert(target, now);
                }
            }
            self.close(target);
        }
        self.take_ends();
        self.kill_overdue();
        Ok(())
    }

    fn take_ends(&mut self) {
        for ended in self.fleet.ended() {
            let target = (ended.role, ended.machine);
            let ending = self.ending.remove(&target);
            if ending.is_none() || !ended.status.success() {
                self.journal
                    .process_faults
                    .push(ProcessFault::Ended(target, ended.status.code()));
            }
            self.start_after(target, ending.map_or(PLATFORM_DELAY, |ending| ending.rest));
        }
    }

    /// The platform kills what has not ended in the grace.
    fn kill_overdue(&mut self) {
        let now = self.clock.now();
        let overdue: Vec<(Target, Ending)> = self
            .ending
            .iter()
            .filter(|(_, e)| now >= e.since + GRACE)
            .map(|(t, e)| (*t, *e))
            .collect();
        for (target, ending) in overdue {
            if !self
                .journal
                .is_troubled(ending.since.saturating_sub(CONTACT), now)
            {
                self.journal
                    .process_faults
                    .push(ProcessFault::Overstayed(target));
            }
            self.ending.remove(&target);
            self.fleet.kill(target.0, target.1);
            self.start_after(target, ending.rest);
        }
    }

    /// Copies the logs into this folder.
    ///
    /// # Errors
    /// When they can't be copied.
    pub fn copy_logs(&self, to: &Path) -> Result<(), FleetError> {
        for (role, machine) in targets() {
            let from = self.fleet.log(role, machine);
            std::fs::copy(&from, to.join(format!("{role}-{machine}.log")))
                .map_err(|source| FleetError::System { path: from, source })?;
        }
        Ok(())
    }

    /// Ends all processes, and tells what was done to them and what they did wrong.
    #[must_use]
    pub fn finish(mut self) -> Journal {
        self.fleet.stop_all(Duration::ZERO);
        for (role, machine) in targets() {
            let log = std::fs::read_to_string(self.fleet.log(role, machine)).unwrap_or_default();
            let bad = log
                .lines()
                .filter(|line| FORBIDDEN.iter().any(|word| line.contains(word)));
            let fault = |line: &str| ProcessFault::Logged((role, machine), line.to_owned());
            self.journal.process_faults.extend(bad.map(fault));
        }
        self.journal
    }
}
