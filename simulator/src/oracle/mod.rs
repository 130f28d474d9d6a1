//! The oracle: it records the responses and commits of the control machines, and checks them by rules
//! that must always hold.
//!
//! A response counts from the moment in which it is sent, also if it is lost on its way: that is
//! stricter than what callers see. Every violation is recorded, in order.

mod order_entry;
mod violation;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use lichenswitch_configuration::{Order, State};
use lichenswitch_replication::{Position, ReplicatedState, Time};

pub use self::order_entry::OrderEntry;
pub use self::violation::Violation;
use crate::control::Replicated;
use crate::network::Host;
use crate::orders::{order_of, version_of, OrderId};
use crate::packet::{CallId, Reply};

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// To apply an order.
    Order(OrderId),
    /// To return the newest configuration.
    Describe,
}

/// A call that has had no response yet.
#[derive(Clone, Debug)]
struct OpenCall {
    purpose: CallPurpose,
    /// Newest version that had been reported when the call was sent.
    known: u64,
}

/// What was answered and committed, and the violations found in it.
#[derive(Debug, Default)]
pub struct Oracle {
    orders: Vec<OrderEntry>,
    calls: BTreeMap<CallId, OpenCall>,
    /// The order that was acknowledged on each base version.
    acknowledged_on: BTreeMap<u64, OrderId>,
    /// Highest version that was acknowledged or described.
    newest_reported: u64,
    /// Versions that were acknowledged, with the time; both rise.
    acknowledged: Vec<(Time, u64)>,
    /// By record number: the position that was committed first, and the hash of the state there.
    committed: BTreeMap<u64, (Position, u64)>,
    /// By version: the hash of the configuration that was committed.
    committed_documents: BTreeMap<u64, u64>,
    /// Orders whose configuration was in force at a router.
    in_force: BTreeSet<OrderId>,
    /// The violations, in order.
    pub violations: Vec<Violation>,
    /// Number of responses by HTTP status; 0: the connection closed without one.
    pub responses: BTreeMap<u16, u64>,
}

impl Oracle {
    /// Registers a new order, which `make` builds from its id, with the version of the configuration
    /// that it results in; returns the id.
    pub fn register(
        &mut self,
        valid: bool,
        version: u64,
        make: impl FnOnce(OrderId) -> Order,
    ) -> OrderId {
        let id = OrderId(self.orders.len() as u32);
        self.orders.push(OrderEntry::new(make(id), version, valid));
        id
    }

    /// The entry of an order.
    pub fn order(&self, id: OrderId) -> &OrderEntry {
        &self.orders[id.0 as usize]
    }

    /// All orders, in the order of registration.
    pub fn orders(&self) -> impl Iterator<Item = (OrderId, &OrderEntry)> {
        self.orders
            .iter()
            .enumerate()
            .map(|(number, entry)| (OrderId(number as u32), entry))
    }

    /// Records a call that is being sent.
    pub fn on_call(&mut self, now: Time, id: CallId, purpose: CallPurpose) {
        if let CallPurpose::Order(order) = purpose {
            self.orders[order.0 as usize].sent_at.get_or_insert(now);
        }
        self.calls.insert(
            id,
            OpenCall {
                purpose,
                known: self.newest_reported,
            },
        );
    }

    /// Records a control machine's response to a call; returns whether it acknowledges an order.
    pub fn on_reply(&mut self, now: Time, machine: Host, id: CallId, reply: &Reply) -> bool {
        let Some(call) = self.calls.remove(&id) else {
            return false;
        };
        let (status, body): (u16, &[u8]) = match reply {
            Reply::Response { status, body } => (*status, body),
            Reply::Closed => (0, &[]),
        };
        *self.responses.entry(status).or_default() += 1;
        match (call.purpose, status) {
            (CallPurpose::Order(order), 200) => self.on_acknowledged(now, order),
            (CallPurpose::Order(order), 400..=499) => self.on_rejected(order, status),
            (CallPurpose::Describe, 200) => self.on_described(machine, call.known, body),
            _ => {}
        }
        matches!((call.purpose, status), (CallPurpose::Order(_), 200))
    }

    fn on_acknowledged(&mut self, now: Time, id: OrderId) {
        let entry = &mut self.orders[id.0 as usize];
        let (base, version) = (entry.order.base_version, entry.version);
        if !entry.is_valid {
            self.violations
                .push(Violation::InvalidOrderAcknowledged(id));
        }
        if entry.was_rejected {
            self.violations
                .push(Violation::AcknowledgedAndRejected(id, 412));
        }
        if entry.acknowledged_at.is_none() {
            entry.acknowledged_at = Some(now);
            if version > self.newest_acknowledged() {
                self.acknowledged.push((now, version));
            }
        }
        self.newest_reported = self.newest_reported.max(version);
        let first = *self.acknowledged_on.entry(base).or_insert(id);
        if first != id {
            self.violations
                .push(Violation::ConflictingOrdersAcknowledged(first, id, base));
        }
    }

