//! What the control machines told, and the rules by which it is judged.
//!
//! An answer counts from the moment in which it is given, also if it is lost on its way: that is
//! stricter than what callers see.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

use lichenswitch_configuration::{Order, OrderDigest, State};
use lichenswitch_replication::{Position, ReplicatedState, Time};
use thiserror::Error;

use crate::control::Replicated;
use crate::documents::{order_of, version_of, OrderId};
use crate::network::Host;
use crate::packet::{CallId, Reply};

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two changes on one version were acknowledged.
    #[error("orders {0:?} and {1:?} on version {2} were both acknowledged")]
    TwoOnOneBase(OrderId, OrderId, u64),
    /// An order was acknowledged and refused.
    #[error("order {0:?} was acknowledged, and refused with {1}")]
    AcknowledgedAndRefused(OrderId, u16),
    /// An order that nobody may take was acknowledged.
    #[error("order {0:?} is invalid, and was acknowledged")]
    InvalidAcknowledged(OrderId),
    /// A proper order was called invalid.
    #[error("order {0:?} is proper, and was refused with {1}")]
    ProperRefused(OrderId, u16),
    /// `describe` is older than what was told before it was asked.
    #[error(
        "describe at {machine} told version {reported}, and {known} had been told before it was asked"
    )]
    DescribeOld {
        /// Who answered.
        machine: Host,
        /// Version that was told.
        reported: u64,
        /// Version that had been told before.
        known: u64,
    },
    /// `describe` is not what was committed under its version.
    #[error("describe at {0} told a version {1} that was never committed so")]
    DescribeForeign(Host, u64),
    /// Two states were committed under one number.
    #[error("at number {number}, {here:?} was committed at {machine}, and {there:?} elsewhere")]
    TwoStates {
        /// Number of the record.
        number: u64,
        /// Who committed.
        machine: Host,
        /// Its position.
        here: Position,
        /// The one that was committed first.
        there: Position,
    },
    /// A configuration is in force that was refused or never committed.
    #[error("order {1:?} is in force at router {0}, and was refused or never committed")]
    LostInForce(Host, OrderId),
    /// An order was refused that is in force at a router.
    #[error("order {0:?} was refused, and is in force")]
    RefusedInForce(OrderId),
    /// A router went back.
    #[error("router {router} went from version {from} to {to}")]
    RouterWentBack {
        /// The router.
        router: Host,
        /// What it had in force.
        from: u64,
        /// What it has.
        to: u64,
    },
    /// A configuration was handed to a starting router as current, and was old.
    #[error(
        "router {router} was handed version {handed} as current, and {known} had been in force for long"
    )]
    HandedOld {
        /// The router.
        router: Host,
        /// What it was handed.
        handed: u64,
        /// What had been acknowledged.
        known: u64,
    },
    /// An acknowledged order is not there at the end.
    #[error("order {0:?} was acknowledged, and is gone")]
    Lost(OrderId),
    /// An order had no acknowledgement in time though the core was stable.
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
        /// What it lacks.
        lacks: u64,
        /// For how long (milliseconds).
        ago: u64,
    },
    /// A process can't read its own disk.
    #[error("{0} can't read its disk: {1}")]
    DiskUnreadable(Host, String),
    /// A process wakes again and again without need.
    #[error("{0} was woken {1} times in 100 ms")]
    Spins(Host, u32),
    /// The read at the end gave nothing.
    #[error("nothing could be read back at the end")]
    NothingReadBack,
    /// A member did not catch up within the bound.
    #[error("{machine} stands at {stands:?}, and the group at {group:?}")]
    NotCaughtUp {
        /// The machine.
        machine: Host,
        /// Where it stands.
        stands: Option<Position>,
        /// Where the group stands.
        group: Option<Position>,
    },
}

/// An order, and what was told about it.
#[derive(Clone, Debug)]
pub struct OrderEntry {
    /// The order.
    pub order: Order,
    digest: OrderDigest,
    /// Version that it brings.
    pub version: u64,
    proper: bool,
    /// When it was sent first.
    pub sent_at: Option<Time>,
    /// When it was acknowledged first.
    pub acknowledged_at: Option<Time>,
    refused: bool,
}

/// What a call asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestedRead {
    /// To take an order.
    Order(OrderId),
    /// For the newest configuration.
    Describe,
}

#[derive(Clone, Debug)]
struct OpenCall {
    requested: RequestedRead,
    /// Version that had been told when it was sent.
    known: u64,
}

/// All that was told.
#[derive(Debug, Default)]
pub struct Ledger {
    orders: Vec<OrderEntry>,
    calls: BTreeMap<CallId, OpenCall>,
    by_base: BTreeMap<u64, OrderId>,
    /// Highest version that was acknowledged or described.
    reported: u64,
    /// Versions that were acknowledged, with the time; both rise.
    acknowledged: Vec<(Time, u64)>,
    committed: BTreeMap<u64, (Position, u64)>,
    documents: BTreeMap<u64, u64>,
    in_force: BTreeSet<OrderId>,
    /// What was broken, in order.
    pub violations: Vec<Violation>,
    /// Answers given, by status; 0: a connection ended without one.
    pub answers: BTreeMap<u16, u64>,
}

impl Ledger {
    /// A new order, made by its number.
    pub fn register(
        &mut self,
        proper: bool,
        version: u64,
        make: impl FnOnce(OrderId) -> Order,
    ) -> OrderId {
        let id = OrderId(self.orders.len() as u32);
        let order = make(id);
        let digest = order.digest();
        let (sent_at, acknowledged_at, refused) = (None, None, false);
        self.orders.push(OrderEntry {
            order,
            digest,
            version,
            proper,
            sent_at,
            acknowledged_at,
            refused,
        });
        id
    }

