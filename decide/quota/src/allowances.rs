//! Admission control at a router: admits requests that are covered by a lease, queues requests
//! until a lease is granted, and remembers recent denials.
//!
//! A request is admitted only on a lease that is still valid, counted from the time at which the
//! router requested it. Every queued request is decided by its deadline.

mod tenant;

use crate::admission::{AdmissionDecision, AdmissionOutcome, RETRY_AFTER_US};
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::tenant_quota::{QuotaBounds, TenantQuota};
use lichenswitch_configuration::Tenant;
use lichenswitch_interface::Time;
use std::collections::HashMap;
use tenant::TenantAllowance;

/// The allowances of all tenants that have sent requests to this router. `R` is the type that
/// identifies a request.
pub struct Allowances<R> {
    bounds: QuotaBounds,
    tenants: HashMap<String, TenantAllowance<R>>,
    last_lease_id: u64,
}

impl<R: Copy + PartialEq> Allowances<R> {
    /// Creates allowances without any tenant. Lease requests get IDs above `last_lease_id`.
    #[must_use]
    pub fn new(bounds: QuotaBounds, last_lease_id: u64) -> Allowances<R> {
        Allowances {
            bounds,
            tenants: HashMap::new(),
            last_lease_id,
        }
    }

    /// Replaces the bounds from the settings; they apply to later calls.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Decides on a request of a tenant immediately, or queues it until `deadline` at the latest.
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

    /// Returns the lease requests to send now, with their IDs.
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

    /// Handles the response to a lease request. A response that is late, or that doesn't belong to
    /// the request in flight, grants nothing.
    pub fn on_grant(&mut self, now: Time, id: u64, grant: LeaseGrant) -> Vec<AdmissionDecision<R>> {
        let allowance = self
            .tenants
            .values_mut()
            .find(|allowance| allowance.awaits_lease(id));
        allowance
            .map(|allowance| allowance.on_grant(now, grant))
            .unwrap_or_default()
    }

    /// Removes and returns the requests whose deadline has passed, and removes idle tenants.
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

    /// Returns the earliest deadline of a queued request: the time of the next call of
    /// [`Allowances::expire`].
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.tenants
            .values()
            .flat_map(TenantAllowance::deadlines)
            .min()
    }

    /// Handles the loss of the connection to the control machine: lease requests in flight are sent
    /// again, since they get no response.
    pub fn on_link_lost(&mut self) {
        self.tenants
            .values_mut()
            .for_each(TenantAllowance::abandon_lease);
    }

    /// Removes a queued request whose client has disconnected; returns false if it is not queued.
    pub fn cancel(&mut self, request: R) -> bool {
        self.tenants
            .values_mut()
            .any(|allowance| allowance.cancel(request))
    }

    /// Takes back the tokens of an admitted request that was not sent to any server. Other requests
    /// may use them until `valid_until`, when their lease expires.
    pub fn return_unused(&mut self, tenant: &str, amount: u64, valid_until: Time) {
        if let Some(allowance) = self.tenants.get_mut(tenant) {
            allowance.add_surplus(amount, valid_until);
        }
    }

    /// Returns the number of queued requests of all tenants, without cancelled ones.
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
