//! Latencies of the parts of one class and phase: decaying quantiles, scaled by how much was pending
//! where a part went.
//!
//! It owns the samples of two generations, and promises that a probability is never 1 and that old
//! samples are forgotten. Times are in microseconds.

use hdrhistogram::Histogram;
use lichenswitch_interface::{Micros, Time};

/// Steps of the table of quantiles.
const QUANTILE_STEPS: usize = 64;
/// A generation of samples ends after so many, and is forgotten one generation later.
const GENERATION_SAMPLES: u64 = 2_000;
/// It ends after so long in any case (microseconds).
const GENERATION_TIME: Micros = 15_000_000;
/// The table is made anew after so many samples, or after a part of all where that is more.
const MIN_REFRESH_SAMPLES: u64 = 32;
/// That part of all samples.
const REFRESH_SAMPLES_DIVISOR: u64 = 16;
/// The table is made anew after so long (microseconds) in any case, if a sample has come.
const REFRESH_INTERVAL: Micros = 250_000;
/// Nothing is predicted from fewer samples.
const MIN_SAMPLES: u64 = 20;
/// Parts that a server is taken to work on at once beside those that wait, as in the module's
/// forecast.
pub const PARALLEL_PARTS: f64 = 2.0;
/// Longest time that is recorded as such (microseconds).
const MAX_LATENCY: Micros = 600_000_000;
/// How much of the assumption that a part needs as long again as it has had holds for one that is
/// not yet out for longer than all were.
const TAIL_WEIGHT: f64 = 0.5;
/// No time is so long that a part is certain to have ended.
const MAX_PROBABILITY: f64 = 0.999;
/// A part that was given up counts as a sample where more than this share of parts are quicker.
const UNANSWERED_SAMPLE_QUANTILE: f64 = 0.5;

/// Latencies of the parts of one class and phase.
pub struct Latencies {
    recent: Histogram<u32>,
    older: Histogram<u32>,
    /// When the recent generation began.
    generation_began_at: Time,
    /// Time for each part that was pending or at work, at each of the quantiles 0, 1/64, ... 1.
    quantiles: [f64; QUANTILE_STEPS + 1],
    refreshed_at: Time,
    /// Samples since the table was made.
    unrefreshed_samples: u64,
    sample_count: u64,
}

fn histogram() -> Histogram<u32> {
    // Two digits are more than a forecast of milliseconds can use. The bounds are sound, so that it
    // never fails.
    Histogram::new_with_bounds(1, MAX_LATENCY, 2)
        .unwrap_or_else(|e| unreachable!("bounds of a histogram: {e}"))
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies {
            recent: histogram(),
            older: histogram(),
            generation_began_at: Time(0),
            quantiles: [0.0; QUANTILE_STEPS + 1],
            refreshed_at: Time(0),
            unrefreshed_samples: 0,
            sample_count: 0,
        }
    }
}

impl Latencies {
    /// A part took so long at a server that had `pending` parts of this broker when it was sent.
    pub fn add(&mut self, now: Time, elapsed: Micros, pending: f64) {
        if self.recent.len() >= GENERATION_SAMPLES
            || now.since(self.generation_began_at) >= GENERATION_TIME && !self.recent.is_empty()
        {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.generation_began_at = now;
        }
        self.recent
            .saturating_record(((elapsed as f64 / (pending + PARALLEL_PARTS)) as u64).max(1));
        self.unrefreshed_samples += 1;
        self.sample_count = self.recent.len() + self.older.len();
        // Here, where it is spread over many samples, and not in the midst of a plan.
        self.refresh(now);
    }

    /// A part was given up after so long without an answer: it counts only where that is long
    /// already, or those that were given up early would make all look quick.
    pub fn add_unanswered(&mut self, now: Time, elapsed: Micros, pending: f64) {
        if self.has_enough_samples()
            && self.probability_within(now, elapsed, pending) > UNANSWERED_SAMPLE_QUANTILE
        {
            self.add(now, elapsed, pending);
        }
    }

