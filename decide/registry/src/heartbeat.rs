//! What a server reports of itself with each heartbeat.

use lichenswitch_messages::{ServerRecord, ServerState};
use miniserde::json::{from_str, Number, Object, Value};
use thiserror::Error;

/// Longest heartbeat that is accepted (bytes). Real ones have some hundred; those that list many
/// adapters a few thousand.
pub const MAX_HEARTBEAT_BYTES: usize = 256 << 10;

/// Why a heartbeat is rejected. Servers get the message as the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    /// Longer than [`MAX_HEARTBEAT_BYTES`].
    #[error("the heartbeat has {bytes} bytes, and {MAX_HEARTBEAT_BYTES} are the most")]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// Not UTF-8, not JSON, or truncated.
    #[error("the heartbeat is not whole JSON in UTF-8")]
    Unreadable,
    /// JSON, but not an object.
    #[error("the heartbeat is not an object")]
    NotAnObject,
    /// A required field is missing or empty.
    #[error("the heartbeat has no `{field}`")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field has the wrong type.
    #[error("`{field}` of the heartbeat is not {expected}")]
    WrongType {
        /// Name of the field.
        field: &'static str,
        /// The type that it has to have.
        expected: &'static str,
    },
    /// `state` has an unknown value.
    #[error("`state` of the heartbeat is neither `ready` nor `draining`")]
    UnknownState,
}

/// What a server reports of itself. Unknown fields are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its service.
    pub service: String,
    /// Where it accepts requests, `host:port`.
    pub address: String,
    /// Its zone; empty where it reports none.
    pub zone: String,
    /// Version of its software; empty where it reports none.
    pub version: String,
    /// Requests that it processes concurrently; 0 where it reports no number.
    pub capacity_slots: u32,
    /// Its state; ready where it reports none.
    pub state: ServerState,
    /// How much longer it warms up after its start (milliseconds).
    pub warm_up_remaining_ms: u64,
    /// Increases with each heartbeat; 0 where it reports none.
    pub sequence_number: u64,
}

impl Heartbeat {
    /// Parses the body of a heartbeat.
    ///
    /// # Errors
    /// Returns the first reason for which it is rejected.
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
            zone: text(object, "zone")?,
            version: text(object, "version")?,
            capacity_slots: u32::try_from(count(object, "capacitySlots")?).unwrap_or(u32::MAX),
            state: state(object)?,
            warm_up_remaining_ms: count(object, "coldRemainingMs")?,
            sequence_number: count(object, "sequenceNumber")?,
        })
    }

    /// The record of the instance that sent it.
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

/// A string; empty where there is none.
fn text(object: &Object, field: &'static str) -> Result<String, HeartbeatError> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(String::new()),
        Some(Value::String(text)) => Ok(text.clone()),
        Some(_) => Err(HeartbeatError::WrongType {
            field,
            expected: "a text",
        }),
    }
}

fn required_text(object: &Object, field: &'static str) -> Result<String, HeartbeatError> {
    let text = text(object, field)?;
    match text.is_empty() {
        true => Err(HeartbeatError::Missing { field }),
        false => Ok(text),
    }
}

/// A number of 0 or more; 0 where there is none. Fractions are rounded up.
fn count(object: &Object, field: &'static str) -> Result<u64, HeartbeatError> {
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

fn state(object: &Object) -> Result<ServerState, HeartbeatError> {
    match text(object, "state")?.as_str() {
        "" | "ready" => Ok(ServerState::Ready),
        "draining" => Ok(ServerState::Draining),
        _ => Err(HeartbeatError::UnknownState),
    }
}

#[cfg(test)]
mod tests;
