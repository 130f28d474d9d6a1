//! The budget of time between the phases: when to stop waiting for the first, and how much of the
//! second can still end within the latency target.
//!
//! Values follow the class: the full value within the latency target, a share of it after, less for
//! a partial answer. All of them are shares of the value of a complete answer in time (0 to 1). Time
//! is an argument, and what was measured is in [`PhaseLatencies`]: nothing here has a state.

use super::latency::Latencies;
use super::Rules;
use lichenswitch_interface::{Micros, Time};
use std::collections::BTreeSet;

/// A part of the first phase that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingPart {
    /// Its share of the answer.
    pub weight: f64,
    /// How long its last attempt has been out; `None`: none is in flight.
    pub out: Option<Micros>,
    /// Parts pending at its server when it was sent.
    pub pending: f64,
}

/// A second-phase part that could be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its slice.
    pub slice: u32,
    /// Parts pending at the server that it would go to; `None`: no server takes it.
    pub pending: Option<f64>,
}

/// What a query is expected to be worth now, and at the best moment to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Expected value if the first phase ends now.
    pub now: f64,
    /// Expected value of waiting, at best.
    pub waiting: f64,
    /// How long to wait for that (microseconds).
    pub wait: Micros,
}

/// Moments to wait for that are compared: those at which the part that is out for longest has come
/// with this probability.
const WAITING_PROBABILITIES: [f64; 6] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.98];
/// Shortest wait that is considered (microseconds).
const MIN_WAIT: Micros = 1_000;
/// By how much the weight of a first phase may fall short of `need` and still count as complete.
const NEED_TOLERANCE: f64 = 1e-6;
/// By how much the weight of a first phase in which a part is missing is below `need` at least.
const MIN_MISSING_WEIGHT: f64 = 1e-3;

/// The latencies of both phases of a class.
#[derive(Default)]
pub struct PhaseLatencies {
    /// Of the first phase.
    pub first: Latencies,
    /// Of the second phase.
    pub second: Latencies,
    /// Parts pending, as usual, at the servers that second-phase parts were sent to.
    pub usual_pending: f64,
}

impl PhaseLatencies {
    /// The second phase's latencies, or the first's while there are too few samples of it.
    fn second_or_first(&mut self) -> &mut Latencies {
        if self.second.has_enough_samples() {
            &mut self.second
        } else {
            &mut self.first
        }
    }
}

/// Value of going on to the second phase with this weight of the first.
fn first_phase_value(rules: &Rules, weight: f64) -> f64 {
    if weight + NEED_TOLERANCE >= rules.need {
        1.0
    } else {
        rules.partial * weight / rules.need
    }
}

/// Value of a second phase in which so many of the wanted parts were answered.
fn second_phase_share(rules: &Rules, answered: usize, wanted: usize) -> f64 {
    if answered >= wanted {
        1.0
    } else {
        rules.partial * answered as f64 / wanted.max(1) as f64
    }
}

/// Expected value of an answer of this value that is in time with this probability.
fn expected_value(rules: &Rules, value: f64, probability: f64) -> f64 {
    value * (probability + rules.late_share * (1.0 - probability))
}

/// Expected value of a second phase with so much time left: that of the best count of parts, each
/// in time with the probability that was measured.
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

/// Whether waiting for the missing parts of the first phase brings more than it takes from the
/// second. `answered_weight` is the weight of the parts that have come.
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
        now: first_phase_value(rules, answered_weight) * second,
        waiting: 0.0,
        wait: 0,
    };
    let Some(longest) = LongestOut::of(missing) else {
        return best;
    };
    let by_now = latencies
        .first
        .probability_within(now, longest.out, longest.pending);
    for probability in WAITING_PROBABILITIES {
        let wait = longest.wait(latencies, now, by_now, probability);
        if wait >= left {
            continue;
        }
        let first = first_phase_value_after(rules, latencies, now, wait, answered_weight, missing);
        let second = second_phase_value(rules, latencies, now.plus(wait), left - wait);
        let value = first * second;
        if value > best.waiting {
            (best.waiting, best.wait) = (value, wait);
        }
    }
    best
}

/// The missing part that has been out for longest: the one that is waited for.
struct LongestOut {
    out: Micros,
    pending: f64,
}

