//! Answer: the end of a query, whole, partial, refused or failed, and the second step where a class
//! has one.

use super::{Command, Core, Reply};
use lichenswitch_interface::{Event, Micros, QueryId, Time};

/// Sums of weights may fall short by this much.
const ROUNDING: f64 = 1e-4;

impl<J> Core<J> {
    /// The module ends a step from the parts that are in.
    pub(super) fn answer(
        &mut self,
        now: Time,
        query: QueryId,
        whole: bool,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(q) = self.queries.get(&query) else {
            return;
        };
        let class = &self.settings.classes[q.class];
        let (second_step, is_second_step) = (class.second_step, q.first.is_some());
        let step = || {
            q.parts
                .iter()
                .filter(|p| p.is_second_step == is_second_step)
        };
        let available: f64 = step().filter(|p| p.is_in()).map(|p| p.weight).sum();
        // Guards the rule on honest answers against a slip anywhere before it: nothing from less
        // than the floor leaves, and the mark of a whole answer is given from the parts that are
        // really here.
        let needed = if is_second_step { 1.0 } else { class.need };
        let floor = if is_second_step && class.floor >= class.need {
            1.0
        } else {
            class.floor
        };
        if available + ROUNDING < floor.min(needed) {
            commands.push(Command::Log(format!(
                "answer from {available:.3} of the weight withheld"
            )));
            self.inbox.push(Event::Hangup(query));
            return self.fail(query, commands);
        }
        let first_whole = q.first.as_ref().is_none_or(|first| first.whole);
        let whole = whole && available + ROUNDING >= needed && first_whole;
        if second_step > 0 && !is_second_step {
            return self.second_step(now, query, whole, commands);
        }
        self.served(query, whole, commands);
    }

    pub(super) fn refuse(&mut self, query: QueryId, after: Micros, commands: &mut Vec<Command<J>>) {
        if let Some(q) = self.release(query) {
            self.counters[q.class].refused += 1;
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
        if let Some(q) = self.release(query) {
            self.counters[q.class].failed += 1;
            commands.push(Command::Reply(query, Reply::Failed));
        }
    }

    /// Guards the rule that each query gets a final answer in its client's time: the module ends
    /// queries before it, and what it left open is failed here.
    pub(super) fn end_overdue(&mut self, now: Time, commands: &mut Vec<Command<J>>) {
        let overdue: Vec<QueryId> = self
            .deadlines
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1)
            .collect();
        for id in overdue {
            commands.push(Command::Log(
                "a query had to be ended at its client's deadline".into(),
            ));
            self.fail(id, commands);
            self.inbox.push(Event::Hangup(id));
        }
    }
}
