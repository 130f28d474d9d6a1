//! Tenants' quotas: what all routers together let through for a tenant in any window.
//!
//! Each tenant has a token bucket that is cut into up to [`MAX_OWNERS`] parts. A part is held by a
//! control machine that votes, its *holder*, and refills at its share of the tenant's rate. A
//! router draws each request, or a little ahead, from a holder before it lets the request through;
//! what was drawn and not used lapses. Nothing that is granted is ever given back to a bucket.
//!
//! It promises: in any window of `quotaWindowS` what is let through stays within
//! `(ratePerS x window + burstSize) x (1 + quotaOverage) + quotaSlack`, whichever processes are
//! killed, frozen, cut off or replaced, as long as clocks run alike to 1 in 1,000 and no two
//! machines hold a part at once. `docs/design/quota.md` derives it.
//!
//! - [`TenantQuota`]: rate, depth, debt and validity of a tenant, so that the sum stays within the
//!   rule.
//! - [`ShardOwnership`]: which machine holds which part, and until when.
//! - [`Buckets`]: the parts that a machine holds.
//! - [`LeaseRequests`]: draws that a control machine passes on for routers.
//! - [`Allowances`]: a router's side.
//!
//! It is pure: no I/O, no clock, no threads. Time is an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod allowances;
mod buckets;
mod lease;
mod lease_requests;
mod ownership;
mod tenant_quota;

pub use allowances::{AdmissionDecision, AdmissionOutcome, Allowances};
pub use buckets::{BucketUsage, Buckets};
pub use lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
pub use lease_requests::{LeaseAction, LeaseContext, LeaseRequests};
pub use ownership::{
    owners, BucketShard, OwnerId, ShardOwnership, MAX_OWNERS, OWNERSHIP_LEASE_US, SETTLING_TIME_US,
};
pub use tenant_quota::{QuotaBounds, TenantQuota};
