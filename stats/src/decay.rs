//! Moving averages in which older samples count less.

use lichenswitch_interface::Time;

/// Exponential moving average over samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    value: Option<f64>,
}

impl DecayingMean {
    /// Moves the mean towards `sample` by the share `gain` (0 to 1). The first sample sets it.
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.value = Some(self.value.map_or(sample, |v| v + gain * (sample - v)));
    }
    /// Returns the mean, or `otherwise` before the first sample.
    #[must_use]
    pub fn value_or(self, otherwise: f64) -> f64 {
        self.value.unwrap_or(otherwise)
    }
}

/// Returns the share left at `now` of a quantity of time `since` that halves every `half_life`
/// microseconds.
#[must_use]
pub fn remaining_share(now: Time, since: Time, half_life: f64) -> f64 {
    0.5f64.powf(now.since(since) as f64 / half_life)
}

/// Moving average that also decays towards zero with time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingValue {
    value: f64,
    at: Time,
}

impl DecayingValue {
    /// Returns the value at `now`, decayed with a half-life of `half_life` microseconds.
    #[must_use]
    pub fn value_at(self, now: Time, half_life: f64) -> f64 {
        // Most values are zero, so this saves the call of `powf`.
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * remaining_share(now, self.at, half_life)
    }
    /// Decays the value to `now` and moves it towards `sample` by the share `gain` (0 to 1).
    pub fn add(&mut self, now: Time, sample: f64, gain: f64, half_life: f64) {
        let left = self.value_at(now, half_life);
        *self = DecayingValue {
            value: left + gain * (sample - left),
            at: now,
        };
    }
}
