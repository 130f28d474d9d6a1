//! Requests at routers, and the leases that these request.

use lichenswitch_configuration::QuotaUnit;
use lichenswitch_quota::{AdmissionDecision, AdmissionOutcome};

use super::events::Event;
use super::node::Requester;
use super::{Fleet, QueuedRequest, MILLISECOND, SECOND};

/// How long a request waits for a lease (microseconds).
const MAX_QUEUE_TIME: u64 = 200 * MILLISECOND;
/// Amounts of requests that are counted by their tokens.
const TOKENS: std::ops::Range<u64> = 50..3_000;

impl Fleet {
    /// A request of random size arrives; the next one of its tenant is scheduled.
    pub(super) fn on_request(&mut self, index: usize) {
        let tenant = self.tenants[index].clone();
        let Some(quota) = tenant.quota else { return };
        let amount = match tenant.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => self.random.u64(TOKENS),
        };
        self.schedule_next_request(index, amount, quota.rate_per_s);
        let router = if self.settings.one_router {
            0
        } else {
            self.random.usize(0..self.routers.len())
        };
        self.requests += 1;
        let number = self.requests;
        self.queued.insert(
            number,
            QueuedRequest {
                tenant: index,
                amount,
            },
        );
        let clock = self.routers[router].clock(self.now);
        let deadline = clock.plus(MAX_QUEUE_TIME);
        let outcome = self.routers[router]
            .allowances
            .admit(clock, &tenant, amount, number, deadline);
        let decision = AdmissionDecision {
            request: number,
            outcome,
        };
        self.apply_decisions(router, vec![decision]);
        self.send_lease_requests(router);
    }

    /// Schedules the request of a tenant that follows one of this amount.
    fn schedule_next_request(&mut self, tenant: usize, amount: u64, rate_per_s: f64) {
        let mean_gap = amount as f64 / (rate_per_s * self.settings.demand) * SECOND as f64;
        let gap = mean_gap * (0.5 + self.random.f64());
        self.schedule(self.now + gap as u64 + 1, Event::Request { tenant });
    }

    /// Rejects the requests of a router whose time is over, and sends the lease requests that it needs.
    pub(super) fn send_lease_requests(&mut self, router: usize) {
        let clock = self.routers[router].clock(self.now);
        let expired = self.routers[router].allowances.expire(clock);
        self.apply_decisions(router, expired);
        for (id, request) in self.routers[router].allowances.lease_requests(clock) {
            let to = self.routers[router].control(
                self.settings.control,
                router,
                self.now,
                &self.control,
            );
            self.send(Event::LeaseRequest {
                to,
                from: Requester::Router(router),
                id,
                may_forward: true,
                request,
            });
        }
    }

    /// Records the requests that a router has admitted. What a suspended router admits isn't counted:
    /// it doesn't run.
    pub(super) fn apply_decisions(
        &mut self,
        router: usize,
        decisions: Vec<AdmissionDecision<u64>>,
    ) {
        let is_suspended = self.routers[router].suspended_until > self.now;
        for AdmissionDecision { request, outcome } in decisions {
            if outcome == AdmissionOutcome::Queued {
                continue;
            }
            let Some(QueuedRequest { tenant, amount }) = self.queued.remove(&request) else {
                continue;
            };
            if matches!(outcome, AdmissionOutcome::Admitted(_)) && !is_suspended {
                self.history.record(self.now, tenant, amount);
            }
        }
    }
}
