//! What a machine without a vote knows of the group: from the primary's own messages.
//!
//! It promises that only a primary that said of itself that it is confirmed gives contact, for [`FRESH`], and that a configuration is never
//! gone back on.

use super::program::elapsed;
use lichenswitch_control::Committed;
use lichenswitch_interface::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// A word of the primary counts for so long, as at the voters.
const FRESH: Duration = Duration::from_millis(600);

/// What was told.
#[derive(Default)]
pub(super) struct Feed {
    primary: Option<(SocketAddr, Time)>,
    committed: Option<Committed>,
}

impl Feed {
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
            self.primary = None;
        }
    }

    /// The primary has sent what is committed.
    pub(super) fn on_configuration(&mut self, committed: Committed) {
        if self.committed.as_ref().is_none_or(|known| known.position < committed.position) {
            self.committed = Some(committed);
        }
    }

    /// The primary that was in contact of late.
    pub(super) fn primary(&self, now: Time) -> Option<SocketAddr> {
        self.primary.filter(|known| elapsed(known.1, now) < FRESH).map(|known| known.0)
    }

    pub(super) fn committed(&self) -> Option<&Committed> {
        self.committed.as_ref()
    }

    /// Forgets a primary whose word is no longer fresh.
    pub(super) fn tick(&mut self, now: Time) {
        if self.primary(now).is_none() {
            self.primary = None;
        }
    }

    /// When what was told is no longer fresh.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.primary.map(|known| super::program::after(known.1, FRESH))
    }
}
