//! Orders that this machine has rejected recently, for the response to a status call.

use lichenswitch_replication::Time;
use std::collections::VecDeque;

/// Maximum number of rejected orders kept.
const MAX_REJECTED_ORDERS: usize = 8;

/// A rejected order and the reason, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedOrder {
    /// HTTP status of the response: 400 or 412.
    pub status: u16,
    /// Configuration version that the order was based on.
    pub base_version: u64,
    /// Reason for the rejection, as sent to the caller.
    pub reason: String,
    /// When the order was rejected, on the clock of this machine.
    pub rejected_at: Time,
}

/// The last rejected orders, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RejectedOrders(VecDeque<RejectedOrder>);

impl RejectedOrders {
    /// Appends a rejected order, and removes the oldest one if the limit is exceeded.
    pub fn record(&mut self, rejection: RejectedOrder) {
        if self.0.len() >= MAX_REJECTED_ORDERS {
            self.0.pop_front();
        }
        self.0.push_back(rejection);
    }

    /// Returns an iterator over the rejected orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &RejectedOrder> {
        self.0.iter()
    }
}
