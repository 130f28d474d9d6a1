//! A tenant's quota over all owners: refill rate and depth of its bucket, and validity of its
//! leases.

use crate::MICROS_PER_SECOND;
use lichenswitch_configuration::{Quota, QuotaUnit};
use lichenswitch_interface::Micros;
use std::time::Duration;

/// Longest validity of a lease (microseconds). A longer validity would not save messages.
const MAX_VALIDITY_US: f64 = 400_000.0;
/// Shortest validity of a lease (microseconds). The response has to arrive within this time.
const MIN_VALIDITY_US: f64 = 100_000.0;
/// Fractions of the tolerance (overage and slack) that are used for depth, debt and lease validity.
/// The rest allows for differences between clock rates.
const DEPTH_SHARE: f64 = 0.40;
const DEBT_SHARE: f64 = 0.25;
const VALIDITY_SHARE: f64 = 0.25;
/// Depth and debt are at least these fractions of the limit for a window. Otherwise no request
/// would fit into the bucket of a tenant without tolerance and burst.
const MIN_DEPTH_SHARE: f64 = 0.03;
const MIN_DEBT_SHARE: f64 = 0.04;
/// Fraction of the rate at which buckets refill. The limit has no allowance for clock rates, which
/// may differ by 1 in 1,000.
const CLOCK_RATE_MARGIN: f64 = 0.999;

/// Bounds of the admission limit, as the settings give them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The setting `quotaWindowS`: length of the window to which the limit applies.
    pub window: Duration,
    /// The setting `quotaOverage`: admissible excess, as a fraction of the limit.
    pub overage: f64,
    /// The setting `quotaSlack`: additional admissible excess, in the unit of the tenant.
    pub slack: f64,
}

/// A tenant's quota over all owners of its bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Refill rate (units per second).
    pub refill_per_s: f64,
    /// Maximum level of the bucket (units).
    pub depth: f64,
    /// Maximum debt: how far a single large request may take the level below 0 (units).
    pub max_debt: f64,
    /// Validity of a lease, counted from its request (microseconds).
    pub lease_validity: Micros,
}

impl TenantQuota {
    /// Derives the bucket parameters from an operator's quota and the bounds of the limit.
    #[must_use]
    pub fn of(quota: &Quota, bounds: &QuotaBounds) -> TenantQuota {
        let window_s = bounds.window.as_secs_f64();
        let limit = quota.rate_per_s * window_s + quota.burst;
        // A slack above the limit itself is meant for tenants with the other unit.
        let tolerance = limit * bounds.overage + bounds.slack.min(limit);
        let validity_us = (VALIDITY_SHARE * tolerance / quota.rate_per_s * MICROS_PER_SECOND)
            .clamp(MIN_VALIDITY_US, MAX_VALIDITY_US);
        let extra_depth = (DEPTH_SHARE * tolerance).max(MIN_DEPTH_SHARE * limit - quota.burst);
        let max_debt = (DEBT_SHARE * tolerance)
            .max(MIN_DEBT_SHARE * limit)
            .max(smallest_request(quota.unit));
        let available = (limit + tolerance - extra_depth - max_debt).max(0.0);
        let used = quota.rate_per_s * (window_s + validity_us / MICROS_PER_SECOND) + quota.burst;
        let scale = CLOCK_RATE_MARGIN * (available / used).min(1.0);
        TenantQuota {
            refill_per_s: quota.rate_per_s * scale,
            depth: quota.burst * scale + extra_depth,
            max_debt,
            lease_validity: validity_us as Micros,
        }
    }

    /// Returns the maximum amount that can be admitted in a window of `window_s` seconds (units).
    #[must_use]
    pub fn max_admitted_in(&self, window_s: f64) -> f64 {
        let validity_s = self.lease_validity as f64 / MICROS_PER_SECOND;
        self.refill_per_s * (window_s + validity_s) + self.depth + self.max_debt
    }
}

/// Returns the smallest amount that a request of this unit can have.
fn smallest_request(unit: QuotaUnit) -> f64 {
    match unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens => 0.0,
    }
}

#[cfg(test)]
mod tests;
