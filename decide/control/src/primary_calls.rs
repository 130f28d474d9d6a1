//! Calls at the primary: each is answered from committed state, with nothing in flight, after a
//! round that began once it had come.
//!
//! Orders are judged one at a time. One that changes something is answered once its record is
//! committed; all other verdicts are told only after a round, and are judged again then. What the
//! replica can't tell the end of has no answer.

use crate::call::{answer, taken, Call, Question};
use crate::faults::Faults;
use crate::replicated::Configured;
use lichenswitch_configuration::{judge, Document, Order, Verdict};
use lichenswitch_messages::RelayedResponse;
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};
use std::collections::VecDeque;

/// Orders that may wait, and the bytes of them all. Guards memory.
const MOST_WAITING: usize = 64;
const MOST_WAITING_BYTES: usize = 16 << 20;
/// Refusals that are kept for operators.
const REFUSALS_KEPT: usize = 8;

/// A call with its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended<C, A> {
    /// The call.
    pub call: Call<C, A>,
    /// What whoever waits is to be told.
    pub answer: RelayedResponse,
    /// It was an order that was refused.
    pub refusal: Option<Refusal>,
}

/// What the order at hand waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// That its change is committed.
    Committing,
    /// That a round ends which began after it came.
    Confirming,
}

struct Current<C, A> {
    call: Call<C, A>,
    step: Step,
    request: RequestId,
}

/// An order that was refused, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// 400 or 412.
    pub status: u16,
    /// The version that it was to change.
    pub base_version: u64,
    /// Why.
    pub reason: String,
    /// When.
    pub at: Time,
}

/// The last refusals, for operators.
#[derive(Clone, Debug, Default)]
pub struct Refusals(VecDeque<Refusal>);

impl Refusals {
    /// An order was refused.
    pub fn note(&mut self, refusal: Refusal) {
        if self.0.len() >= REFUSALS_KEPT {
            self.0.pop_front();
        }
        self.0.push_back(refusal);
    }

    /// The oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Refusal> {
        self.0.iter()
    }
}

/// Calls that this machine answers as primary.
pub struct PrimaryCalls<C, A> {
    waiting: VecDeque<Call<C, A>>,
    waiting_bytes: usize,
    current: Option<Current<C, A>>,
    reads: Vec<(RequestId, Call<C, A>)>,
    ended: Vec<Ended<C, A>>,
    faults: Faults,
}

impl<C, A> Default for PrimaryCalls<C, A> {
    fn default() -> Self {
        Self::with_faults(Faults::default())
    }
}

impl<C, A> PrimaryCalls<C, A> {
    /// None yet, with planted faults.
    #[doc(hidden)]
    pub fn with_faults(faults: Faults) -> Self {
        Self {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            current: None,
            reads: Vec::new(),
            ended: Vec::new(),
            faults,
        }
    }

    /// A call has come.
    pub fn take<S: Configured>(&mut self, now: Time, call: Call<C, A>, replica: &mut Replica<S>) {
        match &call.question {
            Question::Order(_) if self.is_full(&call) => {
                self.end(call, answer(503, "too many orders wait"));
            }
            Question::Order(_) => {
                self.waiting_bytes += call.question.weight();
                self.waiting.push_back(call);
            }
            Question::Describe | Question::Status => {
                let request = replica.confirm(now);
                self.reads.push((request, call));
            }
        }
    }

    fn is_full(&self, call: &Call<C, A>) -> bool {
        let bytes = self.waiting_bytes + call.question.weight();
        self.waiting.len() >= MOST_WAITING
            || (bytes > MOST_WAITING_BYTES && !self.waiting.is_empty())
    }

    /// Begins what can be begun.
    pub fn advance<S: Configured>(&mut self, now: Time, replica: &mut Replica<S>) {
        while self.current.is_none() {
            let Some(call) = self.waiting.pop_front() else {
                return;
            };
            self.waiting_bytes -= call.question.weight();
            if !replica.is_serving() {
                self.end(call, RelayedResponse::NotPrimary);
            } else if replica.is_idle() && replica.may_accept_changes(now) {
                self.begin(now, call, replica);
            } else if call.patience() <= now {
                self.end(call, answer(503, "the group can't take an order yet"));
            } else {
                return self.judge_again(call);
            }
        }
    }

