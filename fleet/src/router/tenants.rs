//! Tenants at a router: whose key a request bears, and whether the tenant's quota lets it through.
//!
//! It promises that a server is told of no tenant but the one that holds the client's key, that a
//! key is neither sent on nor logged, and that what is refused here has been sent to nobody.

use super::configuration::{InForce, Terms};
use super::exchange::Exchange;
use super::ids::ServiceId;
use super::intake::Turned;
use super::program::Timer;
use super::request::{ClientRequest, TokenUsage};
use super::Router;
use crate::invariants::{self, Invariant};
use lichenswitch_configuration::{KeyDigest, QuotaUnit, Tenant};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::{AdmissionDecision, AdmissionOutcome, LeaseGrant, LeaseRequest};
use std::fmt::Write as _;
use std::rc::Rc;

/// Part of a route's target latency that a request may wait for its quota: who is refused within a
/// quarter of it may come back in time.
const WAIT_SHARE: Micros = 4;
/// It may wait so long in any case (microseconds): a holder that is gone takes 60 ms to be passed
/// over.
const LEAST_WAIT: Micros = 90_000;
/// What a turn of the loop may take between a look at the clock and its effect (microseconds): the
/// bounds on quotas leave room for that.
const TURN: Micros = 250_000;
/// Advice where it can't be told now whether a key holds (microseconds).
const RETRY_AFTER: Micros = 200_000;

/// Who sent a request: the tenant that holds its key.
#[derive(Debug, PartialEq)]
pub(super) struct Sender {
    /// The tenant's name.
    pub tenant: String,
    /// The name as servers are told it.
    pub header: String,
    /// Digest of the key.
    pub key: KeyDigest,
}

/// What a request was found to be before its quota is looked at.
#[derive(Debug)]
pub(super) struct Admission {
    /// What its route says, with the rank of its tenant.
    pub terms: Terms,
    /// The service that was drawn for it.
    pub service: ServiceId,
    /// Version of the configuration that says so.
    pub configuration: u64,
    /// Who sent it, where it bears a key that a tenant holds.
    pub sender: Option<Rc<Sender>>,
    /// When its time is over.
    pub deadline: Time,
}

/// A request that waits for its tenant's quota.
#[derive(Debug)]
pub(super) struct AwaitingQuota {
    /// The request.
    pub request: ClientRequest,
    /// What it was found to be.
    pub admission: Admission,
}

/// Why a key is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// No tenant of the configuration that counts holds it, or the request bears none.
    NoHolder,
    /// What is known here may be out of date.
    OutOfDate,
}

impl InForce {
    /// The sender of a request on a route; none where the configuration asks for no key and the
    /// request bears none that is held.
    ///
    /// # Errors
    /// The route needs a key, and no tenant holds the request's.
    pub(super) fn sender(
        &self,
        public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<(&Tenant, KeyDigest)>, Denial> {
        let Some(tenants) = self.document().tenants() else {
            return Ok(None);
        };
        let held = key.and_then(|key| Some((tenants.get(self.keys.holder(&key)?)?, key)));
        match held {
            None if !public => Err(Denial::NoHolder),
            held => Ok(held),
        }
    }

    /// A tenant by name.
    #[must_use]
    pub(super) fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.document()
            .tenants()?
            .iter()
            .find(|tenant| tenant.name == name)
    }
}

impl Sender {
    /// Of a tenant.
    #[must_use]
    pub(super) fn new(tenant: &Tenant, key: KeyDigest) -> Sender {
        Sender {
            tenant: tenant.name.clone(),
            header: header_value(&tenant.name),
            key,
        }
    }
}

/// A name as the value of a header: what can't stand there is escaped with percent signs.
fn header_value(name: &str) -> String {
    let mut value = String::with_capacity(name.len());
    let last = name.len().saturating_sub(1);
    for (place, byte) in name.bytes().enumerate() {
        let edge = place == 0 || place == last;
        match byte {
            b' ' if !edge => value.push(' '),
            0x21..=0x7e => value.push(char::from(byte)),
            // Writes to memory don't fail.
            _ => _ = write!(value, "%{byte:02X}"),
        }
    }
    value
}

