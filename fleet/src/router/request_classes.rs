//! The classes of a service's requests: one for each route in each version and rank.
//!
//! It promises that a class stays as it is while requests have it or the active configuration names it;
//! only then its index is reused.

use super::configuration::RouteTerms;
use lichenswitch_interface::{Class, RetrySafety, FIRST_SHARE};

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

/// The classes of a service, by index.
#[derive(Default)]
pub(crate) struct RequestClasses {
    classes: Vec<RequestClass>,
}

impl RequestClasses {
    /// Marks the classes of these terms as those of the active configuration, and adds new ones.
    pub(crate) fn set_active(&mut self, routes: Vec<RouteTerms>) {
        self.classes
            .iter_mut()
            .for_each(|class| class.is_active = false);
        for terms in routes {
            let (index, _) = self.index_of(&terms);
            self.classes[index].is_active = true;
        }
    }

    /// The index of the class with these terms (an existing one, an unused one, or a new one), and
    /// whether the core has to be told of it.
    pub(crate) fn index_of(&mut self, terms: &RouteTerms) -> (usize, bool) {
        if let Some(index) = self.classes.iter().position(|class| class.terms == *terms) {
            return (index, false);
        }
        let class = RequestClass {
            terms: terms.clone(),
            request_count: 0,
            is_active: false,
        };
        match self
            .classes
            .iter()
            .position(|class| class.request_count == 0 && !class.is_active)
        {
            Some(index) => {
                self.classes[index] = class;
                (index, true)
            }
            None => {
                self.classes.push(class);
                (self.classes.len() - 1, true)
            }
        }
    }

    /// A request of this class was submitted.
    pub(crate) fn acquire(&mut self, index: usize) {
        self.classes[index].request_count += 1;
    }

    /// A request of this class has ended.
    pub(crate) fn release(&mut self, index: usize) {
        if let Some(class) = self.classes.get_mut(index) {
            class.request_count = class.request_count.saturating_sub(1);
        }
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
