//! An operator: it chooses versions by itself, sends orders to any machine, and repeats an order
//! unchanged until it has a definite response.

use lichenswitch_messages::RelayedCall;
use lichenswitch_replication::Time;

use super::{CallerContext, CALL_TIMEOUT_US};
use crate::network::Host;
use crate::oracle::CallPurpose;
use crate::orders::{self, version_of, OrderId};
use crate::packet::{CallId, Packet, Reply};

/// Least backoff after a failure, in microseconds; it doubles up to [`MAX_BACKOFF_US`].
const MIN_BACKOFF_US: u64 = 30_000;
const MAX_BACKOFF_US: u64 = 400_000;

/// How fast an operator works, and what it sends.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Shortest pause between two orders, in microseconds.
    pub min_pause_us: u64,
    /// Longest pause between two orders, in microseconds.
    pub max_pause_us: u64,
    /// It acts only at multiples of so many microseconds, together with others; 0: at any time.
    pub step_us: u64,
    /// Of 100 tasks, so many repeat an order that was acknowledged.
    pub repeat_percent: u32,
    /// Of 100 tasks, so many are an order that is invalid.
    pub invalid_percent: u32,
    /// Largest difference between a version and its base version.
    pub max_version_step: u64,
}

impl Default for Pace {
    fn default() -> Self {
        let (min_pause_us, max_pause_us, step_us) = (50_000, 600_000, 0);
        Self {
            min_pause_us,
            max_pause_us,
            step_us,
            repeat_percent: 15,
            invalid_percent: 4,
            max_version_step: 2,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Idle,
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
    /// When the task in progress began.
    task_started_at: Time,
    in_flight: Option<InFlight>,
    wake_at: Time,
    backoff: u64,
    last: Option<Host>,
    /// The machine that it calls first in each task, if any.
    preferred: Option<Host>,
    /// Its orders that were acknowledged.
    acknowledged: Vec<OrderId>,
    stopped: bool,
}

impl Operator {
    /// One that begins at this time. `brings_first`: it sends the first configuration, as it knows
    /// that there is none.
    pub fn new(pace: Pace, begins_at: Time, brings_first: bool) -> Self {
        Self {
            pace,
            known: brings_first.then_some(0),
            task: Task::Idle,
            task_started_at: begins_at,
            in_flight: None,
            wake_at: begins_at,
            backoff: MIN_BACKOFF_US,
            last: None,
            preferred: None,
            acknowledged: Vec::new(),
            stopped: false,
        }
    }

    /// Sets the machine that it calls first in each task.
    pub fn set_preferred(&mut self, preferred: Option<Host>) {
        self.preferred = preferred;
    }

    /// Sets how fast it works.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
    }

    /// It begins no new order; one in progress continues.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether it has no task in progress.
    pub fn is_idle(&self) -> bool {
        self.task == Task::Idle
    }

    /// The order in progress that has had no definite response, and when it was first sent.
    pub fn pending_order(&self) -> Option<(OrderId, Time)> {
        match self.task {
            Task::Order(id) => Some((id, self.task_started_at)),
            Task::Idle | Task::Describe => None,
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
        if self.task == Task::Idle {
            self.begin_task(context);
        }
        self.send(context);
    }

    fn begin_task(&mut self, context: &mut CallerContext<'_>) {
        if self.stopped {
            self.wake_at = Time(u64::MAX);
            return;
        }
        self.task_started_at = context.now;
        self.last = None;
        self.task = match self.known {
            None => Task::Describe,
            Some(known) => Task::Order(self.next_order(context, known)),
        };
    }

    fn next_order(&mut self, context: &mut CallerContext<'_>, known: u64) -> OrderId {
        let percentile = context.random.u32(0..100);
        if percentile < self.pace.repeat_percent && !self.acknowledged.is_empty() {
            return self.acknowledged[context.random.usize(0..self.acknowledged.len())];
        }
        let version = known + context.random.u64(1..=self.pace.max_version_step);
        let broken = known > 0 && percentile >= 100 - self.pace.invalid_percent;
        let whole = known == 0 || context.random.u32(0..3) == 0;
        context
            .oracle
            .register(!broken, version, |id| match (broken, whole) {
                (true, _) => orders::invalid(id, known, version),
                (false, true) => orders::replacement(id, known, version),
                (false, false) => orders::update(id, known, version),
            })
    }

    fn send(&mut self, context: &mut CallerContext<'_>) {
        let (purpose, call_body) = match self.task {
            Task::Idle => return,
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
        let preferred = self
            .preferred
            .filter(|machine| self.last.is_none() && context.listed.contains(machine));
        let Some(target) = preferred.or_else(|| context.pick_machine(self.last)) else {
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
            (Task::Order(id), Reply::Response { status: 200, .. }) => {
                self.on_acknowledged(context, id)
            }
            (Task::Order(_), Reply::Response { status: 412, .. }) => self.begin_describe(context),
            (
                Task::Order(_),
                Reply::Response {
                    status: 400..=499, ..
                },
            ) => self.pause(context),
            (Task::Describe, Reply::Response { status: 200, body }) => {
                self.known = version_of(body);
                self.pause(context);
            }
            _ => self.back_off(context),
        }
    }

    fn on_acknowledged(&mut self, context: &mut CallerContext<'_>, id: OrderId) {
        self.known = self.known.max(Some(context.oracle.order(id).version));
        if !self.acknowledged.contains(&id) {
            self.acknowledged.push(id);
        }
        self.pause(context);
    }

    fn begin_describe(&mut self, context: &CallerContext<'_>) {
        self.task = Task::Describe;
        self.backoff = MIN_BACKOFF_US;
        self.wake_at = context.now;
    }

    fn pause(&mut self, context: &mut CallerContext<'_>) {
        self.task = Task::Idle;
        self.backoff = MIN_BACKOFF_US;
        let pause = context
            .random
            .u64(self.pace.min_pause_us..=self.pace.max_pause_us);
        let at = context.now.after(pause);
        let step = self.pace.step_us.max(1);
        self.wake_at = Time(at.0.div_ceil(step) * step);
    }

    fn back_off(&mut self, context: &mut CallerContext<'_>) {
        self.wake_at = context
            .now
            .after(self.backoff / 2 + context.random.u64(0..=self.backoff / 2));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_US);
    }
}
