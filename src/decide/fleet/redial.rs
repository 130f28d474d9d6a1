//! When a peer that could not be reached is tried again: spread, so that a fleet whose peer comes
//! back does not come to it all together.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;

/// First wait, and the longest (microseconds); each failure doubles it. The wait itself is drawn
/// between half and one and a half of that.
const FIRST: Micros = 200_000;
const MOST: Micros = 5_000_000;

/// The waits before one peer.
#[derive(Clone, Debug, Default)]
pub struct Redial {
    wait: Micros,
    not_before: Time,
}

impl Redial {
    /// Whether it may be tried now.
    #[must_use]
    pub fn may(&self, now: Time) -> bool {
        now >= self.not_before
    }

    /// When it may be tried.
    #[must_use]
    pub fn at(&self) -> Time {
        self.not_before
    }

    /// It could not be reached, or was lost.
    pub fn on_failure(&mut self, now: Time, rng: &mut SeededRng) {
        self.wait = (self.wait * 2).clamp(FIRST, MOST);
        self.not_before = now.plus(self.wait / 2 + rng.0.u64(0..=self.wait));
    }

    /// It took what was said to it.
    pub fn on_success(&mut self) {
        *self = Redial::default();
    }
}

#[cfg(test)]
mod tests;
