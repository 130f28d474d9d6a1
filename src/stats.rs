//! Plain containers for what the decision module remembers. Every parameter is passed in.

use crate::interface::{Micros, Time};
use std::collections::VecDeque;

/// A seeded source of chance.
#[derive(Clone, Debug)]
pub struct Dice(pub fastrand::Rng);

impl Default for Dice {
    fn default() -> Self {
        Dice(fastrand::Rng::with_seed(0))
    }
}

/// A mean in which older samples fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fading {
    value: Option<f64>,
}

impl Fading {
    /// Moves the mean towards `sample` by the share `pace`; the first sample is taken whole.
    pub fn add(&mut self, sample: f64, pace: f64) {
        self.value = Some(self.value.map_or(sample, |v| v + pace * (sample - v)));
    }
    /// The mean, or `otherwise` before the first sample.
    #[must_use]
    pub fn or(self, otherwise: f64) -> f64 {
        self.value.unwrap_or(otherwise)
    }
}

/// What is left at `now` of something of the time `since` that halves in `half` microseconds.
#[must_use]
pub fn faded(now: Time, since: Time, half: f64) -> f64 {
    0.5f64.powf(now.since(since) as f64 / half)
}

/// A figure that fades towards zero with time and moves towards its samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Aged {
    value: f64,
    at: Time,
}

impl Aged {
    /// What is left of it at `now` if it halves in `half` microseconds.
    #[must_use]
    pub fn left(self, now: Time, half: f64) -> f64 {
        self.value * faded(now, self.at, half)
    }
    /// Moves what is left of it towards `sample` by the share `pace`.
    pub fn add(&mut self, now: Time, sample: f64, pace: f64, half: f64) {
        let left = self.left(now, half);
        *self = Aged { value: left + pace * (sample - left), at: now };
    }
}

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
        while self.times.front().is_some_and(|&t| t < start || (!edge && t == start)) {
            self.times.pop_front();
        }
        self.times.len()
    }
}
