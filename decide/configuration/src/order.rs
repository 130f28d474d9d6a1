//! Operators' orders to change the configuration. An order is identified by its content.

use crate::error::ConfigurationError;
use sha2::{Digest, Sha256};

/// Path of an order that replaces the complete configuration.
pub const REPLACE_PATH: &str = "/configuration/replace";

/// Path of an order that adds, replaces or removes named items.
pub const UPDATE_PATH: &str = "/configuration/update";

/// The kind of change that an order makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Replaces the complete configuration.
    Replace,
    /// Adds, replaces or removes named items.
    Update,
}

impl OrderKind {
    /// Returns the kind of the orders with this path; `None` for other paths.
    #[must_use]
    pub fn of_path(path: &str) -> Option<OrderKind> {
        match path {
            REPLACE_PATH => Some(OrderKind::Replace),
            UPDATE_PATH => Some(OrderKind::Update),
            _ => None,
        }
    }

    /// Returns the path of orders of this kind.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            OrderKind::Replace => REPLACE_PATH,
            OrderKind::Update => UPDATE_PATH,
        }
    }
}

/// An operator's order to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Path of the operator's HTTP call; selects the [`OrderKind`].
    pub path: String,
    /// Version that the order builds on; 0 for the first configuration.
    pub base_version: u64,
    /// Body of the call as it was received.
    pub body: Vec<u8>,
}

impl Order {
    /// Computes the digest that identifies the order.
    #[must_use]
    pub fn digest(&self) -> OrderDigest {
        OrderDigest::of(&self.path, self.base_version, &self.body)
    }
}

/// The identity of an order: the first 16 bytes of the SHA-256 over path, base version and body,
/// each preceded by its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderDigest(pub [u8; OrderDigest::BYTES]);

impl OrderDigest {
    /// Length of a digest (bytes).
    pub const BYTES: usize = 16;

    /// Computes the digest of an order from its fields.
    #[must_use]
    pub fn of(path: &str, base_version: u64, body: &[u8]) -> OrderDigest {
        let mut hash = Sha256::new();
        for part in [path.as_bytes(), &base_version.to_le_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let full = hash.finalize();
        let mut digest = [0; OrderDigest::BYTES];
        digest.copy_from_slice(&full[..OrderDigest::BYTES]);
        OrderDigest(digest)
    }
}

/// Parses the header `Base-Version`: the version that an order builds on.
///
/// # Errors
/// Returns an error if the header is missing or not a whole number.
pub fn parse_base_version(header: Option<&[u8]>) -> Result<u64, ConfigurationError> {
    let header = header.ok_or(ConfigurationError::MissingBaseVersion)?;
    let text =
        std::str::from_utf8(header).map_err(|_| ConfigurationError::UnreadableBaseVersion)?;
    let text = text.trim_matches([' ', '\t']);
    let has_only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(version) if has_only_digits => Ok(version),
        _ => Err(ConfigurationError::UnreadableBaseVersion),
    }
}

#[cfg(test)]
pub(crate) mod tests;
