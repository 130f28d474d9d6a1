//! Machines of the fleet: each with a clock of its own.

use super::{Origin, Planted};
use lichenswitch_configuration::Tenant;
use lichenswitch_interface::Time;
use lichenswitch_quota::{
    Allowances, Buckets, LeaseAction, LeaseContext, LeaseGrant, LeaseRequest, LeaseRequests,
    OwnerId, QuotaBounds, ShardOwnership,
};
use std::collections::BTreeSet;

/// What a machine in contact knows is at most so old.
pub(super) const LATEST_NEWS: u64 = 1_400_000;
/// Clocks run faster or slower than they should by this much at the most.
const MOST_DRIFT: f64 = 0.000_5;

/// The time of a machine whose clock drifts; `drift`: 0 to 1, from the slowest to the fastest.
fn clock_at(now: u64, drift: f64) -> Time {
    let rate = 1.0 + MOST_DRIFT * (2.0 * drift - 1.0);
    // It shows another time as well: nothing may depend on that.
    Time((now as f64 * rate) as u64 + (drift * 3_600e6) as u64)
}

/// A control machine.
pub(super) struct Control {
    pub(super) own: OwnerId,
    pub(super) life: u64,
    drift: f64,
    pub(super) frozen_until: u64,
    pub(super) cut_until: u64,
    /// Voters that its disk names.
    pub(super) disk: Vec<OwnerId>,
    pub(super) ownership: ShardOwnership,
    pub(super) buckets: Buckets,
    draws: LeaseRequests<Origin>,
}

impl Control {
    pub(super) fn start(
        place: usize,
        now: u64,
        disk: &[OwnerId],
        tenants: &[Tenant],
        terms: QuotaBounds,
        drift: f64,
        planted: Planted,
    ) -> Control {
        let mut buckets = Buckets::new(terms);
        if planted == Planted::StartsFull {
            buckets.on_no_configuration();
        }
        buckets.set_tenants(clock_at(now, drift), tenants);
        let own = OwnerId(place as u64);
        Control {
            own,
            life: 0,
            drift,
            frozen_until: 0,
            cut_until: 0,
            disk: disk.to_vec(),
            ownership: ShardOwnership::new(own, disk.to_vec()),
            buckets,
            draws: LeaseRequests::new((now << 8) + place as u64),
        }
    }

    /// It is another voter than its place says.
    pub(super) fn renew(&mut self, disk: &[OwnerId]) {
        self.ownership = ShardOwnership::new(self.own, disk.to_vec());
    }

    pub(super) fn clock(&self, now: u64) -> Time {
        clock_at(now, self.drift)
    }

    /// Hears from the group, unless it is cut off: of voters, and that it is in contact.
    pub(super) fn learn(
        &mut self,
        now: u64,
        late: u64,
        changes: &[(u64, Vec<OwnerId>)],
        planted: Planted,
    ) {
        let clock = self.clock(now);
        if planted == Planted::EndlessTenure {
            self.ownership.on_contact(clock);
        }
        if self.cut_until > now {
            return;
        }
        let known = changes
            .iter()
            .rev()
            .find(|(changed, _)| changed + late <= now);
        let Some((_, voters)) = known.filter(|(_, voters)| voters.contains(&self.own)) else {
            return;
        };
        let early = if planted == Planted::NoSettling {
            lichenswitch_quota::SETTLING_TIME_US
        } else {
            0
        };
        self.ownership
            .on_voters(Time(clock.0.saturating_sub(early)), voters);
        self.disk.clone_from(voters);
        self.ownership.on_contact(clock);
    }

    pub(super) fn take(
        &mut self,
        clock: Time,
        origin: Origin,
        draw: LeaseRequest,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<Origin>> {
        self.with(reachable, |draws, place| {
            draws.on_request(clock, origin, draw, place)
        })
    }

    pub(super) fn on_answer(
        &mut self,
        clock: Time,
        from: OwnerId,
        id: u64,
        grant: LeaseGrant,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<Origin>> {
        self.with(reachable, |draws, place| {
            draws.on_response(clock, from, id, grant, place)
        })
    }

    pub(super) fn tick(
        &mut self,
        clock: Time,
        reachable: &BTreeSet<OwnerId>,
    ) -> Vec<LeaseAction<Origin>> {
        self.buckets.advance(clock, &self.ownership);
        self.with(reachable, |draws, place| draws.tick(clock, place))
    }

    fn with<T>(
        &mut self,
        reachable: &BTreeSet<OwnerId>,
        act: impl FnOnce(&mut LeaseRequests<Origin>, &mut LeaseContext<'_>) -> T,
    ) -> T {
        let (buckets, ownership) = (&mut self.buckets, &self.ownership);
        act(
            &mut self.draws,
            &mut LeaseContext {
                buckets,
                ownership,
                own_id: self.own,
                reachable,
            },
        )
    }
}

/// A router.
pub(super) struct Router {
    drift: f64,
    pub(super) frozen_until: u64,
    pub(super) allowances: Allowances<u64>,
}

impl Router {
    pub(super) fn start(terms: QuotaBounds, drift: f64, first: u64) -> Router {
        Router {
            drift,
            frozen_until: 0,
            allowances: Allowances::new(terms, first),
        }
    }

    pub(super) fn clock(&self, now: u64) -> Time {
        clock_at(now, self.drift)
    }

    /// The control machine that it is connected to: the first one that answers.
    pub(super) fn control(&self, count: usize, own: usize, now: u64, control: &[Control]) -> usize {
        let turned = (0..count).map(|step| (own + step) % count);
        let up = |place: &usize| control[*place].frozen_until <= now;
        turned
            .clone()
            .find(up)
            .or(turned.clone().next())
            .unwrap_or(0)
    }
}
