//! The schedule of a shutdown: when listeners close, streams are handed over and everything ends.
//!
//! Pure: time is an argument.

use super::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// How long listeners stay open: the platform checks readiness each second and acts on the second
/// miss, so it sends no new clients after this.
const LISTEN_DURATION: Duration = Duration::from_millis(3_000);

/// This long before the end of the grace period all remaining requests get their final response.
pub(crate) const FINAL_RESPONSE_RESERVE: Duration = Duration::from_millis(600);

/// Share of the grace period after which a stream may be aborted: before, it would count as lost.
const HANDOVER_GRACE_SHARE: f64 = 5.0 / 6.0;

/// Margin added to it: the signal may have been sent a little before it was handled.
const HANDOVER_MARGIN: Duration = Duration::from_millis(30);

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When the signal was handled.
    pub started_at: Time,
    /// When listeners close. Idle connections are kept to the end of the process: a request that
    /// crosses their end would be lost.
    pub listeners_close_at: Time,
    /// From when on streams are aborted that can be resumed elsewhere and can't end here.
    pub handover_at: Time,
    /// When all remaining requests are ended.
    pub ends_at: Time,
    pub are_listeners_closed: bool,
    /// All requests have been ended; only bytes are left to be written.
    pub are_requests_ended: bool,
}

impl Shutdown {
    /// The schedule of a process that is killed after the grace period.
    #[must_use]
    pub(crate) fn new(now: Time, grace: Duration) -> Shutdown {
        let reserve = FINAL_RESPONSE_RESERVE.min(grace / 4);
        let ends_at = after(now, grace.saturating_sub(reserve));
        Shutdown {
            started_at: now,
            listeners_close_at: after(now, LISTEN_DURATION.min(grace / 2)),
            handover_at: after(now, grace.mul_f64(HANDOVER_GRACE_SHARE) + HANDOVER_MARGIN)
                .min(ends_at),
            ends_at,
            are_listeners_closed: false,
            are_requests_ended: false,
        }
    }

    /// When the shutdown began.
    #[must_use]
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Whether a request with this deadline is still accepted.
    #[must_use]
    pub(crate) fn accepts(&self, now: Time, deadline: Time) -> bool {
        now < self.listeners_close_at && deadline <= self.ends_at
    }
}
