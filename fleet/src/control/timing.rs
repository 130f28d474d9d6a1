//! Intervals that several modules of a control machine use.

use lichenswitch_messages::ROUTER_HEARTBEAT_MS;
use std::time::Duration;

/// Interval of digests to the other control machines. It is twice the interval of heartbeats to
/// routers, so that one wake-up serves both.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(2 * ROUTER_HEARTBEAT_MS);
