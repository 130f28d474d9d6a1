//! Intervals that several parts of a control machine rely on.

use lichenswitch_messages::ROUTER_HEARTBEAT_MS;
use std::time::Duration;

/// Interval of digests to the other control machines: two heartbeats to routers, so that one waking
/// serves both.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(2 * ROUTER_HEARTBEAT_MS);
