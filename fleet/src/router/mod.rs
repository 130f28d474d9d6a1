//! The role `router`: takes clients, decides, and relays the answers of model servers.
//!
//! One process on each edge machine, one thread, one loop over its sockets. It owns what joins the
//! parts below it, and promises what the rules ask of a router:
//!
//! - a request is read whole, gets its route from one configuration and keeps that one to its end
//!   (`intake`);
//! - it gets exactly one final answer, at the route's time-out at the latest; a refusal is a
//!   promise (`answers`);
//! - a stream is passed on as it comes, whole events only, and what ends early cannot look complete
//!   (`relay`);
//! - what control says is merged, never gone back on, and goes on to hold while control is away
//!   (`control_link`, `servers`);
//! - SIGTERM ends it only once all that was read is answered, within the grace (`shutdown`).
//!
//! | part | what |
//! | --- | --- |
//! | `clients`, `request` | connections of clients; requests as they are read and sent on |
//! | `server_connections`, `response` | connections to servers; answers as they are read |
//! | `exchange`, `ids` | the table of requests that are held; names of requests, services and attempts |
//! | `configuration`, `service` | routes; a service's core with the decision module |
//! | `intake`, `answers`, `relay`, `cut` | from a request to attempts; from attempts to an answer; streams; the end of one that can't be brought to its end |
//! | `control_link`, `candidates`, `servers` | the connection to control; what is known of servers |
//! | `backlog` | what waits at servers for this router, told to control |
//! | `tenants`, `freshness` | whose key a request bears, and what its quota says; how old that knowledge is |
//! | `counters` | what was turned away, and why |
//! | `readiness`, `shutdown`, `options` | the platform's question; the end; the settings |

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
mod request_reader;
mod request_table;
mod response_outcome;
mod response_reader;
mod sender;
mod server_connections;
mod server_response;
mod servers;
mod service;
mod services;
mod shutdown;
mod state;
mod time;

use crate::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

pub use error::RouterError;
pub use state::Router;

/// Runs the role until the process is told to end. The settings are read again from `path`.
///
/// # Errors
/// A system call failed that it can't do without, or the settings lack what it needs.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), RouterError> {
    let mut router = Router::new(&settings, Some(path))?;
    router.stop_on(signal(SIGTERM)?)?;
    router.reload_on(signal(SIGHUP)?)?;
    log::info!(node = settings.node_name.as_str(), frontend:% = router.frontend_address; "router listens");
    router.serve()
}

/// A stream that can be read once the signal has come.
fn signal(number: i32) -> std::io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(number, write)?;
    Ok(read)
}
