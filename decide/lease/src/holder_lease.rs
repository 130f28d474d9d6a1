//! The holder's side of a lease: whether this broker may act in a role now. A broker never knows
//! for sure that it holds a role, only that no other broker can hold it yet.

use super::{FencingToken, LeaseTerms};
use lichenswitch_interface::{Micros, Time};
use std::fmt;

/// A lease is renewed once this much of it has passed, in hundredths: the rest has room for two
/// more requests.
const RENEWAL_PERCENT: u64 = 33;
/// A request without an answer is repeated after a lease divided by this.
const RETRY_DIVISOR: u64 = 10;

/// Why the broker may act, or must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its lease lasts for this long by its own count (microseconds).
    Leased(Micros),
    /// Its lease expired this long ago by its own count (microseconds).
    Expired(Micros),
    /// It has no lease.
    NoLease,
    /// It has released the role.
    Released,
    /// A receiver has seen this higher token: another broker holds the role.
    Superseded(FencingToken),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Leased(remaining) => write!(f, "leased for {} ms more", remaining / 1_000),
            Reason::Expired(elapsed) => write!(f, "the lease ran out {} ms ago", elapsed / 1_000),
            Reason::NoLease => f.write_str("no lease"),
            Reason::Released => f.write_str("given back"),
            Reason::Superseded(token) => write!(f, "fence {} was seen", token.0),
        }
    }
}

/// Whether an effect may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may, and has to carry this token.
    Act(FencingToken, Reason),
    /// It must not.
    Refrain(Reason),
}

impl Permission {
    /// The token under which an effect may be made, if it may.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        match self {
            Permission::Act(token, _) => Some(*token),
            Permission::Refrain(_) => None,
        }
    }
}

/// The request that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Time,
}

/// The lease of one role at a broker that holds the role or requests it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderLease {
    token: FencingToken,
    /// When the lease in force was requested: it is counted from there. `None`: there is none.
    counted_from: Option<Time>,
    /// The last request, while it waits for an answer. Answers to earlier ones count for nothing,
    /// since the time of those requests is no longer known.
    pending: Option<PendingRequest>,
    /// The number of the last request.
    last_request: u64,
    is_released: bool,
    /// The highest token for which a receiver has rejected this broker's.
    superseded_by: FencingToken,
}

impl HolderLease {
    /// When to send the next request, to acquire the role or to keep it.
    #[must_use]
    pub fn next_request_at(&self, terms: LeaseTerms) -> Time {
        let renewal = self.counted_from.map_or(Time(0), |from| {
            from.plus(terms.holder_duration() / 100 * RENEWAL_PERCENT)
        });
        let retry = self.pending.map_or(Time(0), |request| {
            request.sent_at.plus(terms.lease / RETRY_DIVISOR)
        });
        renewal.max(retry)
    }

    /// Notes that a request is sent now, from which the lease will be counted. Returns the number
    /// that the answer has to name.
    pub fn on_request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        self.pending = Some(PendingRequest {
            number: self.last_request,
            sent_at: now,
        });
        self.is_released = false;
        self.last_request
    }

    /// The request with this number was granted, with this token. Returns `false` if the answer
    /// comes too late to count.
    pub fn on_grant(&mut self, request: u64, token: FencingToken) -> bool {
        let answers = |pending: &PendingRequest| pending.number == request && !self.is_released;
        let Some(pending) = self.pending.filter(answers) else {
            return false;
        };
        // Guards against an answer that the network delayed: tokens only grow.
        if token < self.token.max(self.superseded_by) {
            return false;
        }
        (self.pending, self.counted_from, self.token) = (None, Some(pending.sent_at), token);
        true
    }

    /// The request with this number was rejected: another broker holds the role. A lease that this
    /// one still counted is over, since the voters know better.
    pub fn on_rejection(&mut self, request: u64) {
        if self.pending.is_some_and(|p| p.number == request) {
            self.counted_from = None;
        }
    }

    /// A receiver has rejected an effect since it has seen this higher token. Nothing more is done
    /// under the lower one, though its lease may still last: another broker holds the role.
    pub fn on_fenced_off(&mut self, highest_seen: FencingToken) {
        self.superseded_by = self.superseded_by.max(highest_seen);
        if self.token < self.superseded_by {
            self.counted_from = None;
        }
    }

    /// The broker releases the role, since it stops or can't fill it; nothing is done under the
    /// lease from here on. Returns the token to name to the voters, if there ever was one.
    pub fn on_release(&mut self) -> Option<FencingToken> {
        (self.counted_from, self.pending, self.is_released) = (None, None, true);
        (self.token != FencingToken(0)).then_some(self.token)
    }

    /// Whether an effect may be made now. To be called before each effect, with a clock that goes
    /// on while the process is stopped.
    #[must_use]
    pub fn check(&self, now: Time, terms: LeaseTerms) -> Permission {
        let Some(from) = self.counted_from else {
            return Permission::Refrain(self.reason_without_lease());
        };
        let (elapsed, duration) = (now.since(from), terms.holder_duration());
        // A clock that went back tells nothing about the lease.
        if elapsed >= duration || now < from {
            return Permission::Refrain(Reason::Expired(elapsed.saturating_sub(duration)));
        }
        Permission::Act(self.token, Reason::Leased(duration - elapsed))
    }

    fn reason_without_lease(&self) -> Reason {
        if self.is_released {
            Reason::Released
        } else if self.token < self.superseded_by {
            Reason::Superseded(self.superseded_by)
        } else {
            Reason::NoLease
        }
    }
}

#[cfg(test)]
mod tests;
