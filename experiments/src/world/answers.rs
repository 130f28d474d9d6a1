//! What data nodes answer, and the first elements of a sorted answer.

use super::random::{hash_words, rng};
use super::{InFlightAttempt, World};
use lichenswitch::core::{SortedElements, Value};
use lichenswitch::decide::phases::prune::SortKey;
use lichenswitch::interface::Shard;
use rand::RngExt;

impl World {
    /// The answer of a data node to an attempt.
    pub(super) fn value(&self, attempt: &InFlightAttempt) -> Value {
        let score = hash_words(&[
            self.seed,
            5,
            u64::from(attempt.serial),
            u64::from(attempt.shard),
        ]) >> 32;
        let query = &self.queries[attempt.serial as usize];
        let offer = self.scenario.mix[query.class].top.map(|_| {
            let all = self.elements(attempt.serial, attempt.shard);
            let keys = all
                .iter()
                .take(attempt.max_elements)
                .map(|&n| SortKey::Number(n))
                .collect();
            SortedElements {
                keys,
                matched: Some(all.len() as u64),
            }
        });
        Value {
            score: score as f64,
            bytes: Vec::new(),
            sorted: offer,
        }
    }

    /// The elements of a slice for a query, the largest first. Their size and number fall with the
    /// slice's rank by Zipf's law.
    fn elements(&self, serial: u32, shard: u32) -> Vec<f64> {
        let mut rng = rng(&[self.seed, 6, u64::from(serial), u64::from(shard)]);
        let rank = hash_words(&[self.seed, 7, u64::from(shard)]) % u64::from(self.shards);
        let weight = 1.0 / (1.0 + rank as f64);
        let count = 1 + (60.0 * weight) as usize + rng.random_range(0..5);
        let mut all: Vec<f64> = (0..count)
            .map(|_| weight * rng.random_range(0.0..1.0))
            .collect();
        all.sort_by(|a, b| b.total_cmp(a));
        all
    }

    /// Whether a sorted answer has the first `k` elements of all slices of its query.
    pub(super) fn is_right(&self, serial: u32, k: usize, values: &[(Shard, Value)]) -> bool {
        let query = &self.queries[serial as usize];
        let slices = (0..query.parts).map(|i| (query.first_shard + i) % self.shards);
        let first = |mut all: Vec<(f64, u32)>| {
            all.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            all.truncate(k);
            all
        };
        let expected =
            slices.flat_map(|s| self.elements(serial, s).into_iter().map(move |e| (e, s)));
        let keys = |v: &Value| {
            v.sorted
                .as_ref()
                .map_or_else(Vec::new, |offer| offer.keys.clone())
        };
        let received = values
            .iter()
            .flat_map(|(s, v)| keys(v).into_iter().map(|key| (key, s.0)));
        let number = |(key, s): (SortKey, u32)| match key {
            SortKey::Number(n) => Some((n, s)),
            _ => None,
        };
        first(received.filter_map(number).collect()) == first(expected.collect())
    }
}
