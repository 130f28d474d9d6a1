//! The interface of the caller's state machine.

use thiserror::Error;

/// A state machine whose complete state is replicated to every voter.
///
/// [`Self::apply`] must be deterministic: applied to equal states, equal bytes must give equal
/// states or fail both times.
pub trait ReplicatedState: Clone {
    /// Returns the complete state as bytes.
    fn encode(&self) -> Vec<u8>;
    /// Decodes a state that [`Self::encode`] wrote.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid state.
    fn decode(bytes: &[u8]) -> Result<Self, StateError>
    where
        Self: Sized;
    /// Applies one change. On an error, the state must remain unchanged.
    ///
    /// # Errors
    /// Returns an error if the change is malformed or not valid for the current state.
    fn apply(&mut self, change: &[u8]) -> Result<(), StateError>;
}

/// An error for bytes that do not decode to a state, or for a change that cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{reason}")]
pub struct StateError {
    /// Human-readable description of the failure.
    pub reason: String,
}

impl StateError {
    /// Creates an error with this reason.
    #[must_use]
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}
