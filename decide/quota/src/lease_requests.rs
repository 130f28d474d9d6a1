//! Draws at a control machine: from its own part of the bucket, and then from the other holders'.
//!
//! It promises that each draw is answered once, within [`ASK_TIMEOUT`] for each holder at the
//! latest, and that what is told as granted was granted by holders.

use crate::buckets::Buckets;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::ownership::{owners, OwnerId, ShardOwnership};
use lichenswitch_interface::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A holder that has not answered after so long is passed over (microseconds): links within a
/// region take milliseconds.
const ASK_TIMEOUT: Micros = 60_000;
/// A holder that had too little is asked again after so long at the latest (microseconds).
const EMPTY: Micros = 60_000;
/// A holder that has not answered for so long is silent (microseconds). Longer than a tenth of a
/// second: where the processor is a quota a process may stand still for the rest of each tenth, and
/// is passed over meanwhile, but not taken to be gone.
const SILENT_AFTER: Micros = 120_000;
/// One that is silent is asked last for so long (microseconds): others find out in about that time
/// that it is gone.
const SILENT: Micros = 1_500_000;
/// Draws that may be under way. Guards memory.
const MOST: usize = 4_096;
/// Remembered denials. Guards memory.
const MOST_EMPTY: usize = 8_192;

/// Something that the machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction<O> {
    /// Ask a holder.
    Request {
        /// Which one.
        to: OwnerId,
        /// Names the question.
        id: u64,
        /// Whether it is to ask other holders in turn, since this machine knows of none.
        may_forward: bool,
        /// What is wanted.
        draw: LeaseRequest,
    },
    /// Tell whoever asked.
    Respond {
        /// Who that is.
        origin: O,
        /// What is granted.
        grant: LeaseGrant,
    },
}

/// What a machine knows when it works a draw off.
pub struct LeaseContext<'a> {
    /// Its own parts.
    pub buckets: &'a mut Buckets,
    /// Which parts those are.
    pub ownership: &'a ShardOwnership,
    /// This machine.
    pub own: OwnerId,
    /// Machines that can be asked.
    pub reachable: &'a BTreeSet<OwnerId>,
}

struct UnderWay<O> {
    origin: O,
    draw: LeaseRequest,
    /// So far.
    grant: LeaseGrant,
    /// Holders that have not been asked, the last one first.
    left: Vec<OwnerId>,
    /// The one that is being asked, for these needs of the draw, and until when.
    asked: (OwnerId, Vec<usize>, Time),
}

/// A holder had too little for a request of this size.
struct Empty {
    size: u64,
    until: Time,
}

/// Draws that are under way. `O`: who waits for the answer.
pub struct LeaseRequests<O> {
    under_way: BTreeMap<u64, UnderWay<O>>,
    next: u64,
    empty: HashMap<(OwnerId, String), Empty>,
    /// Holders that were passed over and have not answered since, and when they were asked.
    unanswered: HashMap<OwnerId, Time>,
}

impl<O> LeaseRequests<O> {
    /// None yet. Questions get numbers above this one, which no earlier life of the process used.
    #[must_use]
    pub fn new(first: u64) -> LeaseRequests<O> {
        let (empty, unanswered) = (HashMap::new(), HashMap::new());
        LeaseRequests {
            under_way: BTreeMap::new(),
            next: first,
            empty,
            unanswered,
        }
    }

    /// Somebody wants a draw.
    pub fn on_request(
        &mut self,
        now: Time,
        origin: O,
        draw: LeaseRequest,
        place: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        let mut grant = place.buckets.lease(now, &draw, place.ownership);
        if grant.covers_all(&draw) || self.under_way.len() >= MOST {
            return vec![LeaseAction::Respond { origin, grant }];
        }
        grant.prefetch_amount = 0;
        let left = self.others(now, &draw, place);
        let asked = (place.own, Vec::new(), now);
        self.go_on(
            now,
            UnderWay {
                origin,
                draw,
                grant,
                left,
                asked,
            },
            place,
        )
    }

    /// A holder has answered. An answer counts only from whom it was asked of.
    pub fn on_response(
        &mut self,
        now: Time,
        from: OwnerId,
        id: u64,
        grant: LeaseGrant,
        place: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        // One that comes too late to be of use shows all the same that its sender is there.
        self.unanswered.remove(&from);
        if self
            .under_way
            .get(&id)
            .is_none_or(|waits| waits.asked.0 != from)
        {
            return Vec::new();
        }
        let Some(mut waits) = self.under_way.remove(&id) else {
            return Vec::new();
        };
        let places = std::mem::take(&mut waits.asked.1);
        let granted = places
            .iter()
            .enumerate()
            .filter(|(index, _)| grant.covers(*index));
        let amounts = granted.fold(0, |bits, (_, place)| bits | (1 << place));
        waits.grant = waits.grant.and(LeaseGrant {
            granted_bits: amounts,
            prefetch_amount: 0,
            retry_after_us: grant.retry_after_us,
        });
        let denied = places
            .iter()
            .enumerate()
            .filter(|(index, _)| !grant.covers(*index));
        if let Some(size) = denied.map(|(_, place)| waits.draw.amounts[*place]).min() {
            self.note_empty(now, from, &waits.draw.tenant, size, grant.retry_after_us);
        }
        self.go_on(now, waits, place)
    }

