//! Evaluation of an operator's order against the replicated state.

use crate::error::ConfigurationError;
use crate::order::Order;
use crate::state::State;
use crate::validated_order::ValidatedOrder;

/// The result of an order, with the status of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Exactly this order has been applied before: 200.
    AlreadyApplied,
    /// It builds on a version that is not current: 412.
    VersionConflict {
        /// The current version; 0 where there is no configuration.
        current: u64,
    },
    /// It is invalid: 400.
    Invalid(ConfigurationError),
    /// A change to be replicated, for [`State::apply`]; 200 once it is committed.
    Change(Vec<u8>),
}

/// Checks an order by itself: what fails here is invalid in any state, and any machine may reject
/// it.
///
/// # Errors
/// Returns the first reason for which it is invalid.
pub fn validate(order: &Order) -> Result<(), ConfigurationError> {
    ValidatedOrder::of(order).map(drop)
}

/// Evaluates an order against a committed state. A repetition is recognised first, whatever has been
/// applied after it.
#[must_use]
pub fn evaluate(state: &State, order: &Order) -> OrderOutcome {
    if state.has_applied(&order.digest()) {
        return OrderOutcome::AlreadyApplied;
    }
    let (kind, validated) = match ValidatedOrder::of(order) {
        Ok(validated) => validated,
        Err(error) => return OrderOutcome::Invalid(error),
    };
    let current = state.version();
    if order.base_version != current {
        return OrderOutcome::VersionConflict { current };
    }
    match validated.apply_to(state.document()) {
        Ok(_) => OrderOutcome::Change(State::change(kind, order.base_version, &order.body)),
        Err(error) => OrderOutcome::Invalid(error),
    }
}

#[cfg(test)]
mod tests;
