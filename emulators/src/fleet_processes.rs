//! Runs a fleet of processes of the program `lichenswitch-fleet` on loopback: a control process and a
//! router on each machine, with generated settings, a folder for each disk and a file for each log.
//! Processes are started, stopped and killed by their ids. The module uses the program's command,
//! settings and addresses alone.

pub mod demonstration;
mod links;

use links::Links;
use rustix::process::{kill_process, Pid, Signal};
use std::fmt;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The port of control processes for calls; the same on all machines, as in a deployment.
const CONTROL_PORT: u16 = 8_262;
/// The port of routers for clients.
const FRONT_PORT: u16 = 8_263;
/// The port of routers for readiness checks.
const READY_PORT: u16 = 8_268;
/// The first and the last port for connections between processes.
const INTERNAL_PORTS: (u16, u16) = (7_300, 7_315);
/// The port whose listener at the last address of a block reserves the block.
const BLOCK_LOCK_PORT: u16 = 8_261;
/// The most machines of a fleet.
const MAX_MACHINES: usize = 200;
/// `gracePeriodS` where [`FleetProcesses::with_grace`] sets no other.
const DEFAULT_GRACE_SECONDS: u64 = 2;

/// Why a fleet could not be run.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The program doesn't exist.
    #[error("no program at {}: build it, or name it with --program", .0.display())]
    NoProgram(PathBuf),
    /// No block of loopback addresses is free.
    #[error("no block of loopback addresses has its ports free")]
    NoAddresses,
    /// A file, folder or process could not be used.
    #[error("{}: {source}", path.display())]
    System {
        /// The file or folder, or the program.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process ended by itself.
    #[error(
        "the {role} process of machine {machine} ended by itself with {}; its log ends: {log_end}",
        status.map_or("a signal".into(), |status| format!("status {status}"))
    )]
    ProcessEnded {
        /// Its role.
        role: Role,
        /// Its machine.
        machine: usize,
        /// Its exit status; `None`: a signal ended it.
        status: Option<i32>,
        /// The last line of its log.
        log_end: String,
    },
    /// This did not happen in time.
    #[error("in the time allowed, {0}")]
    Timeout(&'static str),
}

fn system_error(path: &Path, source: std::io::Error) -> FleetError {
    FleetError::System {
        path: path.to_path_buf(),
        source,
    }
}

/// The role of a process: the program's subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Stores the configuration and the membership of servers.
    Control,
    /// Accepts clients.
    Router,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Control => "control",
            Role::Router => "router",
        })
    }
}

/// Both roles, in the order in which they start.
const ROLES: [Role; 2] = [Role::Control, Role::Router];

/// A running process.
#[derive(Debug)]
struct Process {
    role: Role,
    machine: usize,
    child: Child,
}

/// A fleet and its running processes. Dropping it kills them and removes its folder.
#[derive(Debug)]
pub struct FleetProcesses {
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<Ipv4Addr>,
    processes: Vec<Process>,
    grace_seconds: u64,
    /// Text at the end of each settings file.
    more_settings: String,
    links: Links,
    _block_lock: TcpListener,
}

/// A process that has ended, and its status.
pub type EndedProcess = (Role, usize, ExitStatus);

