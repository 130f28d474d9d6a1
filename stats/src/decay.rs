//! Figures in which older samples count less.

use lichenswitch_interface::Time;

/// A mean in which older samples fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    value: Option<f64>,
}

impl DecayingMean {
    /// Moves the mean towards `sample` by the share `gain`; the first sample is taken whole.
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.value = Some(self.value.map_or(sample, |v| v + gain * (sample - v)));
    }
    /// The mean, or `otherwise` before the first sample.
    #[must_use]
    pub fn value_or(self, otherwise: f64) -> f64 {
        self.value.unwrap_or(otherwise)
    }
}

/// What is left at `now` of something of the time `since` that halves in `half` microseconds.
#[must_use]
pub fn remaining_share(now: Time, since: Time, half: f64) -> f64 {
    0.5f64.powf(now.since(since) as f64 / half)
}

/// A figure that fades towards zero with time and moves towards its samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingValue {
    value: f64,
    at: Time,
}

impl DecayingValue {
    /// What is left of it at `now` if it halves in `half` microseconds.
    #[must_use]
    pub fn value_at(self, now: Time, half: f64) -> f64 {
        // Most figures are zero: no power is needed for these.
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * remaining_share(now, self.at, half)
    }
    /// Moves what is left of it towards `sample` by the share `gain`.
    pub fn add(&mut self, now: Time, sample: f64, gain: f64, half: f64) {
        let left = self.value_at(now, half);
        *self = DecayingValue {
            value: left + gain * (sample - left),
            at: now,
        };
    }
}
