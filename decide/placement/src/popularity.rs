//! How much of a router's traffic shares a first part of its prompt.

use lichenswitch_interface::{Micros, Time};
use std::collections::HashMap;

/// What was seen so long ago counts half (microseconds).
const HALF_LIFE: Micros = 30_000_000;
/// Sums are brought down to now this often (microseconds).
const FADE_INTERVAL: Micros = 5_000_000;
/// Most first parts that are remembered; those seen least give way.
const MOST_PARTS: usize = 4_096;
/// A part is forgotten once less than this share of one average request is left of it.
const FORGOTTEN: f64 = 0.05;
/// Requests that are taken to have been seen of other parts before the first one, so that the first few of a process do not count for all.
const PRIOR_REQUESTS: f64 = 16.0;

/// Shares of the traffic by first part, weighed by size and faded with time.
#[derive(Debug, Default)]
pub struct Popularity {
    sums: HashMap<u64, f64>,
    total: f64,
    requests: f64,
    faded_at: Time,
}

impl Popularity {
    /// A request with this first part comes, of this size (tokens). Tells the part's share of all traffic, this request included: from above 0
    /// to 1.
    pub fn on_request(&mut self, now: Time, part: u64, size: f64) -> f64 {
        self.fade(now);
        self.total += size;
        self.requests += 1.0;
        let sum = self.sums.entry(part).or_default();
        *sum += size;
        let (sum, mean) = (*sum, self.total / self.requests);
        if self.sums.len() > MOST_PARTS {
            self.make_room();
        }
        (sum / (self.total + PRIOR_REQUESTS * mean)).clamp(f64::MIN_POSITIVE, 1.0)
    }

    fn fade(&mut self, now: Time) {
        let since = now.since(self.faded_at);
        if since < FADE_INTERVAL {
            return;
        }
        self.faded_at = now;
        let left = 0.5_f64.powf(since as f64 / HALF_LIFE as f64);
        let forgotten = FORGOTTEN * self.total / self.requests.max(1.0);
        self.total *= left;
        self.requests *= left;
        self.sums.retain(|_, sum| {
            *sum *= left;
            *sum > forgotten
        });
    }

    /// Forgets the half that was seen least.
    fn make_room(&mut self) {
        let mut sums: Vec<f64> = self.sums.values().copied().collect();
        let middle = sums.len() / 2;
        let (_, median, _) = sums.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.sums.retain(|_, sum| *sum > median);
    }
}

#[cfg(test)]
mod tests;