    /// Whether there are enough samples to predict anything.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.sample_count >= MIN_SAMPLES
    }

    /// Makes the table anew if it is out of date.
    fn refresh(&mut self, now: Time) {
        let many = MIN_REFRESH_SAMPLES.max(self.sample_count / REFRESH_SAMPLES_DIVISOR);
        let is_stale = self.unrefreshed_samples >= many
            || self.unrefreshed_samples > 0 && now.since(self.refreshed_at) >= REFRESH_INTERVAL;
        if !is_stale {
            return;
        }
        (self.unrefreshed_samples, self.refreshed_at) = (0, now);
        let (mut recent, mut older) = (
            self.recent.iter_recorded().peekable(),
            self.older.iter_recorded().peekable(),
        );
        let (total, mut seen, mut point) = (self.sample_count as f64, 0.0, 0);
        loop {
            let next = match (recent.peek(), older.peek()) {
                (Some(a), Some(b)) if a.value_iterated_to() <= b.value_iterated_to() => {
                    recent.next()
                }
                (Some(_), None) => recent.next(),
                _ => older.next(),
            };
            let Some(next) = next else { break };
            seen += next.count_since_last_iteration() as f64;
            while point <= QUANTILE_STEPS && seen >= total * point as f64 / QUANTILE_STEPS as f64 {
                self.quantiles[point] = next.value_iterated_to() as f64;
                point += 1;
            }
        }
        let last = self.quantiles[point.saturating_sub(1)];
        self.quantiles[point.min(QUANTILE_STEPS + 1)..].fill(last);
    }

    /// Probability that a part ends within so long at a server with so many pending, from 0 to
    /// just under 1.
    pub fn probability_within(&mut self, now: Time, within: Micros, pending: f64) -> f64 {
        self.refresh(now);
        self.share_below(within as f64 / (pending + PARALLEL_PARTS))
    }

    /// Probability that a part which has been out for `out` without an answer ends within `within`
    /// from now.
    pub fn probability_within_after(
        &mut self,
        now: Time,
        out: Micros,
        within: Micros,
        pending: f64,
    ) -> f64 {
        let (by_now, by_then) = (
            self.probability_within(now, out, pending),
            self.probability_within(now, out + within, pending),
        );
        // Little is known of a part that is out for longer than most were: it is taken to need as
        // long again as it has had, by half a chance. Guards both against trust in a tail of few
        // samples and against waiting for ever.
        let as_long_again = within as f64 / (out + within).max(1) as f64;
        if by_now >= MAX_PROBABILITY {
            return as_long_again;
        }
        ((by_then - by_now) / (1.0 - by_now)).max(as_long_again * TAIL_WEIGHT.min(by_now))
    }

    /// Time within which this share of parts ends at a server with so many pending; microseconds.
    pub fn quantile(&mut self, now: Time, share: f64, pending: f64) -> Micros {
        self.refresh(now);
        let place = share.clamp(0.0, 1.0) * QUANTILE_STEPS as f64;
        let (at, rest) = (place as usize, place.fract());
        let (low, high) = (
            self.quantiles[at],
            self.quantiles[(at + 1).min(QUANTILE_STEPS)],
        );
        ((low + (high - low) * rest) * (pending + PARALLEL_PARTS)) as Micros
    }

    fn share_below(&self, scaled_time: f64) -> f64 {
        let above = self.quantiles.partition_point(|&t| t <= scaled_time);
        if above == 0 {
            return 0.0;
        }
        if above > QUANTILE_STEPS {
            return MAX_PROBABILITY;
        }
        let (low, high) = (self.quantiles[above - 1], self.quantiles[above]);
        ((above as f64 - 1.0 + (scaled_time - low) / (high - low).max(1.0)) / QUANTILE_STEPS as f64)
            .min(MAX_PROBABILITY)
    }
}

#[cfg(test)]
mod tests;
