//! What the oracle knows of one order.

use lichenswitch_configuration::{Order, OrderDigest};
use lichenswitch_replication::Time;

/// An order, and the responses to it so far.
#[derive(Clone, Debug)]
pub struct OrderEntry {
    /// The order.
    pub order: Order,
    digest: OrderDigest,
    /// Version of the configuration once the order is applied.
    pub version: u64,
    pub(super) is_valid: bool,
    /// When it was sent first.
    pub sent_at: Option<Time>,
    /// When it was acknowledged first.
    pub acknowledged_at: Option<Time>,
    pub(super) was_rejected: bool,
}

impl OrderEntry {
    pub(super) fn new(order: Order, version: u64, is_valid: bool) -> Self {
        let digest = order.digest();
        Self {
            order,
            digest,
            version,
            is_valid,
            sent_at: None,
            acknowledged_at: None,
            was_rejected: false,
        }
    }

    /// The digest by which the control machines recognize the order.
    pub(super) fn digest(&self) -> &OrderDigest {
        &self.digest
    }
}
