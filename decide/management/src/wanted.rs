//! The wanted state: what operators have set by hand, apart from what discovery lists.

use crate::call::Change;
use lichenswitch_interface::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was put back is remembered for so long as taken to have been started anew: longer than any
/// server is cold.
const BACK: Micros = 300_000_000;
/// A state that nobody has kept up for so long is none: the broker that it was wanted of is long
/// gone.
const OLD: Micros = 86_400_000_000;
/// How often it is kept up.
pub const KEEP_UP: Micros = 3_600_000_000;
/// Most servers that are cordoned at once. Guards memory and the file.
pub const MOST: usize = 10_000;

/// What operators want.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Grows with each change.
    pub revision: u64,
    /// Servers that are out, by id, and since when (microseconds of Unix time).
    pub cordoned: BTreeMap<String, u64>,
    /// Servers that were put back of late: since when they had been out, and when they were put
    /// back.
    pub back: BTreeMap<String, (u64, u64)>,
    /// Since when clients are sent away.
    pub quiesced: Option<u64>,
}

/// What a change comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This is wanted from now on.
    Set(Wanted, Reason),
    /// It was wanted already.
    Same(Reason),
}

/// The reason, for the answer and the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The server is out from now on.
    #[error("{0} is out")]
    Out(String),
    /// It was out.
    #[error("{0} is out already")]
    WasOut(String),
    /// The server is used again.
    #[error("{0} is used again, as one that has just started")]
    Back(String),
    /// It was in use.
    #[error("{0} was not out")]
    WasIn(String),
    /// Clients are sent away.
    #[error("clients are sent away")]
    Away,
    /// They were.
    #[error("clients are sent away already")]
    WasAway,
    /// Clients are served.
    #[error("back to work")]
    Resumed,
    /// They were.
    #[error("clients were not sent away")]
    WasResumed,
}

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Discovery lists no such server, and none of that id is out.
    #[error("no server {0:?} is listed or out")]
    Unknown(String),
    /// There are as many out as can be.
    #[error("{MOST} servers are out, which is the most")]
    TooMany,
}

/// Why what was kept is no state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoState {
    /// It does not begin as such a file does, or is of another version.
    #[error("it is no wanted state of version 1")]
    Foreign,
    /// It is another broker's.
    #[error("it is that of {0:?}")]
    Owner(String),
    /// It is not what was written.
    #[error("its checksum is not that of its content")]
    Torn,
    /// Nobody has kept it up.
    #[error("nobody has kept it up for {0} s")]
    Old(u64),
}

/// A server that was taken out may be sent what no other holder takes for this share of the time
/// that the rule on drains allows; the rest is for whatever holds the loop up.
const LEAVING: (u64, u64) = (3, 5);

/// Whether a server that was taken out is sent nothing any more; `stop_within`: what the rule on
/// drains allows after the answer to the call.
#[must_use]
pub fn is_out(since: Time, now: Time, stop_within: Micros) -> bool {
    now.since(since) >= stop_within / LEAVING.1 * LEAVING.0
}

impl Wanted {
    /// What a change comes to; `listed` tells whether discovery lists a server.
    ///
    /// # Errors
    /// When there is no such server, or too many are out.
    pub fn on_change(
        &self,
        now: Time,
        change: &Change,
        listed: impl Fn(&str) -> bool,
    ) -> Result<Verdict, Refused> {
        let mut next = Wanted {
            revision: self.revision + 1,
            ..self.clone()
        };
        next.back.retain(|_, (_, at)| now.since(Time(*at)) < BACK);
        let why = match change {
            Change::Cordon(id) if self.cordoned.contains_key(id) => {
                return Ok(Verdict::Same(Reason::WasOut(id.clone())));
            }
            Change::Cordon(id) if !listed(id) => return Err(Refused::Unknown(id.clone())),
            Change::Cordon(_) if self.cordoned.len() >= MOST => return Err(Refused::TooMany),
            Change::Cordon(id) => {
                next.back.remove(id);
                next.cordoned.insert(id.clone(), now.0);
                Reason::Out(id.clone())
            }
            Change::Uncordon(id) => match next.cordoned.remove(id) {
                Some(since) => {
                    next.back.insert(id.clone(), (since, now.0));
                    Reason::Back(id.clone())
                }
                None if listed(id) => return Ok(Verdict::Same(Reason::WasIn(id.clone()))),
                None => return Err(Refused::Unknown(id.clone())),
            },
            Change::Quiesce if self.quiesced.is_some() => {
                return Ok(Verdict::Same(Reason::WasAway))
            }
            Change::Quiesce => {
                next.quiesced = Some(now.0);
                Reason::Away
            }
            Change::Resume if self.quiesced.is_none() => {
                return Ok(Verdict::Same(Reason::WasResumed))
            }
            Change::Resume => {
                next.quiesced = None;
                Reason::Resumed
            }
        };
        Ok(Verdict::Set(next, why))
    }

    /// What a process that begins takes over. That clients are sent away is wanted of processes
    /// that run: where none does, this one is a new start, and serves.
    #[must_use]
    pub fn on_start(self, others: bool) -> Wanted {
        Wanted {
            quiesced: self.quiesced.filter(|_| others),
            ..self
        }
    }

    /// As it is kept, for this broker at this time.
    #[must_use]
    pub fn encode(&self, owner: &str, now: Time) -> Vec<u8> {
        let kept = Kept {
            owner: owner.into(),
            kept_at: now.0,
            wanted: self.clone(),
        };
        // A map of texts and numbers can always be written.
        let body = serde_json::to_string(&kept).unwrap_or_default();
        format!("{WORD}\n{:08x}\n{body}\n", crc32fast::hash(body.as_bytes())).into_bytes()
    }

    /// Reads what was kept.
    ///
    /// # Errors
    /// When it is torn, somebody else's, of another version or old.
    pub fn decode(bytes: &[u8], owner: &str, now: Time) -> Result<Wanted, NoState> {
        let text = std::str::from_utf8(bytes).map_err(|_| NoState::Foreign)?;
        let rest = text
            .strip_prefix(WORD)
            .and_then(|rest| rest.strip_prefix('\n'))
            .ok_or(NoState::Foreign)?;
        let (sum, body) = rest.split_once('\n').ok_or(NoState::Torn)?;
        let body = body.strip_suffix('\n').ok_or(NoState::Torn)?;
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(NoState::Torn);
        }
        let kept: Kept = serde_json::from_str(body).map_err(|_| NoState::Foreign)?;
        let age = now.since(Time(kept.kept_at));
        match () {
            () if kept.owner != owner => Err(NoState::Owner(kept.owner)),
            () if age >= OLD => Err(NoState::Old(age / 1_000_000)),
            () => Ok(kept.wanted),
        }
    }
}

/// What the file begins with.
const WORD: &str = "lichenswitch wanted 1";

#[derive(Serialize, Deserialize)]
struct Kept {
    owner: String,
    kept_at: u64,
    wanted: Wanted,
}

#[cfg(test)]
mod tests;
