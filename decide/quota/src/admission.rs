//! Outcomes of the admission check for a request whose tenant has a quota.

use lichenswitch_interface::{Micros, Time};

/// Retry delay that is suggested if too many requests are queued or no control machine responds
/// (microseconds).
pub(crate) const RETRY_AFTER_US: Micros = 100_000;

/// The outcome of the admission check for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request is admitted; its lease is valid until this time.
    Admitted(Time),
    /// The request is queued until a lease is granted or denied, or until its deadline.
    Queued,
    /// The request exceeds the quota; contains the suggested retry delay (microseconds).
    OverQuota(Micros),
    /// No decision is possible now; contains the suggested retry delay (microseconds).
    Unavailable(Micros),
}

/// The decision on a request that was queued. `R` is the type that identifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDecision<R> {
    /// The request, as it was passed to [`Allowances::admit`](crate::Allowances::admit).
    pub request: R,
    /// The outcome; never [`AdmissionOutcome::Queued`].
    pub outcome: AdmissionOutcome,
}
