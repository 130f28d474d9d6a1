//! The error of this package.

use std::io;
use std::path::{Path, PathBuf};

/// Why nothing was stored. In every case, what was acknowledged before is still stored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The file system refused. The same call may be made again.
    #[error("cannot {operation} {}: {message}", path.display())]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// Kind of the error.
        kind: io::ErrorKind,
        /// The system's words.
        message: String,
    },
    /// The records don't fit after the others: write a new snapshot first.
    #[error("{required} bytes do not fit into the {remaining} bytes that remain of the segment: write a snapshot first")]
    SegmentFull {
        /// Bytes that the block of records takes.
        required: u64,
        /// Bytes that remain.
        remaining: u64,
    },
    /// What was recovered is damaged, and nothing may be appended to it.
    #[error("the segment is damaged: only a new snapshot can be stored")]
    NeedsSnapshot,
    /// A snapshot or a batch of records is longer than the format allows.
    #[error("{bytes} bytes are more than a block may hold")]
    TooLong {
        /// Its length.
        bytes: u64,
    },
    /// The settings are invalid.
    #[error("settings of the storage: {0}")]
    Settings(&'static str),
    /// A write that was submitted before this one failed, and its completion had not been taken yet.
    #[error("a write that was submitted before this one failed")]
    EarlierFailed,
}

impl StorageError {
    /// Whether the disk is full.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(
            self,
            Self::Io {
                kind: io::ErrorKind::StorageFull,
                ..
            }
        )
    }

    /// Adds the operation and its path to an error of the system.
    pub(crate) fn io<'a>(
        operation: &'static str,
        path: &'a Path,
    ) -> impl Fn(io::Error) -> Self + 'a {
        move |e| Self::Io {
            operation,
            path: path.to_owned(),
            kind: e.kind(),
            message: e.to_string(),
        }
    }
}