    fn begin<S: Configured>(&mut self, now: Time, call: Call<C, A>, replica: &mut Replica<S>) {
        let Some(verdict) = self.verdict(&call, replica) else {
            return self.end(call, RelayedResponse::NotPrimary);
        };
        let (step, request) = match verdict {
            Verdict::Change(change) => (Step::Committing, replica.propose(now, change)),
            Verdict::VersionConflict { current } if self.faults.refusal_without_contact => {
                return self.refuse(now, call, 412, conflict(current));
            }
            // What is not a change may have been decided by what is no longer true: it is told
            // after a round only.
            Verdict::Taken | Verdict::VersionConflict { .. } | Verdict::Invalid(_) => {
                (Step::Confirming, replica.confirm(now))
            }
        };
        self.current = Some(Current {
            call,
            step,
            request,
        });
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
        if let Some(current) = self.current.take_if(|current| current.request == request) {
            match current.step {
                Step::Committing => self.on_committing_ended(current.call, outcome, replica),
                Step::Confirming => self.on_confirming_ended(now, current.call, outcome, replica),
            }
        } else if let Some(place) = self.reads.iter().position(|read| read.0 == request) {
            let (_, call) = self.reads.swap_remove(place);
            let answer = match (outcome, &call.question) {
                (Outcome::Confirmed(_), Question::Describe) => describe(replica),
                (Outcome::Confirmed(_), _) => RelayedResponse::Response {
                    status: 200,
                    body: status(replica),
                },
                _ => RelayedResponse::NotPrimary,
            };
            self.end(call, answer);
        }
    }

    fn on_committing_ended<S: Configured>(
        &mut self,
        call: Call<C, A>,
        outcome: &Outcome,
        replica: &Replica<S>,
    ) {
        let answer = match outcome {
            Outcome::Committed(_) => taken(
                replica
                    .committed()
                    .map_or(0, |(_, state)| state.as_ref().version()),
            ),
            Outcome::NotPrimary => RelayedResponse::NotPrimary,
            // The state was another one than it was judged against: it is judged anew.
            Outcome::Rejected(_) => return self.judge_again(call),
            Outcome::Unknown | Outcome::Confirmed(_) => RelayedResponse::Unknown,
        };
        self.end(call, answer);
    }

    fn on_confirming_ended<S: Configured>(
        &mut self,
        now: Time,
        call: Call<C, A>,
        outcome: &Outcome,
        replica: &mut Replica<S>,
    ) {
        if !matches!(outcome, Outcome::Confirmed(_)) {
            return self.end(call, RelayedResponse::NotPrimary);
        }
        if !replica.is_idle() {
            // Something is in flight that may change the verdict.
            return self.judge_again(call);
        }
        match self.verdict(&call, replica) {
            None => self.end(call, RelayedResponse::NotPrimary),
            Some(Verdict::Change(_)) => self.begin(now, call, replica),
            Some(Verdict::Taken) => {
                let version = order(&call).map_or(0, version_of);
                self.end(call, taken(version));
            }
            Some(Verdict::VersionConflict { current }) => {
                self.refuse(now, call, 412, conflict(current))
            }
            Some(Verdict::Invalid(error)) => self.refuse(now, call, 400, error.to_string()),
        }
    }

    /// It is the next to be judged, once more.
    fn judge_again(&mut self, call: Call<C, A>) {
        self.waiting_bytes += call.question.weight();
        self.waiting.push_front(call);
    }

    fn end(&mut self, call: Call<C, A>, answer: RelayedResponse) {
        self.ended.push(Ended {
            call,
            answer,
            refusal: None,
        });
    }

    fn refuse(&mut self, now: Time, call: Call<C, A>, status: u16, reason: String) {
        let base_version = order(&call).map_or(0, |order| order.base_version);
        let answer = answer(status, &reason);
        let refusal = Some(Refusal {
            status,
            base_version,
            reason,
            at: now,
        });
        self.ended.push(Ended {
            call,
            answer,
            refusal,
        });
    }

    /// How an order stands to what is committed. A group that has committed nothing yet has no
    /// state to judge by.
    fn verdict<S: Configured>(&self, call: &Call<C, A>, replica: &Replica<S>) -> Option<Verdict> {
        let (_, state) = replica.committed()?;
        let (state, order) = (state.as_ref(), order(call)?);
        if self.faults.known_by_number && version_of(order) == state.version() {
            return Some(Verdict::Taken);
        }
        Some(judge(state, order))
    }

    /// Calls that have ended since this was last asked.
    pub fn take_ended(&mut self) -> Vec<Ended<C, A>> {
        std::mem::take(&mut self.ended)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.current.is_none() && self.reads.is_empty()
    }

    /// When a call that waits to be begun loses its patience.
    pub fn next_wake(&self) -> Option<Time> {
        self.waiting
            .front()
            .filter(|_| self.current.is_none())
            .map(Call::patience)
    }
}

fn order<C, A>(call: &Call<C, A>) -> Option<&Order> {
    match &call.question {
        Question::Order(order) => Some(order),
        Question::Describe | Question::Status => None,
    }
}

fn conflict(current: u64) -> String {
    format!("version {current} is current")
}

/// The version that an order that was taken brought; for people only.
fn version_of(order: &Order) -> u64 {
    Document::parse(&order.body).map_or(0, |document| document.version())
}

/// The committed configuration as an answer. It is told only after a round.
pub fn describe<S: Configured>(replica: &Replica<S>) -> RelayedResponse {
    let document = replica
        .committed()
        .and_then(|(_, state)| state.as_ref().document());
    match document {
        Some(document) => RelayedResponse::Response {
            status: 200,
            body: document.to_json(),
        },
        None => answer(503, "there is no configuration yet"),
    }
}

#[cfg(test)]
mod tests;
