//! Keys and quotas of tenants: whether a request's key is served, and whether its tenant's quota lets it
//! through.
//!
//! It promises that a key is neither sent on nor logged, and that what is rejected here has been sent
//! to no server.

use crate::invariants::{self, Invariant};
use crate::router::admission::{quota_demand, Admission, QuotaWaiter};
use crate::router::client_request::ClientRequest;
use crate::router::configuration::ActiveConfiguration;
use crate::router::local_response::DEFAULT_RETRY_AFTER_US;
use crate::router::reactor::Timer;
use crate::router::rejection::RejectionReason;
use crate::router::sender::{KeyDenial, Sender};
use crate::router::state::Router;
use lichenswitch_configuration::{KeyDigest, QuotaUnit};
use lichenswitch_interface::Micros;
use lichenswitch_messages::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::{AdmissionDecision, AdmissionOutcome, LeaseGrant, LeaseRequest};
use std::rc::Rc;

/// Part of a route's target latency that a request may wait for its quota: who is refused within a
/// quarter of it may come back in time.
pub(crate) const QUOTA_WAIT_DIVISOR: Micros = 4;

/// It may wait so long in any case (microseconds): a holder that is gone takes 60 ms to be passed
/// over.
pub(crate) const MIN_QUOTA_WAIT_US: Micros = 90_000;

/// What a turn of the loop may take between a look at the clock and its effect (microseconds): the
/// bounds on quotas leave room for that.
pub(crate) const MAX_TURN_US: Micros = 250_000;

