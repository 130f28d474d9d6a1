//! API keys: kept and compared as digests, and which tenant holds each.
//!
//! It promises that no key is held in memory beyond the operator's document, and that how long a
//! look-up takes says nothing of a key: keys are hashed first, and digests compared whole.

use crate::document::Document;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;

/// SHA-256 of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Compares all bytes, whichever differ.
    fn is(&self, other: &KeyDigest) -> bool {
        let differing = self
            .0
            .iter()
            .zip(&other.0)
            .fold(0, |differing, (one, two)| differing | (one ^ two));
        differing == 0
    }

    /// Where it is looked up: a part that tells nothing of the key.
    fn slot(&self) -> u64 {
        u64::from_le_bytes([
            self.0[0], self.0[1], self.0[2], self.0[3], self.0[4], self.0[5], self.0[6], self.0[7],
        ])
    }
}

/// A digest stands for a secret: it is shown nowhere.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Which tenant holds a key: a look-up built once for each configuration.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// Digests with the place of their tenant in the document, by slot.
    slots: HashMap<u64, Vec<(KeyDigest, usize)>>,
}

impl Keys {
    /// Of a configuration.
    #[must_use]
    pub fn new(document: &Document) -> Keys {
        let mut slots: HashMap<u64, Vec<(KeyDigest, usize)>> = HashMap::new();
        for (place, tenant) in document.tenants().unwrap_or_default().iter().enumerate() {
            for key in &tenant.keys {
                slots.entry(key.slot()).or_default().push((*key, place));
            }
        }
        Keys { slots }
    }

    /// The place of the tenant that holds this key among the tenants of the document.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<usize> {
        let candidates = self.slots.get(&key.slot())?;
        candidates
            .iter()
            .find(|(known, _)| known.is(key))
            .map(|(_, place)| *place)
    }
}

#[cfg(test)]
mod tests;
