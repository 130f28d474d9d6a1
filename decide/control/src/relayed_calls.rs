//! Calls at the machine that received them from a caller. The machine forwards each call to the
//! primary as soon as a primary is known, and passes the primary's response to the caller.
//!
//! The machine never rejects a call based on its own copy of the state, which may be stale. A call
//! that can't have been accepted is answered with 503. An order whose outcome is unknown gets no
//! response.

use crate::call::{error_response, Call, CompletedCall};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;
use std::collections::BTreeMap;

/// Maximum number of pending calls, queued and forwarded; bounds memory.
const MAX_PENDING_CALLS: usize = 128;
/// Maximum total size of the bodies of queued calls; bounds memory. One larger body is accepted.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// Location of the primary, as seen by this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryLocation<A> {
    /// This machine is the primary.
    Local,
    /// The primary is the connected machine at this address.
    Remote(A),
    /// The primary is unknown or unreachable.
    Unknown,
}

/// Action that the machine has to carry out for a call of one of its own callers.
#[derive(Debug, PartialEq)]
pub enum RelayAction<C, A> {
    /// Answer the call here, because this machine is the primary.
    HandleLocally(Call<C, A>),
    /// Send the call to the primary.
    Forward {
        /// Address of the primary.
        to: A,
        /// Call number that this machine assigned. The response repeats it.
        id: u64,
        /// Message to send.
        call: RelayedCall,
    },
    /// Respond to the caller.
    Respond(CompletedCall<C, A>),
}

/// Delay before a call is forwarded again after the receiving machine has responded that it is not
/// the primary (microseconds). That machine may not know the new primary yet.
const REQUEUE_DELAY_US: u64 = 100_000;

/// A call that waits to be forwarded, not before `not_before`.
#[derive(Debug)]
struct QueuedCall<C, A> {
    call: Call<C, A>,
    not_before: Time,
}

/// A call that was forwarded to the machine at `to`, which has not responded yet.
#[derive(Debug)]
struct ForwardedCall<C, A> {
    call: Call<C, A>,
    to: A,
}

/// Pending calls from callers at this machine, and the actions that they require.
pub struct RelayedCalls<C, A> {
    queued: Vec<QueuedCall<C, A>>,
    /// Calls that wait for the response of a primary, by call number.
    forwarded: BTreeMap<u64, ForwardedCall<C, A>>,
    next_id: u64,
    actions: Vec<RelayAction<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> RelayedCalls<C, A> {
    /// Creates an empty set of calls. Forwarded calls get numbers above `first_id`, which must not
    /// repeat numbers of an earlier incarnation of the process.
    pub fn new(first_id: u64) -> Self {
        Self {
            queued: Vec::new(),
            forwarded: BTreeMap::new(),
            next_id: first_id,
            actions: Vec::new(),
        }
    }

    /// Queues a call that has arrived from a caller, or answers it with 503 if too many are
    /// pending.
    pub fn submit(&mut self, call: Call<C, A>) {
        let bytes: usize = self
            .queued
            .iter()
            .map(|queued| queued.call.kind.body_bytes())
            .sum();
        let pending = self.queued.len() + self.forwarded.len();
        if pending >= MAX_PENDING_CALLS
            || (bytes > 0 && bytes + call.kind.body_bytes() > MAX_QUEUED_BYTES)
        {
            return self.respond(call, error_response(503, "too many calls are under way"));
        }
        let not_before = call.arrived_at;
        self.queued.push(QueuedCall { call, not_before });
    }

    /// Queues a call again that no primary has begun, to be forwarded after a delay.
    pub fn requeue(&mut self, now: Time, call: Call<C, A>) {
        self.queued.push(QueuedCall {
            call,
            not_before: now.after(REQUEUE_DELAY_US),
        });
    }

    /// Forwards the queued calls if a primary is known, and completes the calls whose deadline has
    /// passed.
    pub fn advance(&mut self, now: Time, primary: &PrimaryLocation<A>) {
        self.expire(now);
        for mut queued in std::mem::take(&mut self.queued) {
            let is_ready = queued.not_before <= now;
            if is_ready {
                // The delay is over. The call now waits only for a primary, and the event that
                // makes one known calls `advance`, so `next_wake` need not cover it.
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

    /// Handles a response to a forwarded call. Ignores it unless it comes from the machine that the
    /// call was forwarded to.
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

    /// Handles the loss of the last connection to the machine at `address`. The calls forwarded to
    /// it get no response, but it may have accepted them, so their outcome is unknown.
    pub fn on_peer_disconnected(&mut self, address: &A) {
        self.abandon_where(|forwarded| forwarded.to == *address);
    }

    /// Completes forwarded calls whose response deadline has passed.
    pub fn expire(&mut self, now: Time) {
        self.abandon_where(|forwarded| forwarded.call.response_deadline() <= now);
    }

    fn abandon_where(&mut self, is_abandoned: impl Fn(&ForwardedCall<C, A>) -> bool) {
        let forwarded = std::mem::take(&mut self.forwarded).into_iter();
        let (abandoned, forwarded): (BTreeMap<_, _>, BTreeMap<_, _>) =
            forwarded.partition(|(_, forwarded)| is_abandoned(forwarded));
        self.forwarded = forwarded;
        for ForwardedCall { call, .. } in abandoned.into_values() {
            let response = call.kind.response_when_outcome_unknown();
            self.respond(call, response);
        }
    }

    /// Removes and returns the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<RelayAction<C, A>> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether no call is queued or forwarded.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.forwarded.is_empty()
    }

    /// Returns when [`Self::advance`] must be called next if no event occurs before. Right after a
    /// call of `advance` this time is always in the future.
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
        // A call whose delay is over waits for a primary. The event that makes one known calls
        // `RelayedCalls::advance`, so only the deadline needs a wake-up.
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
