//! The operators of a day. Some change the configuration nearly all the time, on top of the version
//! that they know, so that two at times race on one version, and repeat what got no clear response
//! at another machine; one reads the configuration in force from any machine.

mod configuration;
mod history;

pub use configuration::{HOST, LONG_CONFIGURATION_PATH};

use crate::journal::{Clock, OrderRecord, ReadRecord};
use crate::tenants::tenants;
use configuration::{is_mark, long_routes, order_number_in, overload_route, Variant, LONG_UPDATES};
use fastrand::Rng;
use history::OrderHistory;
use lichenswitch_emulators::operator::document::{
    replace, replace_with_tenants, update, version, Route,
};
use lichenswitch_emulators::operator::{Operator, Order, Outcome, Verb};
use lichenswitch_emulators::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// An operator sends an order, or a read, for this long until it gets a clear response.
const SEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An operator may repeat this number of the newest acknowledged orders.
const MAX_REPEATABLE: usize = 30;
/// One order in this number loses its first response.
const LOST_RESPONSE_ONE_IN: u32 = 4;
/// After one order in this number an operator repeats an acknowledged one.
const REPETITION_ONE_IN: u32 = 5;

/// The machine that orders are sent to first for a time.
#[derive(Clone, Copy, Debug)]
struct PreferredMachine {
    machine: usize,
    until: Duration,
}

/// What the operators share: the control machines, and the history of their orders.
pub struct Operators {
    clock: Clock,
    control: Vec<SocketAddr>,
    stopped: AtomicBool,
    /// Whether the configuration has the tenants and the route of a day of overload.
    is_overload: bool,
    /// Whether the configuration has long routes, which stay: it is changed by updates alone.
    has_long_routes: bool,
    preferred: Mutex<Option<PreferredMachine>>,
    history: Mutex<OrderHistory>,
}

impl Operators {
    /// Operators that use these control machines.
    #[must_use]
    pub fn new(clock: Clock, control: Vec<SocketAddr>, is_overload: bool) -> Operators {
        Operators {
            clock,
            control,
            is_overload,
            stopped: AtomicBool::new(false),
            has_long_routes: false,
            preferred: Mutex::default(),
            history: Mutex::default(),
        }
    }

