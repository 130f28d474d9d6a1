//! The actions of a plan while it is drawn.

use super::Action;
use fastrand::Rng;
use std::time::Duration;

/// The actions drawn so far, and the generator that draws them.
pub(super) struct Schedule {
    pub(super) rng: Rng,
    pub(super) length: Duration,
    actions: Vec<(Duration, Action)>,
}

impl Schedule {
    /// No actions yet, for a day of this length.
    pub(super) fn new(seed: u64, length: Duration) -> Schedule {
        Schedule {
            rng: Rng::with_seed(seed),
            length,
            actions: Vec::new(),
        }
    }

    /// Draws a time.
    pub(super) fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.u64(from..=to))
    }

    /// Adds an action, at the end of the day at the latest.
    pub(super) fn add(&mut self, at: Duration, action: Action) {
        self.actions.push((at.min(self.length), action));
    }

    /// All actions in order.
    pub(super) fn into_actions(mut self) -> Vec<(Duration, Action)> {
        self.actions.sort();
        self.actions
    }
}
