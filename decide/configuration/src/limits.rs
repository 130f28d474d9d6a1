//! What a client may send, and how long it may take.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_header_bytes: u64,
    /// Most bytes of a request's body.
    pub max_body_bytes: u64,
    /// How long a head may take to come (milliseconds).
    pub header_timeout_ms: u64,
    /// How long a connection may rest (milliseconds).
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// What holds where the operator says nothing: the figures of the protocol's example.
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
    /// Of the object under `limits`.
    pub(crate) fn parse(value: &Value) -> Result<Limits, ConfigurationError> {
        let fields = Fields::new("limits".to_owned(), value)?;
        let usual = Limits::default();
        Ok(Limits {
            max_header_bytes: fields
                .count("maxHeaderBytes")?
                .unwrap_or(usual.max_header_bytes),
            max_body_bytes: fields
                .count("maxBodyBytes")?
                .unwrap_or(usual.max_body_bytes),
            header_timeout_ms: fields
                .count("headerTimeoutMs")?
                .unwrap_or(usual.header_timeout_ms),
            idle_timeout_ms: fields
                .count("idleTimeoutMs")?
                .unwrap_or(usual.idle_timeout_ms),
        })
    }
}
