//! Lease requests at a control machine, served from its own shard of the bucket and then from the
//! shards of the other owners.
//!
//! Each request gets exactly one response, after at most [`OWNER_TIMEOUT_US`] for each owner. A
//! response contains only grants by owners.

mod owner_health;

use crate::buckets::Buckets;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::ownership::{owners, OwnerId, ShardOwnership};
use lichenswitch_interface::{Micros, Time};
use owner_health::OwnerHealth;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an owner that has not responded is skipped (microseconds). Round trips within a
/// region take milliseconds.
const OWNER_TIMEOUT_US: Micros = 60_000;
/// Maximum number of pending requests. Bounds memory.
const MAX_PENDING: usize = 4_096;
/// Maximum number of machines to which a machine without known voters forwards a request, one after
/// the other.
const MAX_FORWARDING_PEERS: usize = 2;

/// A message that the machine has to send. `O` is the type that identifies the origin of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction<O> {
    /// Send a request to an owner.
    Request {
        /// The owner, or a machine that may know the owners if `may_forward` is set.
        to: OwnerId,
        /// ID of the request, which the response repeats.
        id: u64,
        /// Whether the receiver should forward the request to the owners, since this machine
        /// doesn't know them.
        may_forward: bool,
        /// The request, with the amounts that are not granted so far.
        request: LeaseRequest,
    },
    /// Send the response to a request.
    Respond {
        /// The sender of the request.
        origin: O,
        /// The combined grants of all owners.
        grant: LeaseGrant,
    },
}

/// The state of a machine that is needed to serve a request.
pub struct LeaseContext<'a> {
    /// The shards that the machine owns.
    pub buckets: &'a mut Buckets,
    /// The ownership that determines those shards.
    pub ownership: &'a ShardOwnership,
    /// Identity of this machine.
    pub own_id: OwnerId,
    /// Machines that are currently reachable.
    pub reachable: &'a BTreeSet<OwnerId>,
}

/// A request to an owner whose response is awaited.
struct OwnerRequest {
    owner: OwnerId,
    /// Indexes of the requested amounts in the original request.
    indexes: Vec<usize>,
    deadline: Time,
}

/// A request that has no response so far.
struct PendingRequest<O> {
    origin: O,
    request: LeaseRequest,
    /// The combined grants received so far.
    grant: LeaseGrant,
    /// Owners that were not tried so far; the last one is tried next.
    untried_owners: Vec<OwnerId>,
    in_flight: OwnerRequest,
}

/// The pending lease requests of a control machine. `O` is the type that identifies the origin of a
/// request.
pub struct LeaseRequests<O> {
    pending: BTreeMap<u64, PendingRequest<O>>,
    last_id: u64,
    health: OwnerHealth,
}

impl<O> LeaseRequests<O> {
    /// Creates an instance without requests. Requests to owners get IDs above `last_id`; no earlier
    /// incarnation of the process may have used them.
    #[must_use]
    pub fn new(last_id: u64) -> LeaseRequests<O> {
        LeaseRequests {
            pending: BTreeMap::new(),
            last_id,
            health: OwnerHealth::default(),
        }
    }

    /// Handles a request: responds if it can be granted here, or else forwards the remaining
    /// amounts to another owner.
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

    /// Handles a response of an owner. A grant is used only if it comes from the owner to which the
    /// request was sent.
    pub fn on_response(
        &mut self,
        now: Time,
        from: OwnerId,
        id: u64,
        grant: LeaseGrant,
        context: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        // A late response still shows that its sender is alive.
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

    /// Handles the loss of the connection to an owner: requests that await its response go to the
    /// next owner.
    pub fn on_owner_lost(
        &mut self,
        now: Time,
        owner: OwnerId,
        context: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        self.skip_owners(now, context, |in_flight| in_flight.owner == owner)
    }

    /// Skips owners whose response is overdue, and removes expired health records.
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

    /// Returns the time of the next call of [`LeaseRequests::tick`]; `None` if nothing is pending.
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

    /// Returns the owners other than this machine; the last one is tried first. The order rotates
    /// from request to request, so that all shards are used equally, and unresponsive owners are
    /// tried last. If this machine knows no voters, it returns reachable machines that may know
    /// them.
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
            let offset = self.last_id as usize % candidates.len();
            candidates.rotate_left(offset);
        }
        candidates.retain(|owner| *owner != context.own_id);
        candidates.sort_by_key(|owner| !self.health.is_unresponsive(now, *owner));
        if context.ownership.voters().is_empty() {
            candidates.truncate(MAX_FORWARDING_PEERS);
        }
        candidates
    }

    /// Sends the amounts that are not granted so far to the next owner that may have enough tokens.
    /// Responds if all amounts are granted or no owner remains.
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

    /// Returns the indexes of the amounts that are not granted yet and for which an owner may have
    /// enough tokens.
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
