//! Pruning by bounds: a slice that can't change the first `k` of a sorted answer is left out, and
//! that is proved.
//!
//! Each slice's first answer is its best element, which bounds all that it has: the sorted access
//! of the threshold algorithm (Fagin, Lotem and Naor, "Optimal aggregation algorithms for
//! middleware", 2001), stopped after one round as TPUT does with its first phase (Cao and Wang,
//! "Efficient top-k query processing in distributed networks", 2004). Elements are ordered by key,
//! then by slice, then as the slice gives them. Of a slice whose best has `r` elements of other
//! slices before it, `k - r` elements can matter; with `r >= k - 1` none but the best itself.

use std::cmp::Ordering;

/// What elements are sorted by.
#[derive(Clone, Debug, PartialEq)]
pub enum SortKey {
    /// A number; one that is none can't be compared.
    Number(f64),
    /// A text, compared by its code points.
    Text(String),
    /// No value: after all that have one, in either direction.
    Missing,
}

/// In which direction elements are sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SortDirection {
    /// The smallest first.
    Ascending,
    /// The largest first.
    Descending,
}

impl SortKey {
    /// The order of two keys; `None`: they can't be compared.
    #[must_use]
    pub fn compare(&self, other: &SortKey, direction: SortDirection) -> Option<Ordering> {
        let order = match (self, other) {
            (SortKey::Missing, SortKey::Missing) => return Some(Ordering::Equal),
            (SortKey::Missing, _) => return Some(Ordering::Greater),
            (_, SortKey::Missing) => return Some(Ordering::Less),
            (SortKey::Number(a), SortKey::Number(b)) => a.partial_cmp(b)?,
            (SortKey::Text(a), SortKey::Text(b)) => a.cmp(b),
            _ => return None,
        };
        Some(if direction == SortDirection::Ascending {
            order
        } else {
            order.reverse()
        })
    }
}

/// What is known of the elements of a slice from its answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The slice's number.
    pub slice: u32,
    /// Keys of the elements that it gave, the best first.
    pub keys: Vec<SortKey>,
    /// Elements that it has in all, where its answer says so.
    pub matched: Option<u64>,
}

impl Bound {
    /// Whether all that the slice has is here.
    fn is_exhausted(&self) -> bool {
        self.matched == Some(self.keys.len() as u64)
    }
}

/// What a slice can still give of the first `k` elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contribution {
    /// It may have so many elements among the first `k`, its best included.
    Elements(usize),
    /// Its best can't be compared: nothing is proved of it, and all `k` are asked for.
    Unknown,
    /// Enough elements of other slices come before its best, or all but that one.
    Beaten,
    /// It has no more than it gave.
    Exhausted,
}

/// What a slice can still give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceContribution {
    /// The slice.
    pub slice: u32,
    /// What it can still give.
    pub contribution: Contribution,
}

/// The first `k` elements of a sorted answer, as far as its slices are known.
#[derive(Clone, Debug)]
pub struct TopK {
    k: usize,
    direction: SortDirection,
    slices: Vec<Bound>,
}

impl TopK {
    /// The first `k` elements, without any slice.
    #[must_use]
    pub fn new(k: usize, direction: SortDirection) -> TopK {
        TopK {
            k,
            direction,
            slices: Vec::new(),
        }
    }

    /// How many elements are asked for.
    #[must_use]
    pub fn k(&self) -> usize {
        self.k
    }

    /// Adds a slice, with its best element.
    pub fn add_slice(&mut self, bound: Bound) {
        self.slices.push(bound);
    }

    /// A slice has given further keys.
    ///
    /// # Errors
    /// It gave something better than its best, or what can't be compared with it: the bound was wrong,
    /// and nothing that rests on it is proved.
    pub fn add_keys(
        &mut self,
        slice: u32,
        keys: Vec<SortKey>,
        matched: Option<u64>,
    ) -> Result<(), WrongBound> {
        let Some(known) = self.slices.iter_mut().find(|s| s.slice == slice) else {
            return Ok(());
        };
        let direction = self.direction;
        let sorted = |keys: &[SortKey]| {
            keys.windows(2).all(|w| {
                matches!(
                    w[0].compare(&w[1], direction),
                    Some(Ordering::Less | Ordering::Equal)
                )
            })
        };
        let is_sound = match (known.keys.first(), keys.first()) {
            (Some(bound), Some(best)) => {
                matches!(
                    bound.compare(best, direction),
                    Some(Ordering::Less | Ordering::Equal)
                ) && sorted(&keys)
            }
            (None, Some(_)) => false,
            _ => true,
        };
        // Of a slice that gives less than before, what it gave first still stands.
        if keys.len() >= known.keys.len() {
            (known.keys, known.matched) = (keys, matched.or(known.matched));
        }
        if is_sound {
            Ok(())
        } else {
            Err(WrongBound { slice })
        }
    }

