//! The planner: the queries of one broker, the events that concern them, and when they are looked at.

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

/// Weight of the newest sample in the usual count of pending parts.
const USUAL_PENDING_SMOOTHING: f64 = 0.05;

/// The planner of one broker.
#[derive(Default)]
pub struct Planner {
    /// By class; `None`: not planned.
    rules: Vec<Option<Rules>>,
    /// By class.
    latencies: Vec<PhaseLatencies>,
    queries: BTreeMap<QueryId, QueryState>,
    /// When queries are to be looked at, the next first.
    wakes: BTreeSet<(Time, QueryId)>,
}

impl Planner {
    /// A planner with rules by class; a class without any is not planned.
    #[must_use]
    pub fn new(rules: Vec<Option<Rules>>) -> Self {
        let latencies = rules.iter().map(|_| PhaseLatencies::default()).collect();
        Planner {
            rules,
            latencies,
            ..Planner::default()
        }
    }

    /// Whether queries of a class are planned.
    #[must_use]
    pub fn is_planned(&self, class: usize) -> bool {
        self.rules.get(class).is_some_and(Option::is_some)
    }

    /// When to call [`Planner::tick`] next.
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

    /// A query of two phases was taken, with the slices of its first.
    pub fn on_query(&mut self, now: Time, id: QueryId, class: usize, parts: &[WeightedSlice]) {
        let Some(rules) = self.rules.get(class).and_then(Option::as_ref) else {
            return;
        };
        let query = QueryState::new(now, class, rules, parts);
        let limit = query.first_phase_limit(rules);
        self.queries.insert(id, query);
        self.set_wake(id, Some(limit));
    }

    /// A part of a query's present phase was sent to a server at which so many parts of this broker
    /// are pending.
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

    /// An attempt of a part ended well; `bound`: what a slice of a sorted answer has given.
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

    /// The attempt of a part that was sent at this time ended without an answer; `given_up`: it was
    /// not waited for any longer.
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
        // A copy that is out goes on: only the attempt that was sent last is forgotten.
        if let Some(state) = query.parts.get_mut(&part.slice) {
            state.in_flight = state.in_flight.filter(|attempt| attempt.sent_at != sent_at);
        }
    }

    /// A query is over.
    pub fn on_end(&mut self, id: QueryId) {
        self.set_wake(id, None);
        self.queries.remove(&id);
    }

    /// Looks at the queries that are due. To be called by [`Planner::next_wake`].
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

/// Adds what a slice of a sorted answer has given. Where it contradicts what the slice gave before,
/// nothing that rests on bounds is proved any more.
fn add_keys(query: &mut QueryState, part: PartRef, bound: Bound) -> Option<Verdict> {
    let top_k = query.top_k.as_mut()?;
    if top_k
        .add_keys(part.slice, bound.keys, bound.matched)
        .is_ok()
    {
        return None;
    }
    query.top_k = None;
    Some(Verdict::Doubt {
        query: part.query,
        reason: Reason::WrongBound { slice: part.slice },
    })
}

#[cfg(test)]
mod tests;
