//! Calls at the primary: each is answered from committed state, with nothing in flight, after a round that began once it had come.
//!
//! Orders are judged one at a time. One that changes something is answered once its record is committed; all other verdicts are told only
//! after a round, and are judged again then. What the replica can't tell the end of has no answer.

use super::calls::{answer, taken, Call, Question};
use super::group::{to_replica, Replicated};
use lichenswitch_configuration::{judge, Order, State, Verdict};
use lichenswitch_interface::Time;
use lichenswitch_messages::RelayedAnswer;
use lichenswitch_replication::{Outcome, Replica, RequestId};
use std::collections::VecDeque;

/// Orders that may wait, and the bytes of them all. Guards memory.
const MOST_WAITING: usize = 64;
const MOST_WAITING_BYTES: usize = 16 << 20;
/// Refusals that are kept for operators.
const REFUSALS_KEPT: usize = 8;

/// A call with its end.
pub(super) type Ended = (Call, RelayedAnswer);

/// What the order at hand waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// That its change is committed.
    Committing,
    /// That a round ends which began after it came.
    Confirming,
}

struct Current {
    call: Call,
    step: Step,
    request: RequestId,
}

/// An order that was refused, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) base_version: u64,
    pub(super) reason: String,
    pub(super) at: Time,
}

/// Calls that this machine answers as primary.
#[derive(Default)]
pub(super) struct PrimaryCalls {
    waiting: VecDeque<Call>,
    waiting_bytes: usize,
    current: Option<Current>,
    reads: Vec<(RequestId, Call)>,
    ended: Vec<Ended>,
    refusals: VecDeque<Refusal>,
}

impl PrimaryCalls {
    /// A call has come.
    pub(super) fn take(&mut self, now: Time, call: Call, replica: &mut Replica<Replicated>) {
        match &call.question {
            Question::Order(_) if self.is_full(&call) => {
                self.ended.push((call, answer(503, "too many orders wait")));
            }
            Question::Order(_) => {
                self.waiting_bytes += call.question.weight();
                self.waiting.push_back(call);
            }
            Question::Describe | Question::Status => {
                let request = replica.confirm(to_replica(now));
                self.reads.push((request, call));
            }
        }
    }

    fn is_full(&self, call: &Call) -> bool {
        let bytes = self.waiting_bytes + call.question.weight();
        self.waiting.len() >= MOST_WAITING || (bytes > MOST_WAITING_BYTES && !self.waiting.is_empty())
    }

    /// Begins what can be begun.
    pub(super) fn advance(&mut self, now: Time, replica: &mut Replica<Replicated>) {
        while self.current.is_none() {
            let Some(call) = self.waiting.pop_front() else { return };
            self.waiting_bytes -= call.question.weight();
            if !replica.is_serving() {
                self.ended.push((call, RelayedAnswer::NotPrimary));
            } else if replica.is_idle() && replica.may_take_orders(to_replica(now)) {
                self.begin(now, call, replica);
            } else if call.patience() <= now {
                self.ended.push((call, answer(503, "the group can't take an order yet")));
            } else {
                self.waiting_bytes += call.question.weight();
                self.waiting.push_front(call);
                return;
            }
        }
    }

    fn begin(&mut self, now: Time, call: Call, replica: &mut Replica<Replicated>) {
        let Some(verdict) = verdict(&call, replica) else {
            self.ended.push((call, RelayedAnswer::NotPrimary));
            return;
        };
        let (step, request) = match verdict {
            Verdict::Change(change) => (Step::Committing, replica.propose(to_replica(now), change)),
            // What is not a change may have been decided by what is no longer true: it is told after a round only.
            Verdict::Taken | Verdict::VersionConflict { .. } | Verdict::Invalid(_) => {
                (Step::Confirming, replica.confirm(to_replica(now)))
            }
        };
        self.current = Some(Current { call, step, request });
    }

