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
pub enum Key {
    /// A number; one that is none can't be compared.
    Number(f64),
    /// A text, compared by its code points.
    Text(String),
    /// No value: after all that have one, whichever way is sorted.
    Missing,
}

/// Which way is sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The smallest first.
    Up,
    /// The largest first.
    Down,
}

impl Key {
    /// The order of two keys; `None`: they can't be compared.
    #[must_use]
    pub fn compare(&self, other: &Key, way: Way) -> Option<Ordering> {
        let order = match (self, other) {
            (Key::Missing, Key::Missing) => return Some(Ordering::Equal),
            (Key::Missing, _) => return Some(Ordering::Greater),
            (_, Key::Missing) => return Some(Ordering::Less),
            (Key::Number(a), Key::Number(b)) => a.partial_cmp(b)?,
            (Key::Text(a), Key::Text(b)) => a.cmp(b),
            _ => return None,
        };
        Some(if way == Way::Up {
            order
        } else {
            order.reverse()
        })
    }
}

/// What a slice has told by its first answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The slice's number.
    pub slice: u32,
    /// Keys of the elements that it gave, the best first.
    pub keys: Vec<Key>,
    /// Elements that it has in all, where it told.
    pub matched: Option<u64>,
}

impl Bound {
    /// Whether all that the slice has is here.
    fn exhausted(&self) -> bool {
        self.matched == Some(self.keys.len() as u64)
    }
}

/// Why a slice is asked again or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It may have so many elements among the first `k`, its best included.
    Elements(usize),
    /// Its best can't be compared: nothing is proved of it, and all `k` are asked for.
    Unknown,
    /// Enough elements of other slices come before its best, or all but that one.
    Beaten,
    /// It has no more than it gave.
    Exhausted,
}

/// The slices of a sorted answer, as far as they are known.
#[derive(Clone, Debug)]
pub struct Race {
    k: usize,
    way: Way,
    slices: Vec<Bound>,
}

impl Race {
    /// A race for the first `k` elements.
    #[must_use]
    pub fn new(k: usize, way: Way) -> Race {
        Race {
            k,
            way,
            slices: Vec::new(),
        }
    }

    /// Elements that are asked for.
    #[must_use]
    pub fn k(&self) -> usize {
        self.k
    }

    /// A slice enters with its best.
    pub fn enter(&mut self, bound: Bound) {
        self.slices.push(bound);
    }

    /// A slice has given further keys.
    ///
    /// # Errors
    /// It gave something better than its best, or what can't be compared with it: the bound was wrong,
    /// and nothing that rests on it is proved.
    pub fn extend(
        &mut self,
        slice: u32,
        keys: Vec<Key>,
        matched: Option<u64>,
    ) -> Result<(), WrongBound> {
        let Some(known) = self.slices.iter_mut().find(|s| s.slice == slice) else {
            return Ok(());
        };
        let way = self.way;
        let sorted = |keys: &[Key]| {
            keys.windows(2).all(|w| {
                matches!(
                    w[0].compare(&w[1], way),
                    Some(Ordering::Less | Ordering::Equal)
                )
            })
        };
        let sound = match (known.keys.first(), keys.first()) {
            (Some(bound), Some(best)) => {
                matches!(
                    bound.compare(best, way),
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
        if sound {
            Ok(())
        } else {
            Err(WrongBound { slice })
        }
    }

    /// Elements of other slices that come before the best of this one; `None`: some can't be
    /// compared.
    fn before(&self, of: &Bound) -> Option<usize> {
        let best = of.keys.first()?;
        let mut count = 0;
        for other in self.slices.iter().filter(|s| s.slice != of.slice) {
            for key in &other.keys {
                match key.compare(best, self.way)? {
                    Ordering::Less => count += 1,
                    Ordering::Equal if other.slice < of.slice => count += 1,
                    _ => break,
                }
            }
        }
        Some(count)
    }

    fn judge(&self, of: &Bound, before: Option<usize>) -> Reach {
        match (of.exhausted() || of.matched == Some(0), before) {
            (true, _) => Reach::Exhausted,
            (false, None) => Reach::Unknown,
            (false, Some(before)) if before + 1 >= self.k => Reach::Beaten,
            (false, Some(before)) => Reach::Elements(self.k - before),
        }
    }

    /// What a slice can still give.
    #[must_use]
    pub fn reach(&self, slice: u32) -> Reach {
        let Some(of) = self.slices.iter().find(|s| s.slice == slice) else {
            return Reach::Unknown;
        };
        self.judge(of, self.before(of))
    }

    /// What each slice can still give, the best first; one sort instead of a count for each slice.
    #[must_use]
    pub fn reaches(&self) -> Vec<(u32, Reach)> {
        // Elements with their slices, and whether they are the best of theirs.
        let mut all: Vec<(&Key, usize, bool)> = Vec::with_capacity(self.slices.len());
        for (at, s) in self.slices.iter().enumerate() {
            all.extend(s.keys.iter().enumerate().map(|(i, key)| (key, at, i == 0)));
        }
        let sound = all.first().is_none_or(|(first, ..)| {
            all.iter()
                .all(|(key, ..)| key.compare(first, self.way).is_some())
        });
        if !sound {
            // Some key is of another kind: each slice is judged by itself.
            return self
                .slices
                .iter()
                .map(|s| (s.slice, self.judge(s, self.before(s))))
                .collect();
        }
        all.sort_by(|a, b| {
            let order = a.0.compare(b.0, self.way).unwrap_or(Ordering::Equal);
            order.then_with(|| self.slices[a.1].slice.cmp(&self.slices[b.1].slice))
        });
        let bests = all.iter().enumerate().filter(|(_, e)| e.2);
        let with_best = bests.map(|(before, &(_, at, _))| (&self.slices[at], Some(before)));
        let without = self
            .slices
            .iter()
            .filter(|s| s.keys.is_empty())
            .map(|s| (s, None));
        let judged = with_best.chain(without).map(|(s, before)| {
            debug_assert_eq!(
                before,
                self.before(s),
                "slice {}: the sort and the count agree",
                s.slice
            );
            (s.slice, self.judge(s, before))
        });
        judged.collect()
    }
}

/// A slice gave something better than its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBound {
    /// The slice.
    pub slice: u32,
}

#[cfg(test)]
mod tests;
