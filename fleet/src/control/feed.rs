//! What a machine without a vote knows of the group: from the primary's own messages.
//!
//! It promises that contact counts from this machine's own word, which the primary echoes when it
//! says of itself that it is confirmed: what was held up on the way, or read late, gives none. A
//! configuration is never gone back on.

use super::program::{after, elapsed, sooner};
use lichenswitch_control::CommittedConfiguration;
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use std::net::SocketAddr;
use std::time::Duration;

/// Who is primary is believed for so long.
const FRESH: Duration = Duration::from_millis(600);
/// Contact lasts for so long after the word that was echoed. Longer than at voters, since the
/// primary speaks less often here: with the 600 ms for which the primary itself counts as
/// confirmed, what is handed out is 1.5 s old at the most.
const CONTACT: Duration = Duration::from_millis(900);

/// What was told.
pub(super) struct Feed {
    /// Of this process.
    process: u64,
    primary: Option<(SocketAddr, Time)>,
    /// When the word was sent that a confirmed primary has echoed last.
    contact: Option<Time>,
    committed: Option<CommittedConfiguration>,
}

impl Feed {
    pub(super) fn new(process: u64) -> Feed {
        Feed {
            process,
            primary: None,
            contact: None,
            committed: None,
        }
    }

    /// A machine has said whether it is in contact, and who is primary.
    pub(super) fn on_contact(
        &mut self,
        now: Time,
        from: SocketAddr,
        in_contact: bool,
        primary: Option<SocketAddr>,
    ) {
        if in_contact && primary == Some(from) {
            self.primary = Some((from, now));
        } else if self.primary.is_some_and(|known| known.0 == from) {
            (self.primary, self.contact) = (None, None);
        }
    }

    /// A primary is confirmed; the answer that it is to echo.
    pub(super) fn on_confirmed(
        &mut self,
        now: Time,
        echo: Option<ProcessInstant>,
    ) -> ProcessInstant {
        let own = echo.filter(|stamp| stamp.process == self.process);
        self.contact = self
            .contact
            .max(own.map(|stamp| Time(stamp.clock_us).min(now)));
        ProcessInstant {
            process: self.process,
            clock_us: now.0,
        }
    }

    /// Whether a confirmed primary has heard this machine of late.
    pub(super) fn is_in_contact(&self, now: Time) -> bool {
        self.contact.is_some_and(|at| elapsed(at, now) < CONTACT)
    }

    /// The primary has sent what is committed.
    pub(super) fn on_configuration(&mut self, committed: CommittedConfiguration) {
        if self
            .committed
            .as_ref()
            .is_none_or(|known| known.position < committed.position)
        {
            self.committed = Some(committed);
        }
    }

    /// The primary that was in contact of late.
    pub(super) fn primary(&self, now: Time) -> Option<SocketAddr> {
        self.primary
            .filter(|known| elapsed(known.1, now) < FRESH)
            .map(|known| known.0)
    }

    pub(super) fn committed(&self) -> Option<&CommittedConfiguration> {
        self.committed.as_ref()
    }

    /// Forgets a primary whose word is no longer fresh.
    pub(super) fn tick(&mut self, now: Time) {
        if self.primary(now).is_none() {
            self.primary = None;
        }
        self.contact = self.contact.filter(|_| self.is_in_contact(now));
    }

    /// When what was told is no longer fresh.
    pub(super) fn next_wake(&self) -> Option<Time> {
        let primary_ends = self.primary.map(|known| after(known.1, FRESH));
        sooner(primary_ends, self.contact.map(|at| after(at, CONTACT)))
    }
}

#[cfg(test)]
mod tests;
