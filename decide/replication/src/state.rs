//! What is replicated: a state of the caller's that changes only by [`ReplicatedState::apply`].

use thiserror::Error;

/// A state that every voter holds whole.
///
/// `apply` must be deterministic: two equal states and equal bytes give equal states, or both give
/// an error.
pub trait ReplicatedState: Clone {
    /// The whole state as bytes.
    fn encode(&self) -> Vec<u8>;
    /// The state that [`Self::encode`] wrote.
    fn decode(bytes: &[u8]) -> Result<Self, StateError>
    where
        Self: Sized;
    /// Takes one change. On an error the state must be as before.
    fn apply(&mut self, change: &[u8]) -> Result<(), StateError>;
}

/// Bytes that are no state, or a change that doesn't fit the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{reason}")]
pub struct StateError {
    /// What was wrong.
    pub reason: String,
}

impl StateError {
    /// An error with its reason in words.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}
