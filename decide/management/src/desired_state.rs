//! The desired state, which operators set by calls, and its stored form. It is separate from the
//! servers that discovery lists.

use crate::call::Change;
use lichenswitch_interface::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time for which an uncordoned server counts as just started (microseconds). It exceeds the
/// warm-up time of any server.
const UNCORDONED_RETENTION: Micros = 300_000_000;
/// Age at which a stored state is ignored (microseconds). A state that has not been refreshed for
/// this long belongs to a broker that no longer runs.
const MAX_AGE: Micros = 86_400_000_000;
/// Interval at which a running process refreshes the stored state (microseconds).
pub const REFRESH_INTERVAL: Micros = 3_600_000_000;
/// Maximum number of servers that are cordoned at a time. Limits memory use and the size of the
/// file.
pub const MAX_CORDONED: usize = 10_000;
/// Fraction (numerator, denominator) of the time that the drain rule allows, during which a
/// cordoned server still receives requests that no other server can answer. The remainder allows
/// for delays of the event loop.
const LAST_RESORT_SHARE: (u64, u64) = (3, 5);

/// The state that operators have set. The names of its fields in the file are fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Number of changes so far; each change increments it.
    pub revision: u64,
    /// Cordoned servers by id, each with the time of its cordon (microseconds of Unix time).
    pub cordoned: BTreeMap<String, u64>,
    /// Recently uncordoned servers by id, each with the times of its cordon and its uncordon
    /// (microseconds of Unix time).
    #[serde(rename = "back")]
    pub uncordoned: BTreeMap<String, (u64, u64)>,
    /// Time of the `quiesce` call (microseconds of Unix time), or `None` if the broker is not
    /// quiesced.
    #[serde(rename = "quiesced")]
    pub quiesced_at: Option<u64>,
}

/// The result of a valid change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The desired state has changed to this one.
    Changed(DesiredState, Reason),
    /// The desired state already matched the change.
    Unchanged(Reason),
}

/// The reason for a [`Verdict`], for the answer to the operator and the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The server with this id is now cordoned.
    #[error("{0} is out")]
    Cordoned(String),
    /// The server with this id was already cordoned.
    #[error("{0} is out already")]
    AlreadyCordoned(String),
    /// The server with this id is in service again.
    #[error("{0} is used again, as one that has just started")]
    Uncordoned(String),
    /// The server with this id was not cordoned.
    #[error("{0} was not out")]
    NotCordoned(String),
    /// The broker is now quiesced.
    #[error("clients are sent away")]
    Quiesced,
    /// The broker was already quiesced.
    #[error("clients are sent away already")]
    AlreadyQuiesced,
    /// The broker serves clients again.
    #[error("back to work")]
    Resumed,
    /// The broker was not quiesced.
    #[error("clients were not sent away")]
    NotQuiesced,
}

/// The reason why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Discovery lists no server with this id, and no server with this id is cordoned.
    #[error("no server {0:?} is listed or out")]
    UnknownServer(String),
    /// [`MAX_CORDONED`] servers are cordoned already.
    #[error("{MAX_CORDONED} servers are out, which is the most")]
    TooMany,
}

/// The reason why stored bytes are not a valid state of this broker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes have another format or another version of it.
    #[error("not a desired state of format version 1")]
    Format,
    /// The bytes hold the state of the broker with this name.
    #[error("it belongs to the broker {0:?}")]
    Owner(String),
    /// The content does not match its checksum.
    #[error("its checksum is not that of its content")]
    Checksum,
    /// The state has not been refreshed for this long (seconds).
    #[error("it has not been refreshed for {0} s")]
    Expired(u64),
}

/// Returns whether a cordoned server no longer receives any requests. `stop_within` is the time
/// that the drain rule allows after the answer to the call (microseconds).
#[must_use]
pub fn is_out_of_service(cordoned_at: Time, now: Time, stop_within: Micros) -> bool {
    let (numerator, denominator) = LAST_RESORT_SHARE;
    now.since(cordoned_at) >= stop_within / denominator * numerator
}

impl DesiredState {
    /// Applies a change and returns the resulting state. `is_listed` returns whether discovery
    /// lists a server.
    ///
    /// # Errors
    /// Returns an error if the server is unknown or too many servers are cordoned.
    pub fn on_change(
        &self,
        now: Time,
        change: &Change,
        is_listed: impl Fn(&str) -> bool,
    ) -> Result<Verdict, ChangeError> {
        match change {
            Change::Cordon(id) => self.on_cordon(now, id, is_listed(id)),
            Change::Uncordon(id) => self.on_uncordon(now, id, is_listed(id)),
            Change::Quiesce => Ok(self.on_quiesce(now)),
            Change::Resume => Ok(self.on_resume(now)),
        }
    }

