//! Orders that this machine has rejected, as `status` shows them.

use lichenswitch_replication::Time;
use std::collections::VecDeque;

/// Rejected orders that are remembered.
const REMEMBERED_REJECTIONS: usize = 8;

/// An order that was rejected, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedOrder {
    /// HTTP status of the response: 400 or 412.
    pub status: u16,
    /// The version that the order was to change.
    pub base_version: u64,
    /// Why it was rejected, in a sentence.
    pub reason: String,
    /// When it was rejected.
    pub rejected_at: Time,
}

/// The orders that were rejected last.
#[derive(Clone, Debug, Default)]
pub struct RejectedOrders(VecDeque<RejectedOrder>);

impl RejectedOrders {
    /// Remembers a rejected order, and forgets the oldest one beyond the limit.
    pub fn record(&mut self, rejection: RejectedOrder) {
        if self.0.len() >= REMEMBERED_REJECTIONS {
            self.0.pop_front();
        }
        self.0.push_back(rejection);
    }

    /// The remembered orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RejectedOrder> {
        self.0.iter()
    }
}
