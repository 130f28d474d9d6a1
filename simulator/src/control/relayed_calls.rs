//! Calls that the primary has to answer, at the machine that took them.
//!
//! A call that can't have been taken ends with 503; an order whose end isn't known has no answer.

use std::collections::BTreeMap;

use lichenswitch_messages::RelayedAnswer;
use lichenswitch_replication::Time;

use super::calls::Call;

/// After a machine has said that it is not the primary, a call rests so many microseconds.
const SENT_BACK_PAUSE: u64 = 100_000;

/// Where the primary is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Primary {
    Here,
    At(String),
    Unknown,
}

/// What is to be done with a call.
#[derive(Debug)]
pub(super) enum Step {
    /// This machine is the primary.
    Here(Call),
    /// Send it there under this number.
    Send(String, u64, Call),
    /// Answer the caller.
    Answer(Call, RelayedAnswer),
}

/// Calls of callers at this machine.
#[derive(Debug, Default)]
pub(super) struct RelayedCalls {
    held: Vec<(Time, Call)>,
    sent: BTreeMap<u64, Call>,
    next_id: u64,
}

impl RelayedCalls {
    /// Numbers are drawn above this one, which no other life of the process used.
    pub(super) fn new(first_id: u64) -> Self {
        Self { next_id: first_id, ..Self::default() }
    }

    /// A call has come from a caller.
    pub(super) fn take(&mut self, call: Call) {
        self.held.push((call.arrived, call));
    }

    /// A call has come back that nobody has begun.
    pub(super) fn take_back(&mut self, now: Time, call: Call) {
        self.held.push((now.after(SENT_BACK_PAUSE), call));
    }

    /// Hands on what can be handed on, and ends what has waited too long.
    pub(super) fn advance(&mut self, now: Time, primary: &Primary) -> Vec<Step> {
        let mut steps = self.expired(now);
        for (not_before, call) in std::mem::take(&mut self.held) {
            match primary {
                _ if call.patience() <= now => steps.push(Step::Answer(call, RelayedAnswer::NotPrimary)),
                Primary::Here if not_before <= now => steps.push(Step::Here(call)),
                Primary::At(to) if not_before <= now => steps.push(self.send(to, call)),
                Primary::Here | Primary::At(_) => self.held.push((not_before, call)),
                // It waits for a primary to appear, which wakes by itself.
                Primary::Unknown if not_before <= now => self.held.push((call.arrived, call)),
                Primary::Unknown => self.held.push((not_before, call)),
            }
        }
        steps
    }

    fn send(&mut self, to: &str, call: Call) -> Step {
        self.next_id += 1;
        self.sent.insert(self.next_id, call.clone());
        Step::Send(to.to_owned(), self.next_id, call)
    }

    fn expired(&mut self, now: Time) -> Vec<Step> {
        let (expired, sent) =
            std::mem::take(&mut self.sent).into_iter().partition(|sent| sent.1.deadline() <= now);
        self.sent = sent;
        let expired: BTreeMap<u64, Call> = expired;
        let give_up = |call: Call| {
            let answer = call.unanswered();
            Step::Answer(call, answer)
        };
        expired.into_values().map(give_up).collect()
    }

    /// The primary has answered.
    pub(super) fn on_answer(&mut self, now: Time, id: u64, answer: RelayedAnswer) -> Option<Step> {
        let call = self.sent.remove(&id)?;
        if answer == RelayedAnswer::NotPrimary {
            self.take_back(now, call);
            return None;
        }
        Some(Step::Answer(call, answer))
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        let pause = |(not_before, call): &(Time, Call)| match *not_before > call.arrived {
            true => call.patience().min(*not_before),
            false => call.patience(),
        };
        let held = self.held.iter().map(pause);
        held.chain(self.sent.values().map(Call::deadline)).min()
    }
}