/// What a request counts as in its tenant's quota.
fn need(tenant: &Tenant, request: &ClientRequest) -> Result<u64, Turned> {
    match (tenant.unit, request.tokens) {
        (QuotaUnit::Requests, _) => Ok(1),
        (QuotaUnit::Tokens, TokenUsage::Untold) => Ok(tenant.uncached_tokens),
        (QuotaUnit::Tokens, TokenUsage::Told(tokens)) => Ok(tokens),
        (QuotaUnit::Tokens, TokenUsage::Unreadable) => Err(Turned::Malformed),
    }
}

impl Router {
    /// Finds the sender of a request, and checks that what is known of keys is fresh enough to go
    /// by.
    pub(super) fn authenticate(
        &self,
        in_force: &InForce,
        public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<Rc<Sender>>, Turned> {
        let now = self.net.clock.now();
        match in_force.sender(public, key) {
            Ok(None) => Ok(None),
            Ok(Some(_)) if !self.freshness.serves_keys(now) => Err(Turned::Away(Some(RETRY_AFTER))),
            Ok(Some((tenant, key))) => Ok(Some(Rc::new(Sender::new(tenant, key)))),
            Err(_) if self.freshness.is_sure(now) => Err(Turned::NoHolder),
            Err(_) => Err(Turned::Away(Some(RETRY_AFTER))),
        }
    }

    /// Whether a request that was taken may be sent as things stand now: its key is held still, and
    /// that is fresh knowledge.
    pub(super) fn check_sender(&self, sender: Option<&Sender>) -> Result<(), Denial> {
        let (Some(sender), Some(in_force)) = (sender, self.configuration.get()) else {
            return Ok(());
        };
        if !self.freshness.serves_keys(self.net.clock.now()) {
            return Err(Denial::OutOfDate);
        }
        // Without tenants, nobody is asked for a key.
        in_force
            .sender(in_force.document().tenants().is_none(), Some(sender.key))
            .map(drop)
    }

    /// Lets a request through if its tenant's quota allows it, or keeps it until that is known.
    pub(super) fn admit_by_quota(
        &mut self,
        client: ConnId,
        request: ClientRequest,
        admission: Admission,
    ) -> Result<(), Turned> {
        let now = self.net.clock.now();
        let tenant = admission.sender.as_ref().and_then(|sender| {
            self.configuration
                .get()
                .and_then(|in_force| in_force.tenant(&sender.tenant))
        });
        let Some(tenant) = tenant.filter(|tenant| tenant.quota.is_some()) else {
            return self.hold(client, request, admission);
        };
        let need = need(tenant, &request)?;
        let wait = (admission.terms.target_latency / WAIT_SHARE).max(LEAST_WAIT);
        let until = now.plus(wait).min(admission.deadline);
        match self.allowances.admit(now, tenant, need, client, until) {
            AdmissionOutcome::Admitted(valid_until) => {
                let name = tenant.name.clone();
                let held = self.hold(client, request, admission);
                if held.is_err() {
                    self.allowances.return_unused(&name, need, valid_until);
                }
                held
            }
            AdmissionOutcome::Queued => {
                self.awaiting_quota
                    .insert(client, AwaitingQuota { request, admission });
                self.net.wheel.set(until, Timer::Quota);
                Ok(())
            }
            AdmissionOutcome::OverQuota(wait) => Err(Turned::BeyondQuota(wait)),
            AdmissionOutcome::Unavailable(wait) => Err(Turned::Away(Some(wait))),
        }
    }

    /// Sends the draws that are due, and asks whether what is in force is current.
    pub(super) fn tell_control_of_tenants(&mut self) {
        if self.link.take_lost() {
            self.on_backlog_link_lost();
            self.allowances.on_link_lost();
            self.freshness.on_link_lost();
        }
        let has_tenants = self
            .configuration
            .get()
            .is_some_and(|in_force| in_force.document().tenants().is_some());
        if !has_tenants || !self.link.is_greeted() {
            return;
        }
        let now = self.net.clock.now();
        if self.freshness.asks(now) {
            self.link
                .send_tenant_message(&mut self.net, &TenantMessage::Confirm { sent_at_us: now.0 });
        }
        for (id, draw) in self.allowances.lease_requests(now) {
            self.link.send_tenant_message(
                &mut self.net,
                &TenantMessage::LeaseRequest(draw_request(id, draw)),
            );
        }
    }

    /// A control machine has answered a draw.
    pub(super) fn on_drawn(&mut self, answer: QuotaLeaseResponse) {
        let now = self.net.clock.now();
        let grant = LeaseGrant {
            granted_bits: answer.granted_bits,
            prefetch_amount: answer.prefetch_amount,
            retry_after_us: answer.retry_after_us,
        };
        let decided = self.allowances.on_grant(now, answer.id, grant);
        self.end_waits(decided);
    }

    /// Ends waits that have lasted for too long.
    pub(super) fn look_at_quota(&mut self) {
        let now = self.net.clock.now();
        let ended = self.allowances.expire(now);
        self.end_waits(ended);
        if let Some(at) = self.allowances.next_wake() {
            self.net.wheel.set(at, Timer::Quota);
        }
    }

    /// Refuses all that wait: this process ends.
    pub(super) fn refuse_awaiting_quota(&mut self) {
        let waiting: Vec<ConnId> = self.awaiting_quota.keys().copied().collect();
        for client in waiting {
            self.allowances.cancel(client);
            self.awaiting_quota.remove(&client);
            self.turn_away(client, &Turned::Away(None));
        }
    }

    fn end_waits(&mut self, decided: Vec<AdmissionDecision<ConnId>>) {
        for AdmissionDecision {
            request: waiter,
            outcome: taken,
        } in decided
        {
            let Some(AwaitingQuota { request, admission }) = self.awaiting_quota.remove(&waiter)
            else {
                continue;
            };
            let outcome = match taken {
                AdmissionOutcome::Admitted(until) => {
                    match self.check_sender(admission.sender.as_deref()) {
                        Ok(()) => {
                            invariants::check(
                                self.net.clock.now() <= until.plus(TURN),
                                Invariant::GrantIsValid,
                            );
                            self.hold(waiter, request, admission)
                        }
                        Err(denial) => Err(Turned::of(denial)),
                    }
                }
                AdmissionOutcome::OverQuota(wait) => Err(Turned::BeyondQuota(wait)),
                AdmissionOutcome::Unavailable(wait) => Err(Turned::Away(Some(wait))),
                AdmissionOutcome::Queued => Err(Turned::Away(Some(RETRY_AFTER))),
            };
            if let Err(turned) = outcome {
                self.turn_away(waiter, &turned);
            }
        }
    }
}

impl Turned {
    /// What is told to a sender whose key is not served.
    pub(super) fn of(denial: Denial) -> Turned {
        match denial {
            Denial::NoHolder => Turned::NoHolder,
            Denial::OutOfDate => Turned::Away(Some(RETRY_AFTER)),
        }
    }
}

impl Exchange {
    /// Who sent it, where that is known.
    #[must_use]
    pub(super) fn sender(&self) -> Option<&Sender> {
        self.sender.as_deref()
    }
}

fn draw_request(id: u64, draw: LeaseRequest) -> QuotaLeaseRequest {
    let LeaseRequest {
        tenant,
        unit,
        amounts,
        prefetch_amount,
    } = draw;
    let unit = match unit {
        QuotaUnit::Requests => QuotaLeaseUnit::Requests,
        QuotaUnit::Tokens => QuotaLeaseUnit::Tokens,
    };
    QuotaLeaseRequest {
        id,
        tenant,
        unit,
        amounts,
        prefetch_amount,
        may_forward: true,
    }
}

#[cfg(test)]
mod tests;
