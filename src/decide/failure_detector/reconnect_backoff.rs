//! Exponential backoff with jitter for connections to an unreachable peer. The jitter prevents all
//! brokers of a fleet from connecting at the same time to a peer that returns.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;

/// Nominal delay after the first failure (microseconds). Each further failure doubles it. The
/// actual delay is random between 50 % and 150 % of the nominal delay.
const MIN_DELAY: Micros = 200_000;
/// Maximum nominal delay (microseconds).
const MAX_DELAY: Micros = 5_000_000;

/// The backoff state of the connections to one peer.
#[derive(Clone, Debug, Default)]
pub struct ReconnectBackoff {
    delay: Micros,
    ready_at: Time,
}

impl ReconnectBackoff {
    /// Returns whether a connection may be opened at `now`.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        now >= self.ready_at
    }

    /// Returns the earliest time at which a connection may be opened.
    #[must_use]
    pub fn ready_at(&self) -> Time {
        self.ready_at
    }

    /// Handles that the peer could not be reached or the connection was lost: increases the delay.
    pub fn on_failure(&mut self, now: Time, rng: &mut SeededRng) {
        self.delay = (self.delay * 2).clamp(MIN_DELAY, MAX_DELAY);
        self.ready_at = now.plus(self.delay / 2 + rng.0.u64(0..=self.delay));
    }

    /// Handles that the peer has accepted a message: resets the delay.
    pub fn on_success(&mut self) {
        *self = ReconnectBackoff::default();
    }
}

#[cfg(test)]
mod tests;
