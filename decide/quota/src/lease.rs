//! A draw on a tenant's bucket, and what is granted of it.

use lichenswitch_configuration::QuotaUnit;

/// Requests that one draw may be for: their grants are told as the bits of a number.
pub const MAX_AMOUNTS: usize = 64;

/// What is wanted of a tenant's bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// What the amounts count.
    pub unit: QuotaUnit,
    /// Amounts of requests that wait, each granted whole or not at all; [`MAX_AMOUNTS`] at most.
    pub amounts: Vec<u64>,
    /// An amount beside them for requests that are expected, granted only while the bucket is well
    /// filled.
    pub prefetch_amount: u64,
}

/// What is granted of a draw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The bit of each need that is granted.
    pub granted_bits: u64,
    /// The amount that is granted ahead.
    pub prefetch_amount: u64,
    /// When the first need that is not granted might be (microseconds from now); 0 where all are
    /// granted.
    pub retry_after_us: u64,
}

impl LeaseGrant {
    /// Whether the need at this place is granted.
    #[must_use]
    pub fn covers(&self, place: usize) -> bool {
        place < MAX_AMOUNTS && self.granted_bits & (1 << place) != 0
    }

    /// Whether all needs of a draw are granted.
    #[must_use]
    pub fn covers_all(&self, draw: &LeaseRequest) -> bool {
        (0..draw.amounts.len()).all(|place| self.covers(place))
    }

    /// This grant and another one of the same draw, whose needs were those that this one left.
    #[must_use]
    pub fn and(self, other: LeaseGrant) -> LeaseGrant {
        let wait = match (self.retry_after_us, other.retry_after_us) {
            (0, wait) | (wait, 0) => wait,
            (one, two) => one.min(two),
        };
        LeaseGrant {
            granted_bits: self.granted_bits | other.granted_bits,
            prefetch_amount: self.prefetch_amount.saturating_add(other.prefetch_amount),
            retry_after_us: wait,
        }
    }

    /// Everything that a draw wants.
    #[must_use]
    pub fn all(draw: &LeaseRequest) -> LeaseGrant {
        let amounts =
            (0..draw.amounts.len().min(MAX_AMOUNTS)).fold(0, |bits, place| bits | (1 << place));
        LeaseGrant {
            granted_bits: amounts,
            prefetch_amount: draw.prefetch_amount,
            retry_after_us: 0,
        }
    }
}
