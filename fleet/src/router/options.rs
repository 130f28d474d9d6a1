//! The settings as this role uses them.

use super::error::RouterError;
use super::freshness::RevocationBounds;
use crate::settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// The memory of the process divided by this may be used for requests and responses.
const BUFFER_MEMORY_DIVISOR: u64 = 4;
/// Average memory of a request with its buffers (bytes): two connections and a prompt of some thousand
/// tokens.
const BYTES_PER_REQUEST: u64 = 24 * 1_024;
/// Descriptors reserved for files, standard streams, poller, listeners and signals.
const RESERVED_DESCRIPTORS: usize = 232;
/// Share of `retrySlack` that all routers together use: the rest covers differences of their clocks
/// and windows.
pub(crate) const FLEET_SLACK_SHARE: f64 = 0.8;
/// Share of the retry budget that is kept for streams which are resumed at another server.
pub(crate) const RESUME_BUDGET_SHARE: f64 = 0.25;

/// Limits on what this process has in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Requests at once.
    pub max_requests: u32,
    /// Bytes of buffered requests and responses.
    pub max_bytes: usize,
    /// Descriptors for connections.
    pub max_descriptors: usize,
}

/// The retry budget of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beside that, of all routers together, in a window.
    pub slack: f64,
    /// The window of both.
    pub window: Duration,
}

/// The settings as this role uses them.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// `nodeName`.
    pub node: String,
    /// `zone`.
    pub zone: String,
    /// Where clients connect.
    pub frontend: SocketAddr,
    /// Where the platform checks readiness.
    pub readiness: Option<SocketAddr>,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Address of this machine.
    pub machine_address: std::net::IpAddr,
    /// Limits on what is in hand.
    pub capacity: Capacity,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    /// Bounds on revocations.
    pub revocation: RevocationBounds,
    /// Bounds on quotas.
    pub quota: lichenswitch_quota::QuotaBounds,
    /// Between SIGTERM and SIGKILL.
    pub grace_period: Duration,
}

impl Options {
    /// Takes from settings what this role uses.
    ///
    /// # Errors
    /// They name no address for clients.
    pub(crate) fn from_settings(settings: &Settings) -> Result<Options, RouterError> {
        let bounds = &settings.bounds;
        Ok(Options {
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
            frontend: settings
                .listen_addresses
                .frontend
                .ok_or(RouterError::NoFrontend)?,
            readiness: settings.listen_addresses.readiness,
            seeds: settings.internal_seed_addresses(),
            machine_address: settings.ip_address,
            capacity: Capacity::from_settings(settings),
            retry_budget: RetryBudget {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_slack,
                window: bounds.budget_window,
            },
            revocation: RevocationBounds {
                is_strict: bounds.is_revocation_strict,
                within: bounds.revoke,
            },
            quota: bounds.quota_bounds(),
            grace_period: bounds.grace_period,
        })
    }
}

impl Capacity {
    fn from_settings(settings: &Settings) -> Capacity {
        let bytes = settings.limits.memory_mb.max(16) * 1_024 * 1_024 / BUFFER_MEMORY_DIVISOR;
        let descriptors = settings
            .limits
            .file_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(64);
        Capacity {
            max_requests: u32::try_from(bytes / BYTES_PER_REQUEST).unwrap_or(u32::MAX),
            max_bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            max_descriptors: descriptors,
        }
    }
}
