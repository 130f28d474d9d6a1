//! The desired state: what operators have set by hand, apart from what discovery lists.

use crate::call::Change;
use lichenswitch_interface::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A server that was uncordoned counts as just started for this long (microseconds): longer than any
/// server warms up.
const UNCORDONED_RETENTION: Micros = 300_000_000;
/// A state that was not refreshed for this long is ignored (microseconds): the broker that it was
/// meant for is long gone.
const MAX_AGE: Micros = 86_400_000_000;
/// How often a running process refreshes it (microseconds).
pub const REFRESH_INTERVAL: Micros = 3_600_000_000;
/// The most servers that are cordoned at a time. Guards memory and the file.
pub const MAX_CORDONED: usize = 10_000;
/// The share of the time allowed by the rule on drains in which a cordoned server may be sent what
/// no other server has, as a fraction: the rest is for whatever delays the loop.
const LAST_RESORT_SHARE: (u64, u64) = (3, 5);

/// What operators have set. The names of the fields in the file are fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Grows with each change.
    pub revision: u64,
    /// Servers that are out of service, by id, and since when (microseconds of Unix time).
    pub cordoned: BTreeMap<String, u64>,
    /// Servers that were put back recently: when they were cordoned, and when they were put back.
    #[serde(rename = "back")]
    pub uncordoned: BTreeMap<String, (u64, u64)>,
    /// Since when clients are sent away.
    #[serde(rename = "quiesced")]
    pub quiesced_at: Option<u64>,
}

/// What a change leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This is the desired state from now on.
    Changed(DesiredState, Reason),
    /// It was the desired state already.
    Unchanged(Reason),
}

/// The reason, for the answer and the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The server is cordoned from now on.
    #[error("{0} is out")]
    Cordoned(String),
    /// It was.
    #[error("{0} is out already")]
    AlreadyCordoned(String),
    /// The server is in service again.
    #[error("{0} is used again, as one that has just started")]
    Uncordoned(String),
    /// It was in service.
    #[error("{0} was not out")]
    NotCordoned(String),
    /// Clients are sent away.
    #[error("clients are sent away")]
    Quiesced,
    /// They were.
    #[error("clients are sent away already")]
    AlreadyQuiesced,
    /// Clients are served.
    #[error("back to work")]
    Resumed,
    /// They were.
    #[error("clients were not sent away")]
    NotQuiesced,
}

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Discovery lists no such server, and none of that id is cordoned.
    #[error("no server {0:?} is listed or out")]
    UnknownServer(String),
    /// As many servers are cordoned as can be.
    #[error("{MAX_CORDONED} servers are out, which is the most")]
    TooMany,
}

/// Why stored bytes are not a state of this broker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// They are of another format, or of another version of it.
    #[error("it is no wanted state of version 1")]
    Format,
    /// They are the state of this other broker.
    #[error("it is that of {0:?}")]
    Owner(String),
    /// They are not what was written.
    #[error("its checksum is not that of its content")]
    Checksum,
    /// The state was not refreshed for this long (seconds).
    #[error("nobody has kept it up for {0} s")]
    Expired(u64),
}

/// Whether a cordoned server is sent nothing any more; `stop_within`: what the rule on drains allows
/// after the answer to the call (microseconds).
#[must_use]
pub fn is_out_of_service(cordoned_at: Time, now: Time, stop_within: Micros) -> bool {
    let (numerator, denominator) = LAST_RESORT_SHARE;
    now.since(cordoned_at) >= stop_within / denominator * numerator
}

impl DesiredState {
    /// What a change leads to; `is_listed` tells whether discovery lists a server.
    ///
    /// # Errors
    /// When there is no such server, or too many are cordoned.
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

    /// The state that a change made now starts from.
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

    /// What a process that starts takes over. Clients are sent away from processes that run: where
    /// none does, this one is a new start, and serves.
    #[must_use]
    pub fn on_start(self, others_run: bool) -> DesiredState {
        DesiredState {
            quiesced_at: self.quiesced_at.filter(|_| others_run),
            ..self
        }
    }

    /// The stored form, for this broker at this time: a line that names the format, a line with the
    /// checksum of the third, which is JSON.
    #[must_use]
    pub fn encode(&self, owner: &str, now: Time) -> Vec<u8> {
        let stored = StoredState {
            owner: owner.into(),
            stored_at: now.0,
            state: self.clone(),
        };
        // A map of texts and numbers can always be encoded.
        let body = serde_json::to_string(&stored).unwrap_or_default();
        let checksum = crc32fast::hash(body.as_bytes());
        format!("{FORMAT}\n{checksum:08x}\n{body}\n").into_bytes()
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    /// When it is damaged, another broker's, of another version or too old.
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

/// The first line of the file.
const FORMAT: &str = "lichenswitch wanted 1";

/// The third line of the file.
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
