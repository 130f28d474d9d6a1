//! An operator: it picks numbers by itself, sends orders to any machine, and repeats unchanged what
//! has no clear answer.

use lichenswitch_messages::RelayedCall;
use lichenswitch_replication::Time;

use super::{CallerContext, CALL_TIMEOUT_US};
use crate::documents::{self, version_of, OrderId};
use crate::network::Host;
use crate::oracle::CallPurpose;
use crate::packet::{CallId, Packet, Reply};

/// Least pause after a failure, in microseconds; it doubles to [`MAX_BACKOFF_US`].
const MIN_BACKOFF_US: u64 = 30_000;
const MAX_BACKOFF_US: u64 = 400_000;

/// How fast an operator works, and what it sends.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Least rest between two orders, in microseconds.
    pub least_rest: u64,
    /// Most rest between two orders.
    pub most_rest: u64,
    /// Acts only at multiples of so many microseconds, together with others; 0: at any time.
    pub in_step: u64,
    /// Of 100 tasks, so many repeat an order that was acknowledged.
    pub repeats: u32,
    /// Of 100 tasks, so many are an order that is invalid.
    pub invalid: u32,
    /// Most that a version is above the one that it builds on.
    pub most_step: u64,
}

impl Default for Pace {
    fn default() -> Self {
        let (least_rest, most_rest, in_step) = (50_000, 600_000, 0);
        Self {
            least_rest,
            most_rest,
            in_step,
            repeats: 15,
            invalid: 4,
            most_step: 2,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Rest,
    Order(OrderId),
    Describe,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    call: CallId,
    sent: Time,
}

/// An operator.
#[derive(Debug)]
pub struct Operator {
    pace: Pace,
    /// The version that it believes to be current.
    known: Option<u64>,
    task: Task,
    /// When the order at hand was sent first.
    task_since: Time,
    in_flight: Option<InFlight>,
    wake_at: Time,
    backoff: u64,
    last: Option<Host>,
    /// Where it goes first, if it is stubborn about that.
    first: Option<Host>,
    taken: Vec<OrderId>,
    stopped: bool,
}

impl Operator {
    /// One that begins at this time; the one that brings the first configuration knows that there
    /// is none.
    pub fn new(pace: Pace, begins_at: Time, brings_first: bool) -> Self {
        Self {
            pace,
            known: brings_first.then_some(0),
            task: Task::Rest,
            task_since: begins_at,
            in_flight: None,
            wake_at: begins_at,
            backoff: MIN_BACKOFF_US,
            last: None,
            first: None,
            taken: Vec::new(),
            stopped: false,
        }
    }

    /// Every task begins at this machine.
    pub fn set_first(&mut self, first: Option<Host>) {
        self.first = first;
    }

    /// Changes how fast it works.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// No new orders; the one at hand goes on.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether it has no task in progress.
    pub fn is_idle(&self) -> bool {
        self.task == Task::Rest
    }

    /// The order in progress that has had no definite response, and when it was first sent.
    pub fn pending_order(&self) -> Option<(OrderId, Time)> {
        match self.task {
            Task::Order(id) => Some((id, self.task_since)),
            Task::Rest | Task::Describe => None,
        }
    }

    /// When [`Self::on_wake`] has something to do.
    pub fn next_wake(&self) -> Time {
        self.in_flight.map_or(self.wake_at, |in_flight| {
            in_flight.sent.after(CALL_TIMEOUT_US)
        })
    }

    /// Time has passed.
    pub fn on_wake(&mut self, context: &mut CallerContext<'_>) {
        let timed_out = self
            .in_flight
            .is_some_and(|in_flight| context.now.since(in_flight.sent) >= CALL_TIMEOUT_US);
        if timed_out {
            self.in_flight = None;
            self.wake_at = context.now;
        }
        if self.in_flight.is_some() || context.now < self.wake_at {
            return;
        }
        if self.task == Task::Rest {
            self.begin(context);
        }
        self.send(context);
    }

    fn begin(&mut self, context: &mut CallerContext<'_>) {
        if self.stopped {
            self.wake_at = Time(u64::MAX);
            return;
        }
        self.task_since = context.now;
        self.last = None;
        self.task = match self.known {
            None => Task::Describe,
            Some(known) => Task::Order(self.next_order(context, known)),
        };
    }

    fn next_order(&mut self, context: &mut CallerContext<'_>, known: u64) -> OrderId {
        let percentile = context.random.u32(0..100);
        if percentile < self.pace.repeats && !self.taken.is_empty() {
            return self.taken[context.random.usize(0..self.taken.len())];
        }
        let version = known + context.random.u64(1..=self.pace.most_step);
        let broken = known > 0 && percentile >= 100 - self.pace.invalid;
        let whole = known == 0 || context.random.u32(0..3) == 0;
        context
            .oracle
            .register(!broken, version, |id| match (broken, whole) {
                (true, _) => documents::invalid(id, known, version),
                (false, true) => documents::replacement(id, known, version),
                (false, false) => documents::update(id, known, version),
            })
    }

    fn send(&mut self, context: &mut CallerContext<'_>) {
        let (purpose, call_body) = match self.task {
            Task::Rest => return,
            Task::Describe => (CallPurpose::Describe, RelayedCall::Describe),
            Task::Order(id) => {
                let order = context.oracle.order(id).order.clone();
                let (path, base_version, body) = (order.path, order.base_version, order.body);
                (
                    CallPurpose::Order(id),
                    RelayedCall::Order {
                        path,
                        base_version,
                        body,
                    },
                )
            }
        };
        let first = self
            .first
            .filter(|first| self.last.is_none() && context.listed.contains(first));
        let Some(target) = first.or_else(|| context.another(self.last)) else {
            self.wake_at = context.now.after(MAX_BACKOFF_US);
            return;
        };
        self.last = Some(target);
        let call = context.new_call();
        context.oracle.on_call(context.now, call, purpose);
        self.in_flight = Some(InFlight {
            call,
            sent: context.now,
        });
        context
            .outgoing
            .push((target, Packet::Call(call, call_body)));
    }

    /// A call has ended.
    pub fn on_reply(&mut self, context: &mut CallerContext<'_>, call: CallId, reply: &Reply) {
        if self
            .in_flight
            .is_none_or(|in_flight| in_flight.call != call)
        {
            return;
        }
        self.in_flight = None;
        match (self.task, reply) {
            (Task::Order(id), Reply::Answer { status: 200, .. }) => self.on_taken(context, id),
            (Task::Order(_), Reply::Answer { status: 412, .. }) => self.begin_describe(context),
            (
                Task::Order(_),
                Reply::Answer {
                    status: 400..=499, ..
                },
            ) => self.rest(context),
            (Task::Describe, Reply::Answer { status: 200, body }) => {
                self.known = version_of(body);
                self.rest(context);
            }
            _ => self.back_off(context),
        }
    }

    fn on_taken(&mut self, context: &mut CallerContext<'_>, id: OrderId) {
        self.known = self.known.max(Some(context.oracle.order(id).version));
        if !self.taken.contains(&id) {
            self.taken.push(id);
        }
        self.rest(context);
    }

    fn begin_describe(&mut self, context: &CallerContext<'_>) {
        self.task = Task::Describe;
        self.backoff = MIN_BACKOFF_US;
        self.wake_at = context.now;
    }

    fn rest(&mut self, context: &mut CallerContext<'_>) {
        self.task = Task::Rest;
        self.backoff = MIN_BACKOFF_US;
        let rest = context
            .random
            .u64(self.pace.least_rest..=self.pace.most_rest);
        let at = context.now.after(rest);
        let step = self.pace.in_step.max(1);
        self.wake_at = Time(at.0.div_ceil(step) * step);
    }

    fn back_off(&mut self, context: &mut CallerContext<'_>) {
        self.wake_at = context
            .now
            .after(self.backoff / 2 + context.random.u64(0..=self.backoff / 2));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_US);
    }
}
