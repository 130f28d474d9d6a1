//! Lease requests at a control machine: served from its own shard of the bucket, then from the
//! shards of the other owners.
//!
//! It promises that each request gets one response, within [`OWNER_TIMEOUT_US`] for each owner at
//! the latest, and that what a response grants was granted by owners.

mod owner_health;

use crate::buckets::Buckets;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::ownership::{owners, OwnerId, ShardOwnership};
use lichenswitch_interface::{Micros, Time};
use owner_health::OwnerHealth;
use std::collections::{BTreeMap, BTreeSet};

/// An owner that has not responded for so long is skipped (microseconds): links within a region
/// take milliseconds.
const OWNER_TIMEOUT_US: Micros = 60_000;
/// Most requests that are pending. Bounds memory.
const MAX_PENDING: usize = 4_096;
/// Machines that are asked in turn by one that knows no voters.
const MAX_FORWARDING_PEERS: usize = 2;

/// Something that the machine has to do. `O` identifies who awaits the response.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction<O> {
    /// Send a request to an owner.
    Request {
        /// Which one.
        to: OwnerId,
        /// Number of the request.
        id: u64,
        /// Whether it is to forward the request to other owners, since this machine knows of none.
        may_forward: bool,
        /// The request.
        request: LeaseRequest,
    },
    /// Send the response to a request.
    Respond {
        /// Who awaits it.
        origin: O,
        /// What is granted.
        grant: LeaseGrant,
    },
}

/// What a machine knows while it serves a request.
pub struct LeaseContext<'a> {
    /// Its own shards.
    pub buckets: &'a mut Buckets,
    /// Which shards those are.
    pub ownership: &'a ShardOwnership,
    /// This machine.
    pub own_id: OwnerId,
    /// Machines that can be reached.
    pub reachable: &'a BTreeSet<OwnerId>,
}

/// The request to an owner that a pending request awaits.
struct OwnerRequest {
    owner: OwnerId,
    /// Indexes of the amounts that it is for.
    indexes: Vec<usize>,
    deadline: Time,
}

struct PendingRequest<O> {
    origin: O,
    request: LeaseRequest,
    /// Granted so far.
    grant: LeaseGrant,
    /// Owners that have not been tried; the last one is next.
    untried_owners: Vec<OwnerId>,
    in_flight: OwnerRequest,
}

/// Pending requests. `O` identifies who awaits the response.
pub struct LeaseRequests<O> {
    pending: BTreeMap<u64, PendingRequest<O>>,
    last_id: u64,
    health: OwnerHealth,
}

impl<O> LeaseRequests<O> {
    /// Without any request. Requests to owners get numbers above `last_id`, which no earlier
    /// incarnation of the process has used.
    #[must_use]
    pub fn new(last_id: u64) -> LeaseRequests<O> {
        LeaseRequests {
            pending: BTreeMap::new(),
            last_id,
            health: OwnerHealth::default(),
        }
    }

    /// A request has come.
    pub fn on_request(
        &mut self,
        now: Time,
        origin: O,
        request: LeaseRequest,
        context: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        let mut grant = context.buckets.lease(now, &request, context.ownership);
        if grant.covers_all(&request) || self.pending.len() >= MAX_PENDING {
            return vec![LeaseAction::Respond { origin, grant }];
        }
        grant.prefetch_amount = 0;
        let untried_owners = self.candidates(now, &request, context);
        let in_flight = OwnerRequest {
            owner: context.own_id,
            indexes: Vec::new(),
            deadline: now,
        };
        let pending = PendingRequest {
            origin,
            request,
            grant,
            untried_owners,
            in_flight,
        };
        self.try_next_owner(now, pending, context)
    }

