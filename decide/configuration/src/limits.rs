//! Limits on the size and duration of clients' requests.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// Limits on the size of clients' requests, and on the time that a client may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request's header section (bytes).
    pub max_header_bytes: u64,
    /// Maximum length of a request's body (bytes).
    pub max_body_bytes: u64,
    /// Maximum time in which the header section of a request has to arrive (milliseconds).
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may stay idle (milliseconds).
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that apply if the operator sets none: those of the protocol's example.
    fn default() -> Self {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Limits {
    /// Parses the object `limits`. Missing fields get their default.
    pub(crate) fn parse(value: &Value) -> Result<Limits, ConfigurationError> {
        let fields = Fields::new("limits".to_owned(), value)?;
        let default = Limits::default();
        Ok(Limits {
            max_header_bytes: fields
                .count("maxHeaderBytes")?
                .unwrap_or(default.max_header_bytes),
            max_body_bytes: fields
                .count("maxBodyBytes")?
                .unwrap_or(default.max_body_bytes),
            header_timeout_ms: fields
                .count("headerTimeoutMs")?
                .unwrap_or(default.header_timeout_ms),
            idle_timeout_ms: fields
                .count("idleTimeoutMs")?
                .unwrap_or(default.idle_timeout_ms),
        })
    }
}
