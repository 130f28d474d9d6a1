//! Dispatch of all calls at one machine: calls of its own callers, and calls that it answers as
//! primary.

use crate::call::{Call, CallOrigin, CompletedCall};
use crate::faults::InjectedFaults;
use crate::primary_calls::PrimaryCalls;
use crate::relayed_calls::{PrimaryLocation, RelayAction, RelayedCalls};
use crate::replicated_configuration::ConfigurationState;
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};

/// Action that the machine has to carry out for a call.
#[derive(Debug, PartialEq)]
pub enum CallAction<C, A> {
    /// Send a call to the primary.
    Forward {
        /// Address of the primary.
        to: A,
        /// Call number that this machine assigned. The response repeats it.
        id: u64,
        /// Message to send.
        call: RelayedCall,
    },
    /// Respond to the caller, or to the machine that relayed the call.
    Respond(CompletedCall<C, A>),
}

/// Accepts calls, forwards them to the primary or answers them as primary, and returns the
/// responses.
///
/// `C` is the handle of a caller at this machine, `A` the address of another control machine.
pub struct CallDispatcher<C, A> {
    primary: PrimaryCalls<C, A>,
    relayed: RelayedCalls<C, A>,
    actions: Vec<CallAction<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> CallDispatcher<C, A> {
    /// Creates a dispatcher without calls. Forwarded calls get numbers above `first_id`, which must
    /// not repeat numbers of an earlier incarnation of the process.
    pub fn new(first_id: u64) -> Self {
        Self::with_faults(first_id, InjectedFaults::default())
    }

    /// Creates a dispatcher without calls that has the given faults, for tests.
    #[doc(hidden)]
    pub fn with_faults(first_id: u64, faults: InjectedFaults) -> Self {
        Self {
            primary: PrimaryCalls::with_faults(faults),
            relayed: RelayedCalls::new(first_id),
            actions: Vec::new(),
        }
    }

    /// Handles a call that has arrived from a caller or from another machine. A call from another
    /// machine is never forwarded again: the machine that first received it finds the primary.
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

    /// Handles a response from the machine that a call was forwarded to.
    pub fn on_response(&mut self, now: Time, from: &A, id: u64, response: RelayedResponse) {
        self.relayed.on_response(now, from, id, response);
    }

    /// Handles the loss of the last connection to the machine at `address`.
    pub fn on_peer_disconnected(&mut self, address: &A) {
        self.relayed.on_peer_disconnected(address);
    }

    /// Handles the outcome of a request to the replica. `status` renders the primary's view of the
    /// group, the body of the response to a status call.
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

    /// Forwards or begins the calls that can proceed, completes the calls whose deadline has
    /// passed, and returns the actions to carry out, in order.
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
                // The replica has not begun the call, so another primary may still accept it.
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

    /// Returns whether no call is pending, neither forwarded nor answered here.
    pub fn is_empty(&self) -> bool {
        self.primary.is_empty() && self.relayed.is_empty()
    }

    /// Returns when [`Self::advance`] must be called next if no event occurs before; `None` if no
    /// deadline is pending.
    pub fn next_wake(&self) -> Option<Time> {
        [self.primary.next_wake(), self.relayed.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

#[cfg(test)]
mod tests;
