//! The role `control`: keeps the configuration with its peers, knows model servers and routers, and
//! answers operators.
//!
//! One loop joins the parts. Each part is plain state (`peers`, `routers`, `servers`,
//! `feed`) or the edge to a package (`calls` to what is decided about calls, `group` to
//! replication and storage, `callers` to HTTP, `links` to frames); `machine` hands what
//! happens from one to the other. The loop never waits for anything but sockets: a thread of its
//! own writes the disk.

mod backlog;
mod callers;
mod calls;
mod contact;
mod environment;
mod feed;
mod group;
mod links;
mod machine;
mod notices;
mod on_call;
mod on_internal;
mod own_part;
mod peers;
mod program;
mod quotas;
mod routers;
mod server_cache;
mod servers;
mod shutdown;
mod status;

use crate::settings::Settings;
pub use environment::{Environment, FileSystems};
use std::path::PathBuf;
use std::time::Duration;

/// Between two words to each other control machine: two heartbeats to routers, so that one waking
/// serves both.
const DIGEST_INTERVAL: Duration =
    Duration::from_millis(2 * lichenswitch_messages::ROUTER_HEARTBEAT_MS);

/// Why the role ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A system call failed that it can't do without.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The disk can't be used.
    #[error("the disk: {0}")]
    Storage(#[from] lichenswitch_storage::StorageError),
    /// The settings have no address for servers and operators.
    #[error("listenAddresses.controlPlane: is missing, and this role has nothing to listen on")]
    NoAddress,
}

/// Runs the role until the process is told to end. The settings file is read again from `path`.
///
/// # Errors
/// When it can't listen, or can't use its disk at the start.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), ControlError> {
    run_on(settings, path, Environment::default())
}

/// The same on other files than those of this machine.
///
/// # Errors
/// As [`run`].
pub fn run_on(
    settings: Settings,
    path: PathBuf,
    environment: Environment,
) -> Result<(), ControlError> {
    machine::Machine::start(settings, path, environment)?.run()
}
