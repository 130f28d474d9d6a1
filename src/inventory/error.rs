//! What can be wrong with an inventory: file, line and key, and what is to be mended there.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A file that can't be read as text.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct ReadError {
    /// The file.
    pub path: PathBuf,
    /// What the system says.
    pub source: io::Error,
}

/// Why an inventory is rejected.
#[derive(Debug, Error)]
pub enum InventoryError {
    /// A file can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// A file is no YAML or CSV of the expected form.
    #[error("{file}:{line}: {reason}")]
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1; 0 where it is not known.
        line: u64,
        /// What the reader says.
        reason: String,
    },
    /// A key or its value is faulty.
    #[error("{file}:{line}: {key}: {reason}")]
    Value {
        /// The file.
        file: String,
        /// The line, from 1; 0 where it is not known.
        line: u64,
        /// The key, column or list.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// There is no row of a kind that is needed.
    #[error("inventory: {kind}: there are none")]
    Empty {
        /// The kind of rows.
        kind: &'static str,
    },
    /// A team names a class that the settings lack.
    #[error("teams: {team}: classes: no class {class:?} in the settings")]
    UnknownClass {
        /// The team.
        team: String,
        /// The class.
        class: String,
    },
}