    /// Returns a copy with the next revision and without expired uncordoned servers, to which a
    /// change is applied.
    fn next(&self, now: Time) -> DesiredState {
        let mut next = DesiredState {
            revision: self.revision + 1,
            ..self.clone()
        };
        next.uncordoned
            .retain(|_, (_, at)| now.since(Time(*at)) < UNCORDONED_RETENTION);
        next
    }

    fn on_cordon(&self, now: Time, id: &str, is_listed: bool) -> Result<Verdict, ChangeError> {
        if self.cordoned.contains_key(id) {
            return Ok(Verdict::Unchanged(Reason::AlreadyCordoned(id.into())));
        }
        if !is_listed {
            return Err(ChangeError::UnknownServer(id.into()));
        }
        if self.cordoned.len() >= MAX_CORDONED {
            return Err(ChangeError::TooMany);
        }
        let mut next = self.next(now);
        next.uncordoned.remove(id);
        next.cordoned.insert(id.into(), now.0);
        Ok(Verdict::Changed(next, Reason::Cordoned(id.into())))
    }

    fn on_uncordon(&self, now: Time, id: &str, is_listed: bool) -> Result<Verdict, ChangeError> {
        let mut next = self.next(now);
        match next.cordoned.remove(id) {
            Some(cordoned_at) => {
                next.uncordoned.insert(id.into(), (cordoned_at, now.0));
                Ok(Verdict::Changed(next, Reason::Uncordoned(id.into())))
            }
            None if is_listed => Ok(Verdict::Unchanged(Reason::NotCordoned(id.into()))),
            None => Err(ChangeError::UnknownServer(id.into())),
        }
    }

    fn on_quiesce(&self, now: Time) -> Verdict {
        if self.quiesced_at.is_some() {
            return Verdict::Unchanged(Reason::AlreadyQuiesced);
        }
        let next = DesiredState {
            quiesced_at: Some(now.0),
            ..self.next(now)
        };
        Verdict::Changed(next, Reason::Quiesced)
    }

    fn on_resume(&self, now: Time) -> Verdict {
        if self.quiesced_at.is_none() {
            return Verdict::Unchanged(Reason::NotQuiesced);
        }
        let next = DesiredState {
            quiesced_at: None,
            ..self.next(now)
        };
        Verdict::Changed(next, Reason::Resumed)
    }

    /// Returns the state that a starting process adopts. A quiesce call applies to running
    /// processes, so a process that starts while no other one runs serves clients.
    #[must_use]
    pub fn on_start(self, others_run: bool) -> DesiredState {
        DesiredState {
            quiesced_at: self.quiesced_at.filter(|_| others_run),
            ..self
        }
    }

    /// Encodes the state in its stored form, with the broker's name as `owner` and the time. The
    /// form has three lines: the name of the format, the checksum of the third line, and the state
    /// as JSON.
    #[must_use]
    pub fn encode(&self, owner: &str, now: Time) -> Vec<u8> {
        let stored = StoredState {
            owner: owner.into(),
            stored_at: now.0,
            state: self.clone(),
        };
        // Encoding maps of strings and numbers can't fail.
        let body = serde_json::to_string(&stored).unwrap_or_default();
        let checksum = crc32fast::hash(body.as_bytes());
        format!("{FORMAT}\n{checksum:08x}\n{body}\n").into_bytes()
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    /// Returns an error if the bytes are damaged, belong to another broker, have another version or
    /// are too old.
    pub fn decode(bytes: &[u8], owner: &str, now: Time) -> Result<DesiredState, DecodeError> {
        let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::Format)?;
        let rest = text
            .strip_prefix(FORMAT)
            .and_then(|rest| rest.strip_prefix('\n'))
            .ok_or(DecodeError::Format)?;
        let (checksum, body) = rest.split_once('\n').ok_or(DecodeError::Checksum)?;
        let body = body.strip_suffix('\n').ok_or(DecodeError::Checksum)?;
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(DecodeError::Checksum);
        }
        let stored: StoredState = serde_json::from_str(body).map_err(|_| DecodeError::Format)?;
        let age = now.since(Time(stored.stored_at));
        if stored.owner != owner {
            Err(DecodeError::Owner(stored.owner))
        } else if age >= MAX_AGE {
            Err(DecodeError::Expired(age / 1_000_000))
        } else {
            Ok(stored.state)
        }
    }
}

/// The first line of the file: the name and version of the format.
const FORMAT: &str = "lichenswitch wanted 1";

/// The content of the third line of the file.
#[derive(Serialize, Deserialize)]
struct StoredState {
    owner: String,
    #[serde(rename = "kept_at")]
    stored_at: u64,
    #[serde(rename = "wanted")]
    state: DesiredState,
}

#[cfg(test)]
mod tests;
