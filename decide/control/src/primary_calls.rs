//! Calls at the primary. The primary answers each call from committed state, after a confirmation
//! round that began after the call had arrived. In a confirmation round a quorum of voters confirms
//! that this machine is still the primary.
//!
//! The primary evaluates orders one at a time, while no change is in flight. An order that changes
//! the configuration is answered once its record is committed. For any other result the primary
//! runs a confirmation round, evaluates the order again, and only then answers. An order whose
//! outcome the replica doesn't know gets no response.

use crate::call::{
    accepted_response, error_response, success_response, Call, CallKind, CompletedCall,
};
use crate::faults::InjectedFaults;
use crate::rejected_orders::RejectedOrder;
use crate::replicated_configuration::ConfigurationState;
use lichenswitch_configuration::{evaluate, Document, Order, OrderOutcome};
use lichenswitch_messages::RelayedResponse;
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};
use std::collections::VecDeque;

/// Maximum number of queued orders; bounds memory.
const MAX_QUEUED_ORDERS: usize = 64;
/// Maximum total size of the bodies of queued orders; bounds memory. One larger body is accepted.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// Event that the order in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderProgress {
    /// Commit of the order's change.
    AwaitingCommit,
    /// End of a confirmation round that began after the order had arrived.
    AwaitingConfirmation,
}

/// The order that the primary has begun, and the request to the replica that it waits for.
struct OrderInProgress<C, A> {
    call: Call<C, A>,
    step: OrderProgress,
    request: RequestId,
}

/// Calls that this machine answers as primary: queued orders, one order in progress, and reads.
pub struct PrimaryCalls<C, A> {
    queued: VecDeque<Call<C, A>>,
    queued_bytes: usize,
    in_progress: Option<OrderInProgress<C, A>>,
    reads: Vec<(RequestId, Call<C, A>)>,
    completed: Vec<CompletedCall<C, A>>,
    faults: InjectedFaults,
}

impl<C, A> Default for PrimaryCalls<C, A> {
    fn default() -> Self {
        Self::with_faults(InjectedFaults::default())
    }
}

impl<C, A> PrimaryCalls<C, A> {
    /// Creates an empty set of calls with the given faults, for tests.
    #[doc(hidden)]
    pub fn with_faults(faults: InjectedFaults) -> Self {
        Self {
            queued: VecDeque::new(),
            queued_bytes: 0,
            in_progress: None,
            reads: Vec::new(),
            completed: Vec::new(),
            faults,
        }
    }