impl Router {
    /// Finds the sender of a request, and checks that what is known of keys is fresh enough to go
    /// by.
    pub(crate) fn authenticate(
        &self,
        in_force: &ActiveConfiguration,
        public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<Rc<Sender>>, RejectionReason> {
        let now = self.net.clock.now();
        match in_force.sender(public, key) {
            Ok(None) => Ok(None),
            Ok(Some(_)) if !self.freshness.can_serve_keys(now) => {
                Err(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US)))
            }
            Ok(Some((tenant, key))) => Ok(Some(Rc::new(Sender::new(tenant, key)))),
            Err(_) if self.freshness.can_reject_unknown_keys(now) => {
                Err(RejectionReason::UnknownKey)
            }
            Err(_) => Err(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US))),
        }
    }

    /// Whether a request that was taken may be sent as things stand now: its key is held still, and
    /// that is fresh knowledge.
    pub(crate) fn check_sender(&self, sender: Option<&Sender>) -> Result<(), KeyDenial> {
        let (Some(sender), Some(in_force)) = (sender, self.configuration.get()) else {
            return Ok(());
        };
        if !self.freshness.can_serve_keys(self.net.clock.now()) {
            return Err(KeyDenial::StaleConfiguration);
        }
        // Without tenants, nobody is asked for a key.
        in_force
            .sender(in_force.document().tenants().is_none(), Some(sender.key))
            .map(drop)
    }

    /// Lets a request through if its tenant's quota allows it, or keeps it until that is known.
    pub(crate) fn admit_within_quota(
        &mut self,
        client: ConnId,
        request: ClientRequest,
        admission: Admission,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let tenant = admission.sender.as_ref().and_then(|sender| {
            self.configuration
                .get()
                .and_then(|in_force| in_force.tenant(&sender.tenant))
        });
        let Some(tenant) = tenant.filter(|tenant| tenant.quota.is_some()) else {
            return self.accept_request(client, request, admission);
        };
        let quota_demand = quota_demand(tenant, &request)?;
        let wait = (admission.terms.target_latency / QUOTA_WAIT_DIVISOR).max(MIN_QUOTA_WAIT_US);
        let until = now.plus(wait).min(admission.deadline);
        match self
            .allowances
            .admit(now, tenant, quota_demand, client, until)
        {
            AdmissionOutcome::Admitted(valid_until) => {
                let name = tenant.name.clone();
                let held = self.accept_request(client, request, admission);
                if held.is_err() {
                    self.allowances
                        .return_unused(&name, quota_demand, valid_until);
                }
                held
            }
            AdmissionOutcome::Queued => {
                self.quota_waiters
                    .insert(client, QuotaWaiter { request, admission });
                self.net.wheel.set(until, Timer::Quota);
                Ok(())
            }
            AdmissionOutcome::OverQuota(wait) => Err(RejectionReason::QuotaExceeded(wait)),
            AdmissionOutcome::Unavailable(wait) => Err(RejectionReason::Unavailable(Some(wait))),
        }
    }

    /// Sends the draws that are due, and asks whether what is in force is current.
    pub(crate) fn send_tenant_messages(&mut self) {
        if self.control_link.take_connection_lost() {
            self.on_backlog_link_lost();
            self.allowances.on_link_lost();
            self.freshness.on_link_lost();
        }
        let has_tenants = self
            .configuration
            .get()
            .is_some_and(|in_force| in_force.document().tenants().is_some());
        if !has_tenants || !self.control_link.is_handshake_sent() {
            return;
        }
        let now = self.net.clock.now();
        if self.freshness.take_confirmation_due(now) {
            self.control_link
                .send_tenant_message(&mut self.net, &TenantMessage::Confirm { sent_at_us: now.0 });
        }
        for (id, lease_request) in self.allowances.lease_requests(now) {
            self.control_link.send_tenant_message(
                &mut self.net,
                &TenantMessage::LeaseRequest(lease_request_message(id, lease_request)),
            );
        }
    }

    /// A control machine has answered a draw.
    pub(crate) fn on_lease_response(&mut self, answer: QuotaLeaseResponse) {
        let now = self.net.clock.now();
        let grant = LeaseGrant {
            granted_bits: answer.granted_bits,
            prefetch_amount: answer.prefetch_amount,
            retry_after_us: answer.retry_after_us,
        };
        let decided = self.allowances.on_grant(now, answer.id, grant);
        self.finish_quota_waits(decided);
    }

    /// Ends waits that have lasted for too long.
    pub(crate) fn expire_quota_waiters(&mut self) {
        let now = self.net.clock.now();
        let ended = self.allowances.expire(now);
        self.finish_quota_waits(ended);
        if let Some(at) = self.allowances.next_wake() {
            self.net.wheel.set(at, Timer::Quota);
        }
    }

    /// Refuses all that wait: this process ends.
    pub(crate) fn reject_quota_waiters(&mut self) {
        let waiting: Vec<ConnId> = self.quota_waiters.keys().copied().collect();
        for client in waiting {
            self.allowances.cancel(client);
            self.quota_waiters.remove(&client);
            self.reject(client, &RejectionReason::Unavailable(None));
        }
    }

    fn finish_quota_waits(&mut self, decided: Vec<AdmissionDecision<ConnId>>) {
        for AdmissionDecision {
            request: waiter,
            outcome: taken,
        } in decided
        {
            let Some(QuotaWaiter { request, admission }) = self.quota_waiters.remove(&waiter)
            else {
                continue;
            };
            let outcome = match taken {
                AdmissionOutcome::Admitted(until) => {
                    match self.check_sender(admission.sender.as_deref()) {
                        Ok(()) => {
                            invariants::check(
                                self.net.clock.now() <= until.plus(MAX_TURN_US),
                                Invariant::GrantIsValid,
                            );
                            self.accept_request(waiter, request, admission)
                        }
                        Err(denial) => Err(RejectionReason::of(denial)),
                    }
                }
                AdmissionOutcome::OverQuota(wait) => Err(RejectionReason::QuotaExceeded(wait)),
                AdmissionOutcome::Unavailable(wait) => {
                    Err(RejectionReason::Unavailable(Some(wait)))
                }
                AdmissionOutcome::Queued => {
                    Err(RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US)))
                }
            };
            if let Err(reason) = outcome {
                self.reject(waiter, &reason);
            }
        }
    }
}

pub(crate) fn lease_request_message(id: u64, lease_request: LeaseRequest) -> QuotaLeaseRequest {
    let LeaseRequest {
        tenant,
        unit,
        amounts,
        prefetch_amount,
    } = lease_request;
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
