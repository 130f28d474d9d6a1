//! Time arithmetic, and conversions between the times of the event loop and of the replica.

use lichenswitch_interface::Time;
use lichenswitch_replication as replication;
use std::time::Duration;

/// Returns the time `wait` after `time`.
pub(super) fn after(time: Time, wait: Duration) -> Time {
    time.plus(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the duration from `started_at` to `now`.
pub(super) fn elapsed(started_at: Time, now: Time) -> Duration {
    Duration::from_micros(now.since(started_at))
}

/// Returns the earlier of two times, or the only one that is present.
pub(super) fn earlier(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    [one, other].into_iter().flatten().min()
}

/// Converts a time of the event loop to a time of the replica.
pub(super) fn to_replica_time(time: Time) -> replication::Time {
    replication::Time(time.0)
}

/// Converts a time of the replica to a time of the event loop.
pub(super) fn from_replica_time(time: replication::Time) -> Time {
    Time(time.0)
}
