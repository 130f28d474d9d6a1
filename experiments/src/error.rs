//! Why an experiment with processes ends without its figures.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why an experiment ends without its figures.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A process or its files can't be had.
    #[error(transparent)]
    Rig(#[from] io::Error),
    /// A file of figures or events can't be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Figures that can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The processes did not come to the state that they should.
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
