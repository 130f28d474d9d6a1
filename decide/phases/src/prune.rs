//! Pruning by bounds, which leaves out slices that provably can't change the first `k` elements of
//! a sorted answer.
//!
//! Each slice's first answer is its best element, which bounds all its elements. This is the sorted
//! access of the threshold algorithm (Fagin, Lotem and Naor, "Optimal aggregation algorithms for
//! middleware", 2001), stopped after one round as in the first phase of TPUT (Cao and Wang,
//! "Efficient top-k query processing in distributed networks", 2004). Elements are ordered by key,
//! then by slice, then in the order in which the slice returns them. If `r` elements of other
//! slices precede the best element of a slice, at most `k - r` elements of that slice can be among
//! the first `k`. With `r >= k - 1`, only its best element can.

use std::cmp::Ordering;

/// The key by which elements are sorted.
#[derive(Clone, Debug, PartialEq)]
pub enum SortKey {
    /// A number. NaN can't be compared.
    Number(f64),
    /// A text, compared by code points.
    Text(String),
    /// A missing value, sorted after all values in either direction.
    Missing,
}

/// The direction in which elements are sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SortDirection {
    /// Smallest key first.
    Ascending,
    /// Largest key first.
    Descending,
}

impl SortKey {
    /// Returns the order of two keys, or `None` if they can't be compared.
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

/// The known elements of a slice, which bound its further elements.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Number of the slice.
    pub slice: u32,
    /// Keys of the elements that the slice returned, best first.
    pub keys: Vec<SortKey>,
    /// Total number of matching elements in the slice, if its answer states it.
    pub matched: Option<u64>,
}

impl Bound {
    /// Returns whether all elements of the slice are known.
    fn is_exhausted(&self) -> bool {
        self.matched == Some(self.keys.len() as u64)
    }
}

/// The possible contribution of a slice to the first `k` elements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contribution {
    /// At most this number of its elements, including its best, are among the first `k`.
    Elements(usize),
    /// Its best element is unknown or can't be compared, so all `k` elements are requested.
    Unknown,
    /// At least `k - 1` elements of other slices precede its best, so further elements can't
    /// matter.
    Beaten,
    /// It has no elements beyond those that it returned.
    Exhausted,
}

/// A slice with its possible contribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceContribution {
    /// Number of the slice.
    pub slice: u32,
    /// Its possible contribution to the first `k` elements.
    pub contribution: Contribution,
}

/// Bounds of all slices of a sorted answer, of which the first `k` elements are requested.
#[derive(Clone, Debug)]
pub struct TopK {
    k: usize,
    direction: SortDirection,
    slices: Vec<Bound>,
}

impl TopK {
    /// Creates a state for the first `k` elements, without slices.
    #[must_use]
    pub fn new(k: usize, direction: SortDirection) -> TopK {
        TopK {
            k,
            direction,
            slices: Vec::new(),
        }
    }

    /// Returns the number of requested elements.
    #[must_use]
    pub fn k(&self) -> usize {
        self.k
    }

    /// Adds a slice with its first answer.
    pub fn add_slice(&mut self, bound: Bound) {
        self.slices.push(bound);
    }

    /// Adds the keys that a slice has returned in the second phase.
    ///
    /// # Errors
    /// Returns an error if the keys contradict the bound: a key precedes the slice's best, can't be
    /// compared with it, or is out of order. Conclusions from that bound are then invalid.
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
        // If the slice returns fewer elements than before, the earlier ones remain valid.
        if keys.len() >= known.keys.len() {
            (known.keys, known.matched) = (keys, matched.or(known.matched));
        }
        if is_sound {
            Ok(())
        } else {
            Err(WrongBound { slice })
        }
    }

    /// Counts the elements of other slices that precede the best of this one. Returns `None` if it
    /// has no best element or keys can't be compared.
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

    /// Returns the possible contribution of a slice.
    #[must_use]
    pub fn contribution(&self, slice: u32) -> Contribution {
        let Some(of) = self.slices.iter().find(|s| s.slice == slice) else {
            return Contribution::Unknown;
        };
        self.contribution_of(of, self.elements_before(of))
    }

    /// Returns the possible contribution of each slice, best slice first. A single sort replaces a
    /// count for each slice.
    #[must_use]
    pub fn contributions(&self) -> Vec<SliceContribution> {
        let Some(elements) = self.sorted_elements() else {
            // Some keys can't be compared, so each slice is counted separately.
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
        let slice_contributions = with_best.chain(without).map(|(slice, before)| {
            debug_assert_eq!(
                before,
                self.elements_before(slice),
                "slice {}: the sort and the count agree",
                slice.slice
            );
            self.slice_contribution(slice, before)
        });
        slice_contributions.collect()
    }

    /// Returns all known elements in order, or `None` if some keys can't be compared.
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

/// A known element of a slice.
struct Element<'a> {
    key: &'a SortKey,
    slice: &'a Bound,
    is_best_of_slice: bool,
}

/// The error that the keys of a slice contradict its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBound {
    /// Number of the slice.
    pub slice: u32,
}

#[cfg(test)]
mod tests;
