//! The processes of a fleet: their start, signals and end.

use super::error::system_error;
use super::{FleetError, FleetProcesses, Role, ROLES};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a process that was asked to end is checked.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Variables of the environment that processes inherit.
const INHERITED_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// A running process.
#[derive(Debug)]
pub(super) struct Process {
    role: Role,
    machine: usize,
    child: Child,
}

impl Process {
    fn is(&self, role: Role, machine: usize) -> bool {
        self.role == role && self.machine == machine
    }
}

/// A process that was started and not stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedProcess {
    /// Its role.
    pub role: Role,
    /// Its machine.
    pub machine: usize,
    /// The operating system's id of the process.
    pub id: u32,
}

/// A process that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedProcess {
    /// Its role.
    pub role: Role,
    /// Its machine.
    pub machine: usize,
    /// How it ended.
    pub status: ExitStatus,
}

impl FleetProcesses {
    /// Starts a process; its log is appended to.
    ///
    /// # Errors
    /// When its files can't be written or the program can't be started.
    pub fn start(
        &mut self,
        role: Role,
        machine: usize,
        first_start: bool,
    ) -> Result<(), FleetError> {
        let settings = self.folder.join(format!("{role}-{machine}.toml"));
        std::fs::write(&settings, self.settings(role, machine, first_start))
            .map_err(|error| system_error(&settings, error))?;
        let child = self.spawn(role, machine, &settings)?;
        self.processes.push(Process {
            role,
            machine,
            child,
        });
        Ok(())
    }

    fn spawn(&self, role: Role, machine: usize, settings: &Path) -> Result<Child, FleetError> {
        let log = self.log(role, machine);
        let (stdout, stderr) = open_log(&log).map_err(|error| system_error(&log, error))?;
        let inherited = INHERITED_VARIABLES
            .iter()
            .filter_map(|name| Some((name, std::env::var_os(name)?)));
        Command::new(&self.program)
            .arg(role.to_string())
            .current_dir(&self.folder)
            .env_clear()
            .env("LICHENSWITCH_CONFIG", settings)
            .envs(inherited)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(|error| system_error(&self.program, error))
    }

    /// Starts all processes for the first time.
    ///
    /// # Errors
    /// As for [`FleetProcesses::start`].
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        for machine in 0..self.machines() {
            for role in ROLES {
                self.start(role, machine, true)?;
            }
        }
        Ok(())
    }

    /// The processes that were started and not stopped.
    #[must_use]
    pub fn started(&self) -> Vec<StartedProcess> {
        self.processes
            .iter()
            .map(|process| StartedProcess {
                role: process.role,
                machine: process.machine,
                id: process.child.id(),
            })
            .collect()
    }

    /// Kills a process, as a crash would; its disk stays.
    pub fn kill(&mut self, role: Role, machine: usize) {
        self.end_processes(Signal::KILL, Duration::ZERO, |process| {
            process.is(role, machine)
        });
    }

    /// Asks a process to end, and kills it after a grace.
    pub fn stop(&mut self, role: Role, machine: usize, grace: Duration) {
        self.end_processes(Signal::TERM, grace, |process| process.is(role, machine));
    }

    /// Asks all processes to end, and kills those that still run after `grace`; returns how many had
    /// to be killed.
    pub fn stop_all(&mut self, grace: Duration) -> usize {
        self.end_processes(Signal::TERM, grace, |_| true)
    }

    /// Kills all processes.
    pub(super) fn kill_all(&mut self) {
        self.end_processes(Signal::KILL, Duration::ZERO, |_| true);
    }

    /// Sends a process SIGTERM and does not wait; [`FleetProcesses::ended`] reports its end.
    pub fn terminate(&mut self, role: Role, machine: usize) {
        self.signal(role, machine, Signal::TERM);
    }

    /// Sends SIGHUP: the settings may have changed.
    pub fn hang_up(&mut self, role: Role, machine: usize) {
        self.signal(role, machine, Signal::HUP);
    }

    /// Stops a process (SIGSTOP) until it is resumed.
    pub fn pause(&mut self, role: Role, machine: usize) {
        self.signal(role, machine, Signal::STOP);
    }

    /// Continues a paused process (SIGCONT).
    pub fn resume(&mut self, role: Role, machine: usize) {
        self.signal(role, machine, Signal::CONT);
    }

    fn signal(&mut self, role: Role, machine: usize, signal: Signal) {
        self.processes
            .iter_mut()
            .filter(|process| process.is(role, machine))
            .for_each(|process| send(&mut process.child, signal));
    }

    /// Whether this process was started and is not known to have ended.
    #[must_use]
    pub fn has(&self, role: Role, machine: usize) -> bool {
        self.processes
            .iter()
            .any(|process| process.is(role, machine))
    }

    /// Processes that have ended since the last call and were not killed; they are no longer part
    /// of the fleet.
    pub fn ended(&mut self) -> Vec<EndedProcess> {
        let mut ended = Vec::new();
        self.processes
            .retain_mut(|process| match process.child.try_wait() {
                Ok(Some(status)) => {
                    ended.push(EndedProcess {
                        role: process.role,
                        machine: process.machine,
                        status,
                    });
                    false
                }
                _ => true,
            });
        ended
    }

    /// Checks that no process has ended by itself.
    ///
    /// # Errors
    /// When one has; the first one found.
    pub fn check(&mut self) -> Result<(), FleetError> {
        for process in &mut self.processes {
            let Ok(Some(status)) = process.child.try_wait() else {
                continue;
            };
            let (role, machine) = (process.role, process.machine);
            let log = std::fs::read_to_string(self.log(role, machine)).unwrap_or_default();
            let log_end = log.lines().last().unwrap_or("(empty)").to_string();
            return Err(FleetError::ProcessEnded {
                role,
                machine,
                status: status.code(),
                log_end,
            });
        }
        Ok(())
    }

    fn end_processes(
        &mut self,
        signal: Signal,
        grace: Duration,
        which: impl Fn(&Process) -> bool,
    ) -> usize {
        let (mut ending, running) = std::mem::take(&mut self.processes)
            .into_iter()
            .partition::<Vec<_>, _>(which);
        self.processes = running;
        for process in &mut ending {
            send(&mut process.child, signal);
        }
        let deadline = Instant::now() + grace;
        let mut killed = 0;
        for process in &mut ending {
            while Instant::now() < deadline && matches!(process.child.try_wait(), Ok(None)) {
                thread::sleep(END_POLL_INTERVAL);
            }
            if matches!(process.child.try_wait(), Ok(None)) {
                killed += usize::from(signal != Signal::KILL);
                send(&mut process.child, Signal::KILL);
            }
            // The status says no more than is known already.
            let _ = process.child.wait();
        }
        killed
    }
}

/// Sends a signal to a process that has not been waited for, so that no other process has its id.
fn send(child: &mut Child, signal: Signal) {
    if matches!(child.try_wait(), Ok(None)) {
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // It may end at this moment: then no signal is needed.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Opens a log for both outputs of a process, behind what it holds.
fn open_log(path: &Path) -> std::io::Result<(File, File)> {
    let file = File::options().create(true).append(true).open(path)?;
    let duplicate = file.try_clone()?;
    Ok((file, duplicate))
}
