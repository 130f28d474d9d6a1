//! Token buckets of tenants, a share of each at every instance.

use lichenswitch_interface::Time;

/// What tenants may ask, in queries: each has a rate and may save up a second of it.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Queries a second, those saved up, and when they were counted.
    tenants: Vec<(f64, f64, Time)>,
}

/// So much of its rate a tenant may save up (seconds).
const QUOTA_SAVED: f64 = 1.0;

impl TenantQuotas {
    /// The part of one of `instances` alike instances in these rates (queries a second).
    #[must_use]
    pub fn new(rates: &[f64], instances: u32) -> Self {
        let share = |rate: &f64| rate / f64::from(instances.max(1));
        let full = |rate: f64| (rate, (rate * QUOTA_SAVED).max(1.0), Time(0));
        TenantQuotas {
            tenants: rates.iter().map(share).map(full).collect(),
        }
    }
    /// The same for another number of instances; what is saved up is cut to what the new rate
    /// allows.
    pub fn rebalance(&mut self, rates: &[f64], instances: u32) {
        let alike = TenantQuotas::new(rates, instances).tenants;
        for ((rate, saved, _), (new, full, _)) in self.tenants.iter_mut().zip(alike) {
            (*rate, *saved) = (new, saved.min(full));
        }
    }
    /// Counts a query and tells whether it is within the tenant's quota; one that is beyond takes
    /// nothing from it. A tenant that there is not has no quota to go beyond.
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
