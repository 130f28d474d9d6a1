//! Errors of experiments.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why an experiment ends without its figures.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A process can't be started, or its files can't be written.
    #[error(transparent)]
    Rig(#[from] io::Error),
    /// A file of figures or events can't be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The figures can't be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The processes did not reach the expected state in time.
    #[error("{0}")]
    Unmet(String),
}

impl ExperimentError {
    /// The error that a file can't be written.
    pub fn write(path: &Path) -> impl FnOnce(io::Error) -> ExperimentError + '_ {
        |source| ExperimentError::Write {
            path: path.to_path_buf(),
            source,
        }
    }
}
