//! Token buckets for the shards that a control machine owns.

mod bucket;

use crate::lease::{LeaseGrant, LeaseRequest};
use crate::ownership::ShardOwnership;
use crate::tenant_quota::{QuotaBounds, TenantQuota};
use bucket::{Bucket, ShardBounds};
use lichenswitch_configuration::{Quota, QuotaUnit, Tenant};
use lichenswitch_interface::{Micros, Time};
use std::collections::HashMap;

pub use bucket::BucketUsage;

/// Retry delay that is suggested if this machine owns no shard, or doesn't know a tenant with the
/// requested name and unit (microseconds).
const NO_SHARD_RETRY_AFTER_US: Micros = 200_000;

/// The buckets of a control machine, by tenant.
///
/// A bucket normally starts at its maximum debt, since an earlier owner may have just granted that
/// much. A bucket starts full if this machine has observed the creation of the quota, since no
/// other machine can have granted anything from it.
#[derive(Clone, Debug)]
pub struct Buckets {
    bounds: QuotaBounds,
    quotas: HashMap<String, Quota>,
    /// Units of all tenants of the configuration, with or without a quota.
    known_units: HashMap<String, QuotaUnit>,
    buckets: HashMap<String, Bucket>,
    /// Tenants whose quota was removed within the last window, with the time of the removal.
    removed: HashMap<String, Time>,
    /// Whether the current configuration is known. Only then can the quotas that the next one adds
    /// be recognised.
    knows_previous_configuration: bool,
}

impl Buckets {
    /// Creates a set of buckets without any tenant.
    #[must_use]
    pub fn new(bounds: QuotaBounds) -> Buckets {
        Buckets {
            bounds,
            quotas: HashMap::new(),
            known_units: HashMap::new(),
            buckets: HashMap::new(),
            removed: HashMap::new(),
            knows_previous_configuration: false,
        }
    }

    /// Records contact with a group that has no configuration yet. Buckets of the first
    /// configuration then start full.
    pub fn on_no_configuration(&mut self) {
        self.knows_previous_configuration = true;
    }

    /// Replaces the bounds from the settings; they apply to later calls.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Adopts the tenants of a new configuration. The bucket of a removed tenant is kept for one
    /// window, so that removing and adding a tenant doesn't refill the bucket.
    pub fn set_tenants(&mut self, now: Time, tenants: &[Tenant]) {
        self.known_units = tenants
            .iter()
            .map(|tenant| (tenant.name.clone(), tenant.unit))
            .collect();
        let quotas = tenants
            .iter()
            .filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)));
        let previous = std::mem::replace(&mut self.quotas, quotas.collect());
        let window = Micros::try_from(self.bounds.window.as_micros()).unwrap_or(Micros::MAX);
        self.removed
            .retain(|_, removed_at| now.since(*removed_at) < window);
        self.fill_new_buckets(now, &previous);
        let quotas = &self.quotas;
        let removed = previous
            .into_keys()
            .filter(|tenant| !quotas.contains_key(tenant));
        self.removed.extend(removed.map(|tenant| (tenant, now)));
        self.buckets.retain(|tenant, bucket| {
            quotas.contains_key(tenant) || now.since(bucket.refilled_at()) < window
        });
        self.knows_previous_configuration = true;
        for (tenant, bucket) in &mut self.buckets {
            if let Some(unit) = self.known_units.get(tenant) {
                bucket.set_unit(*unit);
            }
        }
    }

    /// Creates full buckets for quotas that the previous configuration didn't have.
    fn fill_new_buckets(&mut self, now: Time, previous: &HashMap<String, Quota>) {
        for (tenant, quota) in &self.quotas {
            let is_new = self.knows_previous_configuration
                && !previous.contains_key(tenant)
                && !self.removed.contains_key(tenant);
            if is_new && !self.buckets.contains_key(tenant) {
                self.buckets
                    .insert(tenant.clone(), Bucket::full(now, quota.unit));
            }
        }
    }

    /// Whether at least one tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Whether the tenant of a request is known and has no quota, so that no bucket is needed.
    #[must_use]
    pub fn is_unlimited(&self, request: &LeaseRequest) -> bool {
        self.known_units.contains_key(&request.tenant) && !self.quotas.contains_key(&request.tenant)
    }

    /// Refills all buckets up to now. The caller has to call this method often, since a bucket must
    /// not refill for the time in which another machine owned its shard.
    pub fn advance(&mut self, now: Time, ownership: &ShardOwnership) {
        for (tenant, bucket) in &mut self.buckets {
            let Some(quota) = self.quotas.get(tenant) else {
                continue;
            };
            let shard = shard_bounds(quota, &self.bounds, now, tenant, ownership);
            bucket.refill(now, ownership, &shard);
        }
    }

    /// Grants a request from this machine's shard. The amounts are considered in order, and each is
    /// granted in full or not at all.
    pub fn lease(
        &mut self,
        now: Time,
        request: &LeaseRequest,
        ownership: &ShardOwnership,
    ) -> LeaseGrant {
        if self.is_unlimited(request) {
            return LeaseGrant::in_full(request);
        }
        let denial = LeaseGrant {
            retry_after_us: NO_SHARD_RETRY_AFTER_US,
            ..LeaseGrant::default()
        };
        let Some(quota) = self
            .quotas
            .get(&request.tenant)
            .filter(|quota| quota.unit == request.unit)
        else {
            return denial;
        };
        let shard = shard_bounds(quota, &self.bounds, now, &request.tenant, ownership);
        let bucket = self
            .buckets
            .entry(request.tenant.clone())
            .or_insert_with(|| Bucket::new(now, request.unit));
        bucket.refill(now, ownership, &shard);
        match shard.is_owned() {
            true => bucket.grant(now, request, &shard, self.bounds.window.as_secs_f64()),
            false => denial,
        }
    }

    /// Returns the usage of each bucket as of now, sorted by the tenant's name.
    #[must_use]
    pub fn usage(&self, now: Time, ownership: &ShardOwnership) -> Vec<(&str, BucketUsage)> {
        let usage = |(tenant, bucket): (&'_ String, &Bucket)| {
            let mut bucket = bucket.clone();
            if let Some(quota) = self.quotas.get(tenant) {
                let shard = shard_bounds(quota, &self.bounds, now, tenant, ownership);
                bucket.refill(now, ownership, &shard);
            }
            bucket.usage()
        };
        let mut all: Vec<(&str, BucketUsage)> = self
            .buckets
            .iter()
            .map(|entry| (entry.0.as_str(), usage(entry)))
            .collect();
        all.sort_unstable_by_key(|(tenant, _)| *tenant);
        all
    }

    /// Whether every shard has stayed within its bounds in every window since the start of the
    /// process.
    #[must_use]
    pub fn are_within_bounds(&self) -> bool {
        self.buckets.values().all(Bucket::is_within_bounds)
    }

    /// Returns the names of the tenants that have a quota, with the quota, in no particular order.
    pub fn quotas(&self) -> impl Iterator<Item = (&str, &Quota)> {
        self.quotas
            .iter()
            .map(|(tenant, quota)| (tenant.as_str(), quota))
    }
}

fn shard_bounds(
    quota: &Quota,
    bounds: &QuotaBounds,
    now: Time,
    tenant: &str,
    ownership: &ShardOwnership,
) -> ShardBounds {
    ShardBounds::of(
        &TenantQuota::of(quota, bounds),
        ownership.shard(now, tenant),
    )
}

#[cfg(test)]
mod tests;
