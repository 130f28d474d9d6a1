//! How long ago the active configuration was confirmed to be the newest one.
//!
//! It promises that keys are not served by a configuration that may have been replaced, with the
//! replacement acknowledged, longer ago than the bound on revocations allows: the time is counted
//! from this router's request for confirmation, on its monotonic clock, so that delays on the way
//! only shorten it. Pure: time is an argument.

use lichenswitch_interface::{Micros, Time};
use std::time::Duration;

/// What a control machine in contact confirms as newest may lack what was acknowledged within this
/// time before (microseconds): contact is valid for at most 0.6 s at the primary and 0.9 s at a
/// machine without a replica.
const CONTACT_LAG_US: Micros = 1_500_000;
/// Margin for clock drift, and for the time between reading the clock and its effect (microseconds).
const CLOCK_MARGIN_US: Micros = 250_000;
/// Shortest validity of a confirmation (microseconds): a shorter one would expire before the next.
const MIN_VALIDITY_US: Micros = 600_000;
/// Interval of requests for confirmation (microseconds).
const CONFIRMATION_INTERVAL_US: Micros = 450_000;
/// An unknown key is rejected only within this time of a confirmation (microseconds): it may have
/// been added since.
const KEY_ABSENCE_CERTAINTY_US: Micros = 1_200_000;

/// Bounds on revocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RevocationBounds {
    /// `revocationStrict`: the bound holds for all machines, whether in contact or not.
    pub is_strict: bool,
    /// `revokeMs`: a revoked key is served no longer than this.
    pub within: Duration,
}

/// When the active configuration was confirmed.
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

    /// Sets the bounds that the settings name.
    pub(crate) fn set_bounds(&mut self, bounds: RevocationBounds) {
        self.bounds = bounds;
    }

    /// Whether a confirmation is to be requested now. If so, it counts as requested.
    pub(crate) fn take_confirmation_due(&mut self, now: Time) -> bool {
        let is_due = self
            .requested_at
            .is_none_or(|at| now.since(at) >= CONFIRMATION_INTERVAL_US);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// The connection of the last request is lost: the next one is due at once.
    pub(crate) fn on_link_lost(&mut self) {
        self.requested_at = None;
    }

    /// A control machine in contact has confirmed the active configuration as the newest; the
    /// confirmation was requested at this time.
    pub(crate) fn on_confirmed(&mut self, now: Time, requested_at: Time) {
        if requested_at <= now {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
    }

    /// Whether requests with a key may be served.
    #[must_use]
    pub(crate) fn can_serve_keys(&self, now: Time) -> bool {
        !self.bounds.is_strict
            || self
                .confirmed_at
                .is_some_and(|at| now.since(at) < self.validity())
    }

    /// Whether a key that is unknown here is certainly unknown to the newest configuration.
    #[must_use]
    pub(crate) fn can_reject_unknown_keys(&self, now: Time) -> bool {
        self.can_serve_keys(now)
            && self
                .confirmed_at
                .is_some_and(|at| now.since(at) < KEY_ABSENCE_CERTAINTY_US)
    }

    fn validity(&self) -> Micros {
        let within = Micros::try_from(self.bounds.within.as_micros()).unwrap_or(Micros::MAX);
        within
            .saturating_sub(CONTACT_LAG_US + CLOCK_MARGIN_US)
            .max(MIN_VALIDITY_US)
    }
}

#[cfg(test)]
mod tests;
