//! Counts of events within a sliding window.

use lichenswitch_interface::{Micros, Time};
use std::collections::VecDeque;

/// Counts events within a window that ends now.
#[derive(Clone, Debug, Default)]
pub struct WindowCount {
    times: VecDeque<Time>,
}

impl WindowCount {
    /// Notes an event.
    pub fn add(&mut self, at: Time) {
        self.times.push_back(at);
    }
    /// Forgets events before `now - window` and counts the others; those exactly at the edge count
    /// only if `edge` says so.
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
