//! Heartbeats, in which a server reports its address, capacity and state.

use lichenswitch_messages::{ServerRecord, ServerState};
use miniserde::json::{from_str, Number, Object, Value};
use thiserror::Error;

/// Maximum accepted size of a heartbeat in bytes. Usual heartbeats have some hundred bytes, those
/// that list many adapters a few thousand.
pub const MAX_HEARTBEAT_BYTES: usize = 256 << 10;

/// Reason for the rejection of a heartbeat. The server receives the message as the response body.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// The heartbeat is larger than [`MAX_HEARTBEAT_BYTES`].
    #[error("the heartbeat has {bytes} bytes, and {MAX_HEARTBEAT_BYTES} are the most")]
    TooLarge {
        /// Size of the heartbeat in bytes.
        bytes: usize,
    },
    /// The heartbeat is not UTF-8, not JSON, or truncated.
    #[error("the heartbeat is not whole JSON in UTF-8")]
    Unreadable,
    /// The heartbeat is JSON, but not an object.
    #[error("the heartbeat is not an object")]
    NotAnObject,
    /// A required field is missing or empty.
    #[error("the heartbeat has no `{field}`")]
    Missing {
        /// Name of the JSON field.
        field: &'static str,
    },
    /// A field has the wrong type.
    #[error("`{field}` of the heartbeat is not {expected}")]
    WrongType {
        /// Name of the JSON field.
        field: &'static str,
        /// Description of the required type, such as "a text".
        expected: &'static str,
    },
    /// `state` is neither `ready` nor `draining`.
    #[error("`state` of the heartbeat is neither `ready` nor `draining`")]
    UnknownState,
}

/// The report of a server about itself. Unknown JSON fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the service that the server belongs to; not empty after parsing.
    pub service: String,
    /// Address at which the server accepts requests, as `host:port`; not empty after parsing.
    pub address: String,
    /// Zone of the server; empty if not reported.
    pub zone: String,
    /// Version of the server's software; empty if not reported.
    pub version: String,
    /// Number of requests that the server processes concurrently; 0 if not reported.
    pub capacity_slots: u32,
    /// State of the server: ready, which is the default, or draining.
    pub state: ServerState,
    /// Remaining warm-up time after the server's start in milliseconds; 0 if not reported.
    pub warm_up_remaining_ms: u64,
    /// Sequence number, which increases with each heartbeat; 0 if not reported.
    pub sequence_number: u64,
}

impl Heartbeat {
    /// Parses the body of a heartbeat.
    ///
    /// # Errors
    /// Returns the reason for the rejection: the size, the JSON syntax, or the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
        if body.len() > MAX_HEARTBEAT_BYTES {
            return Err(HeartbeatError::TooLarge { bytes: body.len() });
        }
        let text = std::str::from_utf8(body).map_err(|_| HeartbeatError::Unreadable)?;
        match from_str(text).map_err(|_| HeartbeatError::Unreadable)? {
            Value::Object(object) => Heartbeat::from_object(&object),
            _ => Err(HeartbeatError::NotAnObject),
        }
    }

    fn from_object(object: &Object) -> Result<Heartbeat, HeartbeatError> {
        Ok(Heartbeat {
            service: required_text(object, "service")?,
            address: required_text(object, "address")?,
            zone: optional_text(object, "zone")?,
            version: optional_text(object, "version")?,
            capacity_slots: u32::try_from(optional_count(object, "capacitySlots")?)
                .unwrap_or(u32::MAX),
            state: parse_state(object)?,
            warm_up_remaining_ms: optional_count(object, "coldRemainingMs")?,
            sequence_number: optional_count(object, "sequenceNumber")?,
        })
    }

    /// Returns the record of the instance that sent this heartbeat, not marked as suspect.
    #[must_use]
    pub fn to_record(&self, instance: &str) -> ServerRecord {
        ServerRecord {
            instance: instance.to_owned(),
            service: self.service.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            capacity_slots: self.capacity_slots,
            state: self.state,
            sequence_number: self.sequence_number,
            warm_up_remaining_ms: self.warm_up_remaining_ms,
            is_suspect: false,
        }
    }
}

/// Returns a string field; empty if the field is missing or null.
fn optional_text(object: &Object, field: &'static str) -> Result<String, HeartbeatError> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(String::new()),
        Some(Value::String(text)) => Ok(text.clone()),
        Some(_) => Err(HeartbeatError::WrongType {
            field,
            expected: "a text",
        }),
    }
}

/// Returns a string field, which must not be empty.
fn required_text(object: &Object, field: &'static str) -> Result<String, HeartbeatError> {
    let text = optional_text(object, field)?;
    match text.is_empty() {
        true => Err(HeartbeatError::Missing { field }),
        false => Ok(text),
    }
}

/// Returns a number field, rounded up; 0 if the field is missing or null. Negative numbers are
/// rejected.
fn optional_count(object: &Object, field: &'static str) -> Result<u64, HeartbeatError> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(0),
        Some(Value::Number(Number::U64(n))) => Ok(*n),
        Some(Value::Number(Number::F64(x))) if *x >= 0.0 => Ok(x.ceil() as u64),
        Some(_) => Err(HeartbeatError::WrongType {
            field,
            expected: "a number of 0 or more",
        }),
    }
}

/// Returns the reported state; `Ready` if the field is missing, null or empty.
fn parse_state(object: &Object) -> Result<ServerState, HeartbeatError> {
    match optional_text(object, "state")?.as_str() {
        "" | "ready" => Ok(ServerState::Ready),
        "draining" => Ok(ServerState::Draining),
        _ => Err(HeartbeatError::UnknownState),
    }
}

#[cfg(test)]
mod tests;
