//! A tenant: who its clients are by their API keys, and what they may send together.

use crate::error::{shown, ConfigurationError};
use crate::json::{wrong, Fields};
use crate::keys::KeyDigest;
use miniserde::json::Value;
use std::collections::HashMap;

/// The word under `unit` for tenants whose requests are counted by their tokens.
const TOKENS: &str = "token_count";

/// What a tenant's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Each request is one.
    Requests,
    /// Each request counts as its tokens.
    Tokens,
}

/// The most that the clients of a tenant may send, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// So many a second; above 0.
    pub rate_per_s: f64,
    /// So many above that at once.
    pub burst: f64,
}

/// A tenant that has passed the checks that need no other item.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// The digests of its keys, each once. The keys themselves are kept in the document alone.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which goes before that of their route; 0 is highest.
    pub priority: Option<u32>,
    /// Its quota; none where the operator names no rate, or 0.
    pub quota: Option<Quota>,
    /// What its quota counts.
    pub unit: QuotaUnit,
    /// Tokens that a request counts as which does not tell its own.
    pub uncached_tokens: u64,
}

impl Tenant {
    /// Of an item of `tenants`.
    pub(crate) fn read(name: &str, value: &Value) -> Result<Tenant, ConfigurationError> {
        let place = format!("tenant `{name}`");
        let fields = Fields::new(place.clone(), value)?;
        let unit = match fields.text("unit")? {
            Some(TOKENS) => QuotaUnit::Tokens,
            _ => QuotaUnit::Requests,
        };
        let rate_per_s = amount(&fields, &place, "ratePerS")?;
        let burst = amount(&fields, &place, "burstSize")?;
        Ok(Tenant {
            name: name.to_owned(),
            keys: keys(&fields, &place)?,
            priority: fields.small_count("priority")?,
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

/// An amount of 0 or more; 0 where it is not there.
fn amount(fields: &Fields<'_>, place: &str, field: &str) -> Result<f64, ConfigurationError> {
    let amount = fields.number(field)?.unwrap_or(0.0);
    match amount.is_finite() && amount >= 0.0 {
        true => Ok(amount),
        false => Err(wrong(place, field, "a finite number of 0 or more")),
    }
}

fn keys(fields: &Fields<'_>, place: &str) -> Result<Vec<KeyDigest>, ConfigurationError> {
    let mut keys = Vec::new();
    for key in fields.list("apiKeys")?.unwrap_or_default() {
        let Value::String(key) = key else {
            return Err(wrong(place, "apiKeys", "a list of texts"));
        };
        if key.is_empty() {
            return Err(wrong(
                place,
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

/// No key may be held by two tenants. Names them, never the key.
pub(crate) fn check_keys(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    let mut holders: HashMap<KeyDigest, &str> = HashMap::new();
    for tenant in tenants {
        for key in &tenant.keys {
            if let Some(first) = holders.insert(*key, &tenant.name) {
                let (first, second) = (shown(first), shown(&tenant.name));
                return Err(ConfigurationError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
