//! Leases with fencing tokens for singleton roles: a role is held by one broker at a time.
//!
//! Three sides take part. Each has a monotonic clock of its own, which may run fast or slow by a
//! stated drift, and none trusts the clocks of the others:
//!
//! - [`holder_lease::HolderLease`], at the holder: counts the lease from before its request was
//!   sent, less the drift, and is checked before each effect;
//! - [`grant_table::GrantTable`], at the voters: the state machine of the agreed log. A role passes
//!   to another holder only after the lease and the drift have passed since the voter that proposes
//!   its end has learned of the last renewal;
//! - [`fencing::FencingGuard`], at the receiver of an effect: rejects a token lower than one that
//!   it has seen.
//!
//! The first two keep two brokers from acting at the same time as long as clocks stay within the
//! drift. The third rejects what a former holder sends after its own check came too late, whatever
//! its clock did in between.
//!
//! This crate has no I/O and reads no clock: time is an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fencing;
pub mod grant_table;
pub mod holder_lease;

use lichenswitch_interface::Micros;
use serde::{Deserialize, Serialize};

/// Names a singleton role (the settings call it a duty).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoleName(pub String);

/// The number of a grant. It only grows, over all roles and voters; 0 stands for no grant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// A process of a broker that holds a lease or requests one. A broker that was restarted is another
/// holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The broker's name.
    pub name: String,
    /// The incarnation of its process: later ones are greater.
    pub incarnation: u64,
}

/// The duration of leases and the drift of clocks, the same for all brokers of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a lease lasts, in microseconds.
    pub lease: Micros,
    /// How far a clock may run fast or slow, in millionths. With a clock beyond that two brokers
    /// may act at the same time, and only the fencing tokens are left.
    pub drift: u64,
}

impl LeaseTerms {
    /// The lease as its holder counts it, whose clock may be slow: shorter by the drift.
    #[must_use]
    pub fn holder_duration(&self) -> Micros {
        self.lease.saturating_sub(self.drift_margin())
    }

    /// The lease as a voter waits for its end, whose clock may be fast: longer by the drift.
    #[must_use]
    pub fn voter_duration(&self) -> Micros {
        self.lease.saturating_add(self.drift_margin())
    }

    /// How far both clocks together may be off during a lease, rounded up.
    fn drift_margin(&self) -> Micros {
        (self.lease as u128 * u128::from(self.drift)).div_ceil(1_000_000) as Micros + 1
    }
}

#[cfg(test)]
mod model;
