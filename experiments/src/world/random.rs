//! Random numbers that depend on the seed and on what they are for, and on nothing before them.

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Hashes words: FNV-1a word by word, then the finish of `splitmix64`.
#[must_use]
pub fn hash_words(words: &[u64]) -> u64 {
    let mut z = words.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, w| {
        (h ^ w).wrapping_mul(0x100_0000_01b3)
    });
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A generator for these words.
pub(super) fn rng(words: &[u64]) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(hash_words(words))
}

/// A log-normal number with this mean and coefficient of variation.
pub(super) fn lognormal(rng: &mut Xoshiro256PlusPlus, mean: f64, cv: f64) -> f64 {
    let variance = (1.0 + cv * cv).ln();
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).map_or(mean, |d| d.sample(rng))
}
