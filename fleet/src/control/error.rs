//! Errors that end the role `control`.

use lichenswitch_storage::StorageError;
use std::io;

/// The reason why the role has ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A required system call has failed.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The group's files in the data directory can't be used.
    #[error("the disk: {0}")]
    Storage(#[from] StorageError),
    /// The settings have no address for servers and operators.
    #[error("listenAddresses.controlPlane: is missing, and this role has nothing to listen on")]
    NoAddress,
}
