//! Lists that may be wrong: one that goes back a version, one that says that nobody is there.
//! Neither is believed at once, and neither is left aside: the whole list is asked for, and what
//! that says is taken. If it can't be had in time, what the doubted list wants stopped is stopped,
//! since the rule on drains counts from when it was heard.

use crate::interface::{Micros, Time};
use std::fmt;

/// A doubted list is confirmed within this share of the time after which nothing new may go to a
/// node that drains or is gone, or what it wants stopped is stopped.
const CONFIRM: f64 = 0.5;

/// What is told of a list as it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// Its lines.
    pub lines: usize,
}

/// Why a list was taken or doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing speaks against it.
    Sound,
    /// The whole list was asked for since another one was doubted: there is nobody else to ask.
    Confirmed,
    /// It is of the first version, where the second is held.
    Older(u64, u64),
    /// It is whole and empty, while so many data nodes are known.
    Empty(usize),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Sound => f.write_str("sound"),
            Reason::Confirmed => f.write_str("the whole list, asked for to confirm"),
            Reason::Older(told, held) => write!(f, "version {told}, while {held} is held"),
            Reason::Empty(known) => write!(f, "empty, while {known} data nodes are known"),
        }
    }
}

/// What is to be done with a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Take(Reason),
    /// It is kept until the whole list has come, or until then.
    Confirm(Reason, Time),
}

/// Judges lists as they come.
#[derive(Clone, Debug)]
pub struct Doubt {
    /// Within this after it was told that a node drains or is gone, a broker stops sending to it
    /// (microseconds).
    stop_within: Micros,
    /// The whole list has been asked for to confirm one that was doubted.
    asked: bool,
}

impl Doubt {
    /// Judges lists where nothing new may go to a node `stop_within` microseconds after it was told
    /// to drain.
    #[must_use]
    pub fn new(stop_within: Micros) -> Doubt {
        Doubt {
            stop_within,
            asked: false,
        }
    }

    /// A list has come, while version `held` of it and `known` data nodes are held.
    pub fn on_list(&mut self, now: Time, told: Told, held: Option<u64>, known: usize) -> Verdict {
        // Guards against doubting for ever: a discovery that begins its versions anew, or has no
        // nodes, is believed then.
        if std::mem::take(&mut self.asked) && told.whole {
            return Verdict::Take(Reason::Confirmed);
        }
        let why = match held {
            Some(held) if told.generation < held => Reason::Older(told.generation, held),
            _ if told.whole && told.lines == 0 && known > 0 => Reason::Empty(known),
            _ => return Verdict::Take(Reason::Sound),
        };
        self.asked = true;
        Verdict::Confirm(why, now.plus((self.stop_within as f64 * CONFIRM) as Micros))
    }

    /// The whole list did not come.
    pub fn on_failure(&mut self) {
        self.asked = false;
    }
}

#[cfg(test)]
mod tests;
