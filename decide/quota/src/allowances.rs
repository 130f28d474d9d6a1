//! A router's side of quotas: what it may let through now, what waits for a draw, and what was
//! denied just now.
//!
//! It promises that a request is let through only on a grant that is still valid, counted from when
//! the router asked for it, and that a request which waits is decided within the time that it was
//! given.

use crate::lease::{LeaseGrant, LeaseRequest, MAX_AMOUNTS};
use crate::tenant_quota::{QuotaBounds, TenantQuota};
use lichenswitch_configuration::{QuotaUnit, Tenant};
use lichenswitch_interface::{Micros, Time};
use std::collections::{HashMap, VecDeque};

/// What was denied is denied at once for so long (microseconds).
const DENIED: Micros = 60_000;
/// Requests of a tenant that may wait. Guards memory.
const MOST_WAITING: usize = 256;
/// Advice where too many wait, or no control machine answers (microseconds).
const RETRY: Micros = 100_000;
/// So many requests of a tenant in a validity, and as much as they came to is drawn ahead.
const WORTH_AHEAD: usize = 3;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It may go; its grant is valid until then.
    Admitted(Time),
    /// It waits for a draw.
    Queued,
    /// It is beyond the quota; when it may come back (microseconds).
    OverQuota(Micros),
    /// Nobody can tell now; when it may come back (microseconds).
    Unavailable(Micros),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDecision<W> {
    /// Which one.
    pub request: W,
    /// Its end; never [`AdmissionOutcome::Queued`].
    pub outcome: AdmissionOutcome,
}

struct Waiter<W> {
    /// None once it has left while a draw was out for it.
    waiter: Option<W>,
    need: u64,
    until: Time,
}

/// A draw that is out, for so many of those that wait, the first ones.
struct Out {
    id: u64,
    asked: Time,
    amounts: usize,
}

/// What was granted beyond what is let through, and until when it may be used.
struct Lot {
    amount: u64,
    until: Time,
}

/// What was denied last.
#[derive(Clone, Copy)]
struct Denied {
    /// Requests of this size or above.
    size: u64,
    /// When they may come back.
    wait: Micros,
    /// Until when that is believed.
    until: Time,
}

/// One tenant.
struct Allowance<W> {
    unit: QuotaUnit,
    validity: Micros,
    lots: VecDeque<Lot>,
    waiting: VecDeque<Waiter<W>>,
    out: Option<Out>,
    denied: Option<Denied>,
    /// What was let through within the last validity.
    recent: VecDeque<(Time, u64)>,
}

/// The tenants that this router sees. `W`: a request that waits.
pub struct Allowances<W> {
    terms: QuotaBounds,
    tenants: HashMap<String, Allowance<W>>,
    next: u64,
}

impl<W: Copy + PartialEq> Allowances<W> {
    /// None yet. Draws get numbers above this one.
    #[must_use]
    pub fn new(terms: QuotaBounds, first: u64) -> Allowances<W> {
        Allowances {
            terms,
            tenants: HashMap::new(),
            next: first,
        }
    }

    /// The rule has other bounds now.
    pub fn set_bounds(&mut self, terms: QuotaBounds) {
        self.terms = terms;
    }

    /// A request of a tenant has come; `until`: it waits no longer than that.
    pub fn admit(
        &mut self,
        now: Time,
        tenant: &Tenant,
        need: u64,
        waiter: W,
        until: Time,
    ) -> AdmissionOutcome {
        let Some(quota) = &tenant.quota else {
            return AdmissionOutcome::Admitted(now);
        };
        let validity = TenantQuota::of(quota, &self.terms).validity;
        let allowance = self
            .tenants
            .entry(tenant.name.clone())
            .or_insert_with(|| Allowance::new(tenant.unit));
        allowance.prepare(now, tenant.unit, validity);
        if let Some(until) = allowance.use_lots(need) {
            allowance.recent.push_back((now, need));
            return AdmissionOutcome::Admitted(until);
        }
        if let Some(denied) = allowance.denied.filter(|denied| need >= denied.size) {
            return AdmissionOutcome::OverQuota(denied.wait);
        }
        if allowance.waiting.len() >= MOST_WAITING {
            return AdmissionOutcome::Unavailable(RETRY);
        }
        allowance.waiting.push_back(Waiter {
            waiter: Some(waiter),
            need,
            until,
        });
        AdmissionOutcome::Queued
    }

