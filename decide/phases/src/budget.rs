//! Divides the latency target between the phases: when to stop waiting for the first phase, and how
//! much of the second phase can still end within the latency target.
//!
//! The class determines the values: an answer has its full value within the latency target, a share
//! of it afterwards, and less if it is partial. Values are shares of the value of a complete answer
//! in time (0 to 1). The functions are stateless: time is an argument, and [`PhaseLatencies`] holds
//! the measurements.

use super::latency::Latencies;
use super::Rules;
use lichenswitch_interface::{Micros, Time};
use std::collections::BTreeSet;

/// A part of the first phase that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingPart {
    /// Its share of the answer (0 to 1).
    pub weight: f64,
    /// Time since its last attempt was sent (microseconds), or `None` if no attempt is in flight.
    pub in_flight_for: Option<Micros>,
    /// Number of parts pending at the server when the attempt was sent.
    pub pending: f64,
}

/// A second-phase part that could be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The slice that the part would query.
    pub slice: u32,
    /// Number of parts pending at the server to which it would go, or `None` if no server accepts
    /// it.
    pub pending: Option<f64>,
}

/// Expected values of a query if its first phase ends now and if it ends after the best wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Expected value if the first phase ends now.
    pub value_now: f64,
    /// Expected value of the best wait, or 0 if no wait is possible.
    pub value_of_waiting: f64,
    /// Length of the best wait (microseconds).
    pub wait: Micros,
}

/// Candidate waits: each ends when the part that has been in flight longest has arrived with this
/// probability.
const WAITING_PROBABILITIES: [f64; 6] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.98];
/// Shortest wait that is considered (microseconds).
const MIN_WAIT: Micros = 1_000;
/// Amount by which the weight of a complete first phase may fall short of `need`.
const NEED_TOLERANCE: f64 = 1e-6;
/// Minimum amount by which the weight of an incomplete first phase is below `need`.
const MIN_MISSING_WEIGHT: f64 = 1e-3;

/// Measured latencies and load of both phases of a class.
#[derive(Default)]
pub struct PhaseLatencies {
    /// Latencies of first-phase parts.
    pub first: Latencies,
    /// Latencies of second-phase parts.
    pub second: Latencies,
    /// Moving average of the parts pending at the servers to which second-phase parts were sent.
    pub usual_pending: f64,
}

impl PhaseLatencies {
    /// Returns the latencies of the second phase, or of the first while the second has too few
    /// samples.
    fn second_or_first(&mut self) -> &mut Latencies {
        if self.second.has_enough_samples() {
            &mut self.second
        } else {
            &mut self.first
        }
    }
}

/// Returns the value of a first phase with this answered weight.
fn first_phase_value(rules: &Rules, weight: f64) -> f64 {
    if weight + NEED_TOLERANCE >= rules.need {
        1.0
    } else {
        rules.partial * weight / rules.need
    }
}

/// Returns the value of a second phase in which `answered` of the `wanted` parts were answered.
fn second_phase_share(rules: &Rules, answered: usize, wanted: usize) -> f64 {
    if answered >= wanted {
        1.0
    } else {
        rules.partial * answered as f64 / wanted.max(1) as f64
    }
}

/// Returns the expected value of an answer with this full value that is in time with this
/// probability.
fn expected_value(rules: &Rules, value: f64, probability: f64) -> f64 {
    value * (probability + rules.late_share * (1.0 - probability))
}

/// Returns the expected value of a second phase with `left` microseconds remaining, for the best
/// number of parts. Each part is in time with the measured probability.
fn second_phase_value(
    rules: &Rules,
    latencies: &mut PhaseLatencies,
    now: Time,
    left: Micros,
) -> f64 {
    let wanted = rules.wanted.max(1);
    let pending = latencies.usual_pending;
    let one = latencies
        .second_or_first()
        .probability_within(now, left, pending);
    let value = |count: usize| {
        let share = second_phase_share(rules, count, wanted);
        expected_value(rules, share, one.powi(count as i32))
    };
    (rules.least_parts(wanted)..=wanted)
        .map(value)
        .fold(0.0, f64::max)
}

/// Estimates whether waiting for the missing parts of the first phase gains more than it costs the
/// second phase. `answered_weight` is the weight of the parts that have arrived.
pub fn prospect(
    rules: &Rules,
    latencies: &mut PhaseLatencies,
    now: Time,
    target_at: Time,
    answered_weight: f64,
    missing: &[MissingPart],
) -> Prospect {
    let left = target_at.since(now);
    let second = second_phase_value(rules, latencies, now, left);
    let mut best = Prospect {
        value_now: first_phase_value(rules, answered_weight) * second,
        value_of_waiting: 0.0,
        wait: 0,
    };
    let Some(longest) = LongestInFlight::of(missing) else {
        return best;
    };
    let ended_by_now =
        latencies
            .first
            .probability_within(now, longest.in_flight_for, longest.pending);
    for probability in WAITING_PROBABILITIES {
        let wait = longest.wait(latencies, now, ended_by_now, probability);
        if wait >= left {
            continue;
        }
        let first = first_phase_value_after(rules, latencies, now, wait, answered_weight, missing);
        let second = second_phase_value(rules, latencies, now.plus(wait), left - wait);
        let value = first * second;
        if value > best.value_of_waiting {
            (best.value_of_waiting, best.wait) = (value, wait);
        }
    }
    best
}

/// The missing part that has been in flight longest. Waits are chosen for this part.
struct LongestInFlight {
    in_flight_for: Micros,
    pending: f64,
}

