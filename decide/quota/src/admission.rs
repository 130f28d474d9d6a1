//! What becomes of a request whose tenant has a quota.

use lichenswitch_interface::{Micros, Time};

/// Advice where too many requests are queued, or no control machine responds (microseconds).
pub(crate) const RETRY_AFTER_US: Micros = 100_000;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It is admitted; its lease is valid until then.
    Admitted(Time),
    /// It is queued for a lease.
    Queued,
    /// It exceeds the quota; when to retry (microseconds).
    OverQuota(Micros),
    /// No decision is possible now; when to retry (microseconds).
    Unavailable(Micros),
}

/// The decision on a request that was queued. `R` identifies requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDecision<R> {
    /// Which request.
    pub request: R,
    /// Its outcome; never [`AdmissionOutcome::Queued`].
    pub outcome: AdmissionOutcome,
}