impl FleetProcesses {
    /// A fleet of so many machines with nothing started; 200 machines at most. Machine 0 is at
    /// 127.0.0.2 where that is free, the others behind it.
    ///
    /// # Errors
    /// When the program is missing, or there is no room for addresses or files.
    pub fn new(program: &Path, machines: usize) -> Result<FleetProcesses, FleetError> {
        static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);
        let program = program
            .canonicalize()
            .map_err(|_| FleetError::NoProgram(program.into()))?;
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let (addresses, block_lock) =
            addresses(machines.min(MAX_MACHINES)).ok_or(FleetError::NoAddresses)?;
        let folder = std::env::temp_dir().join(format!("fleet-{}-{number}", std::process::id()));
        let (processes, grace_seconds) = (Vec::new(), DEFAULT_GRACE_SECONDS);
        let (more_settings, links) = (String::new(), Links::default());
        let fleet = FleetProcesses {
            program,
            folder,
            addresses,
            processes,
            grace_seconds,
            more_settings,
            links,
            _block_lock: block_lock,
        };
        for machine in 0..fleet.addresses.len() {
            for role in ROLES {
                let disk = fleet.disk(role, machine);
                std::fs::create_dir_all(&disk).map_err(|error| system_error(&disk, error))?;
            }
        }
        Ok(fleet)
    }

    /// The same with another `gracePeriodS`.
    #[must_use]
    pub fn with_grace(mut self, grace_seconds: u64) -> FleetProcesses {
        self.grace_seconds = grace_seconds;
        self
    }

    /// The same with this text at the end of each settings file.
    #[must_use]
    pub fn with_more_settings(mut self, text: &str) -> FleetProcesses {
        text.clone_into(&mut self.more_settings);
        self
    }

    /// The same with a link between each two control processes, so that they can be cut off from
    /// each other.
    ///
    /// # Errors
    /// When a link can't be started.
    pub fn with_links(mut self) -> Result<FleetProcesses, FleetError> {
        self.links = Links::between(&self.addresses, INTERNAL_PORTS.0)
            .map_err(|error| system_error(&self.folder, error))?;
        Ok(self)
    }

    /// Partitions the control processes of these machines from those of all others, and heals all
    /// other links between control processes.
    pub fn partition(&self, side: &[usize]) {
        self.links.partition(side);
    }

    /// The number of machines.
    #[must_use]
    pub fn machines(&self) -> usize {
        self.addresses.len()
    }

    /// The addresses at which the control processes accept calls.
    #[must_use]
    pub fn control(&self) -> Vec<SocketAddr> {
        self.at(CONTROL_PORT)
    }

    /// The addresses at which the routers accept clients.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.at(FRONT_PORT)
    }

    /// The addresses of the routers for readiness checks.
    #[must_use]
    pub fn readiness(&self) -> Vec<SocketAddr> {
        self.at(READY_PORT)
    }

    fn at(&self, port: u16) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(|address| SocketAddr::new(IpAddr::V4(*address), port))
            .collect()
    }

    /// The folder that is the disk of a process.
    #[must_use]
    pub fn disk(&self, role: Role, machine: usize) -> PathBuf {
        self.folder.join(format!("{role}-{machine}-disk"))
    }

    /// The log file of a process.
    #[must_use]
    pub fn log(&self, role: Role, machine: usize) -> PathBuf {
        self.folder.join(format!("{role}-{machine}.log"))
    }

    /// The settings file of a process, as the deployment's pages describe it.
    #[must_use]
    pub fn settings(&self, role: Role, machine: usize, first_start: bool) -> String {
        let zone = |machine: usize| format!("zone-{}", machine + 1);
        let address = self.addresses[machine];
        let seeds: Vec<String> = self
            .control()
            .iter()
            .take(3)
            .map(|seed| format!("{:?}", seed.to_string()))
            .collect();
        let (serves, listens) = match role {
            Role::Control => ("control_plane", format!("controlPlane = \"{address}:{CONTROL_PORT}\"\n")),
            Role::Router => (
                "edge",
                format!("frontend = \"{address}:{FRONT_PORT}\"\nreadiness = \"{address}:{READY_PORT}\"\n"),
            ),
        };
        let zones: String = (0..self.machines())
            .map(|machine| format!("{} = \"loopback\"\n", zone(machine)))
            .collect();
        format!(
            "nodeName = \"edge-{}-1\"\nrole = \"{role}\"\nmachineClass = \"edge\"\nserves = [\"{serves}\"]\n\
             ipAddress = \"{address}\"\nzone = \"{}\"\nregion = \"loopback\"\ninternalPortRange = [{}, {}]\n\
             seedNodes = [{}]\nfirstStart = {first_start}\nlossCounted = true\ndataDirectory = {:?}\n\
             discovery = \"self_register\"\nentryMode = \"virtual_ip\"\nheartbeatIntervalMs = 400\n\
             activeContracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\"]\n\
             [zones]\n{zones}[listenAddresses]\n{listens}\
             [limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = 256\nfileDescriptors = 1024\nbandwidthMbps = 1000.0\n\
             diskMb = 64\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\n\
             drainTimeoutMs = 2000\ngracePeriodS = {}\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             maxStretchMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 58\nrecoveryS = 12\n\
             pass_ms = 120\nagain_s = 0\n{}{}",
            zone(machine),
            zone(machine),
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds.join(", "),
            self.disk(role, machine).display().to_string(),
            self.grace_seconds,
            if role == Role::Control { self.links.settings(machine) } else { String::new() },
            self.more_settings,
        )
    }

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
        let path = self.folder.join(format!("{role}-{machine}.toml"));
        let failed = |path: &Path| {
            let path = path.to_path_buf();
            move |error| system_error(&path, error)
        };
        std::fs::write(&path, self.settings(role, machine, first_start)).map_err(failed(&path))?;
        let log = self.log(role, machine);
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(failed(&log))?;
        let twin = log_file.try_clone().map_err(failed(&log))?;
        let mut command = Command::new(&self.program);
        command
            .arg(role.to_string())
            .current_dir(&self.folder)
            .env_clear()
            .env("LICHENSWITCH_CONFIG", &path);
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var_os(name).map(|value| (name, value)));
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log_file)
            .stderr(twin)
            .spawn();
        let child = child.map_err(failed(&self.program))?;
        self.processes.push(Process {
            role,
            machine,
            child,
        });
        Ok(())
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

    /// Ids of the processes that were started and not stopped.
    #[must_use]
    pub fn ids(&self) -> Vec<(Role, usize, u32)> {
        self.processes
            .iter()
            .map(|process| (process.role, process.machine, process.child.id()))
            .collect()
    }

    /// Kills a process, as a crash would; its disk stays.
    pub fn kill(&mut self, role: Role, machine: usize) {
        self.end_processes(Signal::KILL, Duration::ZERO, |process| {
            process.role == role && process.machine == machine
        });
    }

    /// Asks a process to end, and kills it after a grace.
    pub fn stop(&mut self, role: Role, machine: usize, grace: Duration) {
        self.end_processes(Signal::TERM, grace, |process| {
            process.role == role && process.machine == machine
        });
    }

    /// Asks all processes to end, and kills those that still run after `grace`; returns how many had
    /// to be killed.
    pub fn stop_all(&mut self, grace: Duration) -> usize {
        self.end_processes(Signal::TERM, grace, |_| true)
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
        let is_target = |process: &&mut Process| process.role == role && process.machine == machine;
        self.processes
            .iter_mut()
            .filter(is_target)
            .for_each(|process| send(&mut process.child, signal));
    }

    /// Whether this process was started and is not known to have ended.
    #[must_use]
    pub fn has(&self, role: Role, machine: usize) -> bool {
        self.processes
            .iter()
            .any(|process| process.role == role && process.machine == machine)
    }

    /// Processes that have ended since the last call and were not killed; they are no longer part
    /// of the fleet.
    pub fn ended(&mut self) -> Vec<EndedProcess> {
        let mut ended = Vec::new();
        self.processes
            .retain_mut(|process| match process.child.try_wait() {
                Ok(Some(status)) => {
                    ended.push((process.role, process.machine, status));
                    false
                }
                _ => true,
            });
        ended
    }

    /// Empties the disk of a process that does not run.
    ///
    /// # Errors
    /// When the folder can't be made anew.
    pub fn wipe(&self, role: Role, machine: usize) -> Result<(), FleetError> {
        let disk = self.disk(role, machine);
        let done = std::fs::remove_dir_all(&disk).and_then(|()| std::fs::create_dir_all(&disk));
        done.map_err(|error| system_error(&disk, error))
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
                thread::sleep(Duration::from_millis(10));
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

/// Sends a signal to a process that has not been waited for, so that its id is still its own.
fn send(child: &mut Child, signal: Signal) {
    if matches!(child.try_wait(), Ok(None)) {
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            // It may end at this moment: then no signal is needed.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Reserves `count` loopback addresses, from a `.2` on, whose ports are free, for as long as the
/// listener lives.
fn addresses(count: usize) -> Option<(Vec<Ipv4Addr>, TcpListener)> {
    let start = std::process::id();
    let nets = std::iter::once((0, 0)).chain((0..500).map(|i| {
        let at = start.wrapping_mul(37).wrapping_add(i) % 60_000;
        (1 + (at / 250) as u8, 1 + (at % 250) as u8)
    }));
    let is_free = |address: &Ipv4Addr| {
        let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT]
            .into_iter()
            .chain(INTERNAL_PORTS.0..=INTERNAL_PORTS.1);
        ports
            .into_iter()
            .all(|port| TcpListener::bind((*address, port)).is_ok())
    };
    for net in nets {
        let Ok(block_lock) =
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 254), BLOCK_LOCK_PORT))
        else {
            continue;
        };
        let found: Vec<_> = (0..count)
            .map(|i| Ipv4Addr::new(127, net.0, net.1, 2 + i as u8))
            .collect();
        if found.iter().all(is_free) {
            return Some((found, block_lock));
        }
    }
    None
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        self.end_processes(Signal::KILL, Duration::ZERO, |_| true);
        // What can't be removed is left to whoever cleans the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[cfg(test)]
mod tests;