    /// A request to the replica has ended.
    pub(super) fn on_settled(
        &mut self,
        now: Time,
        request: RequestId,
        outcome: &Outcome,
        replica: &mut Replica<Replicated>,
    ) {
        if let Some(current) = self.current.take_if(|current| current.request == request) {
            match current.step {
                Step::Committing => self.on_committing_ended(current.call, outcome, replica),
                Step::Confirming => self.on_confirming_ended(now, current.call, outcome, replica),
            }
        } else if let Some(place) = self.reads.iter().position(|read| read.0 == request) {
            let (_, call) = self.reads.swap_remove(place);
            let answer = match (outcome, &call.question) {
                (Outcome::Confirmed(_), Question::Describe) => describe(replica),
                (Outcome::Confirmed(_), _) => RelayedAnswer::Answer {
                    status: 200,
                    body: super::status::group(replica, now).into_bytes(),
                },
                _ => RelayedAnswer::NotPrimary,
            };
            self.ended.push((call, answer));
        }
    }

    fn on_committing_ended(&mut self, call: Call, outcome: &Outcome, replica: &Replica<Replicated>) {
        let answer = match outcome {
            Outcome::Committed(_) => taken(replica.committed().map_or(0, |(_, state)| state.0.version())),
            Outcome::NotPrimary => RelayedAnswer::NotPrimary,
            // The state was another one than it was judged against: it is judged anew.
            Outcome::Rejected(_) => {
                self.waiting_bytes += call.question.weight();
                self.waiting.push_front(call);
                return;
            }
            Outcome::Unknown | Outcome::Confirmed(_) => RelayedAnswer::Unknown,
        };
        self.ended.push((call, answer));
    }

    fn on_confirming_ended(
        &mut self,
        now: Time,
        call: Call,
        outcome: &Outcome,
        replica: &mut Replica<Replicated>,
    ) {
        if !matches!(outcome, Outcome::Confirmed(_)) {
            self.ended.push((call, RelayedAnswer::NotPrimary));
            return;
        }
        if !replica.is_idle() {
            // Something is in flight that may change the verdict.
            self.waiting_bytes += call.question.weight();
            self.waiting.push_front(call);
            return;
        }
        let answer = match verdict(&call, replica) {
            None => RelayedAnswer::NotPrimary,
            Some(Verdict::Change(_)) => return self.begin(now, call, replica),
            Some(Verdict::Taken) => taken(order(&call).map_or(0, version_of)),
            Some(Verdict::VersionConflict { current }) => {
                self.refuse(now, &call, 412, format!("version {current} is current"))
            }
            Some(Verdict::Invalid(error)) => self.refuse(now, &call, 400, error.to_string()),
        };
        self.ended.push((call, answer));
    }

    fn refuse(&mut self, now: Time, call: &Call, status: u16, reason: String) -> RelayedAnswer {
        let base_version = order(call).map_or(0, |order| order.base_version);
        log::info!(target: "control", status = status, base_version = base_version, reason = reason.as_str(); "order refused");
        let refused = answer(status, &reason);
        self.on_refused(Refusal { status, base_version, reason, at: now });
        refused
    }

    /// An order was refused, here or before it came here.
    pub(super) fn on_refused(&mut self, refusal: Refusal) {
        if self.refusals.len() >= REFUSALS_KEPT {
            self.refusals.pop_front();
        }
        self.refusals.push_back(refusal);
    }

    pub(super) fn refusals(&self) -> impl Iterator<Item = &Refusal> {
        self.refusals.iter()
    }

    /// Calls that have ended since this was last asked.
    pub(super) fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.current.is_none() && self.reads.is_empty()
    }

    /// When a call that waits to be begun loses its patience.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.waiting.front().filter(|_| self.current.is_none()).map(Call::patience)
    }
}

fn order(call: &Call) -> Option<&Order> {
    match &call.question {
        Question::Order(order) => Some(order),
        Question::Describe | Question::Status => None,
    }
}

/// How an order stands to what is committed. A group that has committed nothing yet has no state to judge by.
fn verdict(call: &Call, replica: &Replica<Replicated>) -> Option<Verdict> {
    let (_, state) = replica.committed()?;
    Some(judge(&state.0, order(call)?))
}

/// The version that an order that was taken brought; for people only.
fn version_of(order: &Order) -> u64 {
    lichenswitch_configuration::Document::parse(&order.body).map_or(0, |document| document.version())
}

fn describe(replica: &Replica<Replicated>) -> RelayedAnswer {
    let document = replica.committed().and_then(|(_, state): (_, &Replicated)| State::document(&state.0));
    match document {
        Some(document) => RelayedAnswer::Answer { status: 200, body: document.to_json() },
        None => answer(503, "there is no configuration yet"),
    }
}

#[cfg(test)]
mod tests;
