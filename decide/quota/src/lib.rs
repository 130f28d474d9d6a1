//! Tenants' quotas: what all routers together admit for a tenant in any window.
//!
//! Each tenant has a token bucket that is divided into up to [`MAX_OWNERS`] shards. A shard is owned
//! by a control machine that votes and refills at its fraction of the tenant's rate. Before a router
//! admits a request it leases the request's tokens, or a few more, from an owner; leased tokens that
//! are not used lapse. Nothing that was granted is ever returned to a bucket.
//!
//! It promises: in any window of `quotaWindowS` what is admitted stays within
//! `(ratePerS x window + burstSize) x (1 + quotaOverage) + quotaSlack`, whichever processes are
//! killed, suspended, partitioned or replaced, as long as clock rates agree to 1 in 1,000 and no two
//! machines own a shard at once. `docs/design/quota.md` derives it.
//!
//! - [`TenantQuota`]: refill rate, depth, debt and lease validity of a tenant, so that the sum stays
//!   within the rule.
//! - [`ShardOwnership`]: which machine owns which shard, and until when.
//! - [`Buckets`]: the shards that a control machine owns.
//! - [`LeaseRequests`]: requests that a control machine serves for routers, from its own shard and
//!   from those of other owners.
//! - [`Allowances`]: a router's side.
//!
//! It is pure: no I/O, no clock, no threads. Time is an argument.
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

/// Microseconds of a second, for rates.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
