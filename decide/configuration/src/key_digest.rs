//! API keys as digests.

use sha2::{Digest, Sha256};
use std::fmt;

/// SHA-256 of an API key: the form in which keys are held and compared.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Compares all bytes, so that the time doesn't depend on which differ.
    pub(crate) fn equals_in_constant_time(&self, other: &KeyDigest) -> bool {
        let differing = self
            .0
            .iter()
            .zip(&other.0)
            .fold(0, |differing, (one, two)| differing | (one ^ two));
        differing == 0
    }

    /// The part of the digest that a look-up goes by; it reveals nothing of the key.
    pub(crate) fn prefix(&self) -> u64 {
        u64::from_le_bytes([
            self.0[0], self.0[1], self.0[2], self.0[3], self.0[4], self.0[5], self.0[6], self.0[7],
        ])
    }
}

/// A digest stands for a secret: it is never shown.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

#[cfg(test)]
mod tests;
