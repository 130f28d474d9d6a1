//! How long ago the configuration in force was surely the newest one that counted.
//!
//! It promises that keys are not served by a configuration that may have been replaced, with the
//! replacement acknowledged, longer ago than the bound on revocations allows: the time is counted
//! from when this router asked, on its steady clock, so that whatever was late on the way only
//! shortens it. Pure: time is an argument.

use lichenswitch_interface::{Micros, Time};
use std::time::Duration;

/// What a control machine in contact tells as newest may lack what was acknowledged within so long
/// before (microseconds): a confirmation counts for at most 0.6 s at the primary and 0.9 s at a
/// machine without a copy.
const CONTACT_LAG_US: Micros = 1_500_000;
/// For clocks that drift, and for what passes between a look at the clock and its effect
/// (microseconds).
const CLOCK_MARGIN_US: Micros = 250_000;
/// The least time for which a confirmation counts (microseconds): a shorter one would lapse between
/// two of them.
const MIN_LEASE_US: Micros = 600_000;
/// Confirmations are asked for so often (microseconds): a heartbeat of control brings each question
/// on its way.
const CONFIRMATION_INTERVAL_US: Micros = 450_000;
/// Who does not hold a key is told so only within this time of a confirmation (microseconds): it
/// may have been added since.
const KEY_ABSENCE_CERTAINTY_US: Micros = 1_200_000;

/// Bounds on revocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RevocationBounds {
    /// `revocationStrict`: the bound holds for all machines, in touch or not.
    pub is_strict: bool,
    /// `revokeMs`.
    pub within: Duration,
}

/// When the configuration in force was confirmed.
#[derive(Debug)]
pub(crate) struct ConfigurationFreshness {
    bounds: RevocationBounds,
    confirmed_at: Option<Time>,
    requested_at: Option<Time>,
}

impl ConfigurationFreshness {
    /// Never confirmed yet.
    #[must_use]
    pub(crate) fn new(bounds: RevocationBounds) -> ConfigurationFreshness {
        ConfigurationFreshness {
            bounds,
            confirmed_at: None,
            requested_at: None,
        }
    }

    /// The settings say so now.
    pub(crate) fn set_bounds(&mut self, bounds: RevocationBounds) {
        self.bounds = bounds;
    }

    /// Whether a confirmation is to be asked for now; that is taken to be done.
    pub(crate) fn take_confirmation_due(&mut self, now: Time) -> bool {
        let due = self
            .requested_at
            .is_none_or(|asked| now.since(asked) >= CONFIRMATION_INTERVAL_US);
        if due {
            self.requested_at = Some(now);
        }
        due
    }

    /// The connection on which it was asked is gone: it is asked anew on the next one.
    pub(crate) fn on_link_lost(&mut self) {
        self.requested_at = None;
    }

    /// What is in force is the newest configuration that a control machine in contact knew, which
    /// was asked at this time.
    pub(crate) fn on_confirmed(&mut self, now: Time, asked: Time) {
        if asked <= now {
            self.confirmed_at = self.confirmed_at.max(Some(asked));
        }
    }

    /// Whether requests with a key may be served.
    #[must_use]
    pub(crate) fn can_serve_keys(&self, now: Time) -> bool {
        !self.bounds.is_strict
            || self
                .confirmed_at
                .is_some_and(|confirmed| now.since(confirmed) < self.lease())
    }

    /// Whether a key that is not known here is surely not known to the configuration that counts.
    #[must_use]
    pub(crate) fn can_reject_unknown_keys(&self, now: Time) -> bool {
        self.can_serve_keys(now)
            && self
                .confirmed_at
                .is_some_and(|confirmed| now.since(confirmed) < KEY_ABSENCE_CERTAINTY_US)
    }

    fn lease(&self) -> Micros {
        let within = Micros::try_from(self.bounds.within.as_micros()).unwrap_or(Micros::MAX);
        within
            .saturating_sub(CONTACT_LAG_US + CLOCK_MARGIN_US)
            .max(MIN_LEASE_US)
    }
}

#[cfg(test)]
mod tests;
