//! Numbers from a seed.

/// Numbers from a seed (xorshift).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let _ = (0..4).map(|_| random.next()).last();
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() >> 11) as usize % bound.max(1)
    }

    pub fn one_in(&mut self, bound: usize) -> bool {
        self.below(bound) == 0
    }
}
