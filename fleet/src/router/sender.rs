//! The sender of a request: the tenant that holds its key.
//!
//! It promises that a server learns of no tenant but the one that holds the client's key, and that a
//! key leaves this module only as its digest.

use super::configuration::ActiveConfiguration;
use lichenswitch_configuration::{KeyDigest, Tenant};
use std::fmt::Write as _;

/// Who sent a request: the tenant that holds its key.
#[derive(Debug, PartialEq)]
pub(crate) struct Sender {
    /// The tenant's name.
    pub tenant: String,
    /// The name as servers are told it.
    pub header: String,
    /// Digest of the key.
    pub key: KeyDigest,
}

/// Why a key is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyDenial {
    /// No tenant of the configuration that counts holds it, or the request bears none.
    UnknownKey,
    /// What is known here may be out of date.
    StaleConfiguration,
}

impl ActiveConfiguration {
    /// The sender of a request on a route; none where the configuration asks for no key and the
    /// request bears none that is held.
    ///
    /// # Errors
    /// The route needs a key, and no tenant holds the request's.
    pub(crate) fn sender(
        &self,
        public: bool,
        key: Option<KeyDigest>,
    ) -> Result<Option<(&Tenant, KeyDigest)>, KeyDenial> {
        let Some(tenants) = self.document().tenants() else {
            return Ok(None);
        };
        let held = key.and_then(|key| Some((tenants.get(self.keys.holder(&key)?)?, key)));
        match held {
            None if !public => Err(KeyDenial::UnknownKey),
            held => Ok(held),
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
    /// Of a tenant.
    #[must_use]
    pub(crate) fn new(tenant: &Tenant, key: KeyDigest) -> Sender {
        Sender {
            tenant: tenant.name.clone(),
            header: header_value(&tenant.name),
            key,
        }
    }
}

/// A name as the value of a header: what can't stand there is escaped with percent signs.
pub(crate) fn header_value(name: &str) -> String {
    let mut value = String::with_capacity(name.len());
    let last = name.len().saturating_sub(1);
    for (place, byte) in name.bytes().enumerate() {
        let edge = place == 0 || place == last;
        match byte {
            b' ' if !edge => value.push(' '),
            0x21..=0x7e => value.push(char::from(byte)),
            // Writes to memory don't fail.
            _ => _ = write!(value, "%{byte:02X}"),
        }
    }
    value
}

#[cfg(test)]
mod tests;