    /// Elements of other slices that come before the best of this one; `None`: some can't be
    /// compared.
    fn elements_before(&self, of: &Bound) -> Option<usize> {
        let best = of.keys.first()?;
        let mut count = 0;
        for other in self.slices.iter().filter(|s| s.slice != of.slice) {
            for key in &other.keys {
                match key.compare(best, self.direction)? {
                    Ordering::Less => count += 1,
                    Ordering::Equal if other.slice < of.slice => count += 1,
                    _ => break,
                }
            }
        }
        Some(count)
    }

    fn contribution_of(&self, of: &Bound, before: Option<usize>) -> Contribution {
        match (of.is_exhausted() || of.matched == Some(0), before) {
            (true, _) => Contribution::Exhausted,
            (false, None) => Contribution::Unknown,
            (false, Some(before)) if before + 1 >= self.k => Contribution::Beaten,
            (false, Some(before)) => Contribution::Elements(self.k - before),
        }
    }

    /// What a slice can still give.
    #[must_use]
    pub fn contribution(&self, slice: u32) -> Contribution {
        let Some(of) = self.slices.iter().find(|s| s.slice == slice) else {
            return Contribution::Unknown;
        };
        self.contribution_of(of, self.elements_before(of))
    }

    /// What each slice can still give, the best first; one sort instead of a count for each slice.
    #[must_use]
    pub fn contributions(&self) -> Vec<SliceContribution> {
        let Some(elements) = self.sorted_elements() else {
            // Some key is of another kind: each slice is judged by itself.
            return self
                .slices
                .iter()
                .map(|slice| self.slice_contribution(slice, self.elements_before(slice)))
                .collect();
        };
        let bests = elements
            .iter()
            .enumerate()
            .filter(|(_, element)| element.is_best_of_slice);
        let with_best = bests.map(|(before, element)| (element.slice, Some(before)));
        let without = self
            .slices
            .iter()
            .filter(|slice| slice.keys.is_empty())
            .map(|slice| (slice, None));
        let judged = with_best.chain(without).map(|(slice, before)| {
            debug_assert_eq!(
                before,
                self.elements_before(slice),
                "slice {}: the sort and the count agree",
                slice.slice
            );
            self.slice_contribution(slice, before)
        });
        judged.collect()
    }

    /// All elements that are known, sorted; `None`: some can't be compared.
    fn sorted_elements(&self) -> Option<Vec<Element<'_>>> {
        let mut elements: Vec<Element<'_>> = Vec::with_capacity(self.slices.len());
        for slice in &self.slices {
            let element = |(index, key)| Element {
                key,
                slice,
                is_best_of_slice: index == 0,
            };
            elements.extend(slice.keys.iter().enumerate().map(element));
        }
        let are_comparable = elements.first().is_none_or(|first| {
            elements
                .iter()
                .all(|element| element.key.compare(first.key, self.direction).is_some())
        });
        if !are_comparable {
            return None;
        }
        elements.sort_by(|one, other| {
            let order = one.key.compare(other.key, self.direction);
            order
                .unwrap_or(Ordering::Equal)
                .then_with(|| one.slice.slice.cmp(&other.slice.slice))
        });
        Some(elements)
    }

    fn slice_contribution(&self, of: &Bound, before: Option<usize>) -> SliceContribution {
        SliceContribution {
            slice: of.slice,
            contribution: self.contribution_of(of, before),
        }
    }
}

/// An element that is known of a slice.
struct Element<'a> {
    key: &'a SortKey,
    slice: &'a Bound,
    is_best_of_slice: bool,
}

/// A slice gave something better than its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBound {
    /// The slice.
    pub slice: u32,
}

#[cfg(test)]
mod tests;
