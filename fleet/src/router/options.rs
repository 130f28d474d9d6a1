//! What this role takes from its settings.

use super::error::RouterError;
use super::freshness::RevocationBounds;
use crate::settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the memory that requests and answers which are held may take.
const BUFFER_MEMORY_DIVISOR: u64 = 4;
/// What one request is taken to hold on average with its buffers (bytes): two connections and a
/// prompt of some thousand tokens.
const BYTES_PER_REQUEST: u64 = 24 * 1_024;
/// Descriptors kept for files, standard streams, poller, listeners and signals.
const RESERVED_DESCRIPTORS: usize = 232;
/// Share of `retrySlack` that all routers together use: the rest is for what their clocks and
/// windows miss.
pub(crate) const FLEET_SLACK_SHARE: f64 = 0.8;
/// Part of the further-try budget that is kept for streams which go on at another server.
pub(crate) const RESUME_BUDGET_SHARE: f64 = 0.25;

/// Limits on what this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Requests held at once.
    pub max_requests: u32,
    /// Bytes of requests and whole answers held.
    pub max_bytes: usize,
    /// Descriptors for connections.
    pub max_descriptors: usize,
}

/// The further-try budget of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBudget {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals beside that, of all routers together.
    pub slack: f64,
    /// The window of both.
    pub window: Duration,
}

/// What the settings say, as this role needs it.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// `nodeName`.
    pub node: String,
    /// `zone`.
    pub zone: String,
    /// Where clients connect.
    pub frontend: SocketAddr,
    /// Where the platform asks whether this router is ready.
    pub readiness: Option<SocketAddr>,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Address of this machine.
    pub machine_address: std::net::IpAddr,
    /// Limits on what is held.
    pub capacity: Capacity,
    /// The further-try budget.
    pub retry_budget: RetryBudget,
    /// Bounds on revocations.
    pub revocation: RevocationBounds,
    /// Bounds on quotas.
    pub quota: lichenswitch_quota::QuotaBounds,
    /// Between SIGTERM and SIGKILL.
    pub grace_period: Duration,
}

impl Options {
    /// Of settings.
    ///
    /// # Errors
    /// They name no address for clients.
    pub(crate) fn from_settings(settings: &Settings) -> Result<Options, RouterError> {
        let bounds = &settings.bounds;
        Ok(Options {
            node: settings.node_name.clone(),
            zone: settings.zone.clone(),
            frontend: settings.listen.frontend.ok_or(RouterError::NoFrontend)?,
            readiness: settings.listen.readiness,
            seeds: settings.seeds_internal(),
            machine_address: settings.ip_address,
            capacity: Capacity::from_settings(settings),
            retry_budget: RetryBudget {
                ratio: bounds.retry_budget_ratio,
                slack: bounds.retry_slack,
                window: bounds.budget_window,
            },
            revocation: RevocationBounds {
                is_strict: bounds.revocation_strict,
                within: bounds.revoke,
            },
            quota: bounds.quota_terms(),
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
