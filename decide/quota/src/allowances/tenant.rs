//! The allowance of one tenant at a router.

use crate::admission::{AdmissionDecision, AdmissionOutcome, RETRY_AFTER_US};
use crate::lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
use lichenswitch_configuration::QuotaUnit;
use lichenswitch_interface::{Micros, Time};
use std::collections::VecDeque;

/// Longest time for which a denial applies to later requests (microseconds).
const DENIAL_VALIDITY_US: Micros = 60_000;
/// Maximum number of queued requests of a tenant. Bounds memory.
pub(super) const MAX_QUEUED: usize = 256;
/// Minimum number of requests within one lease validity for which tokens are prefetched.
const MIN_REQUESTS_FOR_PREFETCH: usize = 3;

/// A request that waits for a lease.
struct QueuedRequest<R> {
    /// `None` if the request was cancelled or has expired while a lease request for it is in
    /// flight.
    request: Option<R>,
    amount: u64,
    deadline: Time,
}

/// A lease request without a response so far. It covers the first `request_count` queued requests.
struct InFlightLease {
    id: u64,
    requested_at: Time,
    request_count: usize,
}

/// Leased tokens that no request has used so far.
struct SurplusTokens {
    amount: u64,
    valid_until: Time,
}

/// The most recent denial, which also applies to similar requests.
#[derive(Clone, Copy)]
struct LastDenial {
    /// Smallest amount that the denial applies to.
    min_amount: u64,
    retry_after: Micros,
    valid_until: Time,
}

/// An admitted amount, from which the prefetch amount is derived.
#[derive(Clone, Copy)]
struct RecentAdmission {
    admitted_at: Time,
    amount: u64,
}

/// Leased tokens, queued requests and recent decisions of one tenant at a router.
pub(super) struct TenantAllowance<R> {
    unit: QuotaUnit,
    lease_validity: Micros,
    surplus: VecDeque<SurplusTokens>,
    queue: VecDeque<QueuedRequest<R>>,
    in_flight: Option<InFlightLease>,
    last_denial: Option<LastDenial>,
    /// Admissions within the last lease validity, oldest first.
    recent: VecDeque<RecentAdmission>,
}

impl<R: Copy + PartialEq> TenantAllowance<R> {
    pub(super) fn new(unit: QuotaUnit) -> TenantAllowance<R> {
        TenantAllowance {
            unit,
            lease_validity: 0,
            surplus: VecDeque::new(),
            queue: VecDeque::new(),
            in_flight: None,
            last_denial: None,
            recent: VecDeque::new(),
        }
    }

