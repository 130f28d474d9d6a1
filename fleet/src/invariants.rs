//! Invariants of a running process, which hold whatever fails around it.
//!
//! Each invariant is checked where a violation could be seen. A violation is counted for the life of
//! the process and logged as an error that begins with `invariant violated`; the process goes on,
//! since its clients are better off with it. The tests and the soak expect a count of zero.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// An invariant. Its text follows `invariant violated: ` in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A router that shuts down aborts no request that it accepted after the signal.
    AcceptedRequestIsFinished,
    /// Each complete request is in the tables until it is answered: as many clients wait as there are
    /// requests.
    WaitingClientIsTracked,
    /// A request of a tenant with a quota is accepted only while its quota lease is valid.
    QuotaLeaseIsValid,
    /// A control machine leases no more of a quota in a window than its shard allows.
    ShardQuotaNotExceeded,
    /// A router exits only when no client waits for a response.
    ExitIsAnswered,
    /// A read returns a configuration no older than what the same machine had acknowledged before.
    AcknowledgedConfigurationIsRead,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::AcceptedRequestIsFinished => {
                "a request taken after the signal to end was cut off by the end"
            }
            Invariant::WaitingClientIsTracked => {
                "clients that wait and requests that are held differ in number"
            }
            Invariant::QuotaLeaseIsValid => "a request was let through on a grant that had lapsed",
            Invariant::ShardQuotaNotExceeded => {
                "more was granted of a tenant's quota than this machine's part"
            }
            Invariant::ExitIsAnswered => "the process ends while clients wait for an answer",
            Invariant::AcknowledgedConfigurationIsRead => {
                "a configuration was read that is older than an acknowledged one"
            }
        })
    }
}

/// Counts and logs a violation, if `holds` is false.
pub fn check(holds: bool, invariant: Invariant) {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        log::error!("invariant violated: {invariant}");
    }
}

/// Violations so far in this process.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
