//! The slices of a second phase by what they promise, before it is known how many fit into its time.

use crate::budget::{Candidate, SecondPhaseSize};
use crate::prune::{Bound, Contribution, SliceContribution, SortDirection, TopK};
use crate::verdict::{FirstAnswer, Goal, PlannedPart};
use crate::Rules;

/// The slices of a second phase.
pub(crate) struct Ranking {
    /// Parts that could be sent, the best first.
    pub(crate) parts: Vec<PlannedPart>,
    /// Slices that were proved to be unneeded.
    pub(crate) unneeded: Vec<u32>,
    /// Set where answers of the second phase may prove further ones to be unneeded.
    pub(crate) top_k: Option<TopK>,
}

impl Ranking {
    pub(crate) fn of(goal: Goal, answers: Vec<FirstAnswer>, rules: &Rules) -> Ranking {
        match goal {
            Goal::BestScores => Ranking::by_score(answers, rules.wanted),
            Goal::Top { k, direction } => Ranking::by_keys(answers, k, direction, rules.prune),
        }
    }

    fn by_score(mut answers: Vec<FirstAnswer>, wanted: usize) -> Ranking {
        answers.sort_by(|one, other| {
            let best_first = other.score.total_cmp(&one.score);
            best_first.then(one.slice.cmp(&other.slice))
        });
        let part = |answer: &FirstAnswer| PlannedPart {
            slice: answer.slice,
            max_elements: None,
        };
        Ranking {
            parts: answers.iter().take(wanted).map(part).collect(),
            unneeded: Vec::new(),
            top_k: None,
        }
    }

    /// The first `k` elements by their keys; `prunes`: slices that can't have any of them get no
    /// part.
    fn by_keys(
        answers: Vec<FirstAnswer>,
        k: usize,
        direction: SortDirection,
        prunes: bool,
    ) -> Ranking {
        let mut top_k = TopK::new(k, direction);
        for answer in answers {
            let empty = Bound {
                slice: answer.slice,
                keys: Vec::new(),
                matched: None,
            };
            top_k.add_slice(answer.bound.unwrap_or(empty));
        }
        let (mut parts, mut unneeded) = (Vec::new(), Vec::new());
        for SliceContribution {
            slice,
            contribution,
        } in top_k.contributions()
        {
            let max_elements = match contribution {
                Contribution::Elements(most) => most,
                Contribution::Unknown => k,
                Contribution::Beaten if !prunes => k,
                Contribution::Exhausted | Contribution::Beaten => {
                    unneeded.push(slice);
                    continue;
                }
            };
            parts.push(PlannedPart {
                slice,
                max_elements: Some(max_elements),
            });
        }
        Ranking {
            parts,
            unneeded,
            top_k: prunes.then_some(top_k),
        }
    }

    /// How many parts a complete second phase has.
    pub(crate) fn size(&self) -> SecondPhaseSize {
        SecondPhaseSize {
            wanted: self.parts.len() + self.unneeded.len(),
            unneeded: self.unneeded.len(),
        }
    }

    /// The parts with what is pending at the servers that they would go to.
    pub(crate) fn candidates(&self, pending: impl Fn(u32) -> Option<f64>) -> Vec<Candidate> {
        let candidate = |part: &PlannedPart| Candidate {
            slice: part.slice,
            pending: pending(part.slice),
        };
        self.parts.iter().map(candidate).collect()
    }
}