impl LongestOut {
    fn of(missing: &[MissingPart]) -> Option<LongestOut> {
        missing
            .iter()
            .filter_map(|part| {
                Some(LongestOut {
                    out: part.out?,
                    pending: part.pending,
                })
            })
            .max_by(|one, other| one.out.cmp(&other.out))
    }

    /// How long to wait until it has come with this probability, of the parts that have not come by
    /// now; and, since it may be out for longer than any was, by the time that it has had.
    fn wait(
        &self,
        latencies: &mut PhaseLatencies,
        now: Time,
        by_now: f64,
        probability: f64,
    ) -> Micros {
        let quantile = by_now + (1.0 - by_now) * probability;
        let until = latencies.first.quantile(now, quantile, self.pending);
        let as_long_again = (self.out as f64 * probability) as Micros;
        until
            .saturating_sub(self.out)
            .max(as_long_again)
            .max(MIN_WAIT)
    }
}

/// Expected value of the first phase after a wait.
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
        let probability = part.out.map_or(0.0, |out| {
            latencies
                .first
                .probability_within_after(now, out, wait, part.pending)
        });
        all *= probability;
        expected_weight += part.weight * probability;
    }
    let incomplete_weight = expected_weight.min(rules.need - MIN_MISSING_WEIGHT);
    all + (1.0 - all) * first_phase_value(rules, incomplete_weight)
}

/// How many parts a complete second phase has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondPhaseSize {
    /// Parts of a complete answer.
    pub wanted: usize,
    /// Those of them that need not be sent: their slices were proved to be unneeded.
    pub unneeded: usize,
}

/// The second-phase parts that are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct FittedParts {
    /// Their slices, in the order of the candidates.
    pub slices: Vec<u32>,
    /// The probability that the least likely one ends within the latency target.
    pub weakest: f64,
    /// Expected value of the query with them.
    pub expected: f64,
}

/// A candidate with the probability that it ends within the latency target.
#[derive(Clone, Copy)]
struct RatedCandidate {
    probability: f64,
    slice: u32,
}

/// Reduces the second phase to what can end within the latency target, each part with the stated
/// probability; never below the class's least share. Candidates come in the order of their scores,
/// the best first.
pub fn fit_second_phase(
    rules: &Rules,
    latencies: &mut PhaseLatencies,
    now: Time,
    left: Micros,
    candidates: &[Candidate],
    size: SecondPhaseSize,
) -> FittedParts {
    let rated = rate(latencies, now, left, candidates);
    let least = rules
        .least_parts(size.wanted)
        .saturating_sub(size.unneeded)
        .min(candidates.len());
    let chosen = choose(rules, &rated, least);
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

fn rate(
    latencies: &mut PhaseLatencies,
    now: Time,
    left: Micros,
    candidates: &[Candidate],
) -> Vec<RatedCandidate> {
    let latencies = latencies.second_or_first();
    let has_enough_samples = latencies.has_enough_samples();
    let rated = |candidate: &Candidate| RatedCandidate {
        probability: match candidate.pending {
            // Without samples all are sent: that is how samples are got.
            Some(_) if !has_enough_samples => 1.0,
            Some(pending) => latencies.probability_within(now, left, pending),
            None => 0.0,
        },
        slice: candidate.slice,
    };
    candidates.iter().map(rated).collect()
}

/// The candidates with the stated probability. Where these are fewer than the least share, the
/// likeliest of the others join them, the better ones first among equals.
fn choose(rules: &Rules, rated: &[RatedCandidate], least: usize) -> Vec<RatedCandidate> {
    let (mut chosen, mut others): (Vec<RatedCandidate>, Vec<RatedCandidate>) = rated
        .iter()
        .partition(|part| part.probability >= rules.probability);
    if chosen.len() < least {
        others.sort_by(|one, other| other.probability.total_cmp(&one.probability));
        chosen.extend(others.into_iter().take(least - chosen.len()));
    }
    chosen
}

/// The probability that all these parts are in time. Parts share servers and troubles, so it lies
/// between the product, as of independent parts, and that of the least likely one; their middle is
/// taken. Guards wide queries, which the product alone would give up for nothing.
fn all_in_time(parts: &[RatedCandidate], weakest: f64) -> f64 {
    let independent: f64 = parts.iter().map(|part| part.probability).product();
    (independent * weakest).sqrt()
}

#[cfg(test)]
mod tests;
