//! Runs a fleet of processes of the program `lichenswitch-fleet` on loopback: a control process and a
//! router on each machine, with generated settings, a folder for each disk and a file for each log.
//! Processes are started, stopped and killed by their ids. The module uses the program's command,
//! settings and addresses alone.

mod addresses;
pub mod demonstration;
mod error;
mod links;
mod process;
mod settings;

pub use error::FleetError;
pub use process::{EndedProcess, StartedProcess};

use addresses::{FleetAddresses, CONTROL_PORT, FRONT_PORT, INTERNAL_PORTS, READY_PORT};
use error::system_error;
use links::Links;
use process::Process;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// `gracePeriodS` where [`FleetProcesses::with_grace`] sets no other.
const DEFAULT_GRACE_SECONDS: u64 = 2;

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

/// A fleet and its running processes. Dropping it kills them and removes its folder.
#[derive(Debug)]
pub struct FleetProcesses {
    program: PathBuf,
    folder: PathBuf,
    addresses: FleetAddresses,
    processes: Vec<Process>,
    grace_seconds: u64,
    /// Text at the end of each settings file.
    more_settings: String,
    links: Links,
}

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
        let fleet = FleetProcesses {
            program,
            folder: std::env::temp_dir().join(format!("fleet-{}-{number}", std::process::id())),
            addresses: FleetAddresses::reserve(machines).ok_or(FleetError::NoAddresses)?,
            processes: Vec::new(),
            grace_seconds: DEFAULT_GRACE_SECONDS,
            more_settings: String::new(),
            links: Links::default(),
        };
        for machine in 0..fleet.machines() {
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
        self.links = Links::between(&self.addresses.machines, *INTERNAL_PORTS.start())
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
        self.addresses.machines.len()
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
            .machines
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

    /// Empties the disk of a process that does not run.
    ///
    /// # Errors
    /// When the folder can't be made anew.
    pub fn wipe(&self, role: Role, machine: usize) -> Result<(), FleetError> {
        let disk = self.disk(role, machine);
        let done = std::fs::remove_dir_all(&disk).and_then(|()| std::fs::create_dir_all(&disk));
        done.map_err(|error| system_error(&disk, error))
    }
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        self.kill_all();
        // What can't be removed stays until the folder for temporary files is cleaned.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[cfg(test)]
mod tests;
