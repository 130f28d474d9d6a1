//! The budget of time between the phases: when to stop waiting for the first, and how much of the
//! second can still end within the aim. Worth follows the class: full within the aim, a share of it
//! after, less for an answer in part.

use super::learn::Learnt;
use super::Rules;
use lichenswitch_interface::{Micros, Time};

/// A part of the first phase that is not in yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Missing {
    /// Its share of the answer.
    pub weight: f64,
    /// How long it has been out; `None`: nothing is.
    pub out: Option<Micros>,
    /// Parts pending at its server when it was sent.
    pub pending: f64,
}

/// A second-phase part that could be sent, the best first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its slice.
    pub slice: u32,
    /// Parts pending at the server that it would go to; `None`: no server takes it.
    pub pending: Option<f64>,
}

/// What a query is expected to be worth, as a share of a whole answer in time, at the moment that
/// is best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// If the first phase ends now.
    pub now: f64,
    /// The best of waiting.
    pub waiting: f64,
    /// For so long, microseconds.
    pub wait: Micros,
}

/// Chances of the missing parts that are looked at: waiting until so many more of them have come.
const SHARES: [f64; 6] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.98];

/// What was learnt of both phases of a class.
#[derive(Default)]
pub struct Times {
    /// Of the first phase.
    pub first: Learnt,
    /// Of the second phase.
    pub second: Learnt,
    /// Parts pending, as usual, at the servers that second-phase parts were sent to.
    pub usual_pending: f64,
}

impl Times {
    /// The second phase's times, or the first's while nothing is known of it.
    fn later(&mut self) -> &mut Learnt {
        if self.second.known() {
            &mut self.second
        } else {
            &mut self.first
        }
    }
}

/// Worth of a second phase of `wanted` parts with so much time left: the best count of parts, each
/// in time with the chance that was learnt.
fn second_worth(rules: &Rules, times: &mut Times, now: Time, left: Micros) -> f64 {
    let wanted = rules.wanted.max(1);
    let pending = times.usual_pending;
    let one = times.later().share_within(now, left, pending);
    let least = rules.least_parts(wanted);
    let value = |n: usize| {
        let share = if n == wanted {
            1.0
        } else {
            rules.partial * n as f64 / wanted as f64
        };
        let chance = one.powi(n as i32);
        share * (chance + rules.late_share * (1.0 - chance))
    };
    (least..=wanted).map(value).fold(0.0, f64::max)
}

/// Whether waiting for the missing parts of the first phase is worth what it takes from the second.
pub fn prospect(
    rules: &Rules,
    times: &mut Times,
    now: Time,
    target_at: Time,
    have: f64,
    missing: &[Missing],
) -> Prospect {
    let partial = |have: f64| {
        if have + 1e-6 >= rules.need {
            1.0
        } else {
            rules.partial * have / rules.need
        }
    };
    let left = target_at.since(now);
    let value = partial(have) * second_worth(rules, times, now, left);
    let mut best = Prospect {
        now: value,
        waiting: 0.0,
        wait: 0,
    };
    let Some(first) = missing
        .iter()
        .filter_map(|m| Some((m.out?, m.pending)))
        .max_by(|a, b| a.0.cmp(&b.0))
    else {
        return best;
    };
    // Moments by the chance of the part that is out for longest, which is the one that is waited
    // for; and, since it may be out for longer than any was, by the time that it has had.
    let by_now = times.first.share_within(now, first.0, first.1);
    for share in SHARES {
        let until = times
            .first
            .quantile(now, by_now + (1.0 - by_now) * share, first.1);
        let again = (first.0 as f64 * share) as Micros;
        let wait = until.saturating_sub(first.0).max(again).max(1_000);
        if wait >= left {
            continue;
        }
        let (mut all, mut gained) = (1.0, have);
        for m in missing {
            let chance = m.out.map_or(0.0, |out| {
                times.first.share_within_after(now, out, wait, m.pending)
            });
            all *= chance;
            gained += m.weight * chance;
        }
        let first_worth = all + (1.0 - all) * partial(gained.min(rules.need - 1e-3));
        let value = first_worth * second_worth(rules, times, now.plus(wait), left - wait);
        if value > best.waiting {
            (best.waiting, best.wait) = (value, wait);
        }
    }
    best
}

/// Which candidates are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Shrunk {
    /// Their slices, the best first.
    pub keep: Vec<u32>,
    /// The chance of the least likely one to end within the aim.
    pub weakest: f64,
    /// What the query is expected to be worth with them, as a share of a whole answer in time.
    pub expected: f64,
}

/// Shrinks the second phase to what can end within the aim, each part with the stated probability,
/// the best first; never below the class's least share. `wanted` is the count that a whole answer
/// has, of which `granted` need no part.
pub fn shrink(
    rules: &Rules,
    times: &mut Times,
    now: Time,
    left: Micros,
    candidates: &[Candidate],
    (wanted, granted): (usize, usize),
) -> Shrunk {
    let known = times.later().known();
    let mut chances: Vec<(f64, u32)> = Vec::with_capacity(candidates.len());
    for c in candidates {
        let chance = match c.pending {
            // While nothing is known all are sent: that is how it is learnt.
            Some(_) if !known => 1.0,
            Some(pending) => times.later().share_within(now, left, pending),
            None => 0.0,
        };
        chances.push((chance, c.slice));
    }
    let mut keep: Vec<(f64, u32)> = chances
        .iter()
        .copied()
        .filter(|c| c.0 >= rules.probability)
        .collect();
    let least = rules
        .least_parts(wanted)
        .saturating_sub(granted)
        .min(candidates.len());
    if keep.len() < least {
        // Guards the least share: the likeliest of the others, the better ones first among equals.
        let mut others: Vec<(f64, u32)> = chances
            .iter()
            .copied()
            .filter(|c| c.0 < rules.probability)
            .collect();
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        keep.extend(others.into_iter().take(least - keep.len()));
    }
    let weakest = keep.iter().map(|k| k.0).fold(1.0, f64::min);
    // Parts share servers and troubles: the chance that all come lies between that of parts that
    // have nothing to do with each other and that of the least likely one; their middle is taken.
    // Guards wide queries, which the product alone would give up for nothing.
    let apart: f64 = keep.iter().map(|k| k.0).product();
    let all = (apart * weakest).sqrt();
    let done = keep.len() + granted;
    let share = if done >= wanted {
        1.0
    } else {
        rules.partial * done as f64 / wanted.max(1) as f64
    };
    let expected = share * (all + rules.late_share * (1.0 - all));
    let order: std::collections::BTreeSet<u32> = keep.iter().map(|k| k.1).collect();
    let keep = candidates
        .iter()
        .map(|c| c.slice)
        .filter(|s| order.contains(s))
        .collect();
    Shrunk {
        keep,
        weakest,
        expected,
    }
}

#[cfg(test)]
mod tests;
