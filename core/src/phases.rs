//! Two-step queries: reports events to the planner and carries out its verdicts.

use super::{Attempt, Command, Core, FirstStep, Reply, Value};
use lichenswitch_interface::{Event, Outcome, QueryId, Shard, Time};
use lichenswitch_phases::prune::Bound;
use lichenswitch_phases::{AttemptTiming, FirstAnswer, Goal, PartRef, Phase, Plan, Verdict};
use std::rc::Rc;

fn bound(shard: Shard, value: &Value) -> Option<Bound> {
    let sorted = value.sorted.as_ref()?;
    Some(Bound {
        slice: shard.0,
        keys: sorted.keys.clone(),
        matched: sorted.matched,
    })
}

impl<J> Core<J> {
    /// Reports the end of an attempt to the planner if its part is still held.
    pub(super) fn report_to_planner(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let Some(&(query, i)) = self.parts.get(&attempt.part) else {
            return;
        };
        let Some(part) = self.queries.get(&query).and_then(|q| q.parts.get(i)) else {
            return;
        };
        let timing = AttemptTiming {
            elapsed: now.since(attempt.sent_at),
            pending: f64::from(attempt.pending),
        };
        let planned_part = PartRef {
            query,
            slice: part.shard.0,
            phase: match part.is_second_step {
                true => Phase::Second,
                false => Phase::First,
            },
        };
        if outcome == Outcome::Ok {
            let bound = part
                .value
                .as_ref()
                .and_then(|value| bound(part.shard, value));
            let verdicts = self.planner.on_response(now, planned_part, timing, bound);
            return self.apply_verdicts(verdicts);
        }
        let is_unanswered = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        let unanswered = is_unanswered.then_some(timing);
        self.planner
            .on_loss(now, planned_part, attempt.sent_at, unanswered);
    }

