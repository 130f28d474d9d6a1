//! What requests share: the beginning of a prompt, which model servers keep once they have read it.
//!
//! It promises the same names at all routers, so that these choose the same server for the same beginning without a word between them.

/// Start and factor of the hash FNV-1a, which is the same on all machines and in all versions.
const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_FACTOR: u64 = 0x0000_0100_0000_01b3;

/// A hash that never changes.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    hash_on(FNV_START, bytes)
}

/// Names the shared beginning of a prompt, by its model and its list of parts (`ID:TOKENS`, joined by commas): all parts but the last, which
/// belongs to the request or its session. 0: it shares nothing, or its list can't be read.
#[must_use]
pub fn shared_prefix(model: Option<&[u8]>, parts: Option<&[u8]>) -> u64 {
    let Some(parts) = parts else { return 0 };
    let Some(end) = parts.iter().rposition(|byte| *byte == b',') else { return 0 };
    let hash = parts[..end].split(|byte| *byte == b',').try_fold(model_hash(model), |hash, part| {
        let id = part.trim_ascii().split(|byte| *byte == b':').next().unwrap_or_default();
        (!id.is_empty()).then(|| hash_on(hash_on(hash, id), b","))
    });
    // 0 is taken.
    hash.map_or(0, |hash| hash.max(1))
}

fn model_hash(model: Option<&[u8]>) -> u64 {
    hash_on(stable_hash(model.unwrap_or_default()), b"\n")
}

fn hash_on(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_FACTOR))
}

#[cfg(test)]
mod tests;
