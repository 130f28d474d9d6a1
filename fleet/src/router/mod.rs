//! The role `router`: accepts clients' requests, decides where to send them, and forwards the responses
//! of model servers.
//!
//! One process on each edge machine, one thread, one event loop over its sockets. It promises:
//!
//! - a request is read completely, gets its route from one configuration and keeps its terms to the end
//!   (`handlers::intake`);
//! - it gets exactly one final response, at the route's timeout at the latest; a 503 or 429 of this
//!   program means that it has not been executed (`handlers::request_end`);
//! - a stream is forwarded as it arrives, complete events only, and one that ends early never looks
//!   complete (`handlers::relay`, `handlers::stream_abort`);
//! - updates from control are merged, never reverted, and stay valid while control is unreachable
//!   (`control_link`, `servers`);
//! - after SIGTERM it ends only once all that was read is answered, within the grace period
//!   (`handlers::shutdown`).
//!
//! Imports go one way, without circles: ids and time; plain types; tables of connections, requests and
//! servers; `state`, which holds them all; `handlers`, the methods of [`Router`] by concern.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `ids`, `time`, `reactor` | ids; conversions of durations; owners of sockets, timers and signals |
//! | `client_connections`, `client_request`, `request_reader` | connections of clients; requests as they are read and written for servers |
//! | `server_connections`, `server_response`, `response_reader`, `response_outcome` | connections to servers; responses as they are read, and what they mean |
//! | `local_response`, `rejection`, `counters` | responses of this program; why a request is rejected, and how often |
//! | `request_table`, `admission`, `sender`, `prompt` | requests in hand; how one is to be served; its tenant; its prompt |
//! | `configuration`, `freshness`, `ranks` | the active configuration, how long ago it was confirmed, ranks of requests |
//! | `service`, `services`, `request_classes`, `server_share` | a service's core with the decision module; its classes of requests; this router's share of its servers |
//! | `servers`, `budget` | the table of servers; the retry budget |
//! | `control_link`, `backlog_reports` | the connection to control; backlogs as they are reported to it |
//! | `readiness`, `settings_file`, `shutdown`, `abort_reason` | the platform's check; the file that may change; the schedule of the end; why a response was cut off |
//! | `state`, `handlers` | all of the above in one value; what is done with it, along the way of a request |

mod abort_reason;
mod admission;
mod backlog_reports;
mod budget;
mod client_connections;
mod client_request;
mod configuration;
mod control_link;
mod counters;
mod error;
mod freshness;
mod handlers;
mod header_lines;
mod ids;
mod local_response;
mod options;
mod prompt;
mod ranks;
mod reactor;
mod readiness;
mod rejection;
mod request_classes;
mod request_reader;
mod request_table;
mod response_outcome;
mod response_reader;
mod sender;
mod server_connections;
mod server_response;
mod server_share;
mod servers;
mod service;
mod services;
mod settings_file;
mod shutdown;
mod state;
mod time;

use crate::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

pub use error::RouterError;
pub use state::Router;

/// Runs the role until SIGTERM, and reads the settings again from `path` on SIGHUP.
///
/// # Errors
/// A necessary system call failed, or the settings lack what the role needs.
pub fn run(settings: &Settings, path: PathBuf) -> Result<(), RouterError> {
    let mut router = Router::new(settings, Some(path))?;
    router.stop_on(signal(SIGTERM)?)?;
    router.reload_on(signal(SIGHUP)?)?;
    log::info!(node = settings.node_name.as_str(), frontend:% = router.frontend_address; "router listens");
    router.serve()
}

/// A stream that can be read once the signal was received.
fn signal(number: i32) -> std::io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(number, write)?;
    Ok(read)
}
