//! Why the role `control` ends.

use lichenswitch_storage::StorageError;
use std::io;

/// Why the role ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A system call failed that the role can't do without.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The disk can't be used.
    #[error("the disk: {0}")]
    Storage(#[from] StorageError),
    /// The settings have no address for servers and operators.
    #[error("listenAddresses.controlPlane: is missing, and this role has nothing to listen on")]
    NoAddress,
}
