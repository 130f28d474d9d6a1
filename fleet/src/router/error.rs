//! Why the role `router` ends or cannot start.

use std::io;
use std::net::SocketAddr;

/// Why the role can't start, or can't go on.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A system call failed that it can't do without.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The settings name no address for clients.
    #[error("settings: listenAddresses.frontend is missing: a router has to be told where clients connect")]
    NoFrontend,
    /// An address can't be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}
