//! The token bucket of one shard, and the audit of its grants.

use crate::lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
use crate::ownership::{BucketShard, ShardOwnership};
use crate::tenant_quota::TenantQuota;
use crate::MICROS_PER_SECOND;
use lichenswitch_configuration::QuotaUnit;
use lichenswitch_interface::{Micros, Time};
use std::collections::VecDeque;

/// Minimum level after a prefetch amount is granted, as a fraction of the depth.
const MIN_LEVEL_AFTER_PREFETCH: f64 = 0.5;
/// Minimum level at which an amount larger than the depth is granted, as a fraction of the depth.
const NEARLY_FULL: f64 = 0.99;
/// Longest retry delay that is suggested (microseconds).
const MAX_RETRY_AFTER_US: Micros = 1_000_000;

/// Refill rate, depth and maximum debt of one shard: its fraction of the tenant's quota.
pub(super) struct ShardBounds {
    refill_per_s: f64,
    depth: f64,
    max_debt: f64,
}

impl ShardBounds {
    pub(super) fn of(quota: &TenantQuota, shard: BucketShard) -> ShardBounds {
        let max_debt = if shard.may_go_into_debt {
            quota.max_debt
        } else {
            0.0
        };
        ShardBounds {
            refill_per_s: quota.refill_per_s * shard.fraction,
            depth: quota.depth * shard.fraction,
            max_debt,
        }
    }

    /// Whether this machine owns a shard of the bucket.
    pub(super) fn is_owned(&self) -> bool {
        self.refill_per_s > 0.0
    }

    /// Returns the maximum amount that the shard grants in a window.
    fn max_granted_in(&self, window_s: f64) -> f64 {
        self.refill_per_s * window_s + self.depth + self.max_debt
    }
}

/// Usage of one tenant's bucket at this machine, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketUsage {
    /// Units granted since the bucket was created.
    pub granted: f64,
    /// Number of amounts that were denied since the bucket was created.
    pub denied: u64,
    /// Current level of the bucket (units); below 0 while in debt.
    pub level: f64,
}

/// The token bucket of one shard.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Units that can be granted; below 0 while in debt.
    level: f64,
    /// Whether earlier grants from this shard are unknown. The next refill then starts at the
    /// maximum debt.
    is_level_unknown: bool,
    refilled_at: Time,
    unit: QuotaUnit,
    granted: f64,
    denied: u64,
    audit: GrantAudit,
}

impl Bucket {
    pub(super) fn new(now: Time, unit: QuotaUnit) -> Bucket {
        Bucket {
            level: 0.0,
            is_level_unknown: true,
            refilled_at: now,
            unit,
            granted: 0.0,
            denied: 0,
            audit: GrantAudit::default(),
        }
    }

    /// Creates a full bucket. The level is infinite until the first refill limits it to the depth.
    pub(super) fn full(now: Time, unit: QuotaUnit) -> Bucket {
        Bucket {
            level: f64::INFINITY,
            is_level_unknown: false,
            ..Bucket::new(now, unit)
        }
    }

    pub(super) fn refilled_at(&self) -> Time {
        self.refilled_at
    }

    /// Adopts the unit of the quota. A level in the previous unit can't be converted, so it becomes
    /// unknown.
    pub(super) fn set_unit(&mut self, unit: QuotaUnit) {
        if unit != self.unit {
            (self.unit, self.is_level_unknown) = (unit, true);
        }
    }

    pub(super) fn usage(&self) -> BucketUsage {
        BucketUsage {
            granted: self.granted,
            denied: self.denied,
            level: self.level,
        }
    }

    pub(super) fn is_within_bounds(&self) -> bool {
        !self.audit.is_exceeded
    }

