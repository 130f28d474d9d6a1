//! The planner, which tracks the two-phase queries of one broker and schedules their checks.

mod first_phase;
mod second_phase;

use crate::budget::PhaseLatencies;
use crate::latency::Latencies;
use crate::prune::Bound;
use crate::query::{AttemptTiming, InFlight, PartRef, Phase, QueryState, WeightedSlice};
use crate::verdict::{Reason, Verdict};
use crate::Rules;
use lichenswitch_interface::{QueryId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Weight of the newest sample in the moving average of pending parts.
const USUAL_PENDING_SMOOTHING: f64 = 0.05;

/// Planner of the two-phase queries of one broker.
#[derive(Default)]
pub struct Planner {
    /// Rules by class; `None` if the class is not planned.
    rules: Vec<Option<Rules>>,
    /// Latencies by class.
    latencies: Vec<PhaseLatencies>,
    queries: BTreeMap<QueryId, QueryState>,
    /// Times at which queries are checked, earliest first.
    wakes: BTreeSet<(Time, QueryId)>,
}

impl Planner {
    /// Creates a planner with rules by class. A class without rules is not planned.
    #[must_use]
    pub fn new(rules: Vec<Option<Rules>>) -> Self {
        let latencies = rules.iter().map(|_| PhaseLatencies::default()).collect();
        Planner {
            rules,
            latencies,
            ..Planner::default()
        }
    }

    /// Returns whether queries of a class are planned.
    #[must_use]
    pub fn is_planned(&self, class: usize) -> bool {
        self.rules.get(class).is_some_and(Option::is_some)
    }

    /// Returns the time at which to call [`Planner::tick`] next, or `None` if no check is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.wakes.first().map(|wake| wake.0)
    }

    fn set_wake(&mut self, id: QueryId, at: Option<Time>) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        if let Some(before) = query.wake_at.take() {
            self.wakes.remove(&(before, id));
        }
        if let Some(at) = at {
            query.wake_at = Some(at);
            self.wakes.insert((at, id));
        }
    }

    /// Registers an accepted two-phase query with the slices of its first phase.
    pub fn on_query(&mut self, now: Time, id: QueryId, class: usize, parts: &[WeightedSlice]) {
        let Some(rules) = self.rules.get(class).and_then(Option::as_ref) else {
            return;
        };
        let query = QueryState::new(now, class, rules, parts);
        let limit = query.first_phase_limit(rules);
        self.queries.insert(id, query);
        self.set_wake(id, Some(limit));
    }

    /// Records that a part of the query's current phase was sent to a server at which `pending`
    /// parts of this broker were pending.
    pub fn on_sent(&mut self, now: Time, id: QueryId, slice: u32, pending: f64) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let is_second = query.phase == Phase::Second;
        if let Some(part) = query.parts.get_mut(&slice) {
            part.in_flight = Some(InFlight {
                sent_at: now,
                pending,
            });
        }
        if let Some(latencies) = self.latencies.get_mut(query.class).filter(|_| is_second) {
            let change = pending - latencies.usual_pending;
            latencies.usual_pending += USUAL_PENDING_SMOOTHING * change;
        }
    }

    /// Handles a successful attempt of a part. `bound` holds the elements that the slice returned
    /// for a sorted answer.
    pub fn on_response(
        &mut self,
        now: Time,
        part: PartRef,
        timing: AttemptTiming,
        bound: Option<Bound>,
    ) -> Vec<Verdict> {
        let Some(query) = self.queries.get_mut(&part.query) else {
            return Vec::new();
        };
        if let Some(latencies) = self.latencies.get_mut(query.class) {
            of_phase(latencies, part.phase).add(now, timing.elapsed, timing.pending);
        }
        if query.phase != part.phase || !query.on_answer(part.slice) {
            return Vec::new();
        }
        if part.phase == Phase::First {
            return self
                .decide_first_phase(now, part.query)
                .into_iter()
                .collect();
        }
        let mut verdicts = Vec::new();
        if let Some(bound) = bound {
            verdicts.extend(add_keys(query, part, bound));
        }
        verdicts.extend(self.drop_unneeded(part.query));
        verdicts
    }

    /// Handles an attempt, sent at `sent_at`, that ended without an answer. `given_up` holds its
    /// timing if the broker stopped waiting for it.
    pub fn on_loss(
        &mut self,
        now: Time,
        part: PartRef,
        sent_at: Time,
        given_up: Option<AttemptTiming>,
    ) {
        let Some(query) = self.queries.get_mut(&part.query) else {
            return;
        };
        if let (Some(latencies), Some(timing)) = (self.latencies.get_mut(query.class), given_up) {
            of_phase(latencies, part.phase).add_unanswered(now, timing.elapsed, timing.pending);
        }
        if query.phase != part.phase {
            return;
        }
        // Another copy of the part may be in flight, so only a loss of the last attempt clears it.
        if let Some(state) = query.parts.get_mut(&part.slice) {
            state.in_flight = state.in_flight.filter(|attempt| attempt.sent_at != sent_at);
        }
    }

    /// Removes a query that has ended.
    pub fn on_end(&mut self, id: QueryId) {
        self.set_wake(id, None);
        self.queries.remove(&id);
    }

    /// Checks the queries that are due. The caller calls it no later than [`Planner::next_wake`].
    pub fn tick(&mut self, now: Time) -> Vec<Verdict> {
        let due: Vec<QueryId> = self
            .wakes
            .iter()
            .take_while(|wake| wake.0 <= now)
            .map(|wake| wake.1)
            .collect();
        let mut verdicts = Vec::new();
        for id in due {
            self.set_wake(id, None);
            verdicts.extend(match self.queries.get(&id).map(|query| query.phase) {
                Some(Phase::Second) => self.decide_second_phase(now, id),
                Some(Phase::First) | None => self.decide_first_phase(now, id),
            });
        }
        verdicts
    }
}

fn of_phase(latencies: &mut PhaseLatencies, phase: Phase) -> &mut Latencies {
    match phase {
        Phase::First => &mut latencies.first,
        Phase::Second => &mut latencies.second,
    }
}

/// Adds the elements that a slice returned for a sorted answer. If they contradict the slice's
/// bound, bounds no longer prove anything for this query and pruning stops.
fn add_keys(query: &mut QueryState, part: PartRef, bound: Bound) -> Option<Verdict> {
    let top_k = query.top_k.as_mut()?;
    if top_k
        .add_keys(part.slice, bound.keys, bound.matched)
        .is_ok()
    {
        return None;
    }
    query.top_k = None;
    Some(Verdict::MarkIncomplete {
        query: part.query,
        reason: Reason::WrongBound { slice: part.slice },
    })
}

#[cfg(test)]
mod tests;
