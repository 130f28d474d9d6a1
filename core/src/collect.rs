//! Collect: records the outcomes of attempts and the values of parts.

use super::{Core, Value};
use lichenswitch_interface::{Event, Outcome, ServerId, Time};

impl<J> Core<J> {
    /// Records the end of an attempt. Returns `false` if it had already ended; only the first end
    /// counts.
    pub fn on_attempt_ended(
        &mut self,
        now: Time,
        attempt: u64,
        outcome: Outcome,
        value: Option<Value>,
    ) -> bool {
        let Some(ended_attempt) = self.attempts.remove(&attempt) else {
            return false;
        };
        self.attempt_ids
            .remove(&(ended_attempt.part, ended_attempt.index));
        let max_bytes = self.max_bytes();
        let position = self.parts.get(&ended_attempt.part).copied();
        let mut part =
            position.and_then(|(query, i)| self.queries.get_mut(&query)?.parts.get_mut(i));
        let load = self
            .parts_in_flight
            .entry(ended_attempt.server)
            .or_default();
        *load = load.saturating_sub(1);
        if *load == 0 {
            self.parts_in_flight.remove(&ended_attempt.server);
        }
        let mut outcome = outcome;
        if let (Some(part), Outcome::NeverSent) = (&mut part, outcome) {
            part.never_left += 1;
        }
        if let Some(part) = part.as_mut().filter(|p| {
            outcome.never_ran()
                && p.first_possible_run
                    .is_some_and(|r| r.0 == ended_attempt.index)
        }) {
            part.first_possible_run = None;
        }
        if let (Some(part), Outcome::Ok, Some(value)) = (part, outcome, value) {
            if self.value_bytes + value.bytes.len() > max_bytes {
                // Bounds memory: a value beyond the limit counts as an error.
                outcome = Outcome::Error;
            } else if part.value.is_none() {
                // A part keeps the value that arrived first.
                self.value_bytes += value.bytes.len();
                part.value = Some(value);
            }
        }
        self.report_to_planner(now, &ended_attempt, outcome);
        self.pending_events.push(Event::Finished {
            part: ended_attempt.part,
            attempt: ended_attempt.index,
            server: ended_attempt.server,
            outcome,
            elapsed: now.since(ended_attempt.sent_at),
        });
        true
    }

    /// Returns the server of an attempt in flight, or `None` after its end.
    #[must_use]
    pub fn server_of(&self, attempt: u64) -> Option<ServerId> {
        self.attempts.get(&attempt).map(|a| a.server)
    }
}
