//! The schedule of a shutdown: when listeners close, streams are handed over and everything ends.
//!
//! Pure: time is an argument.

use super::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// The platform asks each second and acts on the second miss: after this long it sends nobody new.
pub(crate) const LISTEN_ON: Duration = Duration::from_millis(3_000);

/// So long before the grace is over everything still held gets its final answer.
pub(crate) const RESERVE: Duration = Duration::from_millis(600);

/// Part of the grace after which a stream may be cut: before it, it counts as lost.
pub(crate) const CUT_FROM: f64 = 5.0 / 6.0;

/// So long after that a stream is cut (the signal may have been sent a little before it was heard).
pub(crate) const CUT_MARGIN: Duration = Duration::from_millis(30);

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When the process was told.
    pub(crate) began: Time,
    /// Listeners close then. Connections that rest are kept to the end of the process: a request
    /// that crosses their end would have been read for nothing.
    pub(crate) closes: Time,
    /// Streams that may go on elsewhere, and can't end here, are cut from then on.
    pub(crate) hands_over: Time,
    /// All that is still held ends then.
    pub(crate) ends: Time,
    pub(crate) closed: bool,
    /// Everything has been ended; only bytes are still to be written.
    pub(crate) ended: bool,
}

impl Shutdown {
    /// Of a process that is told now that it is killed after the grace.
    #[must_use]
    pub(crate) fn new(now: Time, grace: Duration) -> Shutdown {
        let reserve = RESERVE.min(grace / 4);
        let ends = after(now, grace.saturating_sub(reserve));
        Shutdown {
            began: now,
            closes: after(now, LISTEN_ON.min(grace / 2)),
            hands_over: after(now, grace.mul_f64(CUT_FROM) + CUT_MARGIN).min(ends),
            ends,
            closed: false,
            ended: false,
        }
    }

    /// When the process was told to end.
    #[must_use]
    pub(crate) fn began(&self) -> Time {
        self.began
    }

    /// Whether a request is still taken whose time is over at this deadline.
    #[must_use]
    pub(crate) fn takes(&self, now: Time, deadline: Time) -> bool {
        now < self.closes && deadline <= self.ends
    }
}
