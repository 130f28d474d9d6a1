//! Phases: reports to the planner of queries of two steps, and carries out its verdicts.

use super::{Attempt, Command, Core, FirstStep, Reply, Value};
use lichenswitch_interface::{Event, Outcome, QueryId, Shard, Time};
use lichenswitch_phases::prune::Bound;
use lichenswitch_phases::{AttemptTiming, FirstAnswer, Goal, PartRef, Phase, Plan, Verdict};
use std::rc::Rc;

fn bound(shard: Shard, value: &Value) -> Option<Bound> {
    let offer = value.sorted.as_ref()?;
    Some(Bound {
        slice: shard.0,
        keys: offer.keys.clone(),
        matched: offer.matched,
    })
}

impl<J> Core<J> {
    /// An attempt of a part that is still held has ended: the planner learns of it.
    pub(super) fn report_to_planner(&mut self, now: Time, attempt: &Attempt, outcome: Outcome) {
        let Some(&(query, i)) = self.parts.get(&attempt.part) else {
            return;
        };
        let Some(part) = self.queries.get(&query).and_then(|q| q.parts.get(i)) else {
            return;
        };
        let timing = AttemptTiming {
            elapsed: now.since(attempt.sent),
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
            .on_loss(now, planned_part, attempt.sent, unanswered);
    }

    /// Does what the planner says.
    pub(super) fn apply_verdicts(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let (id, reason, is_logged) = match verdict {
                Verdict::Close { query: id, reason } => {
                    self.inbox.push(Event::Close(id));
                    (id, reason, self.explain)
                }
                Verdict::GiveUp { query: id, reason } => {
                    self.inbox.push(Event::GiveUp(id));
                    (id, reason, self.explain)
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
                        self.inbox.push(Event::Unneeded(part.id));
                    }
                    (id, reason, self.explain)
                }
                Verdict::Doubt { query: id, reason } => {
                    self.queries.entry(id).and_modify(|q| q.is_doubtful = true);
                    (id, reason, true)
                }
            };
            if is_logged {
                self.lines.push(format!("query {}: {reason}", id.0));
            }
        }
    }

    /// The planner's second step; `None`: it plans nothing for this class.
    fn plan(&mut self, now: Time, query: QueryId) -> Option<Plan> {
        let q = self
            .queries
            .get(&query)
            .filter(|q| self.planner.is_planned(q.class))?;
        let goal = q.top.map_or(Goal::BestScores, |(k, direction)| Goal::Top {
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
        let firsts = q.parts.iter().filter_map(first).collect();
        let (class, module) = (q.class, &self.module);
        self.planner
            .plan_second_phase(now, query, goal, firsts, |slice| {
                module.pending_for(Shard(slice), class)
            })
    }

    /// Begins the second step of a query whose first has ended, whole or not.
    pub(super) fn second_step(
        &mut self,
        now: Time,
        query: QueryId,
        whole: bool,
        commands: &mut Vec<Command<J>>,
    ) {
        let plan = self.plan(now, query);
        let Some(q) = self.queries.get_mut(&query) else {
            return;
        };
        let scores: Vec<(f64, Shard)> = q
            .parts
            .iter()
            .filter_map(|p| p.value.as_ref().map(|v| (v.score, p.shard)))
            .collect();
        let shards = scores.iter().map(|s| s.1).collect();
        q.first = Some(Rc::new(FirstStep { shards, whole }));
        match plan {
            Some(plan) => self.begin_planned_step(query, whole, plan, commands),
            None => self.begin_best_scores_step(query, scores),
        }
    }

    /// The second step as the settings say: the best scores, as many as the class has.
    fn begin_best_scores_step(&mut self, query: QueryId, mut scores: Vec<(f64, Shard)>) {
        let Some(q) = self.queries.get(&query) else {
            return;
        };
        scores.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        scores.truncate(self.settings.classes[q.class].second_step as usize);
        let weight = 1.0 / scores.len().max(1) as f64;
        for (_, shard) in scores {
            self.add_part(query, shard, weight, true, None);
        }
    }

    /// The second step as the planner wants it; it may be over at once, or not be worth beginning.
    fn begin_planned_step(
        &mut self,
        query: QueryId,
        whole: bool,
        plan: Plan,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(q) = self.queries.get_mut(&query) else {
            return;
        };
        if self.explain {
            let reasons = plan.reasons.iter();
            self.lines
                .extend(reasons.map(|reason| format!("query {}: {reason}", query.0)));
        }
        q.left_out = plan.left_out.iter().map(|&slice| Shard(slice)).collect();
        if plan.give_up {
            return self.inbox.push(Event::GiveUp(query));
        }
        if plan.parts.is_empty() {
            // No part remains to be requested: the module, which waits for parts, is notified that
            // the query is over.
            self.inbox.push(Event::Hangup(query));
            return self.served(query, whole, commands);
        }
        let weight = 1.0 / plan.wanted.max(1) as f64;
        if let Some(&slice) = plan.unneeded.first() {
            // All that was proved to be unneeded counts as one part that is in.
            let weight = weight * plan.unneeded.len() as f64;
            self.add_unneeded_part(query, Shard(slice), weight);
        }
        for part in plan.parts {
            self.add_part(query, Shard(part.slice), weight, true, part.max_elements);
        }
    }

    /// Adds a part that is proved to add nothing.
    fn add_unneeded_part(&mut self, query: QueryId, shard: Shard, weight: f64) {
        let Some(part) = self.add_part(query, shard, weight, true, None) else {
            return;
        };
        let parts = self.queries.get_mut(&query).map(|q| &mut q.parts);
        if let Some(part) = parts.and_then(|parts| parts.last_mut()) {
            part.is_proved_unneeded = true;
        }
        self.inbox.push(Event::Unneeded(part));
    }

    /// Gives a query its answer from the parts that are in; `whole`: as far as its last step goes.
    pub(super) fn served(&mut self, query: QueryId, whole: bool, commands: &mut Vec<Command<J>>) {
        let Some(q) = self.release(query) else { return };
        self.counters[q.class].served += 1;
        let is_second_step = q.first.is_some();
        let mut gaps: Vec<Shard> = q
            .parts
            .iter()
            .filter(|p| !p.is_in())
            .map(|p| p.shard)
            .collect();
        gaps.extend(&q.left_out);
        gaps.sort_unstable();
        gaps.dedup();
        let whole = whole && !q.is_doubtful && q.left_out.is_empty();
        let sorted = q.top.is_some();
        let mut values: Vec<(Shard, Value)> = Vec::new();
        for part in q
            .parts
            .into_iter()
            .filter(|p| p.is_second_step == is_second_step || sorted)
        {
            let Some(value) = part.value else { continue };
            // Of a sorted answer a shard's second value takes the place of its first, which it
            // holds again.
            match values
                .iter_mut()
                .find(|v| sorted && part.is_second_step && v.0 == part.shard)
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
                missing_shards: gaps,
            },
        ));
    }
}
