//! The events of a rig's processes, from which the checks are made.

use crate::sync::lock;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An event of one process: a line that it logged, or what the rig did to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time since the rig started.
    pub at: Duration,
    /// The number of the process.
    pub process: usize,
    /// The event.
    pub event: Event,
}

/// The event of an [`Entry`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process logged this line.
    Logged(String),
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped (SIGSTOP).
    Stopped,
    /// It was continued (SIGCONT).
    Continued,
    /// Its link to that process was changed; whether the link works now.
    Link(usize, bool),
    /// It was asked to end, and ended with this status.
    Ended(i32),
}

/// The events of all processes, in order; the oracle of the checks in this module.
#[derive(Clone, Default)]
pub struct Ledger {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ledger {
    pub(super) fn record(&self, started_at: Instant, process: usize, event: Event) {
        let mut entries = lock(&self.entries);
        entries.push(Entry {
            at: started_at.elapsed(),
            process,
            event,
        });
    }

    /// All entries so far.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }
}
