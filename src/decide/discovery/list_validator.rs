//! Validates lists of data nodes from discovery.
//!
//! A list is suspect if its version is older than the current one, or if it is complete and empty.
//! A suspect list is neither accepted at once nor ignored: the broker requests the complete list
//! and accepts that one. If the complete list does not arrive in time, the broker sends nothing new
//! to the nodes that the suspect list drains or removes, because the drain deadline starts when the
//! suspect list is received.

use crate::interface::{Micros, Time};
use std::fmt;

/// Share of `stop_within` in which the complete list has to arrive to confirm a suspect list.
const CONFIRMATION_SHARE: f64 = 0.5;

/// The properties of a received list that the validation needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedList {
    /// Version of the list.
    pub generation: u64,
    /// Whether the list is complete, as opposed to a change of the current list.
    pub is_complete: bool,
    /// Number of lines of the list.
    pub lines: usize,
}

/// The reason why a list is accepted or suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The list is neither older than the current one nor an empty complete list.
    Sound,
    /// The complete list was requested to confirm a suspect one. It is accepted as it is, since
    /// there is no other source.
    Confirmed,
    /// The list has the first version, which is older than the current one, the second.
    Older(u64, u64),
    /// The list is complete and empty, while this many data nodes are known.
    Empty(usize),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Sound => f.write_str("sound"),
            Reason::Confirmed => f.write_str("the complete list, requested for confirmation"),
            Reason::Older(received, present) => {
                write!(f, "version {received}, while {present} is held")
            }
            Reason::Empty(known) => write!(f, "empty, while {known} data nodes are known"),
        }
    }
}

/// The decision about a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Accept the list.
    Accept(Reason),
    /// Request the complete list, and wait for it until this time.
    Confirm(Reason, Time),
}

/// Decides whether to accept received lists.
#[derive(Clone, Debug)]
pub struct ListValidator {
    /// Time within which the broker has to stop sending to a node after it was listed as draining
    /// or removed (microseconds).
    stop_within: Micros,
    /// Whether the complete list was requested to confirm a suspect one.
    awaits_confirmation: bool,
}

impl ListValidator {
    /// Creates a validator for a deployment in which the broker must send nothing new to a node
    /// later than `stop_within` microseconds after the node was listed as draining.
    #[must_use]
    pub fn new(stop_within: Micros) -> ListValidator {
        ListValidator {
            stop_within,
            awaits_confirmation: false,
        }
    }

    /// Decides about a received list. `present` is the version of the current list, if any, and
    /// `known` the number of data nodes in it.
    pub fn on_list(
        &mut self,
        now: Time,
        list: ReceivedList,
        present: Option<u64>,
        known: usize,
    ) -> Verdict {
        // Accepting any complete list after a request prevents an endless cycle of confirmations
        // if discovery restarts its version numbers or has no nodes.
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

    /// Handles that the requested complete list did not arrive.
    pub fn on_failure(&mut self) {
        self.awaits_confirmation = false;
    }
}

#[cfg(test)]
mod tests;
