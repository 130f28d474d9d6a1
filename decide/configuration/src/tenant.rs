//! Tenants: groups of clients that are identified by API keys and share a quota.

use crate::error::{shown, ConfigurationError};
use crate::header_value::is_header_value;
use crate::json::{array_elements, wrong_type, Fields};
use crate::key_digest::KeyDigest;
use crate::named_list::named_items;
use miniserde::json::Value;
use std::collections::HashMap;

/// Value of `unit` for tenants whose requests are counted by their tokens.
const TOKENS: &str = "token_count";

/// The unit of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens.
    Tokens,
}

/// The limit on the requests of a tenant's clients, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Unit of `rate_per_s` and `burst`.
    pub unit: QuotaUnit,
    /// Rate (units per second); above 0.
    pub rate_per_s: f64,
    /// Amount above the rate that may be sent at once (units); 0 or more.
    pub burst: f64,
}

/// A tenant, as the operator describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, which is unique among the tenants.
    pub name: String,
    /// Distinct digests of the API keys. Only the document contains the keys themselves.
    pub keys: Vec<KeyDigest>,
    /// Priority of the requests, if set; takes precedence over that of the route. 0 is the highest.
    pub priority: Option<u32>,
    /// Quota; `None` if the operator sets no rate or a rate of 0.
    pub quota: Option<Quota>,
    /// Unit of the quota; also set if there is none.
    pub unit: QuotaUnit,
    /// Number of tokens that a request without a `Token-Usage` header counts as.
    pub uncached_tokens: u64,
}

impl Tenant {
    /// Returns whether servers can be sent the name, unchanged, as the value of a header.
    #[must_use]
    pub fn fits_in_header(&self) -> bool {
        is_header_value(&self.name)
    }

    /// Parses an item of `tenants`. An unknown or missing unit counts requests.
    pub(crate) fn parse(name: &str, value: &Value) -> Result<Tenant, ConfigurationError> {
        let location = format!("tenant `{name}`");
        let fields = Fields::new(location.clone(), value)?;
        let unit = match fields.text("unit")? {
            Some(TOKENS) => QuotaUnit::Tokens,
            _ => QuotaUnit::Requests,
        };
        let rate_per_s = amount(&fields, &location, "ratePerS")?;
        let burst = amount(&fields, &location, "burstSize")?;
        Ok(Tenant {
            name: name.to_owned(),
            keys: parse_keys(&fields, &location)?,
            priority: fields.count_u32("priority")?,
            quota: (rate_per_s > 0.0).then_some(Quota {
                unit,
                rate_per_s,
                burst,
            }),
            unit,
            uncached_tokens: fields.count("uncachedTokens")?.unwrap_or(0),
        })
    }
}

/// Returns an amount of 0 or more; 0 if it is missing.
fn amount(fields: &Fields<'_>, location: &str, field: &str) -> Result<f64, ConfigurationError> {
    let amount = fields.number(field)?.unwrap_or(0.0);
    match amount.is_finite() && amount >= 0.0 {
        true => Ok(amount),
        false => Err(wrong_type(location, field, "a finite number of 0 or more")),
    }
}

fn parse_keys(fields: &Fields<'_>, location: &str) -> Result<Vec<KeyDigest>, ConfigurationError> {
    let mut keys = Vec::new();
    for key in fields.list("apiKeys")?.unwrap_or_default() {
        let Value::String(key) = key else {
            return Err(wrong_type(location, "apiKeys", "a list of texts"));
        };
        if key.is_empty() {
            return Err(wrong_type(
                location,
                "apiKeys",
                "a list of texts that are not empty",
            ));
        }
        let digest = KeyDigest::of(key.as_bytes());
        if !keys.contains(&digest) {
            keys.push(digest);
        }
    }
    Ok(keys)
}

/// Checks that no key belongs to two tenants. The error contains their names but not the key.
pub(crate) fn check_distinct_keys(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    let mut names_by_key: HashMap<KeyDigest, &str> = HashMap::new();
    for tenant in tenants {
        for key in &tenant.keys {
            if let Some(first) = names_by_key.insert(*key, &tenant.name) {
                let (first, second) = (shown(first), shown(&tenant.name));
                return Err(ConfigurationError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}

/// Checks that servers can be sent the name of each tenant.
pub(crate) fn check_names_fit_in_header(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    match tenants.iter().find(|tenant| !tenant.fits_in_header()) {
        None => Ok(()),
        Some(tenant) => Err(ConfigurationError::TenantNotInHeader {
            tenant: shown(&tenant.name).escape_debug().to_string(),
        }),
    }
}

/// Checks a value of `tenants` that is not a named list. Only `null` is valid. The error gives the
/// reason for which the value is not a named list.
pub(crate) fn check_unnamed_tenants(text: &str) -> Result<(), ConfigurationError> {
    match array_elements(text) {
        _ if text == "null" => Ok(()),
        Some(elements) => named_items("tenants", &elements).map(drop),
        None => Err(wrong_type("the configuration", "tenants", "a list")),
    }
}

#[cfg(test)]
mod tests;
