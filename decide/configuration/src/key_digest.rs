//! Digests of API keys.

use sha2::{Digest, Sha256};
use std::fmt;

/// The SHA-256 digest of an API key. Keys are stored and compared only as digests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Whether two digests are equal. Compares all bytes, so that the time doesn't depend on which
    /// ones differ.
    pub(crate) fn equals_in_constant_time(&self, other: &KeyDigest) -> bool {
        let differing = self
            .0
            .iter()
            .zip(&other.0)
            .fold(0, |differing, (left, right)| differing | (left ^ right));
        differing == 0
    }

    /// Returns the first 8 bytes of the digest, which serve as a hash key. They reveal nothing
    /// about the API key.
    pub(crate) fn prefix(&self) -> u64 {
        u64::from_le_bytes([
            self.0[0], self.0[1], self.0[2], self.0[3], self.0[4], self.0[5], self.0[6], self.0[7],
        ])
    }
}

/// Hides the digest, since it is derived from a secret.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

#[cfg(test)]
mod tests;
