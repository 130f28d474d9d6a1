//! Tracks the primary, contact with it and its configuration on a machine that does not vote.
//!
//! Contact is measured from the time at which this machine sent the acknowledgement that a
//! confirmed primary echoes. A message that was delayed in the network, or read late, therefore
//! does not extend contact. An older configuration never replaces a newer one.

use super::clock::{after, earlier, elapsed};
use lichenswitch_control::CommittedConfiguration;
use lichenswitch_interface::Time;
use lichenswitch_messages::ProcessInstant;
use std::net::SocketAddr;
use std::time::Duration;

/// Validity of a report of the primary's address.
const PRIMARY_HINT_TTL: Duration = Duration::from_millis(600);
/// Duration of contact, counted from when the echoed acknowledgement was sent. It is longer than at
/// voters, because the primary sends confirmations to relays less often. The primary itself counts
/// as confirmed for 600 ms, so the data that this machine serves is at most 1.5 s old.
const CONTACT_LEASE: Duration = Duration::from_millis(900);

/// The primary's address and the time at which it was reported.
#[derive(Clone, Copy)]
struct PrimaryHint {
    address: SocketAddr,
    reported_at: Time,
}

/// The primary, contact with it, and the configuration that it has sent.
pub(super) struct PrimaryTracker {
    /// Identifier of this process. Echoes of acknowledgements that an earlier process sent are
    /// ignored.
    process: u64,
    primary: Option<PrimaryHint>,
    /// Send time of the latest acknowledgement that a confirmed primary has echoed.
    contact_at: Option<Time>,
    committed: Option<CommittedConfiguration>,
}

impl PrimaryTracker {
    /// Creates a tracker without a primary, contact or configuration.
    pub(super) fn new(process: u64) -> PrimaryTracker {
        PrimaryTracker {
            process,
            primary: None,
            contact_at: None,
            committed: None,
        }
    }

    /// Handles a report of a machine whether it is in contact, and of the primary's address.
    ///
    /// Only a report of the primary about itself sets the address. If the known primary reports
    /// otherwise, the address and the contact are cleared.
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

    /// Handles an echoed acknowledgement of a confirmed primary. Returns the acknowledgement to
    /// send back, which the primary echoes next.
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

    /// Whether a confirmed primary has echoed an acknowledgement that was sent less than
    /// [`CONTACT_LEASE`] ago.
    pub(super) fn is_in_contact(&self, now: Time) -> bool {
        self.contact_at
            .is_some_and(|at| elapsed(at, now) < CONTACT_LEASE)
    }

    /// Stores a committed configuration from the primary, unless it is older than the stored one.
    pub(super) fn on_configuration(&mut self, committed: CommittedConfiguration) {
        if self
            .committed
            .as_ref()
            .is_none_or(|known| known.position < committed.position)
        {
            self.committed = Some(committed);
        }
    }

    /// Returns the address of the primary, if it was reported less than [`PRIMARY_HINT_TTL`] ago.
    pub(super) fn primary(&self, now: Time) -> Option<SocketAddr> {
        self.primary
            .filter(|hint| elapsed(hint.reported_at, now) < PRIMARY_HINT_TTL)
            .map(|hint| hint.address)
    }

    /// Returns the newest configuration that the primary has sent.
    pub(super) fn committed(&self) -> Option<&CommittedConfiguration> {
        self.committed.as_ref()
    }

    /// Clears the primary's address and the contact once they have expired.
    pub(super) fn tick(&mut self, now: Time) {
        if self.primary(now).is_none() {
            self.primary = None;
        }
        self.contact_at = self.contact_at.filter(|_| self.is_in_contact(now));
    }

    /// Returns when the primary's address or the contact expires, whichever is earlier.
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
