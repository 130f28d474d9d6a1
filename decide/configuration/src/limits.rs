//! Limits on what a client may send, and on how long it may take.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// Limits on what a client may send, and on how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request (bytes).
    pub max_header_bytes: u64,
    /// Longest body of a request (bytes).
    pub max_body_bytes: u64,
    /// How long the head of a request may take to arrive (milliseconds).
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle (milliseconds).
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The limits where the operator sets none: those of the protocol's example.
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
    /// Parses the object `limits`.
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
