//! Prompts: the shared prefix, which model servers keep in their prefix cache, and the tokens that are
//! left to be prefilled.
//!
//! It promises the same prefix hash at all routers, so that they choose the same server for the same
//! prefix without coordination.

/// Offset basis and prime of the hash FNV-1a, which is the same on all machines and in all versions.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash that never changes.
#[must_use]
pub(crate) fn stable_hash(bytes: &[u8]) -> u64 {
    hash_from(FNV_OFFSET_BASIS, bytes)
}

/// Tokens that a request counts as where it declares none, and the least that any counts as.
const MIN_TOKENS: u32 = 1_024;

/// What a request's headers declare of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Hash of its shared prefix: all parts but the last, which belongs to the request or its session.
    /// 0: it shares nothing, or its list of parts can't be parsed.
    pub prefix_hash: u64,
    /// Tokens of the shared prefix.
    pub shared_tokens: u32,
    /// Tokens left to be prefilled by a server that has the prefix cached.
    pub uncached_tokens: u32,
}

impl Default for Prompt {
    fn default() -> Self {
        Prompt {
            prefix_hash: 0,
            shared_tokens: 0,
            uncached_tokens: MIN_TOKENS,
        }
    }
}

impl Prompt {
    /// Parses `Model` and `Prompt-Prefix` (parts `ID:TOKENS`, separated by commas).
    #[must_use]
    pub(crate) fn from_headers(model: Option<&[u8]>, parts: Option<&[u8]>) -> Prompt {
        let Some(parts) = parts else {
            return Prompt::default();
        };
        let end = parts.iter().rposition(|byte| *byte == b',');
        let (shared, last) = end.map_or((&parts[..0], parts), |end| {
            (&parts[..end], &parts[end + 1..])
        });
        let uncached_tokens = tokens_of(last).max(MIN_TOKENS);
        let mut prompt = Prompt {
            uncached_tokens,
            ..Prompt::default()
        };
        if end.is_none() {
            return prompt;
        }
        let mut hash = model_hash(model);
        for part in shared.split(|byte| *byte == b',') {
            let id = part
                .trim_ascii()
                .split(|byte| *byte == b':')
                .next()
                .unwrap_or_default();
            if id.is_empty() {
                return Prompt {
                    uncached_tokens,
                    ..Prompt::default()
                };
            }
            hash = hash_from(hash_from(hash, id), b",");
            prompt.shared_tokens = prompt.shared_tokens.saturating_add(tokens_of(part));
        }
        // 0 stands for no prefix.
        prompt.prefix_hash = hash.max(1);
        prompt
    }
}

/// The tokens of a part; 0 where they can't be parsed.
fn tokens_of(part: &[u8]) -> u32 {
    let tokens = part
        .splitn(2, |byte| *byte == b':')
        .nth(1)
        .unwrap_or_default();
    std::str::from_utf8(tokens)
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

fn model_hash(model: Option<&[u8]>) -> u64 {
    hash_from(stable_hash(model.unwrap_or_default()), b"\n")
}

fn hash_from(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

#[cfg(test)]
mod tests;
