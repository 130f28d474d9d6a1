//! Reproducible random numbers: the same seed gives the same draws.

use lichenswitch_interface::{Micros, Time};

/// Seeded random number generator.
#[derive(Clone, Debug)]
pub struct SeededRng(pub fastrand::Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng(fastrand::Rng::with_seed(0))
    }
}

/// Returns a number from 0 to 1 that is constant within a window and redrawn for the next one. The
/// window boundaries depend on the seed. Repeated calls return the same number.
#[must_use]
pub fn windowed_random(seed: u64, now: Time, window: Micros) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slice = (now.0 + rng.u64(0..=window)) / window.max(1);
    fastrand::Rng::with_seed(rng.u64(..) ^ slice.rotate_left(40)).f64()
}