    /// A machine can be asked no more.
    pub fn on_owner_lost(
        &mut self,
        now: Time,
        holder: OwnerId,
        place: &mut LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        self.pass_over(now, place, |asked| asked.0 == holder)
    }

    /// Passes over holders that have not answered in time.
    pub fn tick(&mut self, now: Time, place: &mut LeaseContext<'_>) -> Vec<LeaseAction<O>> {
        self.empty.retain(|_, empty| empty.until > now);
        self.unanswered
            .retain(|_, asked_at| now.since(*asked_at) < SILENT_AFTER + SILENT);
        for waits in self.under_way.values().filter(|waits| waits.asked.2 <= now) {
            let asked_at = waits.asked.2.minus(ASK_TIMEOUT);
            self.unanswered.entry(waits.asked.0).or_insert(asked_at);
        }
        self.pass_over(now, place, |asked| asked.2 <= now)
    }

    fn is_silent(&self, now: Time, holder: OwnerId) -> bool {
        let silent_for = self
            .unanswered
            .get(&holder)
            .map_or(0, |asked_at| now.since(*asked_at));
        (SILENT_AFTER..SILENT_AFTER + SILENT).contains(&silent_for)
    }

    /// When [`LeaseRequests::tick`] has something to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.under_way.values().map(|waits| waits.asked.2).min()
    }

    fn pass_over(
        &mut self,
        now: Time,
        place: &mut LeaseContext<'_>,
        is_over: impl Fn(&(OwnerId, Vec<usize>, Time)) -> bool,
    ) -> Vec<LeaseAction<O>> {
        let over: Vec<u64> = self
            .under_way
            .iter()
            .filter(|(_, waits)| is_over(&waits.asked))
            .map(|(id, _)| *id)
            .collect();
        let mut orders = Vec::new();
        for id in over {
            if let Some(waits) = self.under_way.remove(&id) {
                orders.extend(self.go_on(now, waits, place));
            }
        }
        orders
    }

    /// Holders beside this machine, in the order in which they are to be asked from the end. Draws
    /// begin at each of them in turn, so that all parts are used alike. A machine that knows no
    /// voters passes the draw on to one that may.
    fn others(&self, now: Time, draw: &LeaseRequest, place: &LeaseContext<'_>) -> Vec<OwnerId> {
        let mut others = match place.ownership.voters() {
            [] => place.reachable.iter().copied().collect(),
            voters => owners(&draw.tenant, voters),
        };
        if !others.is_empty() {
            let turn = self.next as usize % others.len();
            others.rotate_left(turn);
        }
        others.retain(|holder| *holder != place.own);
        // The last ones are asked first.
        others.sort_by_key(|holder| !self.is_silent(now, *holder));
        if place.ownership.voters().is_empty() {
            others.truncate(2);
        }
        others
    }

    fn go_on(
        &mut self,
        now: Time,
        mut waits: UnderWay<O>,
        place: &LeaseContext<'_>,
    ) -> Vec<LeaseAction<O>> {
        while !waits.grant.covers_all(&waits.draw) {
            let Some(holder) = waits.left.pop() else {
                break;
            };
            if !place.reachable.contains(&holder) {
                continue;
            }
            let places = self.worth_asking(now, holder, &waits);
            if places.is_empty() {
                continue;
            }
            let amounts = places
                .iter()
                .map(|place| waits.draw.amounts[*place])
                .collect();
            let draw = LeaseRequest {
                amounts,
                prefetch_amount: 0,
                ..waits.draw.clone()
            };
            self.next = self.next.wrapping_add(1);
            let id = self.next;
            waits.asked = (holder, places, now.plus(ASK_TIMEOUT));
            self.under_way.insert(id, waits);
            let may_forward = place.ownership.voters().is_empty();
            return vec![LeaseAction::Request {
                to: holder,
                id,
                may_forward,
                draw,
            }];
        }
        vec![LeaseAction::Respond {
            origin: waits.origin,
            grant: waits.grant,
        }]
    }

    /// Needs that are left and that a holder may have enough for.
    fn worth_asking(&self, now: Time, holder: OwnerId, waits: &UnderWay<O>) -> Vec<usize> {
        let empty = self
            .empty
            .get(&(holder, waits.draw.tenant.clone()))
            .filter(|empty| empty.until > now);
        let worth = |place: &usize| {
            let need = waits.draw.amounts[*place];
            !waits.grant.covers(*place) && empty.is_none_or(|empty| need < empty.size)
        };
        (0..waits.draw.amounts.len()).filter(worth).collect()
    }

    fn note_empty(&mut self, now: Time, holder: OwnerId, tenant: &str, size: u64, wait: Micros) {
        if self.empty.len() < MOST_EMPTY {
            let empty = Empty {
                size,
                until: now.plus(wait.min(EMPTY)),
            };
            self.empty.insert((holder, tenant.to_owned()), empty);
        }
    }
}

#[cfg(test)]
mod tests;
