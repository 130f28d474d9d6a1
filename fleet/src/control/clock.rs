//! Arithmetic of times, and the replica's counterpart of a time.

use lichenswitch_interface::Time;
use lichenswitch_replication as replication;
use std::time::Duration;

/// The time `wait` after `time`.
pub(super) fn after(time: Time, wait: Duration) -> Time {
    time.plus(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}

/// The time from `started_at` to `now`.
pub(super) fn elapsed(started_at: Time, now: Time) -> Duration {
    Duration::from_micros(now.since(started_at))
}

/// The earlier of two times, where there are any.
pub(super) fn earlier(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    [one, other].into_iter().flatten().min()
}

/// A time of the loop, as the replica counts it.
pub(super) fn to_replica_time(time: Time) -> replication::Time {
    replication::Time(time.0)
}

/// A time of the replica, as the loop counts it.
pub(super) fn from_replica_time(time: replication::Time) -> Time {
    Time(time.0)
}
