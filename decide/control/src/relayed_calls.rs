//! Calls that the primary has to answer, at the machine that took them: handed on as soon as a
//! primary is known, and answered with what it says.
//!
//! It promises never to refuse by itself on state: a call that can't have been taken ends with 503,
//! an order whose end isn't known has no answer.

use crate::call::{answer, Call};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;
use std::collections::BTreeMap;

/// Calls that may be under way, and the bytes of them all. Guards memory.
const MOST: usize = 128;
const MOST_BYTES: usize = 16 << 20;

/// Where the primary is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Primary<A> {
    /// It is this machine.
    Here,
    /// It is a machine that is connected.
    At(A),
    /// It is not known or can't be reached.
    Unknown,
}

/// What is to be done with a call.
#[derive(Debug, PartialEq)]
pub enum Step<C, A> {
    /// This machine is the primary.
    Here(Call<C, A>),
    /// Send it there.
    Send {
        /// Where.
        to: A,
        /// Its number.
        id: u64,
        /// What is sent.
        call: RelayedCall,
    },
    /// Answer the caller.
    Answer(Call<C, A>, RelayedResponse),
}

/// After a machine has said that it is not the primary, a call rests so many microseconds: whoever
/// said so may not have heard yet who is.
const SENT_BACK_PAUSE: u64 = 100_000;

/// A call, and when it may be handed on.
#[derive(Debug)]
struct Held<C, A> {
    call: Call<C, A>,
    not_before: Time,
}

/// A call that was handed on.
#[derive(Debug)]
struct Sent<C, A> {
    call: Call<C, A>,
    to: A,
}

/// Calls of callers at this machine.
pub struct RelayedCalls<C, A> {
    held: Vec<Held<C, A>>,
    /// By their numbers.
    sent: BTreeMap<u64, Sent<C, A>>,
    next_id: u64,
    steps: Vec<Step<C, A>>,
}

impl<C: Clone, A: Clone + PartialEq> RelayedCalls<C, A> {
    /// None yet. Numbers are drawn above this one, which no other life of the process used.
    pub fn new(first_id: u64) -> Self {
        Self {
            held: Vec::new(),
            sent: BTreeMap::new(),
            next_id: first_id,
            steps: Vec::new(),
        }
    }

    /// A call has come from a caller.
    pub fn take(&mut self, call: Call<C, A>) {
        let bytes: usize = self
            .held
            .iter()
            .map(|held| held.call.question.weight())
            .sum();
        let under_way = self.held.len() + self.sent.len();
        if under_way >= MOST || (bytes > 0 && bytes + call.question.weight() > MOST_BYTES) {
            return self.steps.push(Step::Answer(
                call,
                answer(503, "too many calls are under way"),
            ));
        }
        let not_before = call.arrived;
        self.held.push(Held { call, not_before });
    }

    /// A call has come back that nobody has begun.
    pub fn take_back(&mut self, now: Time, call: Call<C, A>) {
        self.held.push(Held {
            call,
            not_before: now.after(SENT_BACK_PAUSE),
        });
    }

    /// Hands on what can be handed on, and ends what has waited too long.
    pub fn advance(&mut self, now: Time, primary: &Primary<A>) {
        self.expire(now);
        for mut held in std::mem::take(&mut self.held) {
            let may_go = held.not_before <= now;
            if may_go {
                // The pause is over: what is waited for now wakes by itself.
                held.not_before = held.call.arrived;
            }
            match primary {
                _ if held.call.patience() <= now => {
                    self.steps
                        .push(Step::Answer(held.call, RelayedResponse::NotPrimary));
                }
                Primary::Here if may_go => self.steps.push(Step::Here(held.call)),
                Primary::At(to) if may_go => self.send(to, held.call),
                Primary::Here | Primary::At(_) | Primary::Unknown => self.held.push(held),
            }
        }
    }

    fn send(&mut self, to: &A, call: Call<C, A>) {
        self.next_id = self.next_id.wrapping_add(1);
        let (id, to) = (self.next_id, to.clone());
        self.steps.push(Step::Send {
            to: to.clone(),
            id,
            call: call.question.to_relayed(),
        });
        self.sent.insert(id, Sent { call, to });
    }

    /// The primary has answered. An answer counts only from whom the call was sent to.
    pub fn on_answer(&mut self, now: Time, from: &A, id: u64, answer: RelayedResponse) {
        if self.sent.get(&id).is_none_or(|sent| sent.to != *from) {
            return;
        }
        let Some(Sent { call, .. }) = self.sent.remove(&id) else {
            return;
        };
        match answer {
            RelayedResponse::NotPrimary => self.take_back(now, call),
            answer => self.steps.push(Step::Answer(call, answer)),
        }
    }

    /// No connection to that machine is left, so no answer will come: what was sent there may have
    /// been taken.
    pub fn on_lost(&mut self, address: &A) {
        self.give_up_if(|sent| sent.to == *address);
    }

    /// Ends what has waited too long.
    pub fn expire(&mut self, now: Time) {
        self.give_up_if(|sent| sent.call.deadline() <= now);
    }

    fn give_up_if(&mut self, ends: impl Fn(&Sent<C, A>) -> bool) {
        let sent = std::mem::take(&mut self.sent).into_iter();
        let (given_up, sent): (BTreeMap<_, _>, BTreeMap<_, _>) =
            sent.partition(|(_, sent)| ends(sent));
        self.sent = sent;
        for Sent { call, .. } in given_up.into_values() {
            let answer = call.question.unanswered();
            self.steps.push(Step::Answer(call, answer));
        }
    }

    /// What is to be done, in order.
    pub fn take_steps(&mut self) -> Vec<Step<C, A>> {
        std::mem::take(&mut self.steps)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.sent.is_empty()
    }

    /// When [`Self::advance`] has something to do by itself. After it, this is never in the past.
    pub fn next_wake(&self) -> Option<Time> {
        let held = self.held.iter().map(Held::next_wake);
        held.chain(self.sent.values().map(|sent| sent.call.deadline()))
            .min()
    }
}

impl<C, A> Held<C, A> {
    fn next_wake(&self) -> Time {
        // One that may go already waits for a primary to appear, which wakes by itself.
        let pauses = self.not_before > self.call.arrived;
        let patience = self.call.patience();
        if pauses {
            patience.min(self.not_before)
        } else {
            patience
        }
    }
}

#[cfg(test)]
mod tests;
