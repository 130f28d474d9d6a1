//! A tenant's quota over all owners: how fast its bucket refills, how deep it is, and how long a
//! lease is valid.

use crate::MICROS_PER_SECOND;
use lichenswitch_configuration::{Quota, QuotaUnit};
use lichenswitch_interface::Micros;
use std::time::Duration;

/// Longest validity of a lease (microseconds): a longer one would save no messages.
const MAX_VALIDITY_US: f64 = 400_000.0;
/// Shortest validity of a lease (microseconds): the response has to arrive within it.
const MIN_VALIDITY_US: f64 = 100_000.0;
/// Fractions of the rule's tolerance for depth, debt and validity. The rest is for clocks.
const DEPTH_SHARE: f64 = 0.40;
const DEBT_SHARE: f64 = 0.25;
const VALIDITY_SHARE: f64 = 0.25;
/// Depth and debt are at least these fractions of what the limit allows in a window: without
/// tolerance and burst no request would fit otherwise.
const MIN_DEPTH_SHARE: f64 = 0.03;
const MIN_DEBT_SHARE: f64 = 0.04;
/// Fraction of the rate at which buckets refill, since the rule has no tolerance for clocks.
const CLOCK_RATE_MARGIN: f64 = 0.999;

/// Bounds of the rule, of the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// `quotaWindowS`.
    pub window: Duration,
    /// `quotaOverage`, a fraction of the limit.
    pub overage: f64,
    /// `quotaSlack`, in the unit of the tenant.
    pub slack: f64,
}

/// A tenant's quota over all owners of its bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Refill rate (units a second).
    pub refill_per_s: f64,
    /// Most that the bucket holds (units).
    pub depth: f64,
    /// How far one large request may take the bucket below 0 (units).
    pub max_debt: f64,
    /// How long a lease is valid after it was requested (microseconds).
    pub lease_validity: Micros,
}

impl TenantQuota {
    /// Derives it from an operator's quota and the bounds of the rule.
    #[must_use]
    pub fn of(quota: &Quota, bounds: &QuotaBounds) -> TenantQuota {
        let window_s = bounds.window.as_secs_f64();
        let limit = quota.rate_per_s * window_s + quota.burst;
        // A slack above the limit itself is meant for another unit.
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

    /// Most that is admitted in a window of so many seconds.
    #[must_use]
    pub fn max_admitted_in(&self, window_s: f64) -> f64 {
        let validity_s = self.lease_validity as f64 / MICROS_PER_SECOND;
        self.refill_per_s * (window_s + validity_s) + self.depth + self.max_debt
    }
}

/// Least amount of any request.
fn smallest_request(unit: QuotaUnit) -> f64 {
    match unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens => 0.0,
    }
}

#[cfg(test)]
mod tests;
