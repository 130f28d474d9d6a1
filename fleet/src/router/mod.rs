//! The role `router`.
use crate::settings::Settings;

/// Why the role ended.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A system call failed that it can't do without.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Runs the role until the process is told to end.
pub fn run(_settings: Settings) -> Result<(), RouterError> {
    Ok(())
}