impl LongestInFlight {
    fn of(missing: &[MissingPart]) -> Option<LongestInFlight> {
        missing
            .iter()
            .filter_map(|part| {
                Some(LongestInFlight {
                    in_flight_for: part.in_flight_for?,
                    pending: part.pending,
                })
            })
            .max_by(|one, other| one.in_flight_for.cmp(&other.in_flight_for))
    }

    /// Returns the wait after which the part has arrived with this probability, given that it has
    /// not arrived yet. The part may have been in flight longer than any sample, so the wait is at
    /// least `probability` times the time that it has been in flight.
    fn wait(
        &self,
        latencies: &mut PhaseLatencies,
        now: Time,
        ended_by_now: f64,
        probability: f64,
    ) -> Micros {
        let quantile = ended_by_now + (1.0 - ended_by_now) * probability;
        let until = latencies.first.quantile(now, quantile, self.pending);
        let min_wait_for_elapsed = (self.in_flight_for as f64 * probability) as Micros;
        until
            .saturating_sub(self.in_flight_for)
            .max(min_wait_for_elapsed)
            .max(MIN_WAIT)
    }
}

/// Returns the expected value of the first phase after a wait.
fn first_phase_value_after(
    rules: &Rules,
    latencies: &mut PhaseLatencies,
    now: Time,
    wait: Micros,
    answered_weight: f64,
    missing: &[MissingPart],
) -> f64 {
    let (mut all, mut expected_weight) = (1.0, answered_weight);
    for part in missing {
        let probability = part.in_flight_for.map_or(0.0, |in_flight_for| {
            latencies
                .first
                .probability_within_after(now, in_flight_for, wait, part.pending)
        });
        all *= probability;
        expected_weight += part.weight * probability;
    }
    let incomplete_weight = expected_weight.min(rules.need - MIN_MISSING_WEIGHT);
    all + (1.0 - all) * first_phase_value(rules, incomplete_weight)
}

/// Number of parts in a complete second phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondPhaseSize {
    /// Number of parts in a complete answer, including unneeded ones.
    pub wanted: usize,
    /// Number of these parts that are not sent because their slices can't change the answer.
    pub unneeded: usize,
}

/// The second-phase parts that fit into the remaining time.
#[derive(Clone, Debug, PartialEq)]
pub struct FittedParts {
    /// Slices of the parts, in the order of the candidates.
    pub slices: Vec<u32>,
    /// Probability that the least likely part ends within the latency target.
    pub weakest: f64,
    /// Expected value of the query if these parts are sent.
    pub expected: f64,
}

/// A candidate with the probability that it ends within the latency target.
#[derive(Clone, Copy)]
struct RatedCandidate {
    probability: f64,
    slice: u32,
}

/// Selects the second-phase parts that end within the latency target with the required probability,
/// but never fewer than the class's minimum share. Candidates are ordered by score, best first.
pub fn fit_second_phase(
    rules: &Rules,
    latencies: &mut PhaseLatencies,
    now: Time,
    left: Micros,
    candidates: &[Candidate],
    size: SecondPhaseSize,
) -> FittedParts {
    let rated = rate_candidates(latencies, now, left, candidates);
    let least = rules
        .least_parts(size.wanted)
        .saturating_sub(size.unneeded)
        .min(candidates.len());
    let chosen = select_candidates(rules, &rated, least);
    let weakest = chosen
        .iter()
        .map(|part| part.probability)
        .fold(1.0, f64::min);
    let all = all_in_time(&chosen, weakest);
    let share = second_phase_share(rules, chosen.len() + size.unneeded, size.wanted);
    let slices: BTreeSet<u32> = chosen.iter().map(|part| part.slice).collect();
    FittedParts {
        slices: candidates
            .iter()
            .map(|candidate| candidate.slice)
            .filter(|slice| slices.contains(slice))
            .collect(),
        weakest,
        expected: expected_value(rules, share, all),
    }
}

fn rate_candidates(
    latencies: &mut PhaseLatencies,
    now: Time,
    left: Micros,
    candidates: &[Candidate],
) -> Vec<RatedCandidate> {
    let latencies = latencies.second_or_first();
    let has_enough_samples = latencies.has_enough_samples();
    let rated = |candidate: &Candidate| RatedCandidate {
        probability: match candidate.pending {
            // Without enough samples all parts are sent, so that samples accumulate.
            Some(_) if !has_enough_samples => 1.0,
            Some(pending) => latencies.probability_within(now, left, pending),
            None => 0.0,
        },
        slice: candidate.slice,
    };
    candidates.iter().map(rated).collect()
}

/// Returns the candidates with the required probability. If these are fewer than `least`, adds the
/// most likely of the others; among equal probabilities the better score comes first.
fn select_candidates(rules: &Rules, rated: &[RatedCandidate], least: usize) -> Vec<RatedCandidate> {
    let (mut chosen, mut others): (Vec<RatedCandidate>, Vec<RatedCandidate>) = rated
        .iter()
        .partition(|part| part.probability >= rules.probability);
    if chosen.len() < least {
        others.sort_by(|one, other| other.probability.total_cmp(&one.probability));
        chosen.extend(others.into_iter().take(least - chosen.len()));
    }
    chosen
}

/// Returns the probability that all these parts are in time. Parts share servers and failures, so
/// the probability lies between the product, which assumes independence, and that of the least
/// likely part. The geometric mean of the two keeps queries with many parts from being given up
/// needlessly, as the product alone would do.
fn all_in_time(parts: &[RatedCandidate], weakest: f64) -> f64 {
    let independent: f64 = parts.iter().map(|part| part.probability).product();
    (independent * weakest).sqrt()
}

#[cfg(test)]
mod tests;
