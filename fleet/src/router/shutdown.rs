//! The schedule of a shutdown: when listeners close, streams are handed over and everything ends.
//!
//! Pure: time is an argument.

use super::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// The platform asks each second and acts on the second miss: after this long it sends nobody new.
pub(crate) const LISTEN_DURATION: Duration = Duration::from_millis(3_000);

/// So long before the grace is over everything still held gets its final answer.
pub(crate) const FINAL_ANSWER_RESERVE: Duration = Duration::from_millis(600);

/// Part of the grace after which a stream may be cut: before it, it counts as lost.
pub(crate) const HANDOVER_GRACE_SHARE: f64 = 5.0 / 6.0;

/// So long after that a stream is cut (the signal may have been sent a little before it was heard).
pub(crate) const HANDOVER_MARGIN: Duration = Duration::from_millis(30);

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When the process was told.
    pub(crate) started_at: Time,
    /// Listeners close then. Connections that rest are kept to the end of the process: a request
    /// that crosses their end would have been read for nothing.
    pub(crate) listeners_close_at: Time,
    /// Streams that may go on elsewhere, and can't end here, are cut from then on.
    pub(crate) handover_at: Time,
    /// All that is still held ends then.
    pub(crate) ends_at: Time,
    pub(crate) are_listeners_closed: bool,
    /// Everything has been ended; only bytes are still to be written.
    pub(crate) are_requests_ended: bool,
}

impl Shutdown {
    /// Of a process that is told now that it is killed after the grace.
    #[must_use]
    pub(crate) fn new(now: Time, grace: Duration) -> Shutdown {
        let reserve = FINAL_ANSWER_RESERVE.min(grace / 4);
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

    /// When the process was told to end.
    #[must_use]
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    /// Whether a request is still taken whose time is over at this deadline.
    #[must_use]
    pub(crate) fn accepts(&self, now: Time, deadline: Time) -> bool {
        now < self.listeners_close_at && deadline <= self.ends_at
    }
}
