//! Keys and quotas of tenants: whether a request's key is served, and whether its tenant's quota lets it
//! through.
//!
//! It promises that a key is neither sent on nor logged, and that what is rejected here has been sent
//! to no server.

use crate::invariants::{self, Invariant};
use crate::quota_messages;
use crate::router::admission::{quota_demand, Admission, QuotaWaiter};
use crate::router::client_request::ClientRequest;
use crate::router::configuration::ActiveConfiguration;
use crate::router::reactor::Timer;
use crate::router::rejection::RejectionReason;
use crate::router::sender::{KeyDenial, Sender};
use crate::router::state::Router;
use lichenswitch_configuration::KeyDigest;
use lichenswitch_interface::Micros;
use lichenswitch_messages::{QuotaLeaseResponse, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::{AdmissionDecision, AdmissionOutcome};
use std::rc::Rc;

/// A request may wait for its quota for the route's target latency divided by this: a client that is
/// rejected within a quarter of it can still retry in time.
const QUOTA_WAIT_DIVISOR: Micros = 4;

/// It may wait this long in any case (microseconds): it takes 60 ms to pass over a shard owner that
/// is gone.
const MIN_QUOTA_WAIT_US: Micros = 90_000;

/// How long a turn of the loop may take between reading the clock and its effect (microseconds): the
/// bounds on quotas leave room for it.
const MAX_TURN_US: Micros = 250_000;

impl Router {
    /// Finds the sender of a request, and checks that the configuration is fresh enough to trust its
    /// keys.
    pub(super) fn authenticate(
        &self,
        active: &ActiveConfiguration,
        is_public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<Rc<Sender>>, RejectionReason> {
        let now = self.net.clock.now();
        match active.sender(is_public, key) {
            Ok(None) => Ok(None),
            Ok(Some(_)) if !self.freshness.can_serve_keys(now) => Err(RejectionReason::RETRY_LATER),
            Ok(Some((tenant, key))) => Ok(Some(Rc::new(Sender::new(tenant, key)))),
            Err(KeyDenial::UnknownKey) if self.freshness.can_reject_unknown_keys(now) => {
                Err(RejectionReason::UnknownKey)
            }
            Err(_) => Err(RejectionReason::RETRY_LATER),
        }
    }

    /// Checks that a request in hand may still be sent: its key is known, and the configuration is
    /// fresh.
    pub(super) fn check_sender(&self, sender: Option<&Sender>) -> Result<(), KeyDenial> {
        let (Some(sender), Some(active)) = (sender, self.configuration.get()) else {
            return Ok(());
        };
        if !self.freshness.can_serve_keys(self.net.clock.now()) {
            return Err(KeyDenial::StaleConfiguration);
        }
        // Without tenants no key is needed.
        active
            .sender(
                active.document().tenants().is_none(),
                Some(sender.key_digest),
            )
            .map(drop)
    }

    /// Accepts a request if its tenant's quota allows it, or queues it until that is known.
    pub(super) fn admit_within_quota(
        &mut self,
        client: ConnId,
        request: ClientRequest,
        admission: Admission,
    ) -> Result<(), RejectionReason> {
        let now = self.net.clock.now();
        let tenant = admission.sender.as_ref().and_then(|sender| {
            self.configuration
                .get()
                .and_then(|active| active.tenant(&sender.tenant))
        });
        let Some(tenant) = tenant.filter(|tenant| tenant.quota.is_some()) else {
            return self.accept_request(client, request, admission);
        };
        let demand = quota_demand(tenant, &request)?;
        let wait = (admission.terms.target_latency / QUOTA_WAIT_DIVISOR).max(MIN_QUOTA_WAIT_US);
        let until = now.plus(wait).min(admission.deadline);
        match self.allowances.admit(now, tenant, demand, client, until) {
            AdmissionOutcome::Admitted(valid_until) => {
                let name = tenant.name.clone();
                let result = self.accept_request(client, request, admission);
                if result.is_err() {
                    self.allowances.return_unused(&name, demand, valid_until);
                }
                result
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

    /// Requests the quota leases that are due, and a confirmation that the active configuration is
    /// the newest.
    pub(super) fn send_tenant_messages(&mut self) {
        if self.control_link.take_connection_lost() {
            self.on_backlog_link_lost();
            self.allowances.on_link_lost();
            self.freshness.on_link_lost();
        }
        let has_tenants = self
            .configuration
            .get()
            .is_some_and(|active| active.document().tenants().is_some());
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
                &TenantMessage::LeaseRequest(quota_messages::request_message(
                    id,
                    lease_request,
                    true,
                )),
            );
        }
    }

    /// A control machine has answered a quota lease request.
    pub(super) fn on_lease_response(&mut self, response: &QuotaLeaseResponse) {
        let now = self.net.clock.now();
        let grant = quota_messages::granted_lease(response);
        let decisions = self.allowances.on_grant(now, response.id, grant);
        self.finish_queued_requests(decisions);
    }

    /// Ends waits for quota that have lasted too long.
    pub(super) fn expire_quota_waiters(&mut self) {
        let now = self.net.clock.now();
        let ended = self.allowances.expire(now);
        self.finish_queued_requests(ended);
        if let Some(at) = self.allowances.next_wake() {
            self.net.wheel.set(at, Timer::Quota);
        }
    }

    /// Rejects all requests that wait for quota: the process shuts down.
    pub(super) fn reject_quota_waiters(&mut self) {
        let waiting: Vec<ConnId> = self.quota_waiters.keys().copied().collect();
        for client in waiting {
            self.allowances.cancel(client);
            self.quota_waiters.remove(&client);
            self.reject(client, &RejectionReason::Unavailable(None));
        }
    }

    /// Accepts or rejects requests whose wait for quota has ended.
    fn finish_queued_requests(&mut self, decisions: Vec<AdmissionDecision<ConnId>>) {
        for AdmissionDecision {
            request: client,
            outcome: decision,
        } in decisions
        {
            let Some(QuotaWaiter { request, admission }) = self.quota_waiters.remove(&client)
            else {
                continue;
            };
            let outcome = match decision {
                AdmissionOutcome::Admitted(until) => {
                    match self.check_sender(admission.sender.as_deref()) {
                        Ok(()) => {
                            invariants::check(
                                self.net.clock.now() <= until.plus(MAX_TURN_US),
                                Invariant::QuotaLeaseIsValid,
                            );
                            self.accept_request(client, request, admission)
                        }
                        Err(denial) => Err(RejectionReason::from(denial)),
                    }
                }
                AdmissionOutcome::OverQuota(wait) => Err(RejectionReason::QuotaExceeded(wait)),
                AdmissionOutcome::Unavailable(wait) => {
                    Err(RejectionReason::Unavailable(Some(wait)))
                }
                AdmissionOutcome::Queued => Err(RejectionReason::RETRY_LATER),
            };
            if let Err(reason) = outcome {
                self.reject(client, &reason);
            }
        }
    }
}
