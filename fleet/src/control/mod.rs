//! The role `control`: replicates the configuration with its peers, keeps the tables of model
//! servers and routers, and answers operators.
//!
//! A single event loop drives all modules, in three layers:
//!
//! - State (`peer_table`, `router_table`, `server_table`, `primary_tracker`, `quotas`, `backlogs`)
//!   and adapters to other packages (`call_types` to the decisions about calls, `group` to
//!   replication and storage, `caller_sessions` to HTTP, `internal_connections` to frames).
//! - `node`, which holds all of them.
//! - Handlers (`*_handler`, `group_membership`, `shutdown`, `settings_reload`, `status`), which
//!   define the reaction to an event, and `event_loop`, which calls them.
//!
//! A module uses only modules of its own or a lower layer, and there are no cycles between modules.
//! The event loop waits only for sockets. Separate threads write to the disk.

mod backlog_handler;
mod backlogs;
mod call_handler;
mod call_types;
mod caller_sessions;
mod clock;
mod configuration_handler;
mod connection_handler;
mod contact_handler;
mod eligibility;
mod environment;
mod error;
mod event_loop;
mod group;
mod group_disk;
mod group_membership;
mod heartbeat_handler;
mod internal_connections;
mod last_notified;
mod net_program;
mod node;
mod peer_handler;
mod peer_table;
mod pending_updates;
mod primary_tracker;
mod quota_handler;
mod quotas;
mod rejections;
mod replica_notices;
mod replication_handler;
mod request_target;
mod responses;
mod router_handler;
mod router_table;
mod server_cache;
mod server_table;
mod server_update_handler;
mod settings_file;
mod settings_reload;
mod shutdown;
mod startup;
mod status;
mod timing;

use crate::settings::Settings;
pub use environment::{Environment, FileSystems};
pub use error::ControlError;
use std::path::PathBuf;

/// Runs the role until a signal ends the process. Changed settings are read again from `path`.
///
/// # Errors
/// Fails if the role can't listen, or if waiting for sockets fails.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), ControlError> {
    run_on(settings, path, Environment::default())
}

/// Runs the role like [`run`], with a given environment.
///
/// # Errors
/// Fails under the same conditions as [`run`].
pub fn run_on(
    settings: Settings,
    path: PathBuf,
    environment: Environment,
) -> Result<(), ControlError> {
    node::ControlNode::start(settings, path, environment)?.run()
}
