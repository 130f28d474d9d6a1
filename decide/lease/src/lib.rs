//! Duties that only one broker holds at a time: who may hold one, for how long, and what is done
//! about a holder that believes it still does.
//!
//! A grant is a lease with a fence. Three sides, each with a clock of its own that does not stop
//! and may run fast or slow by a stated drift, and none of which trusts the others' clocks:
//!
//! - [`hold::Hold`], at the holder: it counts its lease from before it asked, less the drift, and
//!   checks itself before each effect;
//! - [`grants::Grants`], at the voters: what was granted follows from an agreed log; nobody else
//!   gets a duty before its lease, and the drift, have surely passed since the voter that grants
//!   has learnt of it;
//! - [`fence::Fence`], at whoever receives an effect: it refuses a fence lower than one that it has
//!   seen.
//!
//! The first two keep two brokers from acting at once while clocks keep to the drift; the third
//! keeps effects of an old holder from being taken where its own check came too late, whatever its
//! clock did in between.
//!
//! It touches plain values alone: no clock, no wire.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fence;
pub mod grants;
pub mod hold;

use lichenswitch_interface::Micros;
use serde::{Deserialize, Serialize};

/// Names a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub String);

/// The number of a grant: only grows, over all duties and voters. 0 stands for none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FenceNumber(pub u64);

/// A broker in one of its lives: one that was restarted is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub name: String,
    /// Its life.
    pub life: u64,
}

/// Times of leases, the same for all brokers of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a lease lasts, microseconds.
    pub lease: Micros,
    /// How far a clock may run fast or slow, millionths. What is longer or shorter than that breaks
    /// the first promise, and leaves the fences.
    pub drift: u64,
}

impl Terms {
    /// The lease as its holder counts it on a clock that may be slow: shorter by the drift.
    #[must_use]
    pub fn held(&self) -> Micros {
        self.lease.saturating_sub(self.part())
    }

    /// The lease as a voter waits for its end on a clock that may be fast: longer by the drift.
    #[must_use]
    pub fn awaited(&self) -> Micros {
        self.lease.saturating_add(self.part())
    }

    /// What a clock may be off in a lease; of both clocks, and rounded up.
    fn part(&self) -> Micros {
        (self.lease as u128 * u128::from(self.drift)).div_ceil(1_000_000) as Micros + 1
    }
}

#[cfg(test)]
mod model;
