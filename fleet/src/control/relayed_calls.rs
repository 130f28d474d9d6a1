//! Calls that the primary has to answer, at the machine that took them: handed on as soon as a primary is known, and answered with what it
//! says.
//!
//! It promises never to refuse by itself on state: a call that can't have been taken ends with 503, an order whose end isn't known has no
//! answer.

use super::calls::{answer, Call};
use super::program::{after, sooner};
use lichenswitch_interface::Time;
use lichenswitch_messages::{RelayedAnswer, RelayedCall};
use lichenswitch_rpc::Calls;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls that may be under way, and the bytes of them all. Guards memory.
const MOST: usize = 128;
const MOST_BYTES: usize = 16 << 20;

/// Where the primary is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Primary {
    /// It is this machine.
    Here,
    /// It is a machine that is connected.
    At(SocketAddr),
    /// It is not known or can't be reached.
    Unknown,
}

/// What is to be done with a call.
#[derive(Debug, PartialEq)]
pub(super) enum Step {
    /// This machine is the primary.
    Here(Call),
    /// Send it there.
    Send {
        /// Where.
        to: SocketAddr,
        /// Its number.
        id: u64,
        /// What is sent.
        call: RelayedCall,
    },
    /// Answer the caller.
    Answer(Call, RelayedAnswer),
}

/// After a machine has said that it is not the primary, a call rests so long: whoever said so may not have heard yet who is.
const SENT_BACK_PAUSE: Duration = Duration::from_millis(100);

/// A call, and when it may be handed on.
#[derive(Debug)]
struct Held {
    call: Call,
    not_before: Time,
}

/// Calls of callers at this machine.
#[derive(Default)]
pub(super) struct RelayedCalls {
    held: Vec<Held>,
    sent: BTreeMap<SocketAddr, Calls<Time, Held>>,
    steps: Vec<Step>,
}

impl RelayedCalls {
    /// A call has come from a caller.
    pub(super) fn take(&mut self, call: Call) {
        let bytes: usize = self.held.iter().map(|held| held.call.question.weight()).sum();
        let under_way = self.held.len() + self.sent.values().map(Calls::len).sum::<usize>();
        if under_way >= MOST || (bytes > 0 && bytes + call.question.weight() > MOST_BYTES) {
            return self.steps.push(Step::Answer(call, answer(503, "too many calls are under way")));
        }
        let not_before = call.arrived;
        self.held.push(Held { call, not_before });
    }

    /// A call has come back that nobody has begun.
    pub(super) fn take_back(&mut self, now: Time, call: Call) {
        self.held.push(Held { call, not_before: after(now, SENT_BACK_PAUSE) });
    }

    /// Hands on what can be handed on.
    pub(super) fn advance(&mut self, now: Time, primary: Primary) {
        for mut held in std::mem::take(&mut self.held) {
            let may_go = held.not_before <= now;
            if may_go {
                // The pause is over: what is waited for now wakes by itself.
                held.not_before = held.call.arrived;
            }
            match primary {
                _ if held.call.patience() <= now => {
                    self.steps.push(Step::Answer(held.call, RelayedAnswer::NotPrimary));
                }
                Primary::Here if may_go => self.steps.push(Step::Here(held.call)),
                Primary::At(to) if may_go => self.send(now, to, held),
                Primary::Here | Primary::At(_) | Primary::Unknown => self.held.push(held),
            }
        }
    }

    fn send(&mut self, now: Time, to: SocketAddr, held: Held) {
        let calls = self.sent.entry(to).or_insert_with(|| Calls::new(fastrand::u64(..)));
        let call = held.call.question.to_relayed();
        let id = calls.begin(now, held.call.deadline(), held);
        self.steps.push(Step::Send { to, id, call });
    }

    /// The primary has answered.
    pub(super) fn on_answer(&mut self, now: Time, from: SocketAddr, id: u64, answer: RelayedAnswer) {
        let Some(held) = self.sent.get_mut(&from).and_then(|calls| calls.finish(id)) else { return };
        match answer {
            RelayedAnswer::NotPrimary => self.take_back(now, held.call),
            answer => self.steps.push(Step::Answer(held.call, answer)),
        }
    }

    /// No connection to that machine is left, so no answer will come: what was sent there may have been taken.
    pub(super) fn on_lost(&mut self, address: SocketAddr) {
        let lost = self.sent.remove(&address).map(|mut calls| calls.finish_all()).unwrap_or_default();
        lost.into_iter().for_each(|held| self.give_up(held));
    }

    /// Ends what has waited too long.
    pub(super) fn expire(&mut self, now: Time) {
        let expired: Vec<Held> = self.sent.values_mut().flat_map(|calls| calls.expire(now)).collect();
        expired.into_iter().for_each(|held| self.give_up(held));
    }

    fn give_up(&mut self, held: Held) {
        let answer = held.call.question.unanswered();
        self.steps.push(Step::Answer(held.call, answer));
    }

    /// What is to be done, in order.
    pub(super) fn take_steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty() && self.sent.values().all(Calls::is_empty)
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        let held = self.held.iter().map(Held::next_wake).min();
        let sent = self.sent.values().filter_map(Calls::next_deadline).min();
        sooner(held, sent)
    }
}

impl Held {
    fn next_wake(&self) -> Time {
        // One that may go already waits for a primary to appear, which wakes by itself.
        let pause = Some(self.not_before).filter(|at| *at > self.call.arrived);
        sooner(pause, Some(self.call.patience())).unwrap_or(self.not_before)
    }
}

#[cfg(test)]
mod tests;
