//! The sender of a request: the tenant that holds its key.
//!
//! It promises that a server learns of no tenant but the one that holds the client's key, by the name
//! that the configuration gives it, and that a key leaves this module only as its digest.

use super::configuration::ActiveConfiguration;
use lichenswitch_configuration::{KeyDigest, Tenant};

/// The sender of a request.
#[derive(Debug, PartialEq)]
pub(crate) struct Sender {
    /// The tenant's name, which fits in a header.
    pub tenant: String,
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
    /// No header can carry the name of its tenant, so that no server can be told whose request it
    /// is. Only an earlier version accepted such a configuration.
    NameNotInHeader,
}

impl ActiveConfiguration {
    /// The tenant of a request's key; none where the route needs no key and the request bears none
    /// that is known.
    ///
    /// # Errors
    /// The route needs a key, and the request's is unknown; or servers can't be told the tenant.
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
            Some((tenant, _)) if !tenant.fits_in_header() => Err(KeyDenial::NameNotInHeader),
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
            key_digest,
        }
    }
}

#[cfg(test)]
mod tests;
