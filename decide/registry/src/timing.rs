//! Times after which a table of servers decides, in heartbeat intervals or microseconds.

use lichenswitch_interface::Micros;

/// Heartbeat intervals without a heartbeat after which a server is suspect: a last resort for
/// routers.
pub const SUSPECT_AFTER_INTERVALS: u64 = 5;

/// Time without a heartbeat after which a server is dropped (microseconds).
pub const EXPIRY_AFTER_US: Micros = 60_000_000;

/// How long the tombstone of an instance is kept (microseconds): far longer than a heartbeat may be
/// delayed.
pub const TOMBSTONE_RETENTION_US: Micros = 120_000_000;

/// Heartbeat intervals: an instance is gone when its last heartbeat precedes that of another
/// instance at its address by so many. A heartbeat may be delayed by seconds, so the first one of an
/// unknown instance may be the last one of an instance that has ended.
pub const ADDRESS_CONFLICT_INTERVALS: u64 = 3;

/// Greatest age at which a tombstone is part of a snapshot (microseconds). Less than
/// [`TOMBSTONE_RETENTION_US`], so that machines don't send each other for ever what both have
/// dropped.
pub const SNAPSHOT_TOMBSTONE_MAX_AGE_US: Micros = 60_000_000;

/// Ticks of the table in a heartbeat interval: a decision is late by a quarter of it at most.
pub(crate) const TICKS_PER_INTERVAL: u64 = 4;
