//! The parts of tenants' buckets that a machine holds.

use crate::lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
use crate::ownership::{BucketShard, ShardOwnership};
use crate::tenant_quota::{QuotaBounds, TenantQuota};
use lichenswitch_configuration::{Quota, QuotaUnit, Tenant};
use lichenswitch_interface::{Micros, Time};
use std::collections::{HashMap, VecDeque};

/// Drawn ahead only while so much of the bucket is left.
const LEFT_AHEAD: f64 = 0.5;
/// A bucket that is full but for this part lets a request larger than itself through.
const NEARLY_FULL: f64 = 0.99;
/// Longest advice on when to come back (microseconds).
const LONG_WAIT: Micros = 1_000_000;
/// Advice to whoever finds no part here, or a tenant that is not known as it is asked for
/// (microseconds).
const UNKNOWN_WAIT: Micros = 200_000;
const SECOND: f64 = 1_000_000.0;

/// What a tenant has used of the parts here, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketUsage {
    /// Units granted so far.
    pub granted: f64,
    /// Needs that were not granted.
    pub denied: u64,
    /// What the bucket holds now (units).
    pub level: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    /// Below 0 while in debt.
    level: f64,
    /// What was drawn before is not known: it may be as deep in debt as it can be.
    unknown: bool,
    refilled: Time,
    unit: QuotaUnit,
    granted: f64,
    denied: u64,
    /// What was granted lately, and the most that the part allowed meanwhile.
    audit: Audit,
}

/// Holds what is granted in a window against what the largest part of that time allows.
#[derive(Clone, Debug, Default)]
struct Audit {
    grants: VecDeque<(Time, f64)>,
    sum: f64,
    allowed: f64,
    overrun: bool,
}

/// The buckets of a machine. They begin empty, and as deep in debt as they can be, since whoever
/// held a part before may have drawn on it just now; but for those of tenants whose quota this
/// machine has seen come into being: nobody has drawn on that.
#[derive(Clone, Debug)]
pub struct Buckets {
    terms: QuotaBounds,
    quotas: HashMap<String, Quota>,
    /// Tenants that are known, with a quota or without.
    known: HashMap<String, QuotaUnit>,
    buckets: HashMap<String, Bucket>,
    /// Quotas that are no more, with when they went, for as long as a window.
    removed: HashMap<String, Time>,
    /// What was committed before the next configuration is known.
    knows_before: bool,
}

impl Buckets {
    /// None yet.
    #[must_use]
    pub fn new(terms: QuotaBounds) -> Buckets {
        Buckets {
            terms,
            quotas: HashMap::new(),
            known: HashMap::new(),
            buckets: HashMap::new(),
            removed: HashMap::new(),
            knows_before: false,
        }
    }

    /// This machine is in contact with a group that has no configuration yet.
    pub fn on_no_configuration(&mut self) {
        self.knows_before = true;
    }

    /// The rule has other bounds now.
    pub fn set_bounds(&mut self, terms: QuotaBounds) {
        self.terms = terms;
    }

