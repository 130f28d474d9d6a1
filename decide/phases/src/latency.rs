//! Latency quantiles of the parts of one class and phase, scaled by the number of parts pending at
//! the server.
//!
//! Samples are kept for two generations, so old samples are forgotten. Probabilities are always
//! below 1. Times are in microseconds.

use hdrhistogram::Histogram;
use lichenswitch_interface::{Micros, Time};

/// Number of steps in the table of quantiles.
const QUANTILE_STEPS: usize = 64;
/// Number of samples after which a generation ends. It is forgotten one generation later.
const GENERATION_SAMPLES: u64 = 2_000;
/// Time after which a generation ends even with fewer samples (microseconds).
const GENERATION_TIME: Micros = 15_000_000;
/// Minimum number of new samples after which the table is recomputed.
const MIN_REFRESH_SAMPLES: u64 = 32;
/// Divisor of the sample count: the table is recomputed once this fraction of all samples is new,
/// if that exceeds [`MIN_REFRESH_SAMPLES`].
const REFRESH_SAMPLES_DIVISOR: u64 = 16;
/// Time after which the table is recomputed if there is any new sample (microseconds).
const REFRESH_INTERVAL: Micros = 250_000;
/// Minimum number of samples for a prediction.
const MIN_SAMPLES: u64 = 20;
/// Number of parts that a server is assumed to process in parallel, in addition to the pending
/// ones; the same as in the forecast of the `policy` module.
pub const PARALLEL_PARTS: f64 = 2.0;
/// Maximum recorded latency; longer ones are recorded as this value (microseconds).
const MAX_LATENCY: Micros = 600_000_000;
/// Maximum weight of the assumption that a part needs as long again as it has been in flight, for a
/// part that has not yet been in flight longer than all samples.
const TAIL_WEIGHT: f64 = 0.5;
/// Upper bound of a probability: no part is certain to have ended, however long the time.
const MAX_PROBABILITY: f64 = 0.999;
/// A part that was given up counts as a sample if more than this share of parts were faster.
const UNANSWERED_SAMPLE_QUANTILE: f64 = 0.5;

/// Latencies of the parts of one class and phase.
pub struct Latencies {
    recent: Histogram<u32>,
    older: Histogram<u32>,
    /// Time at which the recent generation began.
    generation_began_at: Time,
    /// Latency per part pending or in process, at each of the quantiles 0, 1/64, ... 1.
    quantiles: [f64; QUANTILE_STEPS + 1],
    refreshed_at: Time,
    /// Number of samples since the table was computed.
    unrefreshed_samples: u64,
    sample_count: u64,
}

fn histogram() -> Histogram<u32> {
    // Two significant digits exceed the precision that a forecast of milliseconds can use. The call
    // can't fail, because the bounds are valid.
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
    /// Records the latency of a part at a server that had `pending` parts of this broker when the
    /// part was sent.
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
        // Refreshing here spreads the cost over many samples and keeps it out of planning.
        self.refresh(now);
    }

    /// Records a part that was given up without an answer after `elapsed`. It counts only if that
    /// time is already long; otherwise parts that were given up early would make all parts look
    /// fast.
    pub fn add_unanswered(&mut self, now: Time, elapsed: Micros, pending: f64) {
        if self.has_enough_samples()
            && self.probability_within(now, elapsed, pending) > UNANSWERED_SAMPLE_QUANTILE
        {
            self.add(now, elapsed, pending);
        }
    }

    /// Returns whether there are enough samples for predictions.
    #[must_use]
    pub fn has_enough_samples(&self) -> bool {
        self.sample_count >= MIN_SAMPLES
    }

    /// Recomputes the table of quantiles if it is out of date.
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

    /// Returns the probability that a part ends within `within` microseconds at a server with
    /// `pending` parts, from 0 to just under 1.
    pub fn probability_within(&mut self, now: Time, within: Micros, pending: f64) -> f64 {
        self.refresh(now);
        self.share_below(within as f64 / (pending + PARALLEL_PARTS))
    }

    /// Returns the probability that a part that has been in flight for `out` microseconds without
    /// an answer ends within `within` microseconds from now.
    pub fn probability_within_after(
        &mut self,
        now: Time,
        out: Micros,
        within: Micros,
        pending: f64,
    ) -> f64 {
        let (ended_by_now, ended_by_then) = (
            self.probability_within(now, out, pending),
            self.probability_within(now, out + within, pending),
        );
        // Few samples describe a part that has been in flight longer than most. It is assumed to
        // end with probability 1/2 within the time that it has already taken. This avoids relying
        // on a tail of few samples and also avoids waiting forever.
        let tail_probability = within as f64 / (out + within).max(1) as f64;
        if ended_by_now >= MAX_PROBABILITY {
            return tail_probability;
        }
        ((ended_by_then - ended_by_now) / (1.0 - ended_by_now))
            .max(tail_probability * TAIL_WEIGHT.min(ended_by_now))
    }

    /// Returns the time within which this share of parts ends at a server with `pending` parts
    /// (microseconds).
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
