//! The classes of a service's requests: one for each route in each version and rank.
//!
//! It promises that a class stays as it is while requests have it or the active configuration names it;
//! only then its index is reused.

use super::configuration::RouteTerms;
use lichenswitch_interface::{Class, RetrySafety, FIRST_SHARE};
use std::collections::{BTreeSet, HashMap};

/// Under overload the value of a request falls by this factor with each rank.
const VALUE_PER_RANK: f64 = 0.8;

/// Upper bound on the attempts of a request, whatever its route says.
pub(crate) const MAX_ATTEMPTS: u32 = 16;

/// A class of requests: one route in one version and rank.
struct RequestClass {
    terms: RouteTerms,
    /// Requests in hand of this class.
    request_count: u32,
    /// The active configuration has it.
    is_active: bool,
}

impl RequestClass {
    fn is_unused(&self) -> bool {
        self.request_count == 0 && !self.is_active
    }
}

/// The classes of a service, by index.
#[derive(Default)]
pub(crate) struct RequestClasses {
    classes: Vec<RequestClass>,
    /// The index of each class by its terms.
    by_terms: HashMap<RouteTerms, usize>,
    /// The indices that may be reused.
    unused: BTreeSet<usize>,
}

impl RequestClasses {
    /// Marks the classes of these terms as those of the active configuration, and adds new ones.
    pub(crate) fn set_active(&mut self, routes: Vec<RouteTerms>) {
        for index in 0..self.classes.len() {
            self.set_is_active(index, false);
        }
        for terms in routes {
            let (index, _) = self.index_of(&terms);
            self.set_is_active(index, true);
        }
    }

    /// The index of the class with these terms (an existing one, an unused one, or a new one), and
    /// whether the core has to be told of it.
    pub(crate) fn index_of(&mut self, terms: &RouteTerms) -> (usize, bool) {
        if let Some(index) = self.by_terms.get(terms) {
            return (*index, false);
        }
        let class = RequestClass {
            terms: terms.clone(),
            request_count: 0,
            is_active: false,
        };
        let index = match self.unused.first() {
            Some(&index) => {
                self.by_terms.remove(&self.classes[index].terms);
                self.classes[index] = class;
                index
            }
            None => {
                self.classes.push(class);
                self.classes.len() - 1
            }
        };
        self.by_terms.insert(terms.clone(), index);
        self.unused.insert(index);
        (index, true)
    }

    /// A request of this class was submitted.
    pub(crate) fn acquire(&mut self, index: usize) {
        self.classes[index].request_count += 1;
        self.unused.remove(&index);
    }

    /// A request of this class has ended.
    pub(crate) fn release(&mut self, index: usize) {
        if let Some(class) = self.classes.get_mut(index) {
            class.request_count = class.request_count.saturating_sub(1);
            if class.is_unused() {
                self.unused.insert(index);
            }
        }
    }

    fn set_is_active(&mut self, index: usize, is_active: bool) {
        let class = &mut self.classes[index];
        class.is_active = is_active;
        match class.is_unused() {
            true => self.unused.insert(index),
            false => self.unused.remove(&index),
        };
    }

    /// The classes as the decision module knows them, in order.
    pub(crate) fn for_decisions(&self) -> Vec<Class> {
        self.classes
            .iter()
            .map(|class| decision_class(&class.terms))
            .collect()
    }
}

/// A class as the decision module knows it.
fn decision_class(terms: &RouteTerms) -> Class {
    Class {
        latency_target: terms.target_latency,
        deadline: terms.timeout,
        retry_safety: if terms.is_idempotent {
            RetrySafety::Safe
        } else {
            RetrySafety::Unsafe
        },
        value: VALUE_PER_RANK.powi(i32::from(terms.rank)),
        // The value of a late response is unknown: it is waited for to the deadline, since silence
        // is no reason to give up sooner.
        late_share: 1.0,
        need: 1.0,
        floor: 1.0,
        partial: 0.0,
        second_step: 0,
        first_share: FIRST_SHARE,
        attempts: Some(terms.max_attempts.min(MAX_ATTEMPTS)),
    }
}

#[cfg(test)]
mod tests;
