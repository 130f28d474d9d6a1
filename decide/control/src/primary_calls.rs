//! Calls at the primary: each is answered from committed state, with nothing in flight, after a
//! confirmation round that began once it had arrived.
//!
//! Orders are judged one at a time. An order that changes something is answered once its record is
//! committed. Any other verdict is judged again after a confirmation round, and answered only then.
//! An order whose outcome the replica doesn't know gets no response.

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

/// Limits on the queued orders and on the bytes of their bodies. They bound memory.
const MAX_QUEUED_ORDERS: usize = 64;
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// What the order in progress waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JudgementStep {
    /// The commit of its change.
    AwaitingCommit,
    /// The end of a confirmation round that began after the order had arrived.
    AwaitingConfirmation,
}

struct OrderInProgress<C, A> {
    call: Call<C, A>,
    step: JudgementStep,
    request: RequestId,
}

/// Calls that this machine answers as primary.
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
    /// Without calls, with planted faults.
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

    /// A call has arrived.
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

    /// Begins the queued orders that can be begun, and completes those that have waited too long.
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
        let Some(verdict) = self.verdict(&call, replica) else {
            return self.complete(call, RelayedResponse::NotPrimary);
        };
        let (step, request) = match verdict {
            OrderOutcome::Change(change) => {
                (JudgementStep::AwaitingCommit, replica.propose(now, change))
            }
            OrderOutcome::VersionConflict { current }
                if self.faults.rejects_without_confirmation =>
            {
                return self.reject(now, call, 412, conflict(current));
            }
            // Another primary may have committed something since: the verdict stands only after a
            // confirmation round.
            OrderOutcome::AlreadyApplied
            | OrderOutcome::VersionConflict { .. }
            | OrderOutcome::Invalid(_) => {
                (JudgementStep::AwaitingConfirmation, replica.confirm(now))
            }
        };
        self.in_progress = Some(OrderInProgress {
            call,
            step,
            request,
        });
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
        if let Some(in_progress) = self
            .in_progress
            .take_if(|in_progress| in_progress.request == request)
        {
            match in_progress.step {
                JudgementStep::AwaitingCommit => {
                    self.on_commit_completed(in_progress.call, outcome, replica)
                }
                JudgementStep::AwaitingConfirmation => {
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
            // The state differs from the one that the order was judged against.
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
            // A change in flight may alter the verdict.
            return self.requeue_first(call);
        }
        match self.verdict(&call, replica) {
            None => self.complete(call, RelayedResponse::NotPrimary),
            Some(OrderOutcome::Change(_)) => self.begin(now, call, replica),
            Some(OrderOutcome::AlreadyApplied) => {
                let version = call.kind.as_order().map_or(0, version_of);
                self.complete(call, accepted_response(version));
            }
            Some(OrderOutcome::VersionConflict { current }) => {
                self.reject(now, call, 412, conflict(current))
            }
            Some(OrderOutcome::Invalid(error)) => self.reject(now, call, 400, error.to_string()),
        }
    }

    /// Puts a call at the head of the queue, to be judged again.
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

    /// The verdict on an order by the committed state; `None` while nothing is committed yet.
    fn verdict<S: ConfigurationState>(
        &self,
        call: &Call<C, A>,
        replica: &Replica<S>,
    ) -> Option<OrderOutcome> {
        let (_, state) = replica.committed()?;
        let (state, order) = (state.as_ref(), call.kind.as_order()?);
        if self.faults.recognizes_repeats_by_version && version_of(order) == state.version() {
            return Some(OrderOutcome::AlreadyApplied);
        }
        Some(evaluate(state, order))
    }

    /// Takes the calls that were completed since the last take.
    pub fn take_completed(&mut self) -> Vec<CompletedCall<C, A>> {
        std::mem::take(&mut self.completed)
    }

    /// Whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.in_progress.is_none() && self.reads.is_empty()
    }

    /// When the first queued order is given up unless it has been begun.
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

fn conflict(current: u64) -> String {
    format!("version {current} is current")
}

/// The version that an accepted order brought; for people only.
fn version_of(order: &Order) -> u64 {
    Document::parse(&order.body).map_or(0, |document| document.version())
}

/// The committed configuration as a response. It may be sent only after a confirmation round.
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
