//! What must hold in a running process, whatever fails beside it.
//!
//! Each invariant is checked where a break of it could be seen. A break is counted for the life of
//! the process and logged as an error that begins with `invariant violated`; the process goes on,
//! since whoever it serves is better off with it. The tests and the soak expect a count of zero.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A router that ends cuts off nothing that it took after it was told to end.
    TakenIsFinished,
    /// Each request that was read whole is held until it is answered: so many clients wait as
    /// requests are held.
    WaitingIsHeld,
    /// A request of a tenant with a quota goes on only while the grant that it goes by is valid.
    GrantIsValid,
    /// A control machine grants no more of a bucket in a window than its part allows.
    PartIsKept,
    /// A router ends once no client waits for an answer.
    EndsAnswered,
    /// A configuration that is read is no older than what the same machine had acknowledged before
    /// the read came.
    AcknowledgedIsRead,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::TakenIsFinished => {
                "a request taken after the signal to end was cut off by the end"
            }
            Invariant::WaitingIsHeld => {
                "clients that wait and requests that are held differ in number"
            }
            Invariant::GrantIsValid => "a request was let through on a grant that had lapsed",
            Invariant::PartIsKept => {
                "more was granted of a tenant's quota than this machine's part"
            }
            Invariant::EndsAnswered => "the process ends while clients wait for an answer",
            Invariant::AcknowledgedIsRead => {
                "a configuration was read that is older than an acknowledged one"
            }
        })
    }
}

/// Counts and logs a break, if `holds` is false.
pub fn check(holds: bool, invariant: Invariant) {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        log::error!("invariant violated: {invariant}");
    }
}

/// Breaks so far in this process.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
