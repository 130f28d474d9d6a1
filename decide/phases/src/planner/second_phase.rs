//! Plans second phases, withdraws parts that are no longer needed, and gives up queries that would
//! earn too little.

use super::Planner;
use crate::budget::{self, FittedParts, SecondPhaseSize};
use crate::prune::Contribution;
use crate::ranking::Ranking;
use crate::verdict::{FirstAnswer, Goal, Plan, PlannedPart, Reason, Verdict};
use crate::Rules;
use lichenswitch_interface::{Micros, QueryId, Time};
use std::collections::BTreeSet;

impl Planner {
    /// Plans the second phase from the answers of the first. `pending` returns the number of this
    /// broker's parts that are pending at the server to which a part for the slice would go, or
    /// `None` if no server accepts it. Returns `None` for a query that is not planned.
    pub fn plan_second_phase(
        &mut self,
        now: Time,
        id: QueryId,
        goal: Goal,
        answers: Vec<FirstAnswer>,
        pending: impl Fn(u32) -> Option<f64>,
    ) -> Option<Plan> {
        let query = self.queries.get_mut(&id)?;
        let rules = self.rules.get(query.class)?.as_ref()?;
        let latencies = self.latencies.get_mut(query.class)?;
        let ranking = Ranking::of(goal, answers, rules);
        let size = ranking.size();
        let left = query.target_at.since(now);
        let candidates = ranking.candidates(pending);
        let fitted = budget::fit_second_phase(rules, latencies, now, left, &candidates, size);
        let give_up = !ranking.parts.is_empty() && fitted.expected < rules.least_gain;
        let sent: BTreeSet<u32> = fitted.slices.iter().copied().collect();
        let (parts, left_out): (Vec<PlannedPart>, Vec<PlannedPart>) = ranking
            .parts
            .into_iter()
            .partition(|part| sent.contains(&part.slice));
        query.begin_second_phase(&parts, size, ranking.top_k);
        let plan = Plan {
            parts,
            wanted: size.wanted,
            left_out: left_out.into_iter().map(|part| part.slice).collect(),
            unneeded: ranking.unneeded,
            give_up,
            reasons: plan_reasons(rules, &fitted, size, left, give_up),
        };
        let target_at = query.target_at;
        self.set_wake(id, Some(target_at));
        Some(plan)
    }

    /// Returns the verdict that gives up the query if the latency target has passed and a late
    /// answer earns too little. Before the target, schedules the check.
    pub(super) fn decide_second_phase(&mut self, now: Time, id: QueryId) -> Option<Verdict> {
        let query = self.queries.get(&id)?;
        let rules = self.rules.get(query.class)?.as_ref()?;
        if now < query.target_at {
            let target_at = query.target_at;
            self.set_wake(id, Some(target_at));
            return None;
        }
        // With the minimum number of parts, the `policy` module answers with the received parts.
        if query.completed_count() >= rules.least_parts(query.second_phase_size.wanted) {
            return None;
        }
        let reason = Reason::TooLittle {
            expected: rules.late_share,
            least: rules.least_gain,
        };
        let is_too_little = rules.late_share < rules.least_gain;
        is_too_little.then_some(Verdict::GiveUp { query: id, reason })
    }

    /// Withdraws the open parts of a sorted second phase that can no longer change the answer.
    pub(super) fn drop_unneeded(&mut self, id: QueryId) -> Vec<Verdict> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let Some(top_k) = query.top_k.as_ref() else {
            return Vec::new();
        };
        let k = top_k.k();
        let is_unneeded = |slice: &u32| {
            matches!(
                top_k.contribution(*slice),
                Contribution::Beaten | Contribution::Exhausted
            )
        };
        let mut unneeded = query.open_slices();
        unneeded.retain(is_unneeded);
        let verdict = |slice| Verdict::Unneeded {
            query: id,
            slice,
            reason: Reason::Bound { slice, k },
        };
        unneeded
            .into_iter()
            .filter(|slice| query.on_answer(*slice))
            .map(verdict)
            .collect()
    }
}

fn plan_reasons(
    rules: &Rules,
    fitted: &FittedParts,
    size: SecondPhaseSize,
    left: Micros,
    give_up: bool,
) -> Vec<Reason> {
    let fits = Reason::Fits {
        sent: fitted.slices.len(),
        wanted: size.wanted,
        unneeded: size.unneeded,
        remaining: left,
        weakest: fitted.weakest,
    };
    let too_little = give_up.then_some(Reason::TooLittle {
        expected: fitted.expected,
        least: rules.least_gain,
    });
    std::iter::once(fits).chain(too_little).collect()
}
