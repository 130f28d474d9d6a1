//! Collect: takes the outcomes of attempts, and with them the values of parts.

use super::{Core, Value};
use lichenswitch_interface::{Event, Outcome, ServerId, Time};

impl<J> Core<J> {
    /// An attempt has ended. Only its first end counts; `false`: it had ended before.
    pub fn on_attempt_ended(
        &mut self,
        now: Time,
        attempt: u64,
        outcome: Outcome,
        value: Option<Value>,
    ) -> bool {
        let Some(a) = self.attempts.remove(&attempt) else {
            return false;
        };
        self.in_flight.remove(&(a.part, a.number));
        let max_bytes = self.max_bytes();
        let position = self.parts.get(&a.part).copied();
        let mut part =
            position.and_then(|(query, i)| self.queries.get_mut(&query)?.parts.get_mut(i));
        let load = self.load.entry(a.server).or_default();
        *load = load.saturating_sub(1);
        if *load == 0 {
            self.load.remove(&a.server);
        }
        let mut outcome = outcome;
        if let (Some(part), Outcome::NeverSent) = (&mut part, outcome) {
            part.never_left += 1;
        }
        if let Some(part) = part.as_mut().filter(|p| {
            outcome.never_ran() && p.first_possible_run.is_some_and(|r| r.0 == a.number)
        }) {
            part.first_possible_run = None;
        }
        if let (Some(part), Outcome::Ok, Some(value)) = (part, outcome, value) {
            if self.bytes + value.bytes.len() > max_bytes {
                // Guards memory: what all queries hold is bounded, and a value beyond it is none.
                outcome = Outcome::Error;
            } else if part.value.is_none() {
                // A part counts once, with the value that came first.
                self.bytes += value.bytes.len();
                part.value = Some(value);
            }
        }
        self.report_to_planner(now, &a, outcome);
        self.inbox.push(Event::Finished {
            part: a.part,
            attempt: a.number,
            server: a.server,
            outcome,
            elapsed: now.since(a.sent),
        });
        true
    }

    /// The server at which an attempt is in flight.
    #[must_use]
    pub fn server_of(&self, attempt: u64) -> Option<ServerId> {
        self.attempts.get(&attempt).map(|a| a.server)
    }
}
