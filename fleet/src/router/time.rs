//! Conversions between [`Duration`] and the microseconds of the event loop's clock.

use lichenswitch_interface::{Micros, Time};
use std::time::Duration;

/// A duration on the clock of the loop.
#[must_use]
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// A point so much later.
#[must_use]
pub(crate) fn after(time: Time, wait: Duration) -> Time {
    time.plus(micros(wait))
}