    /// Refills the bucket up to now, or up to the end of the machine's ownership if that is
    /// earlier.
    pub(super) fn refill(&mut self, now: Time, ownership: &ShardOwnership, shard: &ShardBounds) {
        if shard.refill_per_s <= 0.0 {
            // The current owner may leave the shard at any level.
            (self.level, self.is_level_unknown, self.refilled_at) = (0.0, true, now);
            return;
        }
        if std::mem::take(&mut self.is_level_unknown) {
            (self.level, self.refilled_at) = (-shard.max_debt, now);
        }
        let until = now.min(ownership.expires_at());
        let elapsed_s =
            until.since(self.refilled_at.max(ownership.owned_since())) as f64 / MICROS_PER_SECOND;
        self.level = (self.level + shard.refill_per_s * elapsed_s).min(shard.depth);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Grants the amounts that the level allows, and audits their sum.
    pub(super) fn grant(
        &mut self,
        now: Time,
        request: &LeaseRequest,
        shard: &ShardBounds,
        window_s: f64,
    ) -> LeaseGrant {
        let granted_before = self.granted;
        let grant = self.withdraw_all(request, shard);
        let amount = self.granted - granted_before;
        self.audit
            .on_granted(now, amount, window_s, shard.max_granted_in(window_s));
        grant
    }

    fn withdraw_all(&mut self, request: &LeaseRequest, shard: &ShardBounds) -> LeaseGrant {
        let mut grant = LeaseGrant::default();
        for (index, amount) in request.amounts.iter().take(MAX_AMOUNTS).enumerate() {
            let amount = *amount as f64;
            if self.can_grant(amount, shard) {
                self.withdraw(amount);
                grant.granted_bits |= 1 << index;
            } else {
                self.denied += 1;
                let retry_after_us = self.retry_after(amount, shard);
                grant.retry_after_us = if grant.retry_after_us == 0 {
                    retry_after_us
                } else {
                    grant.retry_after_us.min(retry_after_us)
                };
            }
        }
        let prefetch_amount = request.prefetch_amount as f64;
        let level_after = self.level - prefetch_amount;
        if grant.retry_after_us == 0 && level_after >= MIN_LEVEL_AFTER_PREFETCH * shard.depth {
            self.withdraw(prefetch_amount);
            grant.prefetch_amount = request.prefetch_amount;
        }
        grant
    }

    fn can_grant(&self, amount: f64, shard: &ShardBounds) -> bool {
        let needs_debt = amount > shard.depth && amount <= shard.depth + shard.max_debt;
        self.level >= amount || (needs_debt && self.level >= NEARLY_FULL * shard.depth)
    }

    fn withdraw(&mut self, amount: f64) {
        self.level -= amount;
        self.granted += amount;
    }

    fn retry_after(&self, amount: f64, shard: &ShardBounds) -> Micros {
        let deficit = amount.min(shard.depth) - self.level;
        let wait_us = deficit / shard.refill_per_s * MICROS_PER_SECOND;
        (wait_us as Micros).clamp(1, MAX_RETRY_AFTER_US)
    }
}

/// An audit that compares the sum granted in a window with the bounds of the largest shard in it.
#[derive(Clone, Debug, Default)]
struct GrantAudit {
    /// Times and amounts of the grants in the last window; their sum is `sum`.
    grants: VecDeque<(Time, f64)>,
    sum: f64,
    allowed: f64,
    is_exceeded: bool,
}

impl GrantAudit {
    fn on_granted(&mut self, now: Time, amount: f64, window_s: f64, allowed: f64) {
        let window = (window_s * MICROS_PER_SECOND) as Micros;
        while self
            .grants
            .front()
            .is_some_and(|(granted_at, _)| now.since(*granted_at) > window)
        {
            self.sum -= self.grants.pop_front().map_or(0.0, |(_, amount)| amount);
        }
        if self.grants.is_empty() {
            (self.sum, self.allowed) = (0.0, 0.0);
        }
        self.allowed = self.allowed.max(allowed);
        if amount > 0.0 {
            self.grants.push_back((now, amount));
            self.sum += amount;
        }
        // The tolerance covers rounding errors of the sum.
        self.is_exceeded |= self.sum > self.allowed * 1.000_1 + 1.0;
    }
}
