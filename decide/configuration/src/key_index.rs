//! Lookup of the tenant that an API key belongs to.
//!
//! The index contains no keys; only the operator's document does. The time of a lookup reveals
//! nothing about a key, since keys are hashed first and digests are compared in full.

use crate::document::Document;
use crate::key_digest::KeyDigest;
use std::collections::HashMap;

/// An index of a configuration's tenants by API key. Built once for each configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Digests by prefix, each with the index of its tenant in the document.
    by_prefix: HashMap<u64, Vec<(KeyDigest, usize)>>,
}

impl KeyIndex {
    /// Builds the index of a configuration; empty if it has no tenants.
    #[must_use]
    pub fn new(document: &Document) -> KeyIndex {
        let mut by_prefix: HashMap<u64, Vec<(KeyDigest, usize)>> = HashMap::new();
        for (index, tenant) in document.tenants().unwrap_or_default().iter().enumerate() {
            for key in &tenant.keys {
                by_prefix
                    .entry(key.prefix())
                    .or_default()
                    .push((*key, index));
            }
        }
        KeyIndex { by_prefix }
    }

    /// Returns the index in [`Document::tenants`] of the tenant that a key belongs to.
    #[must_use]
    pub fn tenant_index(&self, key: &KeyDigest) -> Option<usize> {
        let candidates = self.by_prefix.get(&key.prefix())?;
        candidates
            .iter()
            .find(|(known, _)| known.equals_in_constant_time(key))
            .map(|(_, index)| *index)
    }
}

#[cfg(test)]
mod tests;