    /// Carries out the planner's verdicts.
    pub(super) fn apply_verdicts(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let (id, reason, is_logged) = match verdict {
                Verdict::Close { query: id, reason } => {
                    self.pending_events.push(Event::Close(id));
                    (id, reason, self.logs_reasons)
                }
                Verdict::GiveUp { query: id, reason } => {
                    self.pending_events.push(Event::GiveUp(id));
                    (id, reason, self.logs_reasons)
                }
                Verdict::Unneeded {
                    query: id,
                    slice,
                    reason,
                } => {
                    let parts = self.queries.get_mut(&id).map(|q| &mut q.parts);
                    let part = parts.and_then(|p| {
                        p.iter_mut()
                            .find(|p| p.is_second_step && p.shard.0 == slice)
                    });
                    if let Some(part) = part {
                        part.is_proved_unneeded = true;
                        self.pending_events.push(Event::Unneeded(part.id));
                    }
                    (id, reason, self.logs_reasons)
                }
                Verdict::MarkIncomplete { query: id, reason } => {
                    self.queries.entry(id).and_modify(|q| q.is_doubtful = true);
                    (id, reason, true)
                }
            };
            if is_logged {
                self.log_lines.push(format!("query {}: {reason}", id.0));
            }
        }
    }

    /// Returns the planner's second step, or `None` if it does not plan this class.
    fn plan(&mut self, now: Time, query: QueryId) -> Option<Plan> {
        let held_query = self
            .queries
            .get(&query)
            .filter(|q| self.planner.is_planned(q.class))?;
        let goal = held_query
            .top
            .map_or(Goal::BestScores, |(k, direction)| Goal::Top {
                k,
                direction,
            });
        let first = |p: &super::Part| {
            let value = p.value.as_ref()?;
            Some(FirstAnswer {
                slice: p.shard.0,
                score: value.score,
                bound: bound(p.shard, value),
            })
        };
        let firsts = held_query.parts.iter().filter_map(first).collect();
        let (class, module) = (held_query.class, &self.module);
        self.planner
            .plan_second_phase(now, query, goal, firsts, |slice| {
                module.pending_for(Shard(slice), class)
            })
    }

    /// Begins the second step of a query after its first, complete or not.
    pub(super) fn begin_second_step(
        &mut self,
        now: Time,
        query: QueryId,
        whole: bool,
        commands: &mut Vec<Command<J>>,
    ) {
        let plan = self.plan(now, query);
        let Some(held_query) = self.queries.get_mut(&query) else {
            return;
        };
        let scores: Vec<(f64, Shard)> = held_query
            .parts
            .iter()
            .filter_map(|p| p.value.as_ref().map(|v| (v.score, p.shard)))
            .collect();
        let shards = scores.iter().map(|s| s.1).collect();
        held_query.first = Some(Rc::new(FirstStep { shards, whole }));
        match plan {
            Some(plan) => self.begin_planned_step(query, whole, plan, commands),
            None => self.begin_best_scores_step(query, scores),
        }
    }

    /// Begins an unplanned second step: the shards with the best scores, up to the class's number.
    fn begin_best_scores_step(&mut self, query: QueryId, mut scores: Vec<(f64, Shard)>) {
        let Some(held_query) = self.queries.get(&query) else {
            return;
        };
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scores.truncate(self.settings.classes[held_query.class].second_step as usize);
        let weight = 1.0 / scores.len().max(1) as f64;
        for (_, shard) in scores {
            self.add_part(query, shard, weight, true, None);
        }
    }

    /// Begins a planned second step. The plan may give the query up or need no further parts.
    fn begin_planned_step(
        &mut self,
        query: QueryId,
        whole: bool,
        plan: Plan,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(held_query) = self.queries.get_mut(&query) else {
            return;
        };
        if self.logs_reasons {
            let reasons = plan.reasons.iter();
            self.log_lines
                .extend(reasons.map(|reason| format!("query {}: {reason}", query.0)));
        }
        held_query.skipped_shards = plan.left_out.iter().map(|&slice| Shard(slice)).collect();
        if plan.give_up {
            return self.pending_events.push(Event::GiveUp(query));
        }
        if plan.parts.is_empty() {
            // No part remains to be requested: the module, which waits for parts, is notified that
            // the query is over.
            self.pending_events.push(Event::Hangup(query));
            return self.reply_served(query, whole, commands);
        }
        let weight = 1.0 / plan.wanted.max(1) as f64;
        if let Some(&slice) = plan.unneeded.first() {
            // All unneeded shards together count as one answered part.
            let weight = weight * plan.unneeded.len() as f64;
            self.add_unneeded_part(query, Shard(slice), weight);
        }
        for part in plan.parts {
            self.add_part(query, Shard(part.slice), weight, true, part.max_elements);
        }
    }

    /// Adds a part that was proved unneeded and counts as answered.
    fn add_unneeded_part(&mut self, query: QueryId, shard: Shard, weight: f64) {
        let Some(part) = self.add_part(query, shard, weight, true, None) else {
            return;
        };
        let parts = self.queries.get_mut(&query).map(|q| &mut q.parts);
        if let Some(part) = parts.and_then(|parts| parts.last_mut()) {
            part.is_proved_unneeded = true;
        }
        self.pending_events.push(Event::Unneeded(part));
    }

    /// Ends a query with an answer from the answered parts; `whole` tells whether its last step was
    /// complete.
    pub(super) fn reply_served(
        &mut self,
        query: QueryId,
        whole: bool,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(held_query) = self.release(query) else {
            return;
        };
        self.counters[held_query.class].served += 1;
        let is_second_step = held_query.first.is_some();
        let mut missing_shards: Vec<Shard> = held_query
            .parts
            .iter()
            .filter(|p| !p.is_answered())
            .map(|p| p.shard)
            .collect();
        missing_shards.extend(&held_query.skipped_shards);
        missing_shards.sort_unstable();
        missing_shards.dedup();
        let whole = whole && !held_query.is_doubtful && held_query.skipped_shards.is_empty();
        let is_sorted = held_query.top.is_some();
        let mut values: Vec<(Shard, Value)> = Vec::new();
        for part in held_query
            .parts
            .into_iter()
            .filter(|p| p.is_second_step == is_second_step || is_sorted)
        {
            let Some(value) = part.value else { continue };
            // In a sorted answer the second value of a shard includes its first and replaces it.
            match values
                .iter_mut()
                .find(|v| is_sorted && part.is_second_step && v.0 == part.shard)
            {
                Some(first) => first.1 = value,
                None => values.push((part.shard, value)),
            }
        }
        commands.push(Command::Reply(
            query,
            Reply::Served {
                whole,
                values,
                missing_shards,
            },
        ));
    }
}
