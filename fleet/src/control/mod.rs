//! The role `control`.
use crate::settings::Settings;
use std::path::PathBuf;

/// Why the role ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A system call failed that it can't do without.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Runs the role until the process is told to end. The settings file is read again from `path`.
pub fn run(_settings: Settings, _path: PathBuf) -> Result<(), ControlError> {
    Ok(())
}