    /// Draws that are to be asked for now, with their numbers.
    pub fn lease_requests(&mut self, now: Time) -> Vec<(u64, LeaseRequest)> {
        let mut draws = Vec::new();
        for (tenant, allowance) in &mut self.tenants {
            if let Some(draw) = allowance.draw(now, tenant, self.next.wrapping_add(1)) {
                self.next = self.next.wrapping_add(1);
                draws.push((self.next, draw));
            }
        }
        draws
    }

    /// A draw has been answered.
    pub fn on_grant(&mut self, now: Time, id: u64, grant: LeaseGrant) -> Vec<AdmissionDecision<W>> {
        let of_draw =
            |allowance: &&mut Allowance<W>| allowance.out.as_ref().is_some_and(|out| out.id == id);
        let allowance = self.tenants.values_mut().find(of_draw);
        allowance
            .map(|allowance| allowance.on_grant(now, grant))
            .unwrap_or_default()
    }

    /// Ends what has waited for too long, and forgets tenants that have nothing left here.
    pub fn expire(&mut self, now: Time) -> Vec<AdmissionDecision<W>> {
        let mut ended = Vec::new();
        for allowance in self.tenants.values_mut() {
            for waits in allowance
                .waiting
                .iter_mut()
                .filter(|waits| waits.until <= now)
            {
                ended.extend(waits.waiter.take());
            }
            allowance.clear_left();
        }
        self.tenants.retain(|_, allowance| !allowance.is_idle(now));
        let unknown = |waiter| AdmissionDecision {
            request: waiter,
            outcome: AdmissionOutcome::Unavailable(RETRY),
        };
        ended.into_iter().map(unknown).collect()
    }

    /// When the next one has waited for too long.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let waits = self
            .tenants
            .values()
            .flat_map(|allowance| &allowance.waiting);
        waits
            .filter(|waits| waits.waiter.is_some())
            .map(|waits| waits.until)
            .min()
    }

    /// Nobody answers what was asked: it is asked again.
    pub fn on_link_lost(&mut self) {
        self.tenants.values_mut().for_each(Allowance::drop_draw);
    }

    /// A request that waits has been given up by its client; `false`: it is none of them.
    pub fn cancel(&mut self, waiter: W) -> bool {
        for allowance in self.tenants.values_mut() {
            if let Some(waits) = allowance
                .waiting
                .iter_mut()
                .find(|waits| waits.waiter == Some(waiter))
            {
                waits.waiter = None;
                allowance.clear_left();
                return true;
            }
        }
        false
    }

    /// A request that was let through just now has been sent to nobody: another one may use its
    /// grant as long as that is valid.
    pub fn return_unused(&mut self, tenant: &str, need: u64, valid_until: Time) {
        if let Some(allowance) = self.tenants.get_mut(tenant) {
            allowance.lots.push_back(Lot {
                amount: need,
                until: valid_until,
            });
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        let waits = self
            .tenants
            .values()
            .flat_map(|allowance| &allowance.waiting);
        waits.filter(|waits| waits.waiter.is_some()).count()
    }
}

impl<W: Copy> Allowance<W> {
    fn new(unit: QuotaUnit) -> Allowance<W> {
        Allowance {
            unit,
            validity: 0,
            lots: VecDeque::new(),
            waiting: VecDeque::new(),
            out: None,
            denied: None,
            recent: VecDeque::new(),
        }
    }

