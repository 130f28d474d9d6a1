//! The operators of a day: they change the configuration nearly all the time, on top of what they
//! know, two of them at times at once, and repeat what got no clear answer elsewhere; and a reader
//! who asks any machine for the configuration in force.

use crate::journal::{Clock, OrderRecord, ReadRecord};
use crate::servers::SERVICES;
use fastrand::Rng;
use lichenswitch_emulators::operator::document::{replace, update, version, Route};
use lichenswitch_emulators::operator::{Operator, Order, Outcome, Verb};
use lichenswitch_emulators::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "help.example";
/// An operator tries an order, and a read, for so long at a time.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Orders that an operator may repeat long after their acknowledgement: the newest.
const REPEATABLE: usize = 30;

/// What a configuration says.
#[derive(Clone, Copy, Debug)]
struct Variant {
    /// Order that makes it.
    number: u64,
    /// `timeoutMs` of the streams' routes: above all their deadlines.
    long_timeout: u64,
    /// `timeoutMs` of the short requests' routes: above all their deadlines.
    short_timeout: u64,
    attempts: u32,
    /// Share of the second service, and the route that comes and goes with it.
    second: Option<u32>,
}

impl Variant {
    fn first() -> Variant {
        Variant {
            number: 1,
            long_timeout: 12_000,
            short_timeout: 3_000,
            attempts: 2,
            second: Some(30),
        }
    }

    /// Another one on top of it; where `within`, of the same routes and services.
    fn next(self, number: u64, within: bool, random: &mut Rng) -> Variant {
        let second = match self.second {
            Some(_) if within => Some(random.u32(1..60)),
            None if within => None,
            _ => random.bool().then(|| random.u32(1..60)),
        };
        let (long_timeout, short_timeout) = (random.u64(9_500..14_000), random.u64(2_300..4_000));
        Variant {
            number,
            long_timeout,
            short_timeout,
            attempts: random.u32(1..4),
            second,
        }
    }

    fn routes(self) -> Vec<Route> {
        let route = |name: &str, service: &str, kind: &'static str, resume: bool| {
            let mut route = Route::new(name, HOST, &format!("/{name}/"), service);
            let timeout = if kind == "streaming" {
                self.long_timeout
            } else {
                self.short_timeout
            };
            (route.kind, route.resume, route.timeout_ms) = (kind, resume, timeout);
            route.attempts = self.attempts;
            route
        };
        let [first, second] = SERVICES;
        let mut long = route("long", first, "streaming", true);
        let mut routes = vec![
            route("safe", first, "safe", false),
            route("once", first, "unsafe", false),
            route("whole", first, "streaming", false),
            self.mark(),
        ];
        if let Some(weight) = self.second {
            long.split = vec![(first.into(), 100 - weight), (second.into(), weight)];
            routes.push(route("extra", second, "streaming", true));
        }
        routes.push(long);
        routes
    }

    /// A route by which a configuration tells its order.
    fn mark(self) -> Route {
        Route::new(
            "mark",
            HOST,
            &format!("/mark/{}/", self.number),
            SERVICES[0],
        )
    }
}

/// The order that a document names.
fn order_in(document: &[u8]) -> Option<u64> {
    let document: serde_json::Value = serde_json::from_slice(document).ok()?;
    let routes = document.get("routes")?.as_array()?;
    let mark = routes.iter().find(|route| route["name"] == "mark")?;
    mark.get("pathPrefix")?
        .as_str()?
        .trim_matches('/')
        .rsplit('/')
        .next()?
        .parse()
        .ok()
}

#[derive(Default)]
struct OrderHistory {
    orders: Vec<OrderRecord>,
    variants: Vec<Variant>,
    /// The newest that is known to be in force: version, and place of its order.
    known: Option<(u64, usize)>,
    reads: Vec<ReadRecord>,
    acknowledged: u64,
}

