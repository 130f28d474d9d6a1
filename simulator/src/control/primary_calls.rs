//! Calls at the primary, by the table of `docs/design/control.md`, section 4.
//!
//! Orders are judged one at a time, against committed state with nothing in flight. One that changes something is answered once it is
//! committed; every other verdict, and `describe`, only after a round that began once the call had come.

use std::collections::VecDeque;

use lichenswitch_configuration::{judge, Verdict};
use lichenswitch_messages::{RelayedAnswer, RelayedCall};
use lichenswitch_replication::{Outcome, Replica, RequestId, Time};

use super::calls::{answer, Call};
use super::state::Replicated;
use super::GlueFaults;

/// A call with its end.
pub(super) type Ended = (Call, RelayedAnswer);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Committing,
    Confirming,
}

#[derive(Debug)]
struct Current {
    call: Call,
    step: Step,
    request: RequestId,
}

/// Calls that this machine answers as primary.
#[derive(Debug, Default)]
pub(super) struct PrimaryCalls {
    waiting: VecDeque<Call>,
    current: Option<Current>,
    reads: Vec<(RequestId, Call)>,
    ended: Vec<Ended>,
    faults: GlueFaults,
}

impl PrimaryCalls {
    pub(super) fn new(faults: GlueFaults) -> Self {
        Self { faults, ..Self::default() }
    }

    /// A call has come.
    pub(super) fn take(&mut self, now: Time, call: Call, replica: &mut Replica<Replicated>) {
        match call.question {
            RelayedCall::Order { .. } => self.waiting.push_back(call),
            RelayedCall::Describe | RelayedCall::Status => {
                let request = replica.confirm(now);
                self.reads.push((request, call));
            }
        }
    }

    /// Begins what can be begun.
    pub(super) fn advance(&mut self, now: Time, replica: &mut Replica<Replicated>) {
        while self.current.is_none() {
            let Some(call) = self.waiting.pop_front() else { return };
            if !replica.is_serving() {
                self.ended.push((call, RelayedAnswer::NotPrimary));
            } else if replica.is_idle() && replica.may_take_orders(now) {
                self.begin(now, call, replica);
            } else if call.patience() <= now {
                self.ended.push((call, answer(503)));
            } else {
                self.waiting.push_front(call);
                return;
            }
        }
    }

    fn begin(&mut self, now: Time, call: Call, replica: &mut Replica<Replicated>) {
        let Some(verdict) = verdict(&call, replica, self.faults) else {
            self.ended.push((call, RelayedAnswer::NotPrimary));
            return;
        };
        let (step, request) = match verdict {
            Verdict::Change(change) => (Step::Committing, replica.propose(now, change)),
            Verdict::VersionConflict { .. } if self.faults.refusal_without_contact => {
                self.ended.push((call, answer(412)));
                return;
            }
            Verdict::Taken | Verdict::VersionConflict { .. } | Verdict::Invalid(_) => {
                (Step::Confirming, replica.confirm(now))
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
                Step::Committing => self.on_committing_ended(current.call, outcome),
                Step::Confirming => self.on_confirming_ended(now, current.call, outcome, replica),
            }
        } else if let Some(place) = self.reads.iter().position(|read| read.0 == request) {
            let (_, call) = self.reads.remove(place);
            let confirmed = matches!(outcome, Outcome::Confirmed(_));
            let answer = if confirmed { describe(replica) } else { RelayedAnswer::NotPrimary };
            self.ended.push((call, answer));
        }
    }

    fn on_committing_ended(&mut self, call: Call, outcome: &Outcome) {
        let answer = match outcome {
            Outcome::Committed(_) => answer(200),
            Outcome::NotPrimary => RelayedAnswer::NotPrimary,
            // The state was another one than it was judged against: it is judged anew.
            Outcome::Rejected(_) => return self.waiting.push_front(call),
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
            return self.ended.push((call, RelayedAnswer::NotPrimary));
        }
        if !replica.is_idle() {
            // Something is in flight that may change the verdict.
            return self.waiting.push_front(call);
        }
        let answer = match verdict(&call, replica, self.faults) {
            None => RelayedAnswer::NotPrimary,
            Some(Verdict::Change(_)) => return self.begin(now, call, replica),
            Some(Verdict::Taken) => answer(200),
            Some(Verdict::VersionConflict { .. }) => answer(412),
            Some(Verdict::Invalid(_)) => answer(400),
        };
        self.ended.push((call, answer));
    }

    /// Calls that have ended since this was last asked.
    pub(super) fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// When a call that waits to be begun loses its patience.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.waiting.front().filter(|_| self.current.is_none()).map(Call::patience)
    }
}

fn verdict(call: &Call, replica: &Replica<Replicated>, faults: GlueFaults) -> Option<Verdict> {
    let (_, committed) = replica.committed()?;
    let order = call.order()?;
    if faults.known_by_number && version_named(&order.body) == Some(committed.state.version()) {
        return Some(Verdict::Taken);
    }
    Some(judge(&committed.state, &order))
}

/// The version in a body of ours: its first field.
fn version_named(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?.strip_prefix("{\"version\":")?;
    text.split_once(',')?.0.parse().ok()
}

/// The committed configuration as an answer.
pub(super) fn describe(replica: &Replica<Replicated>) -> RelayedAnswer {
    let document = replica.committed().and_then(|(_, committed)| committed.state.document());
    match document {
        Some(document) => RelayedAnswer::Answer { status: 200, body: document.to_json() },
        None => answer(503),
    }
}
