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
const CONTACT_BEHIND: Micros = 1_500_000;
/// For clocks that drift, and for what passes between a look at the clock and its effect
/// (microseconds).
const MARGIN: Micros = 250_000;
/// The least time for which a confirmation counts (microseconds): a shorter one would lapse between
/// two of them.
const SHORTEST: Micros = 600_000;
/// Confirmations are asked for so often (microseconds): a heartbeat of control brings each question
/// on its way.
const ASK_INTERVAL: Micros = 450_000;
/// Who does not hold a key is told so only within this time of a confirmation (microseconds): it
/// may have been added since.
const SURE: Micros = 1_200_000;

/// Bounds on revocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RevocationBounds {
    /// `revocationStrict`: the bound holds for all machines, in touch or not.
    pub strict: bool,
    /// `revokeMs`.
    pub within: Duration,
}

/// When the configuration in force was confirmed.
#[derive(Debug)]
pub(crate) struct ConfigurationFreshness {
    terms: RevocationBounds,
    confirmed: Option<Time>,
    asked: Option<Time>,
}

impl ConfigurationFreshness {
    /// Never confirmed yet.
    #[must_use]
    pub(crate) fn new(terms: RevocationBounds) -> ConfigurationFreshness {
        ConfigurationFreshness {
            terms,
            confirmed: None,
            asked: None,
        }
    }

    /// The settings say so now.
    pub(crate) fn set_terms(&mut self, terms: RevocationBounds) {
        self.terms = terms;
    }

    /// Whether a confirmation is to be asked for now; that is taken to be done.
    pub(crate) fn asks(&mut self, now: Time) -> bool {
        let due = self
            .asked
            .is_none_or(|asked| now.since(asked) >= ASK_INTERVAL);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// The connection on which it was asked is gone: it is asked anew on the next one.
    pub(crate) fn on_link_lost(&mut self) {
        self.asked = None;
    }

    /// What is in force is the newest configuration that a control machine in contact knew, which
    /// was asked at this time.
    pub(crate) fn on_confirmed(&mut self, now: Time, asked: Time) {
        if asked <= now {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Whether requests with a key may be served.
    #[must_use]
    pub(crate) fn serves_keys(&self, now: Time) -> bool {
        !self.terms.strict
            || self
                .confirmed
                .is_some_and(|confirmed| now.since(confirmed) < self.lease())
    }

    /// Whether a key that is not known here is surely not known to the configuration that counts.
    #[must_use]
    pub(crate) fn is_sure(&self, now: Time) -> bool {
        self.serves_keys(now)
            && self
                .confirmed
                .is_some_and(|confirmed| now.since(confirmed) < SURE)
    }

    fn lease(&self) -> Micros {
        let within = Micros::try_from(self.terms.within.as_micros()).unwrap_or(Micros::MAX);
        within.saturating_sub(CONTACT_BEHIND + MARGIN).max(SHORTEST)
    }
}

#[cfg(test)]
mod tests;
