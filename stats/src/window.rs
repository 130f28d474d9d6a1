//! Event counter over a sliding window.

use lichenswitch_interface::{Micros, Time};
use std::collections::VecDeque;

/// Counter of events within a sliding window.
#[derive(Clone, Debug, Default)]
pub struct WindowCount {
    times: VecDeque<Time>,
}

impl WindowCount {
    /// Records an event; times must not decrease.
    pub fn add(&mut self, at: Time) {
        self.times.push_back(at);
    }
    /// Drops events before `now - window` and returns the number of the others. Events exactly at
    /// the edge are counted if `edge` is set and dropped otherwise.
    pub fn count(&mut self, now: Time, window: Micros, edge: bool) -> usize {
        let start = now.minus(window);
        while self
            .times
            .front()
            .is_some_and(|&t| t < start || (!edge && t == start))
        {
            self.times.pop_front();
        }
        self.times.len()
    }
}
