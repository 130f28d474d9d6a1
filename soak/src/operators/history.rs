//! The orders and reads of all operators.

use super::configuration::Variant;
use crate::journal::{OrderRecord, ReadRecord};
use lichenswitch_emulators::operator::{Order, Outcome};
use std::time::Duration;

/// A configuration that is known to have been in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownConfiguration {
    pub(super) version: u64,
    /// The index of its order.
    pub(super) order_index: usize,
}

/// The orders and reads of all operators.
#[derive(Default)]
pub(super) struct OrderHistory {
    pub(super) orders: Vec<OrderRecord>,
    /// The configuration of each order.
    pub(super) variants: Vec<Variant>,
    /// The newest one that is known.
    pub(super) known: Option<KnownConfiguration>,
    pub(super) reads: Vec<ReadRecord>,
    /// The number of orders that were acknowledged.
    pub(super) acknowledged_count: u64,
}

impl OrderHistory {
    /// The number of the next order; orders are numbered from 1.
    pub(super) fn next_number(&self) -> u64 {
        self.orders.len() as u64 + 1
    }

    /// Adds an order that is about to be sent, and returns its index.
    pub(super) fn add(
        &mut self,
        order: Order,
        version: u64,
        variant: Variant,
        sent: Duration,
    ) -> usize {
        self.orders.push(OrderRecord {
            order,
            number: variant.number,
            version,
            sent,
            acknowledged: None,
            outcomes: Vec::new(),
        });
        self.variants.push(variant);
        self.orders.len() - 1
    }

    /// Records the outcome of an order that was sent or repeated.
    pub(super) fn record(&mut self, order_index: usize, outcome: Outcome, now: Duration) {
        let record = &mut self.orders[order_index];
        record.outcomes.push(outcome);
        if outcome == Outcome::Acknowledged && record.acknowledged.is_none() {
            record.acknowledged = Some(now);
            let version = record.version;
            self.acknowledged_count += 1;
            self.observe(version, order_index);
        }
    }

    /// Takes note that an order is in force under this version.
    pub(super) fn observe(&mut self, version: u64, order_index: usize) {
        if order_index < self.orders.len() && self.known.is_none_or(|known| known.version < version)
        {
            self.known = Some(KnownConfiguration {
                version,
                order_index,
            });
        }
    }
}