    /// An owner has responded. A response counts only from the owner that the request went to.
    pub fn on_response(
        &mut self,
        now: Time,
        from: OwnerId,
        id: u64,
        grant: LeaseGrant,
        context: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        // A late one shows all the same that its sender is alive.
        self.health.on_response(from);
        let is_expected = self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.in_flight.owner == from);
        if !is_expected {
            return Vec::new();
        }
        let Some(mut pending) = self.pending.remove(&id) else {
            return Vec::new();
        };
        let indexes = std::mem::take(&mut pending.in_flight.indexes);
        let (granted, denied): (Vec<_>, Vec<_>) = indexes
            .into_iter()
            .enumerate()
            .partition(|(position, _)| grant.covers(*position));
        let granted_bits = granted
            .iter()
            .fold(0, |bits, (_, index)| bits | (1 << index));
        pending.grant = pending.grant.merge(LeaseGrant {
            granted_bits,
            prefetch_amount: 0,
            retry_after_us: grant.retry_after_us,
        });
        let denied_amounts = denied
            .iter()
            .map(|(_, index)| pending.request.amounts[*index]);
        if let Some(amount) = denied_amounts.min() {
            let tenant = &pending.request.tenant;
            self.health
                .record_insufficient(now, from, tenant, amount, grant.retry_after_us);
        }
        self.try_next_owner(now, pending, context)
    }

    /// A machine can be reached no more.
    pub fn on_owner_lost(
        &mut self,
        now: Time,
        owner: OwnerId,
        context: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        self.skip_owners(now, context, |in_flight| in_flight.owner == owner)
    }

    /// Skips owners that have not responded in time.
    pub fn tick(&mut self, now: Time, context: &mut LeaseContext<'_>) -> Vec<LeaseAction<O>> {
        self.health.expire(now);
        let overdue = self
            .pending
            .values()
            .map(|pending| &pending.in_flight)
            .filter(|in_flight| in_flight.deadline <= now);
        for in_flight in overdue {
            let requested_at = in_flight.deadline.minus(OWNER_TIMEOUT_US);
            self.health.record_timeout(in_flight.owner, requested_at);
        }
        self.skip_owners(now, context, |in_flight| in_flight.deadline <= now)
    }

    /// When [`LeaseRequests::tick`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.pending
            .values()
            .map(|pending| pending.in_flight.deadline)
            .min()
    }

    fn skip_owners(
        &mut self,
        now: Time,
        context: &mut LeaseContext<'_>,
        is_skipped: impl Fn(&OwnerRequest) -> bool,
    ) -> Vec<LeaseAction<O>> {
        let skipped: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_skipped(&pending.in_flight))
            .map(|(id, _)| *id)
            .collect();
        let mut actions = Vec::new();
        for id in skipped {
            if let Some(pending) = self.pending.remove(&id) {
                actions.extend(self.try_next_owner(now, pending, context));
            }
        }
        actions
    }

    /// Owners beside this machine; the last one is tried first. Requests begin at each of them in
    /// turn, so that all shards are used alike, and at unresponsive ones last. A machine that knows
    /// no voters forwards the request to one that may.
    fn candidates(
        &self,
        now: Time,
        request: &LeaseRequest,
        context: &LeaseContext<'_>,
    ) -> Vec<OwnerId> {
        let mut candidates = match context.ownership.voters() {
            [] => context.reachable.iter().copied().collect(),
            voters => owners(&request.tenant, voters),
        };
        if !candidates.is_empty() {
            let turn = self.last_id as usize % candidates.len();
            candidates.rotate_left(turn);
        }
        candidates.retain(|owner| *owner != context.own_id);
        candidates.sort_by_key(|owner| !self.health.is_unresponsive(now, *owner));
        if context.ownership.voters().is_empty() {
            candidates.truncate(MAX_FORWARDING_PEERS);
        }
        candidates
    }

    /// Sends what is left of a request to the next owner that may have enough, or responds where
    /// nothing or no owner is left.
    fn try_next_owner(
        &mut self,
        now: Time,
        mut pending: PendingRequest<O>,
        context: &LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        while !pending.grant.covers_all(&pending.request) {
            let Some(owner) = pending.untried_owners.pop() else {
                break;
            };
            if !context.reachable.contains(&owner) {
                continue;
            }
            let indexes = self.indexes_for(now, owner, &pending);
            if indexes.is_empty() {
                continue;
            }
            return vec![self.send_to_owner(now, owner, indexes, pending, context)];
        }
        vec![LeaseAction::Respond {
            origin: pending.origin,
            grant: pending.grant,
        }]
    }

    fn send_to_owner(
        &mut self,
        now: Time,
        owner: OwnerId,
        indexes: Vec<usize>,
        mut pending: PendingRequest<O>,
        context: &LeaseContext<'_>,
    ) -> LeaseAction<O> {
        let amounts = indexes
            .iter()
            .map(|index| pending.request.amounts[*index])
            .collect();
        let request = LeaseRequest {
            amounts,
            prefetch_amount: 0,
            ..pending.request.clone()
        };
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        pending.in_flight = OwnerRequest {
            owner,
            indexes,
            deadline: now.plus(OWNER_TIMEOUT_US),
        };
        self.pending.insert(id, pending);
        LeaseAction::Request {
            to: owner,
            id,
            may_forward: context.ownership.voters().is_empty(),
            request,
        }
    }

    /// Indexes of the amounts that are not granted yet and that an owner may have enough for.
    fn indexes_for(&self, now: Time, owner: OwnerId, pending: &PendingRequest<O>) -> Vec<usize> {
        let request = &pending.request;
        let limit = self.health.insufficient_from(now, owner, &request.tenant);
        let is_eligible = |index: &usize| {
            !pending.grant.covers(*index)
                && limit.is_none_or(|limit| request.amounts[*index] < limit)
        };
        (0..request.amounts.len()).filter(is_eligible).collect()
    }
}

#[cfg(test)]
mod tests;
