//! When to connect again to a peer that could not be reached: after a delay that grows and is
//! random, so that the brokers of a fleet do not all connect at the same time to a peer that
//! returns.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;

/// The first delay, and the longest (microseconds): each failure doubles it. What is waited is
/// random between a half and one and a half of that.
const MIN_DELAY: Micros = 200_000;
const MAX_DELAY: Micros = 5_000_000;

/// The delay before the next connection to one peer.
#[derive(Clone, Debug, Default)]
pub struct ReconnectBackoff {
    delay: Micros,
    ready_at: Time,
}

impl ReconnectBackoff {
    /// Whether a connection may be opened now.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        now >= self.ready_at
    }

    /// When a connection may be opened.
    #[must_use]
    pub fn ready_at(&self) -> Time {
        self.ready_at
    }

    /// The peer could not be reached, or the connection to it was lost.
    pub fn on_failure(&mut self, now: Time, rng: &mut SeededRng) {
        self.delay = (self.delay * 2).clamp(MIN_DELAY, MAX_DELAY);
        self.ready_at = now.plus(self.delay / 2 + rng.0.u64(0..=self.delay));
    }

    /// The peer has accepted what was sent to it.
    pub fn on_success(&mut self) {
        *self = ReconnectBackoff::default();
    }
}

#[cfg(test)]
mod tests;
