//! Every request that was admitted, compared with the rule.

use lichenswitch_configuration::{Quota, Tenant};
use lichenswitch_quota::QuotaBounds;

/// A window in which more was admitted for a tenant than the rule allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// Name of the tenant.
    pub tenant: String,
    /// When the window ends (microseconds).
    pub at: u64,
    /// What was admitted in it (units).
    pub sum: f64,
    /// What is allowed in it (units).
    pub allowed: f64,
}

/// The admitted requests of each tenant.
#[derive(Clone, Debug)]
pub struct AdmissionHistory {
    window_us: u64,
    tenants: Vec<TenantHistory>,
}

#[derive(Clone, Debug)]
struct TenantHistory {
    tenant: String,
    quota: Option<Quota>,
    allowed: f64,
    /// When (microseconds), and how much.
    requests: Vec<(u64, f64)>,
}

impl AdmissionHistory {
    /// Of tenants under the rule.
    #[must_use]
    pub fn new(tenants: &[Tenant], bounds: &QuotaBounds) -> AdmissionHistory {
        let window_s = bounds.window.as_secs_f64();
        let tenant_history = |tenant: &Tenant| {
            let limit = tenant
                .quota
                .map_or(0.0, |quota| quota.rate_per_s * window_s + quota.burst);
            // A slack above the limit itself is meant for another unit.
            let allowed = limit * (1.0 + bounds.overage) + bounds.slack.min(limit);
            TenantHistory {
                tenant: tenant.name.clone(),
                quota: tenant.quota,
                allowed,
                requests: Vec::new(),
            }
        };
        AdmissionHistory {
            window_us: (window_s * 1e6) as u64,
            tenants: tenants.iter().map(tenant_history).collect(),
        }
    }

    /// A request was admitted.
    pub(super) fn record(&mut self, now: u64, tenant: usize, amount: u64) {
        self.tenants[tenant].requests.push((now, amount as f64));
    }

    /// The first window that was overrun.
    #[must_use]
    pub fn overrun(&self) -> Option<Overrun> {
        self.tenants
            .iter()
            .find_map(|tenant_history| tenant_history.overrun(self.window_us))
    }

    /// The least fraction of a tenant's rate that was admitted between these times (microseconds).
    #[must_use]
    pub fn least_share(&self, from: u64, to: u64) -> f64 {
        let share = |tenant_history: &TenantHistory| {
            let within = tenant_history
                .requests
                .iter()
                .filter(|(at, _)| (from..to).contains(at));
            let sum: f64 = within.map(|(_, amount)| amount).sum();
            let rate = tenant_history
                .quota
                .map_or(f64::INFINITY, |quota| quota.rate_per_s);
            sum / (rate * (to - from) as f64 / 1e6)
        };
        self.tenants.iter().map(share).fold(f64::INFINITY, f64::min)
    }
}

impl TenantHistory {
    fn overrun(&self, window_us: u64) -> Option<Overrun> {
        let (mut sum, mut first) = (0.0, 0);
        for (at, amount) in &self.requests {
            sum += amount;
            while self.requests[first].0 + window_us < *at {
                sum -= self.requests[first].1;
                first += 1;
            }
            if sum > self.allowed {
                return Some(Overrun {
                    tenant: self.tenant.clone(),
                    at: *at,
                    sum,
                    allowed: self.allowed,
                });
            }
        }
        None
    }
}
