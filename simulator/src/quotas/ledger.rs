//! Every request that was let through, held against the rule.

use lichenswitch_configuration::{Quota, Tenant};
use lichenswitch_quota::QuotaBounds;

/// A window in which a tenant got more than the rule allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Overrun {
    /// Its name.
    pub tenant: String,
    /// When the window ends (microseconds).
    pub at: u64,
    /// What was let through in it.
    pub sum: f64,
    /// What is allowed.
    pub allowed: f64,
}

/// The requests of each tenant.
#[derive(Clone, Debug)]
pub struct Ledger {
    window: u64,
    tenants: Vec<Line>,
}

#[derive(Clone, Debug)]
struct Line {
    tenant: String,
    quota: Option<Quota>,
    allowed: f64,
    /// When, and how much.
    requests: Vec<(u64, f64)>,
}

impl Ledger {
    /// Of tenants under the rule.
    #[must_use]
    pub fn new(tenants: &[Tenant], terms: &QuotaBounds) -> Ledger {
        let window = terms.window.as_secs_f64();
        let line = |tenant: &Tenant| {
            let limit = tenant
                .quota
                .map_or(0.0, |quota| quota.rate_per_s * window + quota.burst);
            // A slack above the limit itself is one of another unit.
            let allowed = limit * (1.0 + terms.overage) + terms.slack.min(limit);
            Line {
                tenant: tenant.name.clone(),
                quota: tenant.quota,
                allowed,
                requests: Vec::new(),
            }
        };
        Ledger {
            window: (window * 1e6) as u64,
            tenants: tenants.iter().map(line).collect(),
        }
    }

    /// A request was let through.
    pub(super) fn let_through(&mut self, now: u64, tenant: usize, need: u64) {
        self.tenants[tenant].requests.push((now, need as f64));
    }

    /// The first window that was overrun.
    #[must_use]
    pub fn overrun(&self) -> Option<Overrun> {
        self.tenants
            .iter()
            .find_map(|line| line.overrun(self.window))
    }

    /// The least part of a tenant's rate that was let through between these times.
    #[must_use]
    pub fn least_share(&self, from: u64, to: u64) -> f64 {
        let share = |line: &Line| {
            let within = line
                .requests
                .iter()
                .filter(|(at, _)| (from..to).contains(at));
            let sum: f64 = within.map(|(_, need)| need).sum();
            let rate = line.quota.map_or(f64::INFINITY, |quota| quota.rate_per_s);
            sum / (rate * (to - from) as f64 / 1e6)
        };
        self.tenants.iter().map(share).fold(f64::INFINITY, f64::min)
    }
}

impl Line {
    fn overrun(&self, window: u64) -> Option<Overrun> {
        let (mut sum, mut first) = (0.0, 0);
        for (at, need) in &self.requests {
            sum += need;
            while self.requests[first].0 + window < *at {
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
