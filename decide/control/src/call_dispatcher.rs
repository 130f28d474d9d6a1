//! All calls at one machine: those that its own callers made, and those that it answers as primary.

use crate::call::{Call, CallOrigin, CompletedCall};
use crate::faults::InjectedFaults;
use crate::primary_calls::PrimaryCalls;
use crate::relayed_calls::{PrimaryLocation, RelayAction, RelayedCalls};
use crate::replicated_configuration::ConfigurationState;
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};

/// Something that the machine has to do.
#[derive(Debug, PartialEq)]
pub enum CallAction<C, A> {
    /// Send a call to the primary.
    Forward {
        /// Where it is.
        to: A,
        /// Number of the call, chosen by this machine.
        id: u64,
        /// The call, as a message.
        call: RelayedCall,
    },
    /// Respond to the caller, or to the machine that relayed the call.
    Respond(CompletedCall<C, A>),
}

/// Takes calls in, relays them to the primary or answers them as primary, and reports the responses.
///
/// `C`: handle of a caller at this machine; `A`: address of another control machine.
pub struct CallDispatcher<C, A> {
    primary: PrimaryCalls<C, A>,
    relayed: RelayedCalls<C, A>,
    actions: Vec<CallAction<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> CallDispatcher<C, A> {
    /// A dispatcher without calls. Calls that it forwards are numbered above `first_id`, which no
    /// earlier incarnation of the process used.
    pub fn new(first_id: u64) -> Self {
        Self::with_faults(first_id, InjectedFaults::default())
    }

    /// The same, with planted faults.
    #[doc(hidden)]
    pub fn with_faults(first_id: u64, faults: InjectedFaults) -> Self {
        Self {
            primary: PrimaryCalls::with_faults(faults),
            relayed: RelayedCalls::new(first_id),
            actions: Vec::new(),
        }
    }

    /// A call has arrived, from a caller or from another machine. A call that was relayed once is
    /// not relayed again: the machine that received it finds the primary.
    pub fn submit<S: ConfigurationState>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        replica: Option<&mut Replica<S>>,
    ) {
        match (&call.origin, replica.filter(|replica| replica.is_serving())) {
            (CallOrigin::Caller(_), _) => self.relayed.submit(call),
            (CallOrigin::Peer { .. }, Some(replica)) => self.primary.submit(now, call, replica),
            (CallOrigin::Peer { .. }, None) => {
                self.respond(CompletedCall::new(call, RelayedResponse::NotPrimary))
            }
        }
    }

    /// The primary has responded to a forwarded call.
    pub fn on_response(&mut self, now: Time, from: &A, id: u64, response: RelayedResponse) {
        self.relayed.on_response(now, from, id, response);
    }

    /// The last connection to that machine is closed.
    pub fn on_peer_disconnected(&mut self, address: &A) {
        self.relayed.on_peer_disconnected(address);
    }

    /// A request to the replica is completed. `status` renders the group as the primary sees it.
    pub fn on_request_completed<S: ConfigurationState>(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: &Outcome,
        replica: &mut Replica<S>,
        status: impl FnOnce(&Replica<S>) -> Vec<u8>,
    ) {
        self.primary
            .on_request_completed(now, request, outcome, replica, status);
    }

    /// Forwards and begins what can be, completes what has waited too long, and returns what the
    /// machine has to do, in order.
    pub fn advance<S: ConfigurationState>(
        &mut self,
        now: Time,
        primary: &PrimaryLocation<A>,
        mut replica: Option<&mut Replica<S>>,
    ) -> Vec<CallAction<C, A>> {
        self.relayed.advance(now, primary);
        for action in self.relayed.take_actions() {
            match (action, &mut replica) {
                (RelayAction::HandleLocally(call), Some(replica)) => {
                    self.primary.submit(now, call, replica)
                }
                (RelayAction::HandleLocally(call), None) => self.relayed.requeue(now, call),
                (RelayAction::Forward { to, id, call }, _) => {
                    self.actions.push(CallAction::Forward { to, id, call })
                }
                (RelayAction::Respond(completed), _) => self.respond(completed),
            }
        }
        if let Some(replica) = replica {
            self.primary.advance(now, replica);
        }
        for completed in self.primary.take_completed() {
            match (&completed.call.origin, &completed.response) {
                // Nothing was begun, so another primary may still accept it.
                (CallOrigin::Caller(_), RelayedResponse::NotPrimary) => {
                    self.relayed.requeue(now, completed.call)
                }
                _ => self.respond(completed),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn respond(&mut self, completed: CompletedCall<C, A>) {
        self.actions.push(CallAction::Respond(completed));
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.primary.is_empty() && self.relayed.is_empty()
    }

    /// When [`Self::advance`] has something to do without a further event.
    pub fn next_wake(&self) -> Option<Time> {
        [self.primary.next_wake(), self.relayed.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;
