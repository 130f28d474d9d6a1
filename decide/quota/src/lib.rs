//! Tenants' quotas: limits on the requests that all routers together admit for a tenant in any
//! window.
//!
//! Each tenant has a token bucket that is divided into up to [`MAX_OWNERS`] shards. Each shard is
//! owned by a voting control machine and refills at its fraction of the tenant's rate. Before a
//! router admits a request, it leases the request's tokens, and possibly a few more, from an owner.
//! Leased tokens that are not used expire. Granted tokens are never returned to a bucket.
//!
//! The crate guarantees that the amount admitted in any window of `quotaWindowS` stays within
//! `(ratePerS x window + burstSize) x (1 + quotaOverage) + quotaSlack`. The limit holds even if
//! processes are killed, suspended, partitioned or replaced, as long as clock rates agree to 1 in
//! 1,000 and no two machines own the same shard at the same time. `docs/design/quota.md` derives
//! the limit.
//!
//! - [`TenantQuota`] holds a tenant's refill rate, depth, debt and lease validity, chosen so that
//!   the total stays within the limit.
//! - [`ShardOwnership`] determines which shards a machine owns, and until when.
//! - [`Buckets`] holds the shards that a control machine owns.
//! - [`LeaseRequests`] serves the lease requests of routers at a control machine, from its own
//!   shard and from the shards of other owners.
//! - [`Allowances`] admits, queues and rejects requests at a router.
//!
//! The crate has no I/O, no clock and no threads: the caller passes the time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod allowances;
mod buckets;
mod lease;
mod lease_requests;
mod ownership;
mod tenant_quota;

pub use admission::{AdmissionDecision, AdmissionOutcome};
pub use allowances::Allowances;
pub use buckets::{BucketUsage, Buckets};
pub use lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
pub use lease_requests::{LeaseAction, LeaseContext, LeaseRequests};
pub use ownership::{
    owners, BucketShard, OwnerId, ShardOwnership, MAX_OWNERS, OWNERSHIP_LEASE_US, SETTLING_TIME_US,
};
pub use tenant_quota::{QuotaBounds, TenantQuota};

/// Microseconds in a second, as a floating-point number for rates.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
