//! One query as the planner knows it: its phase, its parts, and what has been answered.

use crate::budget::{MissingPart, SecondPhaseSize};
use crate::prune::TopK;
use crate::verdict::PlannedPart;
use crate::Rules;
use lichenswitch_interface::{Micros, QueryId, Time};
use std::collections::BTreeMap;

/// A phase of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All slices give an estimate, a score or their best element.
    First,
    /// The best slices give their elements.
    Second,
}

/// A part of a query: one slice in one phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRef {
    /// The query.
    pub query: QueryId,
    /// The slice.
    pub slice: u32,
    /// The phase.
    pub phase: Phase,
}

/// A slice with its share of the answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedSlice {
    /// The slice.
    pub slice: u32,
    /// Its share of the answer (0 to 1).
    pub weight: f64,
}

/// How long an attempt was out, and what it waited behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTiming {
    /// Time since it was sent (microseconds).
    pub elapsed: Micros,
    /// Parts of this broker that were pending at its server when it was sent.
    pub pending: f64,
}

/// The last attempt of a part, while it is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Time,
    /// Parts pending at its server when it was sent.
    pub(crate) pending: f64,
}

/// One part of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartState {
    weight: f64,
    /// `None`: no attempt is in flight.
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

/// A query of two phases.
pub(crate) struct QueryState {
    pub(crate) class: usize,
    arrived_at: Time,
    pub(crate) target_at: Time,
    pub(crate) phase: Phase,
    /// Whether the planner has ended its first phase.
    pub(crate) is_closed: bool,
    /// The parts of its phase, by slice.
    pub(crate) parts: BTreeMap<u32, PartState>,
    pub(crate) answered_weight: f64,
    /// The size of its second phase, once that has begun.
    pub(crate) second_phase_size: SecondPhaseSize,
    /// Set in a second phase whose answers may prove further parts to be unneeded.
    pub(crate) top_k: Option<TopK>,
    /// When it is to be looked at next.
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

    /// When its first phase has had its largest share of the latency target.
    pub(crate) fn first_phase_limit(&self, rules: &Rules) -> Time {
        let share = rules.latency_target as f64 * rules.first_share;
        self.arrived_at.plus(share as Micros)
    }

    /// How long ago it came.
    pub(crate) fn age(&self, now: Time) -> Micros {
        now.since(self.arrived_at)
    }

    /// A slice was answered; whether its part was open.
    pub(crate) fn on_answer(&mut self, slice: u32) -> bool {
        let Some(part) = self.parts.get_mut(&slice).filter(|part| !part.is_answered) else {
            return false;
        };
        (part.is_answered, part.in_flight) = (true, None);
        self.answered_weight += part.weight;
        true
    }

    /// Slices whose parts are open.
    pub(crate) fn open_slices(&self) -> Vec<u32> {
        self.parts
            .iter()
            .filter(|(_, part)| !part.is_answered)
            .map(|(slice, _)| *slice)
            .collect()
    }

    /// Parts that were answered, or are unneeded.
    pub(crate) fn completed_count(&self) -> usize {
        let answered = self.parts.values().filter(|part| part.is_answered).count();
        answered + self.second_phase_size.unneeded
    }

    /// The open parts, as the budget of time sees them.
    pub(crate) fn missing_parts(&self, now: Time) -> Vec<MissingPart> {
        self.parts
            .values()
            .filter(|part| !part.is_answered)
            .map(|part| MissingPart {
                weight: part.weight,
                out: part.in_flight.map(|attempt| now.since(attempt.sent_at)),
                pending: part.in_flight.map_or(0.0, |attempt| attempt.pending),
            })
            .collect()
    }

    /// The second phase begins with these parts; those that are unneeded count as answered.
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
