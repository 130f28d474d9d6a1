//! The sender of a request: the tenant that holds its key.
//!
//! It promises that a server learns of no tenant but the one that holds the client's key, and that a
//! key leaves this module only as its digest.

use super::configuration::ActiveConfiguration;
use lichenswitch_configuration::{KeyDigest, Tenant};
use std::fmt::Write as _;

/// The sender of a request.
#[derive(Debug, PartialEq)]
pub(crate) struct Sender {
    /// The tenant's name.
    pub tenant: String,
    /// The name as a header value for servers.
    pub header_value: String,
    /// Digest of the key.
    pub key_digest: KeyDigest,
}

/// Why a key is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyDenial {
    /// No tenant of the active configuration has it, or the request bears none.
    UnknownKey,
    /// The active configuration may be outdated: the key may have been revoked since.
    StaleConfiguration,
}

impl ActiveConfiguration {
    /// The tenant of a request's key; none where the route needs no key and the request bears none
    /// that is known.
    ///
    /// # Errors
    /// The route needs a key, and the request's is unknown.
    pub(crate) fn sender(
        &self,
        is_public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<(&Tenant, KeyDigest)>, KeyDenial> {
        let Some(tenants) = self.document().tenants() else {
            return Ok(None);
        };
        let tenant = key.and_then(|key| Some((tenants.get(self.keys.tenant_index(&key)?)?, key)));
        match tenant {
            None if !is_public => Err(KeyDenial::UnknownKey),
            tenant => Ok(tenant),
        }
    }

    /// A tenant by name.
    #[must_use]
    pub(crate) fn tenant(&self, name: &str) -> Option<&Tenant> {
        self.document()
            .tenants()?
            .iter()
            .find(|tenant| tenant.name == name)
    }
}

impl Sender {
    /// The sender that a tenant is, with the digest of the key that was used.
    #[must_use]
    pub(crate) fn new(tenant: &Tenant, key_digest: KeyDigest) -> Sender {
        Sender {
            tenant: tenant.name.clone(),
            header_value: header_value(&tenant.name),
            key_digest,
        }
    }
}

/// A name as a header value: bytes that are not allowed there are percent-encoded.
pub(crate) fn header_value(name: &str) -> String {
    let mut value = String::with_capacity(name.len());
    let last = name.len().saturating_sub(1);
    for (index, byte) in name.bytes().enumerate() {
        let is_edge = index == 0 || index == last;
        match byte {
            b' ' if !is_edge => value.push(' '),
            0x21..=0x7e => value.push(char::from(byte)),
            // Writes to memory don't fail.
            _ => _ = write!(value, "%{byte:02X}"),
        }
    }
    value
}

#[cfg(test)]
mod tests;
