//! Leases with fencing tokens for singleton roles: at most one broker holds a role at a time.
//!
//! Three parties take part. Each has its own monotonic clock, whose rate may deviate by a
//! configured drift, and none relies on the clocks of the others:
//!
//! - [`holder_lease::HolderLease`], at the holder: measures the lease from the moment before the
//!   request was sent, shortens it by the drift, and is checked before each effect.
//! - [`grant_table::GrantTable`], at the voters: the state machine of the replicated log. A voter
//!   proposes the end of a lease only after the lease plus the drift has passed since the voter
//!   learned of the last renewal. Only then can another broker acquire the role.
//! - [`fencing::FencingGuard`], at the receiver of an effect: rejects a token lower than the
//!   highest token seen.
//!
//! The first two prevent two brokers from acting at the same time as long as all clocks stay within
//! the drift. The third rejects effects of a former holder that were delayed after the lease check,
//! regardless of clocks.
//!
//! This crate performs no I/O and reads no clock: the caller passes the time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fencing;
pub mod grant_table;
pub mod holder_lease;

use lichenswitch_interface::Micros;
use serde::{Deserialize, Serialize};

/// The name of a singleton role, called a duty in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoleName(pub String);

/// The number of a grant. Each new grant of any role gets a greater number than all grants before
/// it; 0 means no grant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// A broker process that holds or requests a lease. After a restart the broker is a different
/// holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the broker, the same after a restart.
    pub name: String,
    /// Incarnation of the broker process; a restart yields a greater value.
    pub incarnation: u64,
}

/// The duration of leases and the drift of clocks, the same for all brokers of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of a lease, in microseconds.
    pub lease: Micros,
    /// Maximum deviation of a clock's rate, in parts per million. If a clock deviates further, two
    /// brokers may act at the same time, and only the fencing tokens protect the receivers.
    pub drift: u64,
}

impl LeaseTerms {
    /// Returns the lease as the holder measures it: shortened by the drift, since the holder's
    /// clock may be slow.
    #[must_use]
    pub fn holder_duration(&self) -> Micros {
        self.lease.saturating_sub(self.drift_margin())
    }

    /// Returns how long a voter waits for the end of a lease: prolonged by the drift, since the
    /// voter's clock may be fast.
    #[must_use]
    pub fn voter_duration(&self) -> Micros {
        self.lease.saturating_add(self.drift_margin())
    }

    /// Returns the maximum deviation of one clock during a lease, rounded up (microseconds).
    fn drift_margin(&self) -> Micros {
        (self.lease as u128 * u128::from(self.drift)).div_ceil(1_000_000) as Micros + 1
    }
}

#[cfg(test)]
mod model;
