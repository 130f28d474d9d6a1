//! All calls at one machine: those that came from callers, and those that it answers as primary.

use crate::call::{Call, Origin};
use crate::faults::Faults;
use crate::primary_calls::{PrimaryCalls, Refusal};
use crate::relayed_calls::{Primary, RelayedCalls, Step};
use crate::replicated::Configured;
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};

/// Something that the machine has to do.
#[derive(Debug, PartialEq)]
pub enum Action<C, A> {
    /// Send a call to the primary.
    Send {
        /// Where it is.
        to: A,
        /// Number of the call.
        id: u64,
        /// What is asked.
        call: RelayedCall,
    },
    /// Tell whoever waits.
    Answer {
        /// The call that has ended.
        call: Call<C, A>,
        /// Its end.
        answer: RelayedResponse,
        /// It was an order that this machine refused as primary.
        refusal: Option<Refusal>,
    },
}

/// The calls. `C`: handle of a caller at this machine; `A`: address of another control machine.
pub struct Calls<C, A> {
    primary: PrimaryCalls<C, A>,
    relayed: RelayedCalls<C, A>,
    actions: Vec<Action<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> Calls<C, A> {
    /// No calls yet. Those that are handed on get numbers above `first_id`, which no earlier life
    /// of the process used.
    pub fn new(first_id: u64) -> Self {
        Self::with_faults(first_id, Faults::default())
    }

    /// The same, with planted faults.
    #[doc(hidden)]
    pub fn with_faults(first_id: u64, faults: Faults) -> Self {
        Self {
            primary: PrimaryCalls::with_faults(faults),
            relayed: RelayedCalls::new(first_id),
            actions: Vec::new(),
        }
    }

    /// A call has come, from a caller or from another machine. One that is relayed is not relayed
    /// on: its machine finds the primary.
    pub fn take<S: Configured>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        replica: Option<&mut Replica<S>>,
    ) {
        match (&call.origin, replica.filter(|replica| replica.is_serving())) {
            (Origin::Caller(_), _) => self.relayed.take(call),
            (Origin::Peer { .. }, Some(replica)) => self.primary.take(now, call, replica),
            (Origin::Peer { .. }, None) => self.answer(call, RelayedResponse::NotPrimary, None),
        }
    }

    /// The primary has answered a call that was handed on.
    pub fn on_answer(&mut self, now: Time, from: &A, id: u64, answer: RelayedResponse) {
        self.relayed.on_answer(now, from, id, answer);
    }

    /// No connection to that machine is left.
    pub fn on_lost(&mut self, address: &A) {
        self.relayed.on_lost(address);
    }

    /// A request to the replica has ended. `status`: the group, as the primary shows it.
    pub fn on_settled<S: Configured>(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: &Outcome,
        replica: &mut Replica<S>,
        status: impl FnOnce(&Replica<S>) -> Vec<u8>,
    ) {
        self.primary
            .on_settled(now, request, outcome, replica, status);
    }

    /// Hands on and begins what can be, and ends what has waited too long. Tells what the machine
    /// has to do.
    pub fn advance<S: Configured>(
        &mut self,
        now: Time,
        primary: &Primary<A>,
        mut replica: Option<&mut Replica<S>>,
    ) -> Vec<Action<C, A>> {
        self.relayed.advance(now, primary);
        for step in self.relayed.take_steps() {
            match (step, &mut replica) {
                (Step::Here(call), Some(replica)) => self.primary.take(now, call, replica),
                (Step::Here(call), None) => self.relayed.take_back(now, call),
                (Step::Send { to, id, call }, _) => {
                    self.actions.push(Action::Send { to, id, call })
                }
                (Step::Answer(call, answer), _) => self.answer(call, answer, None),
            }
        }
        if let Some(replica) = replica {
            self.primary.advance(now, replica);
        }
        for ended in self.primary.take_ended() {
            match (&ended.call.origin, &ended.answer) {
                // Nothing was begun: another primary may take it yet.
                (Origin::Caller(_), RelayedResponse::NotPrimary) => {
                    self.relayed.take_back(now, ended.call)
                }
                _ => self.answer(ended.call, ended.answer, ended.refusal),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn answer(&mut self, call: Call<C, A>, answer: RelayedResponse, refusal: Option<Refusal>) {
        self.actions.push(Action::Answer {
            call,
            answer,
            refusal,
        });
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.primary.is_empty() && self.relayed.is_empty()
    }

    /// When [`Self::advance`] has something to do by itself.
    pub fn next_wake(&self) -> Option<Time> {
        [self.primary.next_wake(), self.relayed.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;
