//! State of one query in the planner: its phase, its parts and their answers.

use crate::budget::{MissingPart, SecondPhaseSize};
use crate::prune::TopK;
use crate::verdict::PlannedPart;
use crate::Rules;
use lichenswitch_interface::{Micros, QueryId, Time};
use std::collections::BTreeMap;

/// A phase of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Each slice returns an estimate, a score or its best element.
    First,
    /// The best slices return their elements.
    Second,
}

/// A part of a query: one slice in one phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRef {
    /// Id of the query.
    pub query: QueryId,
    /// Number of the slice.
    pub slice: u32,
    /// Phase to which the part belongs.
    pub phase: Phase,
}

/// A slice with its share of the answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedSlice {
    /// Number of the slice.
    pub slice: u32,
    /// Its share of the answer (0 to 1).
    pub weight: f64,
}

/// Timing of an attempt, with the load at its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTiming {
    /// Time since the attempt was sent (microseconds).
    pub elapsed: Micros,
    /// Number of parts of this broker that were pending at the server when the attempt was sent.
    pub pending: f64,
}

/// The last attempt of a part, while it is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    /// Number of parts pending at the server when the attempt was sent.
    pub(crate) pending: f64,
}

/// State of one part in the query's current phase.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartState {
    weight: f64,
    /// The last attempt sent, or `None` if it has ended.
    pub(crate) in_flight: Option<InFlight>,
    is_answered: bool,
}

impl PartState {
    fn new(weight: f64) -> PartState {
        PartState {
            weight,
            in_flight: None,
            is_answered: false,
        }
    }
}

/// State of a planned two-phase query.
pub(crate) struct QueryState {
    pub(crate) class: usize,
    arrived_at: Time,
    pub(crate) target_at: Time,
    pub(crate) phase: Phase,
    /// Whether the planner has closed the first phase.
    pub(crate) is_closed: bool,
    /// Parts of the current phase, by slice.
    pub(crate) parts: BTreeMap<u32, PartState>,
    pub(crate) answered_weight: f64,
    /// Size of the second phase; zero until it begins.
    pub(crate) second_phase_size: SecondPhaseSize,
    /// Present in a second phase whose answers may prove that further parts are unneeded.
    pub(crate) top_k: Option<TopK>,
    /// Time at which the query is checked next.
    pub(crate) wake_at: Option<Time>,
}

impl QueryState {
    pub(crate) fn new(now: Time, class: usize, rules: &Rules, parts: &[WeightedSlice]) -> Self {
        QueryState {
            class,
            arrived_at: now,
            target_at: now.plus(rules.latency_target),
            phase: Phase::First,
            is_closed: false,
            parts: parts
                .iter()
                .map(|part| (part.slice, PartState::new(part.weight)))
                .collect(),
            answered_weight: 0.0,
            second_phase_size: SecondPhaseSize {
                wanted: 0,
                unneeded: 0,
            },
            top_k: None,
            wake_at: None,
        }
    }

    /// Returns the time at which the first phase has used its maximum share of the latency target.
    pub(crate) fn first_phase_limit(&self, rules: &Rules) -> Time {
        let share = rules.latency_target as f64 * rules.first_share;
        self.arrived_at.plus(share as Micros)
    }

    /// Returns the time since the query arrived.
    pub(crate) fn age(&self, now: Time) -> Micros {
        now.since(self.arrived_at)
    }

    /// Marks a slice as answered. Returns whether its part was still open.
    pub(crate) fn on_answer(&mut self, slice: u32) -> bool {
        let Some(part) = self.parts.get_mut(&slice).filter(|part| !part.is_answered) else {
            return false;
        };
        (part.is_answered, part.in_flight) = (true, None);
        self.answered_weight += part.weight;
        true
    }

    /// Returns the slices whose parts have no answer.
    pub(crate) fn open_slices(&self) -> Vec<u32> {
        self.parts
            .iter()
            .filter(|(_, part)| !part.is_answered)
            .map(|(slice, _)| *slice)
            .collect()
    }

    /// Returns the number of parts that were answered or are unneeded.
    pub(crate) fn completed_count(&self) -> usize {
        let answered = self.parts.values().filter(|part| part.is_answered).count();
        answered + self.second_phase_size.unneeded
    }

    /// Returns the parts that have no answer, as input for the time budget.
    pub(crate) fn missing_parts(&self, now: Time) -> Vec<MissingPart> {
        self.parts
            .values()
            .filter(|part| !part.is_answered)
            .map(|part| MissingPart {
                weight: part.weight,
                in_flight_for: part.in_flight.map(|attempt| now.since(attempt.sent_at)),
                pending: part.in_flight.map_or(0.0, |attempt| attempt.pending),
            })
            .collect()
    }

    /// Begins the second phase with these parts. Unneeded parts count as answered.
    pub(crate) fn begin_second_phase(
        &mut self,
        parts: &[PlannedPart],
        size: SecondPhaseSize,
        top_k: Option<TopK>,
    ) {
        let weight = 1.0 / size.wanted.max(1) as f64;
        self.phase = Phase::Second;
        self.answered_weight = weight * size.unneeded as f64;
        self.second_phase_size = size;
        self.parts = parts
            .iter()
            .map(|part| (part.slice, PartState::new(weight)))
            .collect();
        self.top_k = top_k;
    }
}
