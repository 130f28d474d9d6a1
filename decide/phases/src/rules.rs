//! How the two phases of a class are planned.

use lichenswitch_interface::{Class, Micros};

/// How the two phases of a class are planned: the class's own rules and the operators' settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// An answer within this time earns the full worth, microseconds.
    pub latency_target: Micros,
    /// Share of the worth that is left after the latency target.
    pub late_share: f64,
    /// Weight that makes a first phase complete.
    pub need: f64,
    /// Least weight that may be answered from; at most `need`.
    pub floor: f64,
    /// A partial answer earns this times its share of the worth.
    pub partial: f64,
    /// Parts of a complete second phase.
    pub wanted: usize,
    /// A part is sent if it ends within the latency target with this probability (0 to 1).
    pub probability: f64,
    /// Largest share of the latency target that the first phase may take (0 to 1).
    pub first_share: f64,
    /// Whether slices are left out by their bounds.
    pub prune: bool,
    /// A query that is expected to earn less than this share of its worth is given up.
    pub least_gain: f64,
}

/// Probability for a part to be sent, where operators set none: see `docs/operate/phases.md`.
const PROBABILITY: f64 = 0.9;
/// Least share of its worth that a query is worked for, where operators set none.
const LEAST_GAIN: f64 = 0.2;
/// By how much sums of weights may fall short.
const WEIGHT_TOLERANCE: f64 = 1e-4;

impl Rules {
    /// The rules of a class with the settings that operators get by default.
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

    /// Fewest parts of a second phase of so many: the least share, where a partial answer is allowed.
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
