//! Evaluation of an operator's order against the replicated state.

use crate::error::ConfigurationError;
use crate::order::Order;
use crate::state::State;
use crate::validated_order::ValidatedOrder;

/// The result of an order, which determines the HTTP status of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The identical order has been applied before: status 200.
    AlreadyApplied,
    /// The order builds on a version that is not current: status 412.
    VersionConflict {
        /// The current version; 0 if there is no configuration.
        current: u64,
    },
    /// The order is invalid: status 400.
    Invalid(ConfigurationError),
    /// An encoded change for [`State::apply`], to be replicated first: status 200 once it is
    /// committed.
    Change(Vec<u8>),
}

/// Checks an order without a state. An order that fails is invalid in any state, so any machine may
/// reject it.
///
/// # Errors
/// Returns the first reason for which it is invalid.
pub fn validate(order: &Order) -> Result<(), ConfigurationError> {
    ValidatedOrder::of(order).map(drop)
}

/// Evaluates an order against a committed state. A repeated order is recognised first, even if
/// other orders were applied after it.
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
