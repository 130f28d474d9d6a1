//! What can go wrong.

use std::io;
use std::path::{Path, PathBuf};

/// Why nothing was stored. Whatever it says, what was acknowledged before stands.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    /// The file system refused. The same call may be made again.
    #[error("cannot {operation} {}: {message}", path.display())]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file or folder.
        path: PathBuf,
        /// Kind of the error.
        kind: io::ErrorKind,
        /// The system's words.
        message: String,
    },
    /// The records don't fit behind the others: a new image makes room.
    #[error("{wanted} bytes do not fit into the {left} bytes that are left of the segment: replace the image first")]
    SegmentFull {
        /// Bytes that the block of records takes.
        wanted: u64,
        /// Bytes that are left.
        left: u64,
    },
    /// What was recovered is damaged, and nothing may be appended to it.
    #[error("the segment is damaged: only a new image can be stored")]
    NeedsSnapshot,
    /// An image or a batch of records is longer than the format allows.
    #[error("{bytes} bytes are more than a block may hold")]
    TooLong {
        /// Its length.
        bytes: u64,
    },
    /// The settings make no ring.
    #[error("settings of the storage: {0}")]
    Settings(&'static str),
    /// A job that was submitted before this one failed, and its failure had not been taken notice
    /// of.
    #[error("a job before this one failed")]
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

    /// Adds what was tried, and on what, to an error of the system.
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
