//! What a router has turned away, by reason: for the log.

use super::rejection::RejectionReason;

/// Counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RejectionCounters {
    /// Answered 503 at once.
    pub away: u64,
    /// Answered 404.
    pub no_route: u64,
    /// Answered 401.
    pub no_holder: u64,
    /// Answered 429.
    pub beyond_quota: u64,
    /// Answered 400 after their head was read.
    pub malformed: u64,
}

impl RejectionCounters {
    /// A request was answered at once.
    pub(crate) fn on_turned(&mut self, turned: &RejectionReason) {
        let counter = match turned {
            RejectionReason::Unavailable(_) => &mut self.away,
            RejectionReason::NoRoute => &mut self.no_route,
            RejectionReason::UnknownKey => &mut self.no_holder,
            RejectionReason::QuotaExceeded(_) => &mut self.beyond_quota,
            RejectionReason::Malformed => &mut self.malformed,
        };
        *counter += 1;
    }
}