    /// Brings it up to now, and to the quota as it stands now.
    fn prepare(&mut self, now: Time, unit: QuotaUnit, validity: Micros) {
        self.validity = validity;
        if unit != self.unit {
            // Amounts of another unit mean nothing any more.
            self.unit = unit;
            self.lots.clear();
            self.recent.clear();
            self.denied = None;
            self.drop_draw();
        }
        self.lots.retain(|lot| lot.until > now);
        self.denied = self.denied.filter(|denied| denied.until > now);
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= validity)
        {
            self.recent.pop_front();
        }
    }

    /// Takes an amount out of what was granted ahead; until when that is valid.
    fn use_lots(&mut self, need: u64) -> Option<Time> {
        let left: u64 = self.lots.iter().map(|lot| lot.amount).sum();
        if left < need {
            return None;
        }
        let (mut open, mut until) = (need, Time(u64::MAX));
        for lot in &mut self.lots {
            let used = open.min(lot.amount);
            if used > 0 {
                until = until.min(lot.until);
            }
            lot.amount -= used;
            open -= used;
        }
        self.lots.retain(|lot| lot.amount > 0);
        Some(until)
    }

    fn draw(&mut self, now: Time, tenant: &str, id: u64) -> Option<LeaseRequest> {
        if self
            .out
            .as_ref()
            .is_some_and(|out| now.since(out.asked) >= self.validity)
        {
            // Its answer would come too late.
            self.drop_draw();
        }
        if self.out.is_some() || self.waiting.is_empty() {
            return None;
        }
        let amounts: Vec<u64> = self
            .waiting
            .iter()
            .take(MAX_AMOUNTS)
            .map(|waits| waits.need)
            .collect();
        self.out = Some(Out {
            id,
            asked: now,
            amounts: amounts.len(),
        });
        Some(LeaseRequest {
            tenant: tenant.to_owned(),
            unit: self.unit,
            amounts,
            prefetch_amount: self.expected(),
        })
    }

    /// What the next validity is expected to bring, where that is worth drawing ahead.
    fn expected(&self) -> u64 {
        match self.recent.len() {
            0..WORTH_AHEAD => 0,
            _ => self.recent.iter().map(|(_, need)| need).sum(),
        }
    }

    fn on_grant(&mut self, now: Time, grant: LeaseGrant) -> Vec<AdmissionDecision<W>> {
        let Some(out) = self.out.take() else {
            return Vec::new();
        };
        let until = out.asked.plus(self.validity);
        if now >= until {
            // Too late to be used: who still waits asks again.
            self.clear_left();
            return Vec::new();
        }
        let mut decided = Vec::new();
        for place in 0..out.amounts {
            let Some(Waiter { waiter, need, .. }) = self.waiting.pop_front() else {
                break;
            };
            let taken = match grant.covers(place) {
                true => AdmissionOutcome::Admitted(until),
                false => AdmissionOutcome::OverQuota(grant.retry_after_us.max(1)),
            };
            match (waiter, taken) {
                (Some(_), AdmissionOutcome::Admitted(_)) => self.recent.push_back((now, need)),
                (None, AdmissionOutcome::Admitted(_)) => self.lots.push_back(Lot {
                    amount: need,
                    until,
                }),
                _ => self.note_denied(now, need, grant.retry_after_us),
            }
            decided.extend(waiter.map(|waiter| AdmissionDecision {
                request: waiter,
                outcome: taken,
            }));
        }
        if grant.prefetch_amount > 0 {
            self.lots.push_back(Lot {
                amount: grant.prefetch_amount,
                until,
            });
        }
        decided
    }

    fn note_denied(&mut self, now: Time, need: u64, wait: Micros) {
        let size = self
            .denied
            .filter(|denied| denied.until > now)
            .map_or(need, |denied| denied.size.min(need));
        self.denied = Some(Denied {
            size,
            wait,
            until: now.plus(wait.min(DENIED)),
        });
    }

    fn drop_draw(&mut self) {
        self.out = None;
        self.clear_left();
    }

    /// Takes out those that have left, but for those that a draw is out for: its grant goes by
    /// their places.
    fn clear_left(&mut self) {
        let kept = self.out.as_ref().map_or(0, |out| out.amounts);
        let mut place = 0;
        self.waiting.retain(|waits| {
            place += 1;
            place <= kept || waits.waiter.is_some()
        });
    }

    fn is_idle(&self, now: Time) -> bool {
        let unused = self.lots.iter().all(|lot| lot.until <= now);
        let quiet = self
            .recent
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= self.validity);
        self.waiting.is_empty() && self.out.is_none() && unused && quiet
    }
}

#[cfg(test)]
mod tests;
