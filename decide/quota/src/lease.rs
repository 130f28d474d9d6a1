//! Requests for leases on a tenant's bucket, and the grants in response.

use lichenswitch_configuration::QuotaUnit;

/// Maximum number of amounts in one request: a grant has one bit for each amount in a `u64`.
pub const MAX_AMOUNTS: usize = 64;

/// A router's request for tokens from a tenant's bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Name of the tenant in the configuration.
    pub tenant: String,
    /// Unit of the amounts.
    pub unit: QuotaUnit,
    /// Amounts of the queued requests, at most [`MAX_AMOUNTS`]; each is granted in full or not at
    /// all.
    pub amounts: Vec<u64>,
    /// An additional amount for requests that are expected soon. It is granted only if at least
    /// half of the bucket's depth remains.
    pub prefetch_amount: u64,
}

/// The part of a [`LeaseRequest`] that is granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Bit mask of the granted amounts: bit `i` is set if amount `i` is granted.
    pub granted_bits: u64,
    /// The granted prefetch amount: all that was requested, or 0.
    pub prefetch_amount: u64,
    /// Shortest time after which a denied amount might be granted (microseconds from now); 0 if all
    /// amounts are granted.
    pub retry_after_us: u64,
}

impl LeaseGrant {
    /// Whether the amount at `index` is granted.
    #[must_use]
    pub fn covers(&self, index: usize) -> bool {
        index < MAX_AMOUNTS && self.granted_bits & (1 << index) != 0
    }

    /// Whether all amounts of `request` are granted, apart from its prefetch amount.
    #[must_use]
    pub fn covers_all(&self, request: &LeaseRequest) -> bool {
        (0..request.amounts.len()).all(|index| self.covers(index))
    }

    /// Combines this grant with another grant for the same request. `other` covers amounts that
    /// this grant denied.
    #[must_use]
    pub fn merge(self, other: LeaseGrant) -> LeaseGrant {
        let retry_after_us = match (self.retry_after_us, other.retry_after_us) {
            (0, wait) | (wait, 0) => wait,
            (first, second) => first.min(second),
        };
        LeaseGrant {
            granted_bits: self.granted_bits | other.granted_bits,
            prefetch_amount: self.prefetch_amount.saturating_add(other.prefetch_amount),
            retry_after_us,
        }
    }

    /// Returns a grant for all amounts of a request, including its prefetch amount.
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
