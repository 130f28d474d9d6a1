//! Lists of data nodes that may be wrong: one of an older version than the present one, or a
//! complete one without any node. Neither is accepted at once, and neither is ignored: the complete
//! list is requested, and what that says is accepted. If it can't be had in time, the nodes that the
//! suspect list drains or drops get nothing new, since the rule on drains counts from when it was
//! received.

use crate::interface::{Micros, Time};
use std::fmt;

/// A suspect list is to be confirmed within this share of the time after which nothing new may go to
/// a node that drains or is gone.
const CONFIRMATION_SHARE: f64 = 0.5;

/// What is known of a list as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedList {
    /// Its version.
    pub generation: u64,
    /// Whether it is the complete list, not a change of one.
    pub is_complete: bool,
    /// The number of its lines.
    pub lines: usize,
}

/// Why a list was accepted or is suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing speaks against it.
    Sound,
    /// The complete list was requested since another one was suspect: there is nobody else to ask.
    Confirmed,
    /// It is of the first version, while the second is the present one.
    Older(u64, u64),
    /// It is complete and empty, while this many data nodes are known.
    Empty(usize),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Sound => f.write_str("sound"),
            Reason::Confirmed => f.write_str("the whole list, asked for to confirm"),
            Reason::Older(received, present) => {
                write!(f, "version {received}, while {present} is held")
            }
            Reason::Empty(known) => write!(f, "empty, while {known} data nodes are known"),
        }
    }
}

/// What to do with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Accept it.
    Accept(Reason),
    /// Request the complete list, and wait for that until this time at most.
    Confirm(Reason, Time),
}

/// Judges lists as they arrive.
#[derive(Clone, Debug)]
pub struct ListValidator {
    /// Within this after a node is listed as draining or gone, the broker stops sending to it
    /// (microseconds).
    stop_within: Micros,
    /// The complete list was requested, to confirm one that was suspect.
    awaits_confirmation: bool,
}

impl ListValidator {
    /// Judges lists where nothing new may go to a node later than `stop_within` microseconds after
    /// it was listed as draining.
    #[must_use]
    pub fn new(stop_within: Micros) -> ListValidator {
        ListValidator {
            stop_within,
            awaits_confirmation: false,
        }
    }

    /// A list has arrived, while the one of version `present` and `known` data nodes are in force.
    pub fn on_list(
        &mut self,
        now: Time,
        list: ReceivedList,
        present: Option<u64>,
        known: usize,
    ) -> Verdict {
        // Guards against suspicion without end: a discovery that starts its versions again, or that
        // has no nodes, is believed then.
        if std::mem::take(&mut self.awaits_confirmation) && list.is_complete {
            return Verdict::Accept(Reason::Confirmed);
        }
        let reason = match present {
            Some(present) if list.generation < present => Reason::Older(list.generation, present),
            _ if list.is_complete && list.lines == 0 && known > 0 => Reason::Empty(known),
            _ => return Verdict::Accept(Reason::Sound),
        };
        self.awaits_confirmation = true;
        let timeout = (self.stop_within as f64 * CONFIRMATION_SHARE) as Micros;
        Verdict::Confirm(reason, now.plus(timeout))
    }

    /// The complete list did not arrive.
    pub fn on_failure(&mut self) {
        self.awaits_confirmation = false;
    }
}

#[cfg(test)]
mod tests;
