//! A router's side of quotas: which requests it may admit now, which are queued for a lease, and
//! what was denied a moment ago.
//!
//! It promises that a request is admitted only on a lease that is still valid, counted from when the
//! router requested it, and that a queued request is decided by its deadline.

mod tenant;

use crate::admission::{AdmissionDecision, AdmissionOutcome, RETRY_AFTER_US};
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::tenant_quota::{QuotaBounds, TenantQuota};
use lichenswitch_configuration::Tenant;
use lichenswitch_interface::Time;
use std::collections::HashMap;
use tenant::TenantAllowance;

/// The allowances of all tenants that have sent requests to this router. `R` identifies requests.
pub struct Allowances<R> {
    bounds: QuotaBounds,
    tenants: HashMap<String, TenantAllowance<R>>,
    last_lease_id: u64,
}

impl<R: Copy + PartialEq> Allowances<R> {
    /// Without any tenant. Lease requests get numbers above `last_lease_id`.
    #[must_use]
    pub fn new(bounds: QuotaBounds, last_lease_id: u64) -> Allowances<R> {
        Allowances {
            bounds,
            tenants: HashMap::new(),
            last_lease_id,
        }
    }

    /// Replaces the bounds of the rule.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Decides on a request of a tenant at once, or queues it until `deadline` at the latest.
    pub fn admit(
        &mut self,
        now: Time,
        tenant: &Tenant,
        amount: u64,
        request: R,
        deadline: Time,
    ) -> AdmissionOutcome {
        let Some(quota) = &tenant.quota else {
            return AdmissionOutcome::Admitted(now);
        };
        let lease_validity = TenantQuota::of(quota, &self.bounds).lease_validity;
        let allowance = self
            .tenants
            .entry(tenant.name.clone())
            .or_insert_with(|| TenantAllowance::new(tenant.unit));
        allowance.advance(now, tenant.unit, lease_validity);
        allowance.admit(now, amount, request, deadline)
    }

    /// Leases to request now, with their numbers.
    pub fn lease_requests(&mut self, now: Time) -> Vec<(u64, LeaseRequest)> {
        let mut requests = Vec::new();
        for (tenant, allowance) in &mut self.tenants {
            let id = self.last_lease_id.wrapping_add(1);
            if let Some(request) = allowance.lease_request(now, tenant, id) {
                self.last_lease_id = id;
                requests.push((id, request));
            }
        }
        requests
    }

    /// The response to a lease request. One that is late, or not to the request in flight, has no
    /// effect.
    pub fn on_grant(&mut self, now: Time, id: u64, grant: LeaseGrant) -> Vec<AdmissionDecision<R>> {
        let allowance = self
            .tenants
            .values_mut()
            .find(|allowance| allowance.awaits_lease(id));
        allowance
            .map(|allowance| allowance.on_grant(now, grant))
            .unwrap_or_default()
    }

    /// Ends requests whose deadline has come, and removes tenants of which nothing is left here.
    pub fn expire(&mut self, now: Time) -> Vec<AdmissionDecision<R>> {
        let mut expired = Vec::new();
        for allowance in self.tenants.values_mut() {
            expired.extend(allowance.take_expired(now));
        }
        self.tenants.retain(|_, allowance| !allowance.is_idle(now));
        let unavailable = |request| AdmissionDecision {
            request,
            outcome: AdmissionOutcome::Unavailable(RETRY_AFTER_US),
        };
        expired.into_iter().map(unavailable).collect()
    }

    /// The earliest deadline of a queued request.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.tenants
            .values()
            .flat_map(TenantAllowance::deadlines)
            .min()
    }

    /// No response will come to the lease requests in flight: they are sent again.
    pub fn on_link_lost(&mut self) {
        self.tenants
            .values_mut()
            .for_each(TenantAllowance::abandon_lease);
    }

    /// The client of a queued request has gone; `false` where this request is not queued.
    pub fn cancel(&mut self, request: R) -> bool {
        self.tenants
            .values_mut()
            .any(|allowance| allowance.cancel(request))
    }

    /// An admitted request was not sent to any server: another one may use its tokens while their
    /// lease is valid.
    pub fn return_unused(&mut self, tenant: &str, amount: u64, valid_until: Time) {
        if let Some(allowance) = self.tenants.get_mut(tenant) {
            allowance.add_surplus(amount, valid_until);
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.tenants
            .values()
            .flat_map(TenantAllowance::deadlines)
            .count()
    }
}

#[cfg(test)]
mod tests;