    fn on_rejected(&mut self, id: OrderId, status: u16) {
        let entry = &mut self.orders[id.0 as usize];
        entry.was_rejected = true;
        if entry.acknowledged_at.is_some() {
            self.violations
                .push(Violation::AcknowledgedAndRejected(id, status));
        }
        if entry.is_valid && status != 412 {
            self.violations
                .push(Violation::ValidOrderRejected(id, status));
        }
        if self.in_force.contains(&id) {
            self.violations.push(Violation::RejectedInForce(id));
        }
    }

    fn on_described(&mut self, machine: Host, known: u64, body: &[u8]) {
        let returned = version_of(body).unwrap_or(0);
        if returned < known {
            self.violations.push(Violation::StaleDescribe {
                machine,
                returned,
                known,
            });
        }
        if self.committed_documents.get(&returned) != Some(&hash(body)) {
            self.violations
                .push(Violation::UncommittedDescribe(machine, returned));
        }
        self.newest_reported = self.newest_reported.max(returned);
    }

    /// Records and checks a position that a control machine considers committed.
    pub fn on_committed(&mut self, machine: Host, position: Position, replicated: &Replicated) {
        let digest = hash(&replicated.encode());
        let (there, first) = *self
            .committed
            .entry(position.number)
            .or_insert((position, digest));
        if there != position || first != digest {
            let (number, here) = (position.number, position);
            self.violations.push(Violation::DivergentCommit {
                number,
                machine,
                here,
                there,
            });
        }
        if let Some(document) = replicated.state().document() {
            self.committed_documents
                .entry(document.version())
                .or_insert_with(|| hash(&document.to_json()));
        }
    }

    /// Checks a configuration that a router puts in force; `before`: the version it had in force.
    pub fn on_in_force(&mut self, router: Host, before: Option<u64>, document: &[u8]) {
        let (Some(to), Some(order)) = (version_of(document), order_of(document)) else {
            return;
        };
        self.in_force.insert(order);
        if let Some(from) = before.filter(|from| *from > to) {
            self.violations
                .push(Violation::RouterVersionRegressed { router, from, to });
        }
        let committed = self.committed_documents.get(&to) == Some(&hash(document));
        if self.order(order).was_rejected || !committed {
            self.violations
                .push(Violation::UncommittedInForce(router, order));
        }
    }

    /// Checks a configuration that a machine in contact served to a starting router as current: it
    /// may not be older than what was acknowledged by `acknowledged_by`.
    pub fn on_served_as_current(&mut self, router: Host, document: &[u8], acknowledged_by: Time) {
        let served = version_of(document).unwrap_or(0);
        let known = self.acknowledged_before(acknowledged_by);
        if served < known {
            self.violations.push(Violation::StaleConfigurationServed {
                router,
                served,
                known,
            });
        }
    }

    /// Newest version that was acknowledged by this time; 0 if none.
    pub fn acknowledged_before(&self, time: Time) -> u64 {
        let after = self.acknowledged.partition_point(|(at, _)| *at <= time);
        after
            .checked_sub(1)
            .map_or(0, |last| self.acknowledged[last].1)
    }

    /// When this version or a newer one was acknowledged first.
    pub fn acknowledged_at(&self, version: u64) -> Option<Time> {
        self.acknowledged
            .iter()
            .find(|(_, newer)| *newer >= version)
            .map(|(at, _)| *at)
    }

    /// Versions that were acknowledged, with the time.
    pub fn acknowledgements(&self) -> &[(Time, u64)] {
        &self.acknowledged
    }

    /// Newest version that was acknowledged.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.last().map_or(0, |last| last.1)
    }

    /// Checks that the group's final state includes every acknowledged order.
    pub fn check_end(&mut self, state: &State) {
        let is_lost = |entry: &OrderEntry| {
            entry.acknowledged_at.is_some() && !state.has_applied(entry.digest())
        };
        let lost: Vec<OrderId> = self
            .orders()
            .filter(|(_, entry)| is_lost(entry))
            .map(|(id, _)| id)
            .collect();
        self.violations
            .extend(lost.into_iter().map(Violation::AcknowledgedOrderLost));
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}
