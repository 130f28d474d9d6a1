//! Timeouts of the table of servers, in heartbeat intervals or microseconds.

use lichenswitch_interface::Micros;

/// Number of heartbeat intervals without a heartbeat after which a server is suspect. Routers use a
/// suspect server only as a last resort.
pub const SUSPECT_AFTER_INTERVALS: u64 = 5;

/// Time without a heartbeat after which a server is dropped (microseconds).
pub const EXPIRY_AFTER_US: Micros = 60_000_000;

/// Time for which the tombstone of an instance is kept (microseconds). It is far longer than a
/// heartbeat may be delayed, so a delayed heartbeat can't bring the instance back.
pub const TOMBSTONE_RETENTION_US: Micros = 120_000_000;

/// Number of heartbeat intervals by which the last heartbeat of an instance must precede that of
/// another instance at the same address for the earlier instance to be gone. The margin is needed
/// because a heartbeat may be delayed by seconds: the first heartbeat received from an unknown
/// instance may be the last one of an instance that has ended.
pub const ADDRESS_CONFLICT_INTERVALS: u64 = 3;

/// Maximum age of a tombstone in a snapshot (microseconds). It is less than
/// [`TOMBSTONE_RETENTION_US`]; otherwise two machines would forever send each other tombstones that
/// both have already dropped.
pub const SNAPSHOT_TOMBSTONE_MAX_AGE_US: Micros = 60_000_000;

/// Number of ticks of the table per heartbeat interval. A timeout is therefore detected at most a
/// quarter of an interval late.
pub(crate) const TICKS_PER_INTERVAL: u64 = 4;
