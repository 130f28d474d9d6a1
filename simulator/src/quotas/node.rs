//! The machines of the simulated fleet, each with its own clock.

use std::collections::BTreeSet;

use lichenswitch_configuration::Tenant;
use lichenswitch_interface::Time;
use lichenswitch_quota::{
    Allowances, Buckets, LeaseAction, LeaseContext, LeaseGrant, LeaseRequest, LeaseRequests,
    OwnerId, QuotaBounds, ShardOwnership,
};

use super::settings::PlantedBug;
use super::VoterChange;

/// Greatest age of what a machine in contact knows (microseconds).
pub(super) const MAX_CONTACT_DELAY: u64 = 1_400_000;
/// Greatest deviation of a clock's rate.
const MAX_DRIFT: f64 = 0.000_5;

/// The time on a clock that drifts; `drift`: 0 to 1, from the slowest to the fastest.
fn clock_at(now: u64, drift: f64) -> Time {
    let rate = 1.0 + MAX_DRIFT * (2.0 * drift - 1.0);
    // An offset as well: nothing may depend on that.
    Time((now as f64 * rate) as u64 + (drift * 3_600e6) as u64)
}

/// The process that sent a lease request; of a control machine, the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    Router(usize),
    ControlNode(usize, u64),
}

/// The process that awaits a lease at a control machine, with its number of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseOrigin {
    pub(super) requester: Requester,
    pub(super) id: u64,
}

/// A control machine.
pub(super) struct ControlNode {
    pub(super) id: OwnerId,
    pub(super) incarnation: u64,
    drift: f64,
    pub(super) suspended_until: u64,
    pub(super) partitioned_until: u64,
    /// Voters that its disk stores.
    pub(super) stored_voters: Vec<OwnerId>,
    pub(super) ownership: ShardOwnership,
    pub(super) buckets: Buckets,
    lease_requests: LeaseRequests<LeaseOrigin>,
}

impl ControlNode {
    pub(super) fn start(
        index: usize,
        now: u64,
        stored_voters: &[OwnerId],
        tenants: &[Tenant],
        bounds: QuotaBounds,
        drift: f64,
        planted_bug: PlantedBug,
    ) -> ControlNode {
        let mut buckets = Buckets::new(bounds);
        if planted_bug == PlantedBug::StartsFull {
            buckets.on_no_configuration();
        }
        buckets.set_tenants(clock_at(now, drift), tenants);
        let id = OwnerId(index as u64);
        ControlNode {
            id,
            incarnation: 0,
            drift,
            suspended_until: 0,
            partitioned_until: 0,
            stored_voters: stored_voters.to_vec(),
            ownership: ShardOwnership::new(id, stored_voters.to_vec()),
            buckets,
            lease_requests: LeaseRequests::new((now << 8) + index as u64),
        }
    }

    /// Restarts its ownership under the identity that it has now.
    pub(super) fn reset_ownership(&mut self, stored_voters: &[OwnerId]) {
        self.ownership = ShardOwnership::new(self.id, stored_voters.to_vec());
    }

    pub(super) fn clock(&self, now: u64) -> Time {
        clock_at(now, self.drift)
    }

    /// Unless it is partitioned: it is in contact, and its ownership follows the voters that were
    /// committed `delay` microseconds ago.
    pub(super) fn on_contact(
        &mut self,
        now: u64,
        delay: u64,
        changes: &[VoterChange],
        planted_bug: PlantedBug,
    ) {
        let clock = self.clock(now);
        if planted_bug == PlantedBug::EndlessOwnership {
            self.ownership.on_contact(clock);
        }
        if self.partitioned_until > now {
            return;
        }
        let known = changes
            .iter()
            .rev()
            .find(|change| change.committed_at + delay <= now);
        let Some(VoterChange { voters, .. }) =
            known.filter(|change| change.voters.contains(&self.id))
        else {
            return;
        };
        let early = if planted_bug == PlantedBug::NoSettlingTime {
            lichenswitch_quota::SETTLING_TIME_US
        } else {
            0
        };
        self.ownership
            .on_voters(Time(clock.0.saturating_sub(early)), voters);
        self.stored_voters.clone_from(voters);
        self.ownership.on_contact(clock);
    }

    pub(super) fn on_request(
        &mut self,
        clock: Time,
        origin: LeaseOrigin,
        request: LeaseRequest,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<LeaseOrigin>> {
        self.with(reachable, |lease_requests, context| {
            lease_requests.on_request(clock, origin, request, context)
        })
    }

    pub(super) fn on_response(
        &mut self,
        clock: Time,
        from: OwnerId,
        id: u64,
        grant: LeaseGrant,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<LeaseOrigin>> {
        self.with(reachable, |lease_requests, context| {
            lease_requests.on_response(clock, from, id, grant, context)
        })
    }

    pub(super) fn tick(
        &mut self,
        clock: Time,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<LeaseOrigin>> {
        self.buckets.advance(clock, &self.ownership);
        self.with(reachable, |lease_requests, context| {
            lease_requests.tick(clock, context)
        })
    }

    fn with<T>(
        &mut self,
        reachable: &BTreeSet<OwnerId>,
        act: impl FnOnce(&mut LeaseRequests<LeaseOrigin>, &mut LeaseContext<'_>) -> T,
    ) -> T {
        let (buckets, ownership) = (&mut self.buckets, &self.ownership);
        act(
            &mut self.lease_requests,
            &mut LeaseContext {
                buckets,
                ownership,
                own_id: self.id,
                reachable,
            },
        )
    }
}

/// A router.
pub(super) struct Router {
    drift: f64,
    pub(super) suspended_until: u64,
    pub(super) allowances: Allowances<u64>,
}

impl Router {
    pub(super) fn start(bounds: QuotaBounds, drift: f64, last_lease_id: u64) -> Router {
        Router {
            drift,
            suspended_until: 0,
            allowances: Allowances::new(bounds, last_lease_id),
        }
    }

    pub(super) fn clock(&self, now: u64) -> Time {
        clock_at(now, self.drift)
    }

    /// Index of the control machine that it is connected to: the first one from `first` on that isn't
    /// suspended, or `first` if all are.
    pub(super) fn control(
        &self,
        count: usize,
        first: usize,
        now: u64,
        control: &[ControlNode],
    ) -> usize {
        let in_turn = (0..count).map(|step| (first + step) % count);
        let is_running = |index: &usize| control[*index].suspended_until <= now;
        in_turn
            .clone()
            .find(is_running)
            .or(in_turn.clone().next())
            .unwrap_or(0)
    }
}