    /// A configuration with these tenants is in force. A tenant that has gone keeps its bucket, so
    /// that coming back does not refill it.
    pub fn set_tenants(&mut self, now: Time, tenants: &[Tenant]) {
        self.known = tenants
            .iter()
            .map(|tenant| (tenant.name.clone(), tenant.unit))
            .collect();
        let quotas = tenants
            .iter()
            .filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)));
        let before = std::mem::replace(&mut self.quotas, quotas.collect());
        let window = Micros::try_from(self.terms.window.as_micros()).unwrap_or(Micros::MAX);
        self.removed
            .retain(|_, removed| now.since(*removed) < window);
        for (tenant, quota) in &self.quotas {
            let is_new = self.knows_before
                && !before.contains_key(tenant)
                && !self.removed.contains_key(tenant);
            if is_new && !self.buckets.contains_key(tenant) {
                self.buckets
                    .insert(tenant.clone(), Bucket::full(now, quota.unit));
            }
        }
        let quotas = &self.quotas;
        let gone = before
            .into_keys()
            .filter(|tenant| !quotas.contains_key(tenant));
        self.removed.extend(gone.map(|tenant| (tenant, now)));
        self.buckets.retain(|tenant, bucket| {
            quotas.contains_key(tenant) || now.since(bucket.refilled) < window
        });
        self.knows_before = true;
        for (tenant, bucket) in &mut self.buckets {
            let unit = self.known.get(tenant).copied().unwrap_or(bucket.unit);
            if unit != bucket.unit {
                (bucket.unit, bucket.unknown) = (unit, true);
            }
        }
    }

    /// Whether any tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Whether a draw needs no bucket: its tenant has no quota.
    #[must_use]
    pub fn is_unlimited(&self, draw: &LeaseRequest) -> bool {
        self.known.contains_key(&draw.tenant) && !self.quotas.contains_key(&draw.tenant)
    }

    /// Brings all buckets up to now. Called often: a bucket whose part went elsewhere for a while
    /// does not refill for that time.
    pub fn advance(&mut self, now: Time, ownership: &ShardOwnership) {
        for (tenant, bucket) in &mut self.buckets {
            let Some(quota) = self.quotas.get(tenant) else {
                continue;
            };
            let part = Part::of(
                &TenantQuota::of(quota, &self.terms),
                ownership.shard(now, tenant),
            );
            bucket.refill(now, ownership, &part);
        }
    }

    /// Grants what this machine's part bears: needs in order, each whole or not at all.
    pub fn lease(
        &mut self,
        now: Time,
        draw: &LeaseRequest,
        ownership: &ShardOwnership,
    ) -> LeaseGrant {
        if self.is_unlimited(draw) {
            return LeaseGrant::all(draw);
        }
        let nothing = LeaseGrant {
            retry_after_us: UNKNOWN_WAIT,
            ..LeaseGrant::default()
        };
        let Some(quota) = self
            .quotas
            .get(&draw.tenant)
            .filter(|quota| quota.unit == draw.unit)
        else {
            return nothing;
        };
        let part = Part::of(
            &TenantQuota::of(quota, &self.terms),
            ownership.shard(now, &draw.tenant),
        );
        let bucket = self
            .buckets
            .entry(draw.tenant.clone())
            .or_insert_with(|| Bucket::new(now, draw.unit));
        bucket.refill(now, ownership, &part);
        match part.rate > 0.0 {
            true => {
                let before = bucket.granted;
                let grant = bucket.grant(draw, &part);
                let window = self.terms.window.as_secs_f64();
                let allowed = part.rate * window + part.depth + part.debt;
                bucket
                    .audit
                    .on_granted(now, bucket.granted - before, window, allowed);
                grant
            }
            false => nothing,
        }
    }

    /// What tenants have used here, by name, as it stands now.
    #[must_use]
    pub fn usage(&self, now: Time, ownership: &ShardOwnership) -> Vec<(&str, BucketUsage)> {
        let usage = |(tenant, bucket): (&'_ String, &Bucket)| {
            let mut bucket = bucket.clone();
            if let Some(quota) = self.quotas.get(tenant) {
                let part = Part::of(
                    &TenantQuota::of(quota, &self.terms),
                    ownership.shard(now, tenant),
                );
                bucket.refill(now, ownership, &part);
            }
            BucketUsage {
                granted: bucket.granted,
                denied: bucket.denied,
                level: bucket.level,
            }
        };
        let mut all: Vec<(&str, BucketUsage)> = self
            .buckets
            .iter()
            .map(|entry| (entry.0.as_str(), usage(entry)))
            .collect();
        all.sort_unstable_by_key(|(tenant, _)| *tenant);
        all
    }

    /// Whether every part has kept within what it allows in a window since the process began.
    #[must_use]
    pub fn are_within_bounds(&self) -> bool {
        self.buckets.values().all(|bucket| !bucket.audit.overrun)
    }

    /// Tenants that have a quota, with it.
    pub fn quotas(&self) -> impl Iterator<Item = (&str, &Quota)> {
        self.quotas
            .iter()
            .map(|(tenant, quota)| (tenant.as_str(), quota))
    }
}