    /// Removes expired records, and adopts the unit and lease validity of the current quota.
    pub(super) fn advance(&mut self, now: Time, unit: QuotaUnit, lease_validity: Micros) {
        self.lease_validity = lease_validity;
        if unit != self.unit {
            // Amounts in the previous unit can't be compared with amounts in the new one.
            self.unit = unit;
            self.surplus.clear();
            self.recent.clear();
            self.last_denial = None;
            self.abandon_lease();
        }
        self.surplus.retain(|surplus| surplus.valid_until > now);
        self.last_denial = self.last_denial.filter(|denial| denial.valid_until > now);
        while self
            .recent
            .front()
            .is_some_and(|admission| now.since(admission.admitted_at) >= lease_validity)
        {
            self.recent.pop_front();
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Time,
        amount: u64,
        request: R,
        deadline: Time,
    ) -> AdmissionOutcome {
        if let Some(valid_until) = self.use_surplus(amount) {
            self.record_admission(now, amount);
            return AdmissionOutcome::Admitted(valid_until);
        }
        if let Some(denial) = self
            .last_denial
            .filter(|denial| amount >= denial.min_amount)
        {
            return AdmissionOutcome::OverQuota(denial.retry_after);
        }
        if self.queue.len() >= MAX_QUEUED {
            return AdmissionOutcome::Unavailable(RETRY_AFTER_US);
        }
        self.queue.push_back(QueuedRequest {
            request: Some(request),
            amount,
            deadline,
        });
        AdmissionOutcome::Queued
    }

    /// Takes an amount from the surplus. Returns the earliest expiry of the leases used, or `None`
    /// if the surplus is too small.
    fn use_surplus(&mut self, amount: u64) -> Option<Time> {
        let available: u64 = self.surplus.iter().map(|surplus| surplus.amount).sum();
        if available < amount {
            return None;
        }
        let (mut remaining, mut valid_until) = (amount, Time(u64::MAX));
        for surplus in &mut self.surplus {
            let used = remaining.min(surplus.amount);
            if used > 0 {
                valid_until = valid_until.min(surplus.valid_until);
            }
            surplus.amount -= used;
            remaining -= used;
        }
        self.surplus.retain(|surplus| surplus.amount > 0);
        Some(valid_until)
    }

    pub(super) fn add_surplus(&mut self, amount: u64, valid_until: Time) {
        self.surplus.push_back(SurplusTokens {
            amount,
            valid_until,
        });
    }

    /// Returns the lease request to send now, if any. It covers the first requests of the queue. At
    /// most one lease request is in flight at a time.
    pub(super) fn lease_request(
        &mut self,
        now: Time,
        tenant: &str,
        id: u64,
    ) -> Option<LeaseRequest> {
        let is_overdue = self
            .in_flight
            .as_ref()
            .is_some_and(|lease| now.since(lease.requested_at) >= self.lease_validity);
        if is_overdue {
            // A lease is valid from its request on, so that a response now would grant nothing.
            self.abandon_lease();
        }
        if self.in_flight.is_some() || self.queue.is_empty() {
            return None;
        }
        let amounts: Vec<u64> = self
            .queue
            .iter()
            .take(MAX_AMOUNTS)
            .map(|queued| queued.amount)
            .collect();
        self.in_flight = Some(InFlightLease {
            id,
            requested_at: now,
            request_count: amounts.len(),
        });
        Some(LeaseRequest {
            tenant: tenant.to_owned(),
            unit: self.unit,
            amounts,
            prefetch_amount: self.prefetch_amount(),
        })
    }

    /// Returns the amount admitted in the last lease validity as the estimate for the next one; 0
    /// if there were fewer than [`MIN_REQUESTS_FOR_PREFETCH`] requests.
    fn prefetch_amount(&self) -> u64 {
        match self.recent.len() {
            0..MIN_REQUESTS_FOR_PREFETCH => 0,
            _ => self.recent.iter().map(|admission| admission.amount).sum(),
        }
    }

    pub(super) fn awaits_lease(&self, id: u64) -> bool {
        self.in_flight.as_ref().is_some_and(|lease| lease.id == id)
    }

    /// Handles the response to the lease request in flight, and returns the decisions on its
    /// requests.
    pub(super) fn on_grant(&mut self, now: Time, grant: LeaseGrant) -> Vec<AdmissionDecision<R>> {
        let Some(lease) = self.in_flight.take() else {
            return Vec::new();
        };
        let valid_until = lease.requested_at.plus(self.lease_validity);
        if now >= valid_until {
            // The lease has expired. The requests stay queued and are requested again.
            self.drop_cancelled();
            return Vec::new();
        }
        let mut decisions = Vec::new();
        for index in 0..lease.request_count {
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            let outcome = match grant.covers(index) {
                true => AdmissionOutcome::Admitted(valid_until),
                false => AdmissionOutcome::OverQuota(grant.retry_after_us.max(1)),
            };
            match (queued.request, outcome) {
                (Some(_), AdmissionOutcome::Admitted(_)) => {
                    self.record_admission(now, queued.amount)
                }
                (None, AdmissionOutcome::Admitted(_)) => {
                    self.add_surplus(queued.amount, valid_until)
                }
                _ => self.record_denial(now, queued.amount, grant.retry_after_us),
            }
            let decision = |request| AdmissionDecision { request, outcome };
            decisions.extend(queued.request.map(decision));
        }
        if grant.prefetch_amount > 0 {
            self.add_surplus(grant.prefetch_amount, valid_until);
        }
        decisions
    }

    fn record_admission(&mut self, now: Time, amount: u64) {
        self.recent.push_back(RecentAdmission {
            admitted_at: now,
            amount,
        });
    }

    fn record_denial(&mut self, now: Time, amount: u64, retry_after: Micros) {
        let min_amount = self
            .last_denial
            .filter(|denial| denial.valid_until > now)
            .map_or(amount, |denial| denial.min_amount.min(amount));
        self.last_denial = Some(LastDenial {
            min_amount,
            retry_after,
            valid_until: now.plus(retry_after.min(DENIAL_VALIDITY_US)),
        });
    }

    /// Discards the lease request in flight, so that a response to it is ignored.
    pub(super) fn abandon_lease(&mut self) {
        self.in_flight = None;
        self.drop_cancelled();
    }

    /// Removes the requests whose deadline has passed from the queue and returns them.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<R> {
        let expired = self
            .queue
            .iter_mut()
            .filter(|queued| queued.deadline <= now)
            .filter_map(|queued| queued.request.take())
            .collect();
        self.drop_cancelled();
        expired
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub(super) fn cancel(&mut self, request: R) -> bool {
        let queued = self
            .queue
            .iter_mut()
            .find(|queued| queued.request == Some(request));
        let Some(queued) = queued else {
            return false;
        };
        queued.request = None;
        self.drop_cancelled();
        true
    }

    /// Removes cancelled requests, except those covered by the lease request in flight: the bits of
    /// its grant refer to positions in the queue.
    fn drop_cancelled(&mut self) {
        let awaited = self
            .in_flight
            .as_ref()
            .map_or(0, |lease| lease.request_count);
        let mut position = 0;
        self.queue.retain(|queued| {
            position += 1;
            position <= awaited || queued.request.is_some()
        });
    }

    /// Returns the deadlines of the queued requests, without cancelled ones.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = Time> + '_ {
        self.queue
            .iter()
            .filter(|queued| queued.request.is_some())
            .map(|queued| queued.deadline)
    }

    pub(super) fn is_idle(&self, now: Time) -> bool {
        let has_no_surplus = self
            .surplus
            .iter()
            .all(|surplus| surplus.valid_until <= now);
        let has_no_recent = self
            .recent
            .back()
            .is_none_or(|admission| now.since(admission.admitted_at) >= self.lease_validity);
        self.queue.is_empty() && self.in_flight.is_none() && has_no_surplus && has_no_recent
    }
}
