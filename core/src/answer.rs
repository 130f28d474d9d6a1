//! Answer: ends queries with a complete or partial answer, a refusal or a failure, or begins their
//! second step.

use super::{Command, Core, Reply};
use lichenswitch_interface::{Event, Micros, QueryId, Time};

/// Rounding tolerance for sums of weights.
const ROUNDING: f64 = 1e-4;

impl<J> Core<J> {
    /// Ends the current step from the answered parts, on the module's decision.
    pub(super) fn answer(
        &mut self,
        now: Time,
        query: QueryId,
        whole: bool,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(held_query) = self.queries.get(&query) else {
            return;
        };
        let class = &self.settings.classes[held_query.class];
        let (second_step, is_second_step) = (class.second_step, held_query.first.is_some());
        let step = || {
            held_query
                .parts
                .iter()
                .filter(|p| p.is_second_step == is_second_step)
        };
        let available: f64 = step().filter(|p| p.is_answered()).map(|p| p.weight).sum();
        // Independent check against errors in earlier stages: an answer below the floor is
        // withheld, and completeness is computed from the values that are present.
        let needed = if is_second_step { 1.0 } else { class.need };
        let floor = if is_second_step && class.floor >= class.need {
            1.0
        } else {
            class.floor
        };
        if available + ROUNDING < floor.min(needed) {
            commands.push(Command::Log(format!(
                "answer withheld: {available:.3} of the weight is below the minimum; query failed"
            )));
            self.pending_events.push(Event::Hangup(query));
            return self.fail(query, commands);
        }
        let is_first_complete = held_query.first.as_ref().is_none_or(|first| first.whole);
        let whole = whole && available + ROUNDING >= needed && is_first_complete;
        if second_step > 0 && !is_second_step {
            return self.begin_second_step(now, query, whole, commands);
        }
        self.reply_served(query, whole, commands);
    }

    pub(super) fn refuse(&mut self, query: QueryId, after: Micros, commands: &mut Vec<Command<J>>) {
        if let Some(held_query) = self.release(query) {
            self.counters[held_query.class].refused += 1;
            let advice = self
                .settings
                .limits
                .retry_after
                .map(|most| after.min(most))
                .filter(|&a| a > 0);
            commands.push(Command::Reply(query, Reply::Refused(advice)));
        }
    }

    pub(super) fn fail(&mut self, query: QueryId, commands: &mut Vec<Command<J>>) {
        if let Some(held_query) = self.release(query) {
            self.counters[held_query.class].failed += 1;
            commands.push(Command::Reply(query, Reply::Failed));
        }
    }

    /// Fails every query that is past its deadline. The module normally ends queries earlier; this
    /// ensures that each gets a final answer in time.
    pub(super) fn end_overdue(&mut self, now: Time, commands: &mut Vec<Command<J>>) {
        let overdue: Vec<QueryId> = self
            .deadlines
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1)
            .collect();
        for id in overdue {
            commands.push(Command::Log(
                "query failed at its deadline: the decision module left it open".into(),
            ));
            self.fail(id, commands);
            self.pending_events.push(Event::Hangup(id));
        }
    }
}