/// A machine's part of a tenant's figures.
struct Part {
    rate: f64,
    depth: f64,
    debt: f64,
}

impl Part {
    fn of(figures: &TenantQuota, share: BucketShard) -> Part {
        let debt = if share.may_go_into_debt {
            figures.debt
        } else {
            0.0
        };
        Part {
            rate: figures.rate * share.fraction,
            depth: figures.depth * share.fraction,
            debt,
        }
    }
}

impl Bucket {
    fn new(now: Time, unit: QuotaUnit) -> Bucket {
        Bucket {
            level: 0.0,
            unknown: true,
            refilled: now,
            unit,
            granted: 0.0,
            denied: 0,
            audit: Audit::default(),
        }
    }

    /// Whatever its depth is: the first refill limits it to that.
    fn full(now: Time, unit: QuotaUnit) -> Bucket {
        Bucket {
            level: f64::INFINITY,
            unknown: false,
            ..Bucket::new(now, unit)
        }
    }

    /// Refills up to now, or to the end of the tenure that the machine has.
    fn refill(&mut self, now: Time, ownership: &ShardOwnership, part: &Part) {
        if part.rate <= 0.0 {
            // Whoever holds the part meanwhile leaves it as it will.
            (self.level, self.unknown, self.refilled) = (0.0, true, now);
            return;
        }
        if std::mem::take(&mut self.unknown) {
            (self.level, self.refilled) = (-part.debt, now);
        }
        let until = now.min(ownership.expires_at());
        let passed = until.since(self.refilled.max(ownership.held_since())) as f64 / SECOND;
        self.level = (self.level + part.rate * passed).min(part.depth);
        self.refilled = self.refilled.max(now);
    }

    fn grant(&mut self, draw: &LeaseRequest, part: &Part) -> LeaseGrant {
        let mut grant = LeaseGrant::default();
        for (place, need) in draw.amounts.iter().take(MAX_AMOUNTS).enumerate() {
            let need = *need as f64;
            if self.bears(need, part) {
                self.take(need);
                grant.granted_bits |= 1 << place;
            } else {
                self.denied += 1;
                let wait = self.wait(need, part);
                grant.retry_after_us = if grant.retry_after_us == 0 {
                    wait
                } else {
                    grant.retry_after_us.min(wait)
                };
            }
        }
        let prefetch_amount = draw.prefetch_amount as f64;
        if grant.retry_after_us == 0 && self.level - prefetch_amount >= LEFT_AHEAD * part.depth {
            self.take(prefetch_amount);
            grant.prefetch_amount = draw.prefetch_amount;
        }
        grant
    }

    fn bears(&self, need: f64, part: &Part) -> bool {
        let larger_than_all = need > part.depth && need <= part.depth + part.debt;
        self.level >= need || (larger_than_all && self.level >= NEARLY_FULL * part.depth)
    }

    fn take(&mut self, amount: f64) {
        self.level -= amount;
        self.granted += amount;
    }

    fn wait(&self, need: f64, part: &Part) -> Micros {
        let lacking = need.min(part.depth) - self.level;
        let wait = lacking / part.rate * SECOND;
        (wait as Micros).clamp(1, LONG_WAIT)
    }
}

impl Audit {
    fn on_granted(&mut self, now: Time, amount: f64, window: f64, allowed: f64) {
        let window = (window * SECOND) as Micros;
        while self
            .grants
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
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
        // Sums of fractions are off by a little.
        self.overrun |= self.sum > self.allowed * 1.000_1 + 1.0;
    }
}

#[cfg(test)]
mod tests;
