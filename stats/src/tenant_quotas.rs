//! Token buckets of tenants, of which every instance has an equal share.

use lichenswitch_interface::Time;

/// Query quotas of tenants: a rate for each, of which one second may be saved up.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Rate (queries per second), saved tokens and time of the last refill, by tenant.
    tenants: Vec<(f64, f64, Time)>,
}

/// Maximum burst of a tenant, in seconds of its rate.
const QUOTA_SAVED: f64 = 1.0;

impl TenantQuotas {
    /// Creates full buckets for one of `instances` equal instances; `rates` are totals (queries per
    /// second).
    #[must_use]
    pub fn new(rates: &[f64], instances: u32) -> Self {
        let share = |rate: &f64| rate / f64::from(instances.max(1));
        let full = |rate: f64| (rate, (rate * QUOTA_SAVED).max(1.0), Time(0));
        TenantQuotas {
            tenants: rates.iter().map(share).map(full).collect(),
        }
    }
    /// Applies another number of instances; saved tokens are cut to the burst of the new rate.
    pub fn rebalance(&mut self, rates: &[f64], instances: u32) {
        let alike = TenantQuotas::new(rates, instances).tenants;
        for ((rate, saved, _), (new, full, _)) in self.tenants.iter_mut().zip(alike) {
            (*rate, *saved) = (new, saved.min(full));
        }
    }
    /// Returns whether a query is within its tenant's quota, and takes a token if it is. A query of
    /// an unknown tenant is always within the quota.
    pub fn try_consume(&mut self, now: Time, tenant: u32) -> bool {
        let Some((rate, saved, at)) = self.tenants.get_mut(tenant as usize) else {
            return true;
        };
        let gained = *rate * now.since(*at) as f64 / 1e6;
        (*saved, *at) = ((*saved + gained).min((*rate * QUOTA_SAVED).max(1.0)), now);
        let within = *saved >= 1.0;
        *saved -= f64::from(u8::from(within));
        within
    }
}
