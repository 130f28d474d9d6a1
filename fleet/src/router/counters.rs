//! Counts of rejected requests by reason.

use super::rejection::RejectionReason;

/// Counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RejectionCounters {
    /// Answered 503.
    pub unavailable: u64,
    /// Answered 404.
    pub no_route: u64,
    /// Answered 401.
    pub unknown_key: u64,
    /// Answered 429.
    pub quota_exceeded: u64,
    /// Answered 400 after the head was read.
    pub malformed: u64,
}

impl RejectionCounters {
    /// A request was rejected.
    pub(crate) fn on_rejected(&mut self, reason: &RejectionReason) {
        let counter = match reason {
            RejectionReason::Unavailable(_) => &mut self.unavailable,
            RejectionReason::NoRoute => &mut self.no_route,
            RejectionReason::UnknownKey => &mut self.unknown_key,
            RejectionReason::QuotaExceeded(_) => &mut self.quota_exceeded,
            RejectionReason::Malformed => &mut self.malformed,
        };
        *counter += 1;
    }
}
