//! Calls that the primary has to answer, at the machine that received them: forwarded as soon as a
//! primary is known, and answered with its response.
//!
//! The machine never rejects a call by its own copy of the state: a call that can't have been
//! accepted ends with 503, and an order whose outcome is unknown gets no response.

use crate::call::{error_response, Call, CompletedCall};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;
use std::collections::BTreeMap;

/// Limits on the calls that are pending and on the bytes of their bodies. They bound memory.
const MAX_CALLS: usize = 128;
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// Where the primary is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryLocation<A> {
    /// It is this machine.
    Local,
    /// It is a machine that is connected.
    Remote(A),
    /// It is unknown or unreachable.
    Unknown,
}

/// What has to be done with a call.
#[derive(Debug, PartialEq)]
pub enum RelayAction<C, A> {
    /// Answer it here: this machine is the primary.
    HandleLocally(Call<C, A>),
    /// Send it to the primary.
    Forward {
        /// Address of the primary.
        to: A,
        /// Number of the call.
        id: u64,
        /// The message.
        call: RelayedCall,
    },
    /// Respond to the caller.
    Respond(CompletedCall<C, A>),
}

/// Delay before a call is forwarded again after a machine has responded that it is not the primary
/// (microseconds): that machine may not know the new primary yet.
const REQUEUE_DELAY_US: u64 = 100_000;

/// A call that is to be forwarded, at the earliest at `not_before`.
#[derive(Debug)]
struct QueuedCall<C, A> {
    call: Call<C, A>,
    not_before: Time,
}

/// A call whose response is awaited from the machine at `to`.
#[derive(Debug)]
struct ForwardedCall<C, A> {
    call: Call<C, A>,
    to: A,
}

/// Pending calls of callers at this machine.
pub struct RelayedCalls<C, A> {
    queued: Vec<QueuedCall<C, A>>,
    /// By call number.
    forwarded: BTreeMap<u64, ForwardedCall<C, A>>,
    next_id: u64,
    actions: Vec<RelayAction<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> RelayedCalls<C, A> {
    /// Without calls. Forwarded calls are numbered above `first_id`, which no earlier incarnation of
    /// the process used.
    pub fn new(first_id: u64) -> Self {
        Self {
            queued: Vec::new(),
            forwarded: BTreeMap::new(),
            next_id: first_id,
            actions: Vec::new(),
        }
    }

    /// A call has arrived from a caller.
    pub fn submit(&mut self, call: Call<C, A>) {
        let bytes: usize = self
            .queued
            .iter()
            .map(|queued| queued.call.kind.body_bytes())
            .sum();
        let pending = self.queued.len() + self.forwarded.len();
        if pending >= MAX_CALLS || (bytes > 0 && bytes + call.kind.body_bytes() > MAX_QUEUED_BYTES)
        {
            return self.respond(call, error_response(503, "too many calls are under way"));
        }
        let not_before = call.arrived_at;
        self.queued.push(QueuedCall { call, not_before });
    }

    /// A call has come back that no primary has begun.
    pub fn requeue(&mut self, now: Time, call: Call<C, A>) {
        self.queued.push(QueuedCall {
            call,
            not_before: now.after(REQUEUE_DELAY_US),
        });
    }

    /// Forwards what can be forwarded, and completes what has waited too long.
    pub fn advance(&mut self, now: Time, primary: &PrimaryLocation<A>) {
        self.expire(now);
        for mut queued in std::mem::take(&mut self.queued) {
            let is_ready = queued.not_before <= now;
            if is_ready {
                // The delay is over: the primary that is awaited now wakes the machine by itself.
                queued.not_before = queued.call.arrived_at;
            }
            match primary {
                _ if queued.call.begin_deadline() <= now => {
                    self.respond(queued.call, RelayedResponse::NotPrimary);
                }
                PrimaryLocation::Local if is_ready => {
                    self.actions.push(RelayAction::HandleLocally(queued.call))
                }
                PrimaryLocation::Remote(to) if is_ready => self.forward(to, queued.call),
                PrimaryLocation::Local | PrimaryLocation::Remote(_) | PrimaryLocation::Unknown => {
                    self.queued.push(queued)
                }
            }
        }
    }

    fn respond(&mut self, call: Call<C, A>, response: RelayedResponse) {
        let completed = CompletedCall::new(call, response);
        self.actions.push(RelayAction::Respond(completed));
    }

    fn forward(&mut self, to: &A, call: Call<C, A>) {
        self.next_id = self.next_id.wrapping_add(1);
        let (id, to) = (self.next_id, to.clone());
        self.actions.push(RelayAction::Forward {
            to: to.clone(),
            id,
            call: call.kind.to_relayed(),
        });
        self.forwarded.insert(id, ForwardedCall { call, to });
    }

    /// A response to a forwarded call. It counts only from the machine that the call was sent to.
    pub fn on_response(&mut self, now: Time, from: &A, id: u64, response: RelayedResponse) {
        if self
            .forwarded
            .get(&id)
            .is_none_or(|forwarded| forwarded.to != *from)
        {
            return;
        }
        let Some(ForwardedCall { call, .. }) = self.forwarded.remove(&id) else {
            return;
        };
        match response {
            RelayedResponse::NotPrimary => self.requeue(now, call),
            response => self.respond(call, response),
        }
    }

    /// The last connection to that machine is closed, so no response will come; what was sent there
    /// may have been accepted.
    pub fn on_peer_disconnected(&mut self, address: &A) {
        self.abandon_where(|forwarded| forwarded.to == *address);
    }

    /// Completes forwarded calls whose response deadline has passed.
    pub fn expire(&mut self, now: Time) {
        self.abandon_where(|forwarded| forwarded.call.response_deadline() <= now);
    }

    fn abandon_where(&mut self, ends: impl Fn(&ForwardedCall<C, A>) -> bool) {
        let forwarded = std::mem::take(&mut self.forwarded).into_iter();
        let (abandoned, forwarded): (BTreeMap<_, _>, BTreeMap<_, _>) =
            forwarded.partition(|(_, forwarded)| ends(forwarded));
        self.forwarded = forwarded;
        for ForwardedCall { call, .. } in abandoned.into_values() {
            let response = call.kind.response_when_outcome_unknown();
            self.respond(call, response);
        }
    }

    /// Takes what has to be done, in order.
    pub fn take_actions(&mut self) -> Vec<RelayAction<C, A>> {
        std::mem::take(&mut self.actions)
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.forwarded.is_empty()
    }

    /// When [`Self::advance`] has something to do without a further event. After a call of it, this
    /// is never in the past.
    pub fn next_wake(&self) -> Option<Time> {
        let queued = self.queued.iter().map(QueuedCall::next_wake);
        queued
            .chain(
                self.forwarded
                    .values()
                    .map(|forwarded| forwarded.call.response_deadline()),
            )
            .min()
    }
}

impl<C, A> QueuedCall<C, A> {
    fn next_wake(&self) -> Time {
        // A call whose delay is over waits for a primary to appear, which wakes the machine by itself.
        let is_delayed = self.not_before > self.call.arrived_at;
        let begin_deadline = self.call.begin_deadline();
        if is_delayed {
            begin_deadline.min(self.not_before)
        } else {
            begin_deadline
        }
    }
}

#[cfg(test)]
mod tests;
