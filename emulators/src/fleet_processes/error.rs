//! Why a fleet could not be run.

use super::Role;
use std::path::{Path, PathBuf};
use thiserror::Error;

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

pub(super) fn system_error(path: &Path, source: std::io::Error) -> FleetError {
    FleetError::System {
        path: path.to_path_buf(),
        source,
    }
}
