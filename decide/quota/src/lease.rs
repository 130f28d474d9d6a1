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
    pub needs: Vec<u64>,
    /// An amount beside them for requests that are expected, granted only while the bucket is well
    /// filled.
    pub ahead: u64,
}

/// What is granted of a draw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The bit of each need that is granted.
    pub needs: u64,
    /// The amount that is granted ahead.
    pub ahead: u64,
    /// When the first need that is not granted might be (microseconds from now); 0 where all are
    /// granted.
    pub wait: u64,
}

impl LeaseGrant {
    /// Whether the need at this place is granted.
    #[must_use]
    pub fn covers(&self, place: usize) -> bool {
        place < MAX_AMOUNTS && self.needs & (1 << place) != 0
    }

    /// Whether all needs of a draw are granted.
    #[must_use]
    pub fn covers_all(&self, draw: &LeaseRequest) -> bool {
        (0..draw.needs.len()).all(|place| self.covers(place))
    }

    /// This grant and another one of the same draw, whose needs were those that this one left.
    #[must_use]
    pub fn and(self, other: LeaseGrant) -> LeaseGrant {
        let wait = match (self.wait, other.wait) {
            (0, wait) | (wait, 0) => wait,
            (one, two) => one.min(two),
        };
        LeaseGrant {
            needs: self.needs | other.needs,
            ahead: self.ahead.saturating_add(other.ahead),
            wait,
        }
    }

    /// Everything that a draw wants.
    #[must_use]
    pub fn all(draw: &LeaseRequest) -> LeaseGrant {
        let needs =
            (0..draw.needs.len().min(MAX_AMOUNTS)).fold(0, |bits, place| bits | (1 << place));
        LeaseGrant {
            needs,
            ahead: draw.ahead,
            wait: 0,
        }
    }
}
