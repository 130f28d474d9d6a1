//! The oracle: it records what the control machines answer and commit, and judges it by rules that
//! must always hold.
//!
//! A response counts from the moment in which it is sent, also if it is lost on its way: that is
//! stricter than what callers see. Every broken rule becomes a [`Violation`], in order.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use lichenswitch_configuration::{Order, OrderDigest, State};
use lichenswitch_replication::{Position, ReplicatedState, Time};
use thiserror::Error;

use crate::control::Replicated;
use crate::documents::{order_of, version_of, OrderId};
use crate::network::Host;
use crate::packet::{CallId, Reply};

/// A rule that was broken. Durations are in milliseconds of virtual time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two orders with the same base version were both acknowledged.
    #[error("orders {0:?} and {1:?} on version {2} were both acknowledged")]
    ConflictingOrdersAcknowledged(OrderId, OrderId, u64),
    /// An order was both acknowledged and rejected (with this HTTP status).
    #[error("order {0:?} was acknowledged, and rejected with {1}")]
    AcknowledgedAndRejected(OrderId, u16),
    /// An invalid order was acknowledged.
    #[error("order {0:?} is invalid, and was acknowledged")]
    InvalidOrderAcknowledged(OrderId),
    /// A valid order was rejected as invalid (with this HTTP status).
    #[error("order {0:?} is valid, and was rejected with {1}")]
    ValidOrderRejected(OrderId, u16),
    /// `describe` returned a version older than one reported before the call was sent.
    #[error(
        "describe at {machine} returned version {returned}, and {known} had been reported before the call"
    )]
    StaleDescribe {
        /// The machine that responded.
        machine: Host,
        /// Version that it returned.
        returned: u64,
        /// Newest version that had been reported before.
        known: u64,
    },
    /// `describe` returned a document that was not committed under its version.
    #[error("describe at {0} returned a version {1} that was never committed so")]
    UncommittedDescribe(Host, u64),
    /// Two different states were committed under one record number.
    #[error("at number {number}, {here:?} was committed at {machine}, and {there:?} elsewhere")]
    DivergentCommit {
        /// Number of the record.
        number: u64,
        /// The machine that committed.
        machine: Host,
        /// The position that it committed.
        here: Position,
        /// The position that was committed there first.
        there: Position,
    },
    /// A router has a configuration in force that was rejected or never committed.
    #[error("order {1:?} is in force at router {0}, and was rejected or never committed")]
    UncommittedInForce(Host, OrderId),
    /// An order was rejected that is in force at a router.
    #[error("order {0:?} was rejected, and is in force")]
    RejectedInForce(OrderId),
    /// A router replaced its configuration by an older one.
    #[error("router {router} went from version {from} to {to}")]
    RouterVersionRegressed {
        /// The router.
        router: Host,
        /// Version that it had in force.
        from: u64,
        /// Version that it has in force now.
        to: u64,
    },
    /// A starting router was served an old configuration as the current one.
    #[error(
        "router {router} was served version {served} as current, and {known} had been acknowledged long before"
    )]
    StaleConfigurationServed {
        /// The router.
        router: Host,
        /// Version that it was served.
        served: u64,
        /// Newest version that had been acknowledged long enough before.
        known: u64,
    },
    /// An acknowledged order is missing from the state at the end.
    #[error("order {0:?} was acknowledged, and is missing")]
    AcknowledgedOrderLost(OrderId),
    /// An order was not acknowledged in time though the core was stable (milliseconds).
    #[error("order {0:?} has waited {1} ms with a stable core")]
    OrderOverdue(OrderId, u64),
    /// A router lacks an acknowledged change though the core was stable.
    #[error(
        "router {router} has version {has:?} in force, and {lacks} was acknowledged {ago} ms ago"
    )]
    RouterOverdue {
        /// The router.
        router: Host,
        /// What it has in force.
        has: Option<u64>,
        /// Acknowledged version that it lacks.
        lacks: u64,
        /// Time since the acknowledgement, in milliseconds.
        ago: u64,
    },
    /// A process can't read its own disk.
    #[error("{0} can't read its disk: {1}")]
    DiskUnreadable(Host, String),
    /// A process wakes again and again with nothing to do.
    #[error("{0} was woken {1} times in 100 ms")]
    ExcessiveWakes(Host, u32),
    /// No committed state could be read at the end.
    #[error("nothing could be read back at the end")]
    FinalReadFailed,
    /// A member did not catch up within the bound.
    #[error("{machine} has committed {committed_here:?}, and the group {group:?}")]
    MemberNotCaughtUp {
        /// The machine.
        machine: Host,
        /// The position committed at the machine.
        committed_here: Option<Position>,
        /// The position committed at the primary.
        group: Option<Position>,
    },
}

/// An order, and the responses to it so far.
#[derive(Clone, Debug)]
pub struct OrderEntry {
    /// The order.
    pub order: Order,
    digest: OrderDigest,
    /// Version of the configuration once the order is applied.
    pub version: u64,
    valid: bool,
    /// When it was sent first.
    pub sent_at: Option<Time>,
    /// When it was acknowledged first.
    pub acknowledged_at: Option<Time>,
    rejected: bool,
}

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// To apply an order.
    Order(OrderId),
    /// To return the newest configuration.
    Describe,
}

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
    by_base: BTreeMap<u64, OrderId>,
    /// Highest version that was acknowledged or described.
    newest_reported: u64,
    /// Versions that were acknowledged, with the time; both rise.
    acknowledged: Vec<(Time, u64)>,
    committed: BTreeMap<u64, (Position, u64)>,
    documents: BTreeMap<u64, u64>,
    in_force: BTreeSet<OrderId>,
    /// Rules that were broken, in order.
    pub violations: Vec<Violation>,
    /// Responses by HTTP status; 0: the connection closed without one.
    pub answers: BTreeMap<u16, u64>,
}

impl Oracle {
    /// Registers a new order, which `make` builds from its id; returns the id.
    pub fn register(
        &mut self,
        valid: bool,
        version: u64,
        make: impl FnOnce(OrderId) -> Order,
    ) -> OrderId {
        let id = OrderId(self.orders.len() as u32);
        let order = make(id);
        let digest = order.digest();
        let (sent_at, acknowledged_at, rejected) = (None, None, false);
        self.orders.push(OrderEntry {
            order,
            digest,
            version,
            valid,
            sent_at,
            acknowledged_at,
            rejected,
        });
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
            Reply::Answer { status, body } => (*status, body),
            Reply::Closed => (0, &[]),
        };
        *self.answers.entry(status).or_default() += 1;
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
        if !entry.valid {
            self.violations
                .push(Violation::InvalidOrderAcknowledged(id));
        }
        if entry.rejected {
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
        let first = *self.by_base.entry(base).or_insert(id);
        if first != id {
            self.violations
                .push(Violation::ConflictingOrdersAcknowledged(first, id, base));
        }
    }

    fn on_rejected(&mut self, id: OrderId, status: u16) {
        let entry = &mut self.orders[id.0 as usize];
        entry.rejected = true;
        if entry.acknowledged_at.is_some() {
            self.violations
                .push(Violation::AcknowledgedAndRejected(id, status));
        }
        if entry.valid && status != 412 {
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
        if self.documents.get(&returned) != Some(&hash(body)) {
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
            self.documents
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
        let committed = self.documents.get(&to) == Some(&hash(document));
        if self.order(order).rejected || !committed {
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
            entry.acknowledged_at.is_some() && !state.has_applied(&entry.digest)
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
