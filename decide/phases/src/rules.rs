//! Rules for planning the two phases of a class.

use lichenswitch_interface::{Class, Micros};

/// Rules for planning the two phases of a class, from the class itself and the operators' settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time within which an answer earns its full value (microseconds).
    pub latency_target: Micros,
    /// Share of the value that an answer earns after the latency target (0 to 1).
    pub late_share: f64,
    /// Answered weight at which a first phase is complete.
    pub need: f64,
    /// Minimum answered weight for a partial answer; at most `need`.
    pub floor: f64,
    /// Factor of a partial answer: it earns the value times this factor and its share of `need`.
    pub partial: f64,
    /// Number of parts in a complete second phase.
    pub wanted: usize,
    /// Minimum probability that a part ends within the latency target for it to be sent (0 to 1).
    pub probability: f64,
    /// Largest share of the latency target that the first phase may take (0 to 1).
    pub first_share: f64,
    /// Whether slices are pruned by their bounds.
    pub prune: bool,
    /// Minimum expected share of the value; a query that is expected to earn less is given up.
    pub least_gain: f64,
}

/// Default of [`Rules::probability`]; see `docs/operate/phases.md`.
const PROBABILITY: f64 = 0.9;
/// Default of [`Rules::least_gain`].
const LEAST_GAIN: f64 = 0.2;
/// Amount by which a sum of weights may fall short of its exact value.
const WEIGHT_TOLERANCE: f64 = 1e-4;

impl Rules {
    /// Returns the rules of a class with the default settings.
    #[must_use]
    pub fn of(class: &Class) -> Rules {
        Rules {
            latency_target: class.latency_target,
            late_share: class.late_share,
            need: class.need,
            floor: class.floor,
            partial: class.partial,
            wanted: class.second_step as usize,
            probability: PROBABILITY,
            first_share: class.first_share,
            prune: true,
            least_gain: LEAST_GAIN,
        }
    }

    /// Returns the minimum number of answered parts in a second phase of `wanted` parts: the
    /// floor's share where partial answers are allowed, otherwise all.
    #[must_use]
    pub fn least_parts(&self, wanted: usize) -> usize {
        let floor = if self.floor < self.need {
            self.floor
        } else {
            1.0
        };
        (floor * wanted as f64 - WEIGHT_TOLERANCE).ceil().max(0.0) as usize
    }

    #[cfg(test)]
    pub(crate) fn test() -> Rules {
        Rules {
            latency_target: 1_000_000,
            late_share: 0.1,
            need: 1.0,
            floor: 0.8,
            partial: 0.8,
            wanted: 5,
            probability: 0.9,
            first_share: 0.9,
            prune: true,
            least_gain: 0.2,
        }
    }
}
