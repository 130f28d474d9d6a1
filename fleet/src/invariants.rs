//! Invariants of a running process. They must hold even when other processes or the network fail.
//!
//! Each invariant is checked where a violation can be detected. A violation is counted until the
//! process exits, and logged as an error that begins with `invariant violated`. The process keeps
//! running, because that serves its clients better than an exit. The tests and the soak expect a
//! count of zero.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// A checked invariant. Its `Display` text describes the violation and follows
/// `invariant violated: ` in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A router that shuts down aborts no request that it accepted after the signal.
    AcceptedRequestIsFinished,
    /// Each complete request stays in the tables until it is answered. The number of waiting
    /// clients equals the number of requests in the tables.
    WaitingClientIsTracked,
    /// A request of a tenant with a quota is accepted only while its quota lease is valid.
    QuotaLeaseIsValid,
    /// A control machine leases no more of a quota in a window than its shard allows.
    ShardQuotaNotExceeded,
    /// A router exits only when no client waits for a response.
    ExitIsAnswered,
    /// A read never returns a configuration older than one that the same machine has acknowledged.
    AcknowledgedConfigurationIsRead,
    /// No two requests with the same `Attempt-Id` are written on one connection to a server.
    ConnectionCarriesIdOnce,
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
            Invariant::ConnectionCarriesIdOnce => {
                "a connection to a server carries an Attempt-Id for the second time"
            }
        })
    }
}

/// Counts and logs a violation of `invariant` if `holds` is false.
pub fn check(holds: bool, invariant: Invariant) {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        log::error!("invariant violated: {invariant}");
    }
}

/// Returns the number of violations, of all invariants, since the process started.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