    /// Queues an order, or answers it with 503 if too many are queued. Begins a confirmation round
    /// for a read.
    pub fn submit<S: ConfigurationState>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        replica: &mut Replica<S>,
    ) {
        match &call.kind {
            CallKind::Order(_) if self.exceeds_queue_limit(&call) => {
                self.complete(call, error_response(503, "too many orders wait"));
            }
            CallKind::Order(_) => {
                self.queued_bytes += call.kind.body_bytes();
                self.queued.push_back(call);
            }
            CallKind::Describe | CallKind::Status => {
                let request = replica.confirm(now);
                self.reads.push((request, call));
            }
        }
    }

    fn exceeds_queue_limit(&self, call: &Call<C, A>) -> bool {
        let bytes = self.queued_bytes + call.kind.body_bytes();
        self.queued.len() >= MAX_QUEUED_ORDERS
            || (bytes > MAX_QUEUED_BYTES && !self.queued.is_empty())
    }

    /// Begins the first queued order if the replica can accept changes, and completes the queued
    /// orders whose deadline has passed.
    pub fn advance<S: ConfigurationState>(&mut self, now: Time, replica: &mut Replica<S>) {
        while self.in_progress.is_none() {
            let Some(call) = self.queued.pop_front() else {
                return;
            };
            self.queued_bytes -= call.kind.body_bytes();
            if !replica.is_serving() {
                self.complete(call, RelayedResponse::NotPrimary);
            } else if replica.is_idle() && replica.may_accept_changes(now) {
                self.begin(now, call, replica);
            } else if call.begin_deadline() <= now {
                self.complete(
                    call,
                    error_response(503, "the group can't take an order yet"),
                );
            } else {
                return self.requeue_first(call);
            }
        }
    }

    fn begin<S: ConfigurationState>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        replica: &mut Replica<S>,
    ) {
        let Some(order_outcome) = self.evaluate_order(&call, replica) else {
            return self.complete(call, RelayedResponse::NotPrimary);
        };
        let (step, request) = match order_outcome {
            OrderOutcome::Change(change) => {
                (OrderProgress::AwaitingCommit, replica.propose(now, change))
            }
            OrderOutcome::VersionConflict { current }
                if self.faults.rejects_without_confirmation =>
            {
                return self.reject(now, call, 412, conflict_reason(current));
            }
            // Another primary may have committed a newer change, which this replica has not seen.
            // The confirmation round excludes that before the response is sent.
            OrderOutcome::AlreadyApplied
            | OrderOutcome::VersionConflict { .. }
            | OrderOutcome::Invalid(_) => {
                (OrderProgress::AwaitingConfirmation, replica.confirm(now))
            }
        };
        self.in_progress = Some(OrderInProgress {
            call,
            step,
            request,
        });
    }

    /// Handles the outcome of a request to the replica. `status` renders the primary's view of the
    /// group, the body of the response to a status call. Ignores a request that belongs to no
    /// pending call.
    pub fn on_request_completed<S: ConfigurationState>(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: &Outcome,
        replica: &mut Replica<S>,
        status: impl FnOnce(&Replica<S>) -> Vec<u8>,
    ) {
        if let Some(in_progress) = self
            .in_progress
            .take_if(|in_progress| in_progress.request == request)
        {
            match in_progress.step {
                OrderProgress::AwaitingCommit => {
                    self.on_commit_completed(in_progress.call, outcome, replica)
                }
                OrderProgress::AwaitingConfirmation => {
                    self.on_confirmation_completed(now, in_progress.call, outcome, replica)
                }
            }
        } else if let Some(index) = self.reads.iter().position(|read| read.0 == request) {
            let (_, call) = self.reads.swap_remove(index);
            let response = match (outcome, &call.kind) {
                (Outcome::Confirmed(_), CallKind::Describe) => describe_configuration(replica),
                (Outcome::Confirmed(_), _) => success_response(status(replica)),
                _ => RelayedResponse::NotPrimary,
            };
            self.complete(call, response);
        }
    }

    fn on_commit_completed<S: ConfigurationState>(
        &mut self,
        call: Call<C, A>,
        outcome: &Outcome,
        replica: &Replica<S>,
    ) {
        let response = match outcome {
            Outcome::Committed(_) => accepted_response(committed_version(replica)),
            Outcome::NotPrimary => RelayedResponse::NotPrimary,
            // The state has changed since the order was evaluated, so it is evaluated again.
            Outcome::Rejected(_) => return self.requeue_first(call),
            Outcome::Unknown | Outcome::Confirmed(_) => RelayedResponse::Unknown,
        };
        self.complete(call, response);
    }

    fn on_confirmation_completed<S: ConfigurationState>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        outcome: &Outcome,
        replica: &mut Replica<S>,
    ) {
        if !matches!(outcome, Outcome::Confirmed(_)) {
            return self.complete(call, RelayedResponse::NotPrimary);
        }
        if !replica.is_idle() {
            // A change in flight may alter the result, so the order is evaluated again after it.
            return self.requeue_first(call);
        }
        match self.evaluate_order(&call, replica) {
            None => self.complete(call, RelayedResponse::NotPrimary),
            Some(OrderOutcome::Change(_)) => self.begin(now, call, replica),
            Some(OrderOutcome::AlreadyApplied) => {
                let version = call.kind.as_order().map_or(0, document_version);
                self.complete(call, accepted_response(version));
            }
            Some(OrderOutcome::VersionConflict { current }) => {
                self.reject(now, call, 412, conflict_reason(current))
            }
            Some(OrderOutcome::Invalid(error)) => self.reject(now, call, 400, error.to_string()),
        }
    }

    /// Puts an order back at the head of the queue, to be evaluated again.
    fn requeue_first(&mut self, call: Call<C, A>) {
        self.queued_bytes += call.kind.body_bytes();
        self.queued.push_front(call);
    }

    fn complete(&mut self, call: Call<C, A>, response: RelayedResponse) {
        self.completed.push(CompletedCall::new(call, response));
    }

    fn reject(&mut self, now: Time, call: Call<C, A>, status: u16, reason: String) {
        let base_version = call.kind.as_order().map_or(0, |order| order.base_version);
        let response = error_response(status, &reason);
        let rejection = Some(RejectedOrder {
            status,
            base_version,
            reason,
            rejected_at: now,
        });
        self.completed.push(CompletedCall {
            call,
            response,
            rejection,
        });
    }

    /// Evaluates an order against the committed state. Returns `None` while no state is committed,
    /// and for a call that is not an order.
    fn evaluate_order<S: ConfigurationState>(
        &self,
        call: &Call<C, A>,
        replica: &Replica<S>,
    ) -> Option<OrderOutcome> {
        let (_, state) = replica.committed()?;
        let (state, order) = (state.as_ref(), call.kind.as_order()?);
        if self.faults.recognizes_repeats_by_version && document_version(order) == state.version() {
            return Some(OrderOutcome::AlreadyApplied);
        }
        Some(evaluate(state, order))
    }

    /// Removes and returns the completed calls, in the order of their completion.
    pub fn take_completed(&mut self) -> Vec<CompletedCall<C, A>> {
        std::mem::take(&mut self.completed)
    }

    /// Returns whether no order is queued or in progress and no read is pending.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.in_progress.is_none() && self.reads.is_empty()
    }

    /// Returns when the first queued order must be answered with an error unless it has been begun;
    /// `None` if no order is queued or another is in progress.
    pub fn next_wake(&self) -> Option<Time> {
        self.queued
            .front()
            .filter(|_| self.in_progress.is_none())
            .map(Call::begin_deadline)
    }
}

fn committed_version<S: ConfigurationState>(replica: &Replica<S>) -> u64 {
    let committed = replica.committed();
    committed.map_or(0, |(_, state)| state.as_ref().version())
}

fn conflict_reason(current: u64) -> String {
    format!("version {current} is current")
}

/// Returns the version in the order's document, or 0 if it can't be parsed. It is only reported to
/// operators.
fn document_version(order: &Order) -> u64 {
    Document::parse(&order.body).map_or(0, |document| document.version())
}

/// Returns the committed configuration as a response, or status 503 if there is none. The caller
/// must have completed a confirmation round since the call arrived.
pub fn describe_configuration<S: ConfigurationState>(replica: &Replica<S>) -> RelayedResponse {
    let document = replica
        .committed()
        .and_then(|(_, state)| state.as_ref().document());
    match document {
        Some(document) => success_response(document.to_json()),
        None => error_response(503, "there is no configuration yet"),
    }
}

#[cfg(test)]
mod tests;
