//! The holder's side of a lease: determines whether this broker may act in a role. A broker can't
//! know for certain that it holds a role, only that no other broker can hold it yet.

use super::{FencingToken, LeaseTerms};
use lichenswitch_interface::{Micros, Time};
use std::fmt;

/// Share of a lease after which it is renewed, in percent. The rest of the lease leaves time for
/// two more requests.
const RENEWAL_PERCENT: u64 = 33;
/// A request without a response is repeated after a lease divided by this number.
const RETRY_DIVISOR: u64 = 10;

/// The reason why the broker may or must not act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The lease remains valid for this long by the holder's clock (microseconds).
    Leased(Micros),
    /// The lease expired this long ago by the holder's clock (microseconds).
    Expired(Micros),
    /// The broker has no lease.
    NoLease,
    /// The broker has released the role.
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
            Reason::Released => f.write_str("released"),
            Reason::Superseded(token) => write!(
                f,
                "a receiver has seen the higher fencing token {}",
                token.0
            ),
        }
    }
}

/// The result of a lease check: whether the broker may make an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The effect is allowed and has to carry this token.
    Act(FencingToken, Reason),
    /// The effect is not allowed.
    Refrain(Reason),
}

impl Permission {
    /// Returns the token that the effect has to carry; `None` if the effect is not allowed.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        match self {
            Permission::Act(token, _) => Some(*token),
            Permission::Refrain(_) => None,
        }
    }
}

/// A request without a response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Time,
}

/// The lease of one role, at a broker that holds or requests the role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderLease {
    token: FencingToken,
    /// When the lease in force was requested, from where it is measured; `None` without a lease.
    counted_from: Option<Time>,
    /// The last request, until its response arrives. Responses to earlier requests are ignored,
    /// since their send times are no longer known.
    pending: Option<PendingRequest>,
    /// Number of the last request; 0 before the first one.
    last_request: u64,
    is_released: bool,
    /// Highest token that a receiver has named when it rejected this broker's token.
    superseded_by: FencingToken,
}

impl HolderLease {
    /// Returns when to send the next request, to acquire the role or to renew the lease.
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

    /// Records that a request is sent at `now`, from where the lease will be measured. Returns the
    /// number that the response has to carry.
    pub fn on_request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        self.pending = Some(PendingRequest {
            number: self.last_request,
            sent_at: now,
        });
        self.is_released = false;
        self.last_request
    }

    /// Handles that the request with this number was granted with this token. Returns `false` if
    /// the response is outdated and ignored.
    pub fn on_grant(&mut self, request: u64, token: FencingToken) -> bool {
        let is_answered = |pending: &PendingRequest| pending.number == request && !self.is_released;
        let Some(pending) = self.pending.filter(is_answered) else {
            return false;
        };
        // A delayed response may carry an older token: tokens only grow.
        if token < self.token.max(self.superseded_by) {
            return false;
        }
        (self.pending, self.counted_from, self.token) = (None, Some(pending.sent_at), token);
        true
    }

    /// Handles that the request with this number was rejected because another broker holds the
    /// role. Ends a lease that is still valid by this broker's clock, since the log takes
    /// precedence.
    pub fn on_rejection(&mut self, request: u64) {
        if self
            .pending
            .is_some_and(|pending| pending.number == request)
        {
            self.counted_from = None;
        }
    }

    /// Handles that a receiver has rejected an effect because it has seen this higher token. Ends a
    /// lease with a lower token even if it is still valid by this broker's clock, since another
    /// broker holds the role.
    pub fn on_fenced_off(&mut self, highest_seen: FencingToken) {
        self.superseded_by = self.superseded_by.max(highest_seen);
        if self.token < self.superseded_by {
            self.counted_from = None;
        }
    }

    /// Releases the role, when the broker stops or can't perform the role. No effect is allowed
    /// afterwards. Returns the token to send to the voters; `None` if no lease was ever granted.
    pub fn on_release(&mut self) -> Option<FencingToken> {
        (self.counted_from, self.pending, self.is_released) = (None, None, true);
        (self.token != FencingToken(0)).then_some(self.token)
    }

    /// Checks whether an effect is allowed at `now`. Must be called before each effect, with a
    /// clock that continues while the process is stopped.
    #[must_use]
    pub fn check(&self, now: Time, terms: LeaseTerms) -> Permission {
        let Some(from) = self.counted_from else {
            return Permission::Refrain(self.reason_without_lease());
        };
        let (elapsed, duration) = (now.since(from), terms.holder_duration());
        // If the clock went back, the elapsed time is unknown and the lease counts as expired.
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
