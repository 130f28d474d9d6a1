//! What the decision module remembers of a query, its parts and their attempts.

use crate::PartChecks;
use lichenswitch_interface::{Micros, PartId, Placement, ServerId, Shard, Time};
use std::collections::BTreeSet;

/// How far an attempt has come, as far as that decides whether its part may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// It was sent and has not ended.
    InFlight,
    /// It has ended, and never ran.
    NeverRan,
    /// It has ended, and may have run.
    MayHaveRun,
}

/// An attempt of a part, as the part remembers it.
#[derive(Clone, Copy, Debug)]
pub struct PartAttempt {
    /// Where it was sent.
    pub server: ServerId,
    /// When.
    pub sent_at: Time,
    /// When it ended, once it has.
    pub ended_at: Time,
    /// How far it has come.
    pub state: AttemptState,
}

/// A part of a query, as the module remembers it.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts of a part that are independent of each other"
)]
pub struct Part {
    /// Names it.
    pub id: PartId,
    /// Its shard.
    pub shard: Shard,
    /// Its share of its step.
    pub weight: f64,
    /// Its step, from 1.
    pub step: u8,
    /// Its attempts, in order.
    pub attempts: Vec<PartAttempt>,
    /// How many of them never left this instance: they don't count to the attempts allowed.
    pub never_left: usize,
    /// Whether the last attempt found nobody at its server.
    pub is_unreachable: bool,
    /// Whether it has an answer, or needs none any more.
    pub is_answered: bool,
    /// Whether its first lateness has been counted against its server.
    pub is_lateness_counted: bool,
    /// Whether nothing of it was in flight, and the retry budget did not let it be sent again.
    pub is_withheld: bool,
}

impl Part {
    /// Attempts that were made.
    #[must_use]
    pub fn attempts_made(&self) -> usize {
        self.attempts.len() - self.never_left
    }
    /// Indices of its attempts that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = u16> + '_ {
        (0u16..)
            .zip(&self.attempts)
            .filter(|(_, t)| t.state == AttemptState::InFlight)
            .map(|(i, _)| i)
    }
}

/// An attempt in flight, as its server is recorded_outcome by it.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Where it was sent.
    pub server: ServerId,
    /// The call that it travelled in.
    pub call_id: u64,
    /// When.
    pub sent_at: Time,
    /// Index of the common answer time that it is measured by.
    pub time_index: usize,
    /// Own parts pending there when it was sent.
    pub pending_at_send: f64,
    /// Whether it went on a connection that had been idle.
    pub on_idle_connection: bool,
}

/// A query in hand.
#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts of a query that are independent of each other"
)]
pub struct Query {
    /// Number that its parts carry.
    pub number: u32,
    /// Index of its class.
    pub class: usize,
    /// What it is about; 0: not known.
    pub key: u64,
    /// Which of equal servers it goes to.
    pub placement: Placement,
    /// When it came.
    pub arrived_at: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// When its latency target is over, counted from the client's first attempt.
    pub target_at: Time,
    /// Share of its class's value that it has: less beyond its tenant's quota (0 to 1).
    pub value_share: f64,
    /// Time that it really has: to its latency target, or to its deadline where that comes first or
    /// the target has passed.
    pub window: Micros,
    /// Which of two steps it is in, from 1.
    pub step: u8,
    /// When that step began.
    pub step_at: Time,
    /// Whether the first step was complete.
    pub is_first_step_complete: bool,
    /// Its present step is to end with what is in, if that is enough.
    pub is_closing: bool,
    /// Whether one part is sent ahead of the others until one has been answered.
    pub sends_one_part_ahead: bool,
    /// Servers whose connection broke under a part of it.
    pub broken_servers: BTreeSet<ServerId>,
    /// When it has to be looked at again, if no event concerns it before.
    pub check_at: Time,
    /// Its parts, of both steps.
    pub parts: Vec<Part>,
    /// Whether a part, of whichever step, was answered.
    pub has_answer: bool,
    /// Of the present step: parts to look at.
    pub checks: PartChecks,
    /// Of the present step: how many parts there are.
    pub part_count: usize,
    /// Of these, how many are unanswered and have had fewer than two attempts.
    pub single_attempt_parts: usize,
    /// Weight of all parts of the present step.
    pub total_weight: f64,
    /// Weight of those that are answered.
    pub answered_weight: f64,
}

impl Query {
    /// Whether nothing of it is in flight, while a part that it needs may not be sent again for now:
    /// it waits for nothing but the retry budget.
    #[must_use]
    pub fn is_out_of_budget(&self) -> bool {
        let is_withheld = self.checks.idle_parts().any(|i| self.parts[i].is_withheld);
        is_withheld
            && self
                .parts
                .iter()
                .all(|part| part.in_flight().next().is_none())
    }
}
