//! Ranks the slices of a second phase, before the budget decides how many of them fit.

use crate::budget::{Candidate, SecondPhaseSize};
use crate::prune::{Bound, Contribution, SliceContribution, SortDirection, TopK};
use crate::verdict::{FirstAnswer, Goal, PlannedPart};
use crate::Rules;

/// The ranked slices of a second phase.
pub(crate) struct Ranking {
    /// Parts that could be sent, best first.
    pub(crate) parts: Vec<PlannedPart>,
    /// Slices whose bounds prove that they can't change the answer.
    pub(crate) unneeded: Vec<u32>,
    /// Present if answers of the second phase may prove that further slices are unneeded.
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

    /// Ranks the slices for the first `k` elements by their keys. If `prunes` is set, slices that
    /// can't contain any of these elements get no part.
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

    /// Returns the size of the complete second phase.
    pub(crate) fn size(&self) -> SecondPhaseSize {
        SecondPhaseSize {
            wanted: self.parts.len() + self.unneeded.len(),
            unneeded: self.unneeded.len(),
        }
    }

    /// Returns the parts, each with the number of pending parts at the server that it would go to.
    pub(crate) fn candidates(&self, pending: impl Fn(u32) -> Option<f64>) -> Vec<Candidate> {
        let candidate = |part: &PlannedPart| Candidate {
            slice: part.slice,
            pending: pending(part.slice),
        };
        self.parts.iter().map(candidate).collect()
    }
}
