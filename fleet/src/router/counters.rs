//! What a router has turned away, by reason: for the log.

use super::intake::Turned;

/// Counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counters {
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

impl Counters {
    /// A request was answered at once.
    pub(super) fn on_turned(&mut self, turned: &Turned) {
        let counter = match turned {
            Turned::Away(_) => &mut self.away,
            Turned::NoRoute => &mut self.no_route,
            Turned::NoHolder => &mut self.no_holder,
            Turned::BeyondQuota(_) => &mut self.beyond_quota,
            Turned::Malformed => &mut self.malformed,
        };
        *counter += 1;
    }
}
