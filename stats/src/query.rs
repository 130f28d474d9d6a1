//! State of a query, its parts and their attempts.

use crate::PartChecks;
use lichenswitch_interface::{Micros, PartId, Placement, ServerId, Shard, Time};
use std::collections::BTreeSet;

/// State of an attempt, which decides whether its part may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// The attempt was sent and has not ended.
    InFlight,
    /// The attempt has ended and never ran.
    NeverRan,
    /// The attempt has ended and may have run.
    MayHaveRun,
}

/// Attempt in the history of a part.
#[derive(Clone, Copy, Debug)]
pub struct PartAttempt {
    /// Server that it was sent to.
    pub server: ServerId,
    /// Time of the send.
    pub sent_at: Time,
    /// Time of its end; equals `sent_at` while it is in flight.
    pub ended_at: Time,
    /// Current state.
    pub state: AttemptState,
}

/// Part of a query and its attempts.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts of a part that are independent of each other"
)]
pub struct Part {
    /// Identifier of the part.
    pub id: PartId,
    /// Shard that the part reads.
    pub shard: Shard,
    /// Weight of the part in its step (0 to 1).
    pub weight: f64,
    /// Step of the query that it belongs to, from 1.
    pub step: u8,
    /// Attempts in the order of their sends.
    pub attempts: Vec<PartAttempt>,
    /// Number of attempts that never left this instance; they don't count to the limit.
    pub never_left: usize,
    /// Whether the last attempt to end failed to connect.
    pub is_unreachable: bool,
    /// Whether the part is answered or unneeded.
    pub is_answered: bool,
    /// Whether its first lateness has been counted as a fault of its server.
    pub is_lateness_counted: bool,
    /// Whether a retry of it is withheld, for lack of retry budget or of an open replica.
    pub is_withheld: bool,
}

impl Part {
    /// Returns the number of attempts that left this instance.
    #[must_use]
    pub fn attempts_made(&self) -> usize {
        self.attempts.len() - self.never_left
    }
    /// Returns the indices of the attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = u16> + '_ {
        (0u16..)
            .zip(&self.attempts)
            .filter(|(_, t)| t.state == AttemptState::InFlight)
            .map(|(i, _)| i)
    }
}

/// Attempt in flight, with the data needed to rate its server.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Server that it was sent to.
    pub server: ServerId,
    /// Identifier of the call that carries it.
    pub call_id: u64,
    /// Time of the send.
    pub sent_at: Time,
    /// Index of its common response time: `2 * class + step - 1`.
    pub time_index: usize,
    /// Parts of this instance that were pending at the server before the send.
    pub pending_at_send: f64,
    /// Whether it was sent on a connection that had been idle.
    pub on_idle_connection: bool,
}

/// Query that is held, from its arrival to its final answer.
#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts of a query that are independent of each other"
)]
pub struct Query {
    /// Number by which its parts refer to it.
    pub number: u32,
    /// Index of its class.
    pub class: usize,
    /// Key of the queried data; 0: unknown.
    pub key: u64,
    /// Preferences among equal servers.
    pub placement: Placement,
    /// Arrival time.
    pub arrived_at: Time,
    /// Time at which the client abandons it.
    pub deadline: Time,
    /// End of its latency target, counted from the client's first attempt.
    pub target_at: Time,
    /// Share of its class's value (0 to 1); it is reduced beyond the tenant's quota.
    pub value_share: f64,
    /// Time available from its arrival: to the end of the latency target, or a full target if that
    /// is (nearly) over, but at most to the deadline.
    pub window: Micros,
    /// Current step, 1 or 2.
    pub step: u8,
    /// Start of the current step.
    pub step_at: Time,
    /// Whether the answer to the first step was complete.
    pub is_first_step_complete: bool,
    /// Whether the current step ends as soon as the answered parts suffice.
    pub is_closing: bool,
    /// Whether only one part is in flight at a time until one has been answered.
    pub sends_one_part_ahead: bool,
    /// Servers whose connection broke while a part was in flight.
    pub broken_servers: BTreeSet<ServerId>,
    /// Time of the next check if no event triggers an earlier one.
    pub check_at: Time,
    /// Parts of both steps.
    pub parts: Vec<Part>,
    /// Whether a part of any step was answered.
    pub has_answer: bool,
    /// Checks of the parts of the current step.
    pub checks: PartChecks,
    /// Number of parts of the current step.
    pub part_count: usize,
    /// Number of unanswered parts of the current step with fewer than two attempts.
    pub single_attempt_parts: usize,
    /// Weight of all parts of the current step.
    pub total_weight: f64,
    /// Weight of the answered parts of the current step.
    pub answered_weight: f64,
}

impl Query {
    /// Returns whether nothing is in flight and a retry is withheld, so that the query waits only
    /// for the retry budget.
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
