//! A request for a lease on a tenant's bucket, and what is granted of it.

use lichenswitch_configuration::QuotaUnit;

/// Most amounts of one request: a grant names them by the bits of a number.
pub const MAX_AMOUNTS: usize = 64;

/// Tokens that are requested of a tenant's bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Unit of the amounts.
    pub unit: QuotaUnit,
    /// Amounts of queued requests, [`MAX_AMOUNTS`] at most; each is granted in full or not at all.
    pub amounts: Vec<u64>,
    /// An additional amount for requests that are expected soon, granted only while the bucket is
    /// well filled.
    pub prefetch_amount: u64,
}

/// What is granted of a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Bit `i` is set where amount `i` is granted.
    pub granted_bits: u64,
    /// Granted of the prefetch amount.
    pub prefetch_amount: u64,
    /// When the first amount that is not granted might be (microseconds from now); 0 where all are
    /// granted.
    pub retry_after_us: u64,
}

impl LeaseGrant {
    /// Whether the amount at this index is granted.
    #[must_use]
    pub fn covers(&self, index: usize) -> bool {
        index < MAX_AMOUNTS && self.granted_bits & (1 << index) != 0
    }

    /// Whether all amounts of a request are granted.
    #[must_use]
    pub fn covers_all(&self, request: &LeaseRequest) -> bool {
        (0..request.amounts.len()).all(|index| self.covers(index))
    }

    /// This grant together with another one of the same request, which was for the amounts that this
    /// one had left out.
    #[must_use]
    pub fn merge(self, other: LeaseGrant) -> LeaseGrant {
        let retry_after_us = match (self.retry_after_us, other.retry_after_us) {
            (0, wait) | (wait, 0) => wait,
            (one, two) => one.min(two),
        };
        LeaseGrant {
            granted_bits: self.granted_bits | other.granted_bits,
            prefetch_amount: self.prefetch_amount.saturating_add(other.prefetch_amount),
            retry_after_us,
        }
    }

    /// Grants all that is requested.
    #[must_use]
    pub fn in_full(request: &LeaseRequest) -> LeaseGrant {
        let count = request.amounts.len().min(MAX_AMOUNTS);
        LeaseGrant {
            granted_bits: (0..count).fold(0, |bits, index| bits | (1 << index)),
            prefetch_amount: request.prefetch_amount,
            retry_after_us: 0,
        }
    }
}
