//! What a machine without a vote knows of the group, from the primary's messages.
//!
//! Contact counts from the time at which this machine sent the acknowledgement that a confirmed
//! primary echoes, so that a message that was delayed on the way, or read late, gives none. An older
//! configuration never replaces a newer one.

use super::clock::{after, earlier, elapsed};
use lichenswitch_control::CommittedConfiguration;
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a report of the primary's address is used.
const PRIMARY_HINT_TTL: Duration = Duration::from_millis(600);
/// How long contact lasts after the echoed acknowledgement was sent. It is longer than at voters,
/// since the primary sends confirmations to relays less often: with the 600 ms for which the primary
/// itself counts as confirmed, what this machine serves is 1.5 s old at the most.
const CONTACT_LEASE: Duration = Duration::from_millis(900);

/// A report of the primary's address.
#[derive(Clone, Copy)]
struct PrimaryHint {
    address: SocketAddr,
    reported_at: Time,
}

/// The primary, contact with it, and the configuration that it has sent.
pub(super) struct PrimaryTracker {
    /// Identifies this process, so that an echo to an earlier one does not count.
    process: u64,
    primary: Option<PrimaryHint>,
    /// When the acknowledgement was sent that a confirmed primary has echoed last.
    contact_at: Option<Time>,
    committed: Option<CommittedConfiguration>,
}

impl PrimaryTracker {
    /// A tracker of this process that knows nothing yet.
    pub(super) fn new(process: u64) -> PrimaryTracker {
        PrimaryTracker {
            process,
            primary: None,
            contact_at: None,
            committed: None,
        }
    }

    /// A machine has reported whether it is in contact, and the address of the primary.
    pub(super) fn on_contact(
        &mut self,
        now: Time,
        from: SocketAddr,
        in_contact: bool,
        primary: Option<SocketAddr>,
    ) {
        if in_contact && primary == Some(from) {
            self.primary = Some(PrimaryHint {
                address: from,
                reported_at: now,
            });
        } else if self.primary.is_some_and(|hint| hint.address == from) {
            (self.primary, self.contact_at) = (None, None);
        }
    }

    /// A confirmed primary has echoed an acknowledgement. Returns the one that it has to echo next.
    pub(super) fn on_confirmed(
        &mut self,
        now: Time,
        echo: Option<ProcessInstant>,
    ) -> ProcessInstant {
        let echoed = echo.filter(|instant| instant.process == self.process);
        self.contact_at = self
            .contact_at
            .max(echoed.map(|instant| Time(instant.clock_us).min(now)));
        ProcessInstant {
            process: self.process,
            clock_us: now.0,
        }
    }

    /// Whether a confirmed primary has received an acknowledgement of this machine recently.
    pub(super) fn is_in_contact(&self, now: Time) -> bool {
        self.contact_at
            .is_some_and(|at| elapsed(at, now) < CONTACT_LEASE)
    }

    /// The primary has sent a committed configuration.
    pub(super) fn on_configuration(&mut self, committed: CommittedConfiguration) {
        if self
            .committed
            .as_ref()
            .is_none_or(|known| known.position < committed.position)
        {
            self.committed = Some(committed);
        }
    }

    /// The address of the primary that was in contact recently.
    pub(super) fn primary(&self, now: Time) -> Option<SocketAddr> {
        self.primary
            .filter(|hint| elapsed(hint.reported_at, now) < PRIMARY_HINT_TTL)
            .map(|hint| hint.address)
    }

    /// The newest configuration that the primary has sent.
    pub(super) fn committed(&self) -> Option<&CommittedConfiguration> {
        self.committed.as_ref()
    }

    /// Forgets a primary and contact whose time has passed.
    pub(super) fn tick(&mut self, now: Time) {
        if self.primary(now).is_none() {
            self.primary = None;
        }
        self.contact_at = self.contact_at.filter(|_| self.is_in_contact(now));
    }

    /// When the primary or contact times out.
    pub(super) fn next_wake(&self) -> Option<Time> {
        let primary_ends = self
            .primary
            .map(|hint| after(hint.reported_at, PRIMARY_HINT_TTL));
        earlier(
            primary_ends,
            self.contact_at.map(|at| after(at, CONTACT_LEASE)),
        )
    }
}

#[cfg(test)]
mod tests;
