//! A tenant's figures: how fast its bucket refills, how deep it is, and how long a grant may be
//! used.

use lichenswitch_configuration::{Quota, QuotaUnit};
use lichenswitch_interface::Micros;
use std::time::Duration;

/// The longest that a grant may be used (microseconds): longer ones save no messages.
const LONGEST_VALIDITY: f64 = 400_000.0;
/// The shortest (microseconds): an answer has to arrive within it.
const SHORTEST_VALIDITY: f64 = 100_000.0;
/// Parts of the rule's tolerance. What is left is for clocks.
const FOR_DEPTH: f64 = 0.40;
const FOR_DEBT: f64 = 0.25;
const FOR_VALIDITY: f64 = 0.25;
/// Depth and debt are at least these parts of what the limit allows in a window: without tolerance
/// and burst nothing would fit otherwise.
const LEAST_DEPTH: f64 = 0.03;
const LEAST_DEBT: f64 = 0.04;
/// Refill at this part of the rate where the rule has no tolerance for clocks.
const CLOCKS: f64 = 0.999;
const SECOND: f64 = 1_000_000.0;

/// The bounds of the rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// `quotaWindowS`.
    pub window: Duration,
    /// `quotaOverage`.
    pub overage: f64,
    /// `quotaSlack`, in the unit of the tenant.
    pub slack: f64,
}

/// A tenant's figures over all holders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Refill (units a second).
    pub rate: f64,
    /// Most that the bucket holds (units).
    pub depth: f64,
    /// How far below 0 one large request may take it (units).
    pub debt: f64,
    /// How long a grant may be used, counted from the draw (microseconds).
    pub validity: Micros,
}

impl TenantQuota {
    /// Of a tenant's quota under the rule.
    #[must_use]
    pub fn of(quota: &Quota, terms: &QuotaBounds) -> TenantQuota {
        let window = terms.window.as_secs_f64();
        let limit = quota.rate_per_s * window + quota.burst;
        // A slack above the limit itself is one of another unit.
        let tolerance = limit * terms.overage + terms.slack.min(limit);
        let validity = (FOR_VALIDITY * tolerance / quota.rate_per_s * SECOND)
            .clamp(SHORTEST_VALIDITY, LONGEST_VALIDITY);
        let extra = (FOR_DEPTH * tolerance).max(LEAST_DEPTH * limit - quota.burst);
        let debt = (FOR_DEBT * tolerance)
            .max(LEAST_DEBT * limit)
            .max(least_request(quota.unit));
        let most = (limit + tolerance - extra - debt).max(0.0);
        let used = quota.rate_per_s * (window + validity / SECOND) + quota.burst;
        let scale = CLOCKS * (most / used).min(1.0);
        TenantQuota {
            rate: quota.rate_per_s * scale,
            depth: quota.burst * scale + extra,
            debt,
            validity: validity as Micros,
        }
    }

    /// The most that is let through in a window of so many seconds, by these figures.
    #[must_use]
    pub fn most_in(&self, window: f64) -> f64 {
        self.rate * (window + self.validity as f64 / SECOND) + self.depth + self.debt
    }
}

/// What any request needs at least.
fn least_request(unit: QuotaUnit) -> f64 {
    match unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens => 0.0,
    }
}

#[cfg(test)]
mod tests;