    /// An order.
    pub fn order(&self, id: OrderId) -> &OrderEntry {
        &self.orders[id.0 as usize]
    }

    /// All orders.
    pub fn orders(&self) -> impl Iterator<Item = (OrderId, &OrderEntry)> {
        self.orders
            .iter()
            .enumerate()
            .map(|(number, entry)| (OrderId(number as u32), entry))
    }

    /// A call is sent.
    pub fn on_call(&mut self, now: Time, id: CallId, requested: RequestedRead) {
        if let RequestedRead::Order(order) = requested {
            self.orders[order.0 as usize].sent_at.get_or_insert(now);
        }
        self.calls.insert(
            id,
            OpenCall {
                requested,
                known: self.reported,
            },
        );
    }

    /// A control machine ends a call; whether it acknowledges an order.
    pub fn on_reply(&mut self, now: Time, machine: Host, id: CallId, reply: &Reply) -> bool {
        let Some(call) = self.calls.remove(&id) else {
            return false;
        };
        let (status, body): (u16, &[u8]) = match reply {
            Reply::Answer { status, body } => (*status, body),
            Reply::Closed => (0, &[]),
        };
        *self.answers.entry(status).or_default() += 1;
        match (call.requested, status) {
            (RequestedRead::Order(order), 200) => self.on_acknowledged(now, order),
            (RequestedRead::Order(order), 400..=499) => self.on_refused(order, status),
            (RequestedRead::Describe, 200) => self.on_described(machine, call.known, body),
            _ => {}
        }
        matches!((call.requested, status), (RequestedRead::Order(_), 200))
    }

    fn on_acknowledged(&mut self, now: Time, id: OrderId) {
        let entry = &mut self.orders[id.0 as usize];
        let (base, version) = (entry.order.base_version, entry.version);
        if !entry.proper {
            self.violations.push(Violation::InvalidAcknowledged(id));
        }
        if entry.refused {
            self.violations
                .push(Violation::AcknowledgedAndRefused(id, 412));
        }
        if entry.acknowledged_at.is_none() {
            entry.acknowledged_at = Some(now);
            if version > self.reported_acknowledged() {
                self.acknowledged.push((now, version));
            }
        }
        self.reported = self.reported.max(version);
        let first = *self.by_base.entry(base).or_insert(id);
        if first != id {
            self.violations
                .push(Violation::TwoOnOneBase(first, id, base));
        }
    }

    fn on_refused(&mut self, id: OrderId, status: u16) {
        let entry = &mut self.orders[id.0 as usize];
        entry.refused = true;
        if entry.acknowledged_at.is_some() {
            self.violations
                .push(Violation::AcknowledgedAndRefused(id, status));
        }
        if entry.proper && status != 412 {
            self.violations.push(Violation::ProperRefused(id, status));
        }
        if self.in_force.contains(&id) {
            self.violations.push(Violation::RefusedInForce(id));
        }
    }

    fn on_described(&mut self, machine: Host, known: u64, body: &[u8]) {
        let reported = version_of(body).unwrap_or(0);
        if reported < known {
            self.violations.push(Violation::DescribeOld {
                machine,
                reported,
                known,
            });
        }
        if self.documents.get(&reported) != Some(&hash(body)) {
            self.violations
                .push(Violation::DescribeForeign(machine, reported));
        }
        self.reported = self.reported.max(reported);
    }

    /// A control machine knows a position as committed.
    pub fn on_committed(&mut self, machine: Host, position: Position, replicated: &Replicated) {
        let digest = hash(&replicated.encode());
        let (there, first) = *self
            .committed
            .entry(position.number)
            .or_insert((position, digest));
        if there != position || first != digest {
            let (number, here) = (position.number, position);
            self.violations.push(Violation::TwoStates {
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

    /// A router has put a configuration in force.
    pub fn on_in_force(&mut self, router: Host, before: Option<u64>, document: &[u8]) {
        let (Some(to), Some(order)) = (version_of(document), order_of(document)) else {
            return;
        };
        self.in_force.insert(order);
        if let Some(from) = before.filter(|from| *from > to) {
            self.violations
                .push(Violation::RouterWentBack { router, from, to });
        }
        let committed = self.documents.get(&to) == Some(&hash(document));
        if self.order(order).refused || !committed {
            self.violations.push(Violation::LostInForce(router, order));
        }
    }

    /// A starting router was handed a configuration as current by a machine that said it was in
    /// contact.
    pub fn on_handed_as_current(&mut self, router: Host, document: &[u8], long_ago: Time) {
        let handed = version_of(document).unwrap_or(0);
        let known = self.acknowledged_before(long_ago);
        if handed < known {
            self.violations.push(Violation::HandedOld {
                router,
                handed,
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
    pub fn reported_acknowledged(&self) -> u64 {
        self.acknowledged.last().map_or(0, |last| last.1)
    }

    /// Judges the state that the group holds at the end.
    pub fn check_end(&mut self, state: &State) {
        let lost = |entry: &OrderEntry| {
            entry.acknowledged_at.is_some() && !state.has_applied(&entry.digest)
        };
        let lost: Vec<OrderId> = self
            .orders()
            .filter(|(_, entry)| lost(entry))
            .map(|(id, _)| id)
            .collect();
        self.violations
            .extend(lost.into_iter().map(Violation::Lost));
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(bytes);
    hasher.finish()
}