    fn history(&self) -> MutexGuard<'_, OrderHistory> {
        lock(&self.history)
    }

    /// Stops the operators: they end what they do, and start nothing more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Makes operators send orders to this machine first for a time.
    pub fn prefer_machine(&self, machine: usize, time: Duration) {
        let until = self.clock.now() + time;
        *lock(&self.preferred) = Some(PreferredMachine { machine, until });
    }

    /// The machine that an order is sent to first.
    fn first_machine(&self, random: &mut Rng) -> usize {
        let preferred = *lock(&self.preferred);
        preferred
            .filter(|preferred| self.clock.now() < preferred.until)
            .map_or_else(
                || random.usize(0..self.control.len()),
                |preferred| preferred.machine,
            )
    }

    /// The number of orders that were acknowledged.
    #[must_use]
    pub fn acknowledged_count(&self) -> u64 {
        self.history().acknowledged_count
    }

    /// All orders so far.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.history().orders.clone()
    }

    /// All reads so far, without those of [`Operators::read_back`].
    #[must_use]
    pub fn reads(&self) -> Vec<ReadRecord> {
        self.history().reads.clone()
    }

    /// Orders the first configuration; returns whether it was acknowledged within this time.
    #[must_use]
    pub fn send_first_order(&self, at_most: Duration) -> bool {
        let variant = Variant::first();
        let order = Order {
            verb: Verb::Replace,
            base: 0,
            body: self.replacement(1, variant),
        };
        self.history()
            .add(order.clone(), 1, variant, self.clock.now());
        let outcome = Operator::new(self.control.clone()).send(&order, 0, at_most);
        self.record(0, outcome);
        outcome == Outcome::Acknowledged
    }

    /// The document that replaces the configuration by a variant.
    fn replacement(&self, version: u64, variant: Variant) -> String {
        let mut routes = variant.routes();
        if !self.is_overload {
            return replace(version, &routes);
        }
        routes.push(overload_route());
        replace_with_tenants(version, &routes, &tenants())
    }

    /// Adds routes by updates until the configuration is longer than 5 MiB. Returns when the last update was
    /// acknowledged, or `None` if one was not within this time.
    #[must_use]
    pub fn send_long_routes(&mut self, at_most: Duration) -> Option<Duration> {
        self.has_long_routes = true;
        let operator = Operator::new(self.control.clone());
        for index in 0..LONG_UPDATES {
            let base = u64::try_from(index).unwrap_or(u64::MAX) + 1;
            let variant = Variant::first().with_number(base + 1);
            let mut routes = long_routes(index);
            routes.extend(variant.routes().into_iter().filter(is_mark));
            let order = Order {
                verb: Verb::Update,
                base,
                body: update(base + 1, &routes, &[]),
            };
            let order_index =
                self.history()
                    .add(order.clone(), base + 1, variant, self.clock.now());
            let outcome = operator.send(&order, 0, at_most);
            self.record(order_index, outcome);
            if outcome != Outcome::Acknowledged {
                return None;
            }
        }
        Some(self.clock.now())
    }

    /// Changes the configuration until the operators are stopped, with a delay of up to `max_delay`
    /// after each order.
    pub fn send_orders(&self, max_delay: Duration, random: &mut Rng) {
        let operator = Operator::new(self.control.clone());
        while !self.is_stopped() {
            let order_index = self.create_order(random);
            self.send(&operator, order_index, random);
            if random.u32(0..REPETITION_ONE_IN) == 0 {
                self.repeat(&operator, random);
            }
            thread::sleep(max_delay.mul_f64(random.f64()));
        }
    }

    /// Draws a new order on top of the newest known version, and returns its index. Two operators
    /// may draw the same version.
    fn create_order(&self, random: &mut Rng) -> usize {
        let keeps_routes = random.bool() || self.has_long_routes;
        // Created and added under one lock: each order has a number that no other has.
        let mut history = self.history();
        let (base, order_index) = history
            .known
            .map_or((0, 0), |known| (known.version, known.order_index));
        let variant =
            history.variants[order_index].next(history.next_number(), keeps_routes, random);
        let version = base + random.u64(1..4);
        let (verb, body) = if keeps_routes {
            let changed: Vec<Route> = variant
                .routes()
                .into_iter()
                .filter(|route| random.bool() || is_mark(route))
                .collect();
            (Verb::Update, update(version, &changed, &[]))
        } else {
            (Verb::Replace, self.replacement(version, variant))
        };
        let order = Order { verb, base, body };
        history.add(order, version, variant, self.clock.now())
    }

    /// Sends an order until it has a clear response. At times the operator first sends it to another
    /// machine and does not wait for the response.
    fn send(&self, operator: &Operator, order_index: usize, random: &mut Rng) {
        let order = self.history().orders[order_index].order.clone();
        let first = self.first_machine(random);
        if random.u32(0..LOST_RESPONSE_ONE_IN) == 0 {
            // One that can't be sent there is sent elsewhere all the same.
            let _ = operator.send_without_waiting(&order, first + 1);
        }
        let outcome = operator.send(&order, first, SEND_TIMEOUT);
        self.record(order_index, outcome);
        if outcome != Outcome::Acknowledged {
            self.observe_current(operator, random);
        }
    }

    /// Repeats an acknowledged order at any machine.
    fn repeat(&self, operator: &Operator, random: &mut Rng) {
        let acknowledged: Vec<usize> = self
            .history()
            .orders
            .iter()
            .enumerate()
            .filter(|(_, order)| order.acknowledged.is_some())
            .map(|(order_index, _)| order_index)
            .collect();
        let newest = acknowledged.iter().rev().take(MAX_REPEATABLE);
        let Some(order_index) = random.choice(newest) else {
            return;
        };
        let order = self.history().orders[*order_index].order.clone();
        let machine = random.usize(0..self.control.len());
        let outcome = operator.send(&order, machine, SEND_TIMEOUT);
        self.record(*order_index, outcome);
    }

    fn record(&self, order_index: usize, outcome: Outcome) {
        let now = self.clock.now();
        self.history().record(order_index, outcome, now);
    }

    /// Reads the configuration in force, so that the next order builds on it.
    fn observe_current(&self, operator: &Operator, random: &mut Rng) {
        let machine = random.usize(0..self.control.len());
        let Some(document) = operator.describe(machine, SEND_TIMEOUT) else {
            return;
        };
        if let (Some(version), Some(number)) = (version(&document), order_number_in(&document)) {
            let order_index = usize::try_from(number - 1).unwrap_or(usize::MAX);
            self.history().observe(version, order_index);
        }
    }

    /// Reads the configuration from one machine after another until the operators are stopped.
    pub fn read(&self, random: &mut Rng) {
        let operator = Operator::new(self.control.clone());
        while !self.is_stopped() {
            let machine = random.usize(0..self.control.len());
            if let Some(read) = self.read_from(&operator, machine, machine, Duration::ZERO) {
                self.history().reads.push(read);
            }
            thread::sleep(Duration::from_millis(random.u64(20..200)));
        }
    }

    /// Reads the configuration from one machine, within this time.
    #[must_use]
    pub fn read_back(&self, machine: usize, at_most: Duration) -> Option<ReadRecord> {
        let operator = Operator::new(vec![self.control[machine]]);
        self.read_from(&operator, 0, machine, at_most)
    }

    /// Reads the configuration from `machine`, which is number `first` of the operator's machines.
    fn read_from(
        &self,
        operator: &Operator,
        first: usize,
        machine: usize,
        at_most: Duration,
    ) -> Option<ReadRecord> {
        let sent = self.clock.now();
        let document = operator.describe(first, at_most)?;
        Some(ReadRecord {
            machine,
            sent,
            version: version(&document).unwrap_or(0),
            order: order_number_in(&document).unwrap_or(0),
        })
    }
}
