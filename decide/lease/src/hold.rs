//! The holder's side: whether this broker may act under a duty now. It is never sure that it holds
//! one, only that nobody else can yet.

use super::{FenceNumber, Terms};
use lichenswitch_interface::{Micros, Time};
use std::fmt;

/// A lease is asked for anew when so much of it has passed, parts of a hundred: two more tries fit
/// into the rest.
const RENEW_AT: u64 = 33;
/// A broker that has asked in vain asks again after this part of a lease.
const AGAIN: u64 = 10;

/// Why it may act, or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its lease lasts for so long by its own count (microseconds).
    Leased(Micros),
    /// Its lease has run out by its own count, so long ago (microseconds).
    RanOut(Micros),
    /// It has none.
    None,
    /// It has given it back.
    GivenBack,
    /// A receiver has seen this higher fence: another one holds the duty.
    Superseded(FenceNumber),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Leased(left) => write!(f, "leased for {} ms more", left / 1_000),
            Reason::RanOut(since) => write!(f, "the lease ran out {} ms ago", since / 1_000),
            Reason::None => f.write_str("no lease"),
            Reason::GivenBack => f.write_str("given back"),
            Reason::Superseded(seen) => write!(f, "fence {} was seen", seen.0),
        }
    }
}

/// Whether an effect may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may, and has to carry this fence.
    Act(FenceNumber, Reason),
    /// It may not.
    Refrain(Reason),
}

/// One duty at a broker that holds it or would like to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    fence: FenceNumber,
    /// When it asked for the lease that it has: the lease is counted from there.
    from: Option<Time>,
    /// The ask that is out: its number and time. Answers to earlier ones are late: their lease is
    /// counted from an ask whose time is not known any more.
    asked: Option<(u64, Time)>,
    asks: u64,
    given_back: bool,
    /// The highest fence that a receiver has refused it for.
    superseded_by: FenceNumber,
}

impl Default for Hold {
    fn default() -> Self {
        Hold {
            fence: FenceNumber(0),
            from: None,
            asked: None,
            asks: 0,
            given_back: false,
            superseded_by: FenceNumber(0),
        }
    }
}

impl Hold {
    /// When it is to ask next, to get or to keep the duty.
    #[must_use]
    pub fn ask_at(&self, terms: Terms) -> Time {
        let renew = self
            .from
            .map_or(Time(0), |from| from.plus(terms.held() / 100 * RENEW_AT));
        let again = self
            .asked
            .map_or(Time(0), |(_, at)| at.plus(terms.lease / AGAIN));
        renew.max(again)
    }

    /// It asks now; tells the number that the answer has to name. The lease that it gets is counted
    /// from here.
    pub fn on_ask(&mut self, now: Time) -> u64 {
        self.asks += 1;
        self.asked = Some((self.asks, now));
        self.given_back = false;
        self.asks
    }

    /// It was granted, under this fence, in answer to the ask of this number. `false`: that answer
    /// comes too late to be of use.
    pub fn on_grant(&mut self, ask: u64, fence: FenceNumber) -> bool {
        let Some((_, at)) = self
            .asked
            .filter(|(number, _)| *number == ask && !self.given_back)
        else {
            return false;
        };
        // Guards against an answer that the network held back: a fence only grows.
        if fence < self.fence.max(self.superseded_by) {
            return false;
        }
        (self.asked, self.from, self.fence) = (None, Some(at), fence);
        true
    }

    /// It was refused: somebody else has it. What it still had is over, since the voters know
    /// better.
    pub fn on_refusal(&mut self, ask: u64) {
        if self.asked.is_some_and(|(number, _)| number == ask) {
            self.from = None;
        }
    }

    /// A receiver has refused an effect, or a call, since it has seen this higher fence. Nothing
    /// more is done under the fence that was refused, from this moment on and however long the
    /// lease still lasts: another one holds the duty, and each further try would be one more of
    /// somebody who doesn't know it.
    pub fn on_fenced_off(&mut self, seen: FenceNumber) {
        self.superseded_by = self.superseded_by.max(seen);
        if self.fence < self.superseded_by {
            self.from = None;
        }
    }

    /// It gives the duty back, at a planned stop or since it can't do it; tells the fence to name
    /// to the voters. Nothing is done under it from here on.
    pub fn on_give_back(&mut self) -> Option<FenceNumber> {
        (self.from, self.asked, self.given_back) = (None, None, true);
        (self.fence != FenceNumber(0)).then_some(self.fence)
    }

    /// Whether an effect may be made now. To be asked before each, by a clock that does not stop
    /// with the process.
    #[must_use]
    pub fn check(&self, now: Time, terms: Terms) -> Verdict {
        let Some(from) = self.from else {
            return Verdict::Refrain(match self.given_back {
                true => Reason::GivenBack,
                false if self.fence < self.superseded_by => Reason::Superseded(self.superseded_by),
                false => Reason::None,
            });
        };
        let (gone, held) = (now.since(from), terms.held());
        if gone >= held || now < from {
            return Verdict::Refrain(Reason::RanOut(gone.saturating_sub(held)));
        }
        Verdict::Act(self.fence, Reason::Leased(held - gone))
    }
}

#[cfg(test)]
mod tests;
