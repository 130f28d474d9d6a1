//! Look-up of the tenant that an API key belongs to.
//!
//! It promises that no key is held in memory beyond the operator's document, and that the time of a
//! look-up reveals nothing of a key: keys are hashed first, and digests compared in full.

use crate::document::Document;
use crate::key_digest::KeyDigest;
use std::collections::HashMap;

/// The tenants of a configuration by their keys. Built once for each configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// Digests by their prefix, each with the index of its tenant in the document.
    by_prefix: HashMap<u64, Vec<(KeyDigest, usize)>>,
}

impl KeyIndex {
    /// The index of a configuration.
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

    /// Index of the tenant that this key belongs to among the tenants of the document.
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