/// What all operators share.
pub struct Operators {
    clock: Clock,
    control: Vec<SocketAddr>,
    stopped: AtomicBool,
    /// The machine that orders go to first, and until when.
    generated_until: Mutex<Option<(usize, Duration)>>,
    history: Mutex<OrderHistory>,
}

impl Operators {
    /// Operators who know these control machines.
    #[must_use]
    pub fn new(clock: Clock, control: Vec<SocketAddr>) -> Operators {
        let (stopped, generated_until) = (AtomicBool::new(false), Mutex::default());
        Operators {
            clock,
            control,
            stopped,
            generated_until,
            history: Mutex::default(),
        }
    }

    fn history(&self) -> MutexGuard<'_, OrderHistory> {
        lock(&self.history)
    }

    /// No operator begins anything more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Orders go to this machine first for so long.
    pub fn generate_until(&self, machine: usize, time: Duration) {
        let until = self.clock.now() + time;
        *lock(&self.generated_until) = Some((machine, until));
    }

    /// The machine that an order goes to first.
    fn first_machine(&self, random: &mut Rng) -> usize {
        let generated_until = *lock(&self.generated_until);
        let generated_until = generated_until.filter(|(_, until)| self.clock.now() < *until);
        generated_until.map_or_else(
            || random.usize(0..self.control.len()),
            |(machine, _)| machine,
        )
    }

    /// How many acknowledgements came.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.history().acknowledged
    }

    /// All orders and reads so far.
    #[must_use]
    pub fn records(&self) -> (Vec<OrderRecord>, Vec<ReadRecord>) {
        let history = self.history();
        (history.orders.clone(), history.reads.clone())
    }

    /// Brings the first configuration; tells whether it was acknowledged in this time.
    #[must_use]
    pub fn begin(&self, at_most: Duration) -> bool {
        let variant = Variant::first();
        let body = replace(1, &variant.routes());
        let order = Order {
            verb: Verb::Replace,
            base: 0,
            body,
        };
        self.history()
            .enter(order.clone(), 1, variant, self.clock.now());
        let outcome = Operator::new(self.control.clone()).send(&order, 0, at_most);
        self.record(0, outcome);
        outcome == Outcome::Acknowledged
    }

    /// Changes the configuration until the operators are stopped, with rests of up to so long.
    pub fn change(&self, rest: Duration, random: &mut Rng) {
        let operator = Operator::new(self.control.clone());
        while !self.is_stopped() {
            let order_index = self.generate_order(random);
            self.send(&operator, order_index, random);
            if random.u32(0..5) == 0 {
                self.repeat(&operator, random);
            }
            thread::sleep(rest.mul_f64(random.f64()));
        }
    }

    /// Draws a new order on top of what is known, and tells its place. Two operators may draw the
    /// same version.
    fn generate_order(&self, random: &mut Rng) -> usize {
        let within = random.bool();
        // Drawn and entered in one go: numbers tell orders apart.
        let mut history = self.history();
        let (base, order_index) = history.known.unwrap_or((0, 0));
        let variant = history.variants[order_index].next(history.next_number(), within, random);
        let version = base + random.u64(1..4);
        let (verb, body) = if within {
            let changed: Vec<Route> = variant
                .routes()
                .into_iter()
                .filter(|route| random.bool() || route.name == "mark")
                .collect();
            (Verb::Update, update(version, &changed, &[]))
        } else {
            (Verb::Replace, replace(version, &variant.routes()))
        };
        history.enter(
            Order { verb, base, body },
            version,
            variant,
            self.clock.now(),
        )
    }

    /// Sends an order until it has a clear answer; at times its first answer is lost on the way.
    fn send(&self, operator: &Operator, order_index: usize, random: &mut Rng) {
        let order = self.history().orders[order_index].order.clone();
        let first = self.first_machine(random);
        if random.u32(0..4) == 0 {
            // One that can't be sent there is sent elsewhere all the same.
            let _ = operator.send_without_waiting(&order, first + 1);
        }
        let outcome = operator.send(&order, first, PATIENCE);
        self.record(order_index, outcome);
        if outcome != Outcome::Acknowledged {
            self.look(operator, random);
        }
    }

    /// Repeats an order that was acknowledged, to any machine.
    fn repeat(&self, operator: &Operator, random: &mut Rng) {
        let acknowledged: Vec<usize> = {
            let history = self.history();
            let taken = history
                .orders
                .iter()
                .enumerate()
                .filter(|(_, order)| order.acknowledged.is_some());
            taken.map(|(order_index, _)| order_index).collect()
        };
        let Some(order_index) = random.choice(acknowledged.iter().rev().take(REPEATABLE)) else {
            return;
        };
        let order = self.history().orders[*order_index].order.clone();
        let outcome = operator.send(&order, random.usize(0..self.control.len()), PATIENCE);
        self.record(*order_index, outcome);
    }

    fn record(&self, order_index: usize, outcome: Outcome) {
        let now = self.clock.now();
        let mut history = self.history();
        history.orders[order_index].outcomes.push(outcome);
        if outcome == Outcome::Acknowledged && history.orders[order_index].acknowledged.is_none() {
            history.orders[order_index].acknowledged = Some(now);
            history.acknowledged += 1;
            let version = history.orders[order_index].version;
            history.learn(version, order_index);
        }
    }

    /// Reads what is in force, to build on it.
    fn look(&self, operator: &Operator, random: &mut Rng) {
        let machine = random.usize(0..self.control.len());
        let document = operator.describe(machine, PATIENCE);
        let Some(document) = document else { return };
        if let (Some(version), Some(number)) = (version(&document), order_in(&document)) {
            let mut history = self.history();
            // Orders are numbered from 1.
            let order_index = usize::try_from(number - 1).unwrap_or(usize::MAX);
            if order_index < history.orders.len() {
                history.learn(version, order_index);
            }
        }
    }

    /// Asks one machine after another for the configuration until the operators are stopped.
    pub fn read(&self, random: &mut Rng) {
        let operator = Operator::new(self.control.clone());
        while !self.is_stopped() {
            let machine = random.usize(0..self.control.len());
            if let Some(read) = self.read_at(&operator, machine, machine, Duration::ZERO) {
                self.history().reads.push(read);
            }
            thread::sleep(Duration::from_millis(random.u64(20..200)));
        }
    }

    /// Reads the configuration back from one machine, in this time.
    #[must_use]
    pub fn read_back(&self, machine: usize, at_most: Duration) -> Option<ReadRecord> {
        self.read_at(
            &Operator::new(vec![self.control[machine]]),
            0,
            machine,
            at_most,
        )
    }

    fn read_at(
        &self,
        by: &Operator,
        first: usize,
        machine: usize,
        at_most: Duration,
    ) -> Option<ReadRecord> {
        let sent = self.clock.now();
        let document = by.describe(first, at_most)?;
        let (version, order) = (
            version(&document).unwrap_or(0),
            order_in(&document).unwrap_or(0),
        );
        Some(ReadRecord {
            machine,
            sent,
            version,
            order,
        })
    }
}

impl OrderHistory {
    fn next_number(&self) -> u64 {
        self.orders.len() as u64 + 1
    }

    fn enter(&mut self, order: Order, version: u64, variant: Variant, sent: Duration) -> usize {
        let (number, acknowledged, outcomes) = (variant.number, None, Vec::new());
        self.orders.push(OrderRecord {
            order,
            number,
            version,
            sent,
            acknowledged,
            outcomes,
        });
        self.variants.push(variant);
        self.orders.len() - 1
    }

    fn learn(&mut self, version: u64, order_index: usize) {
        if self.known.is_none_or(|(known, _)| known < version) {
            self.known = Some((version, order_index));
        }
    }
}
