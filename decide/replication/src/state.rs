//! The caller's state machine, which changes only by [`ReplicatedState::apply`].

use thiserror::Error;

/// A state that every voter has a complete copy of.
///
/// `apply` must be deterministic: two equal states and equal bytes give equal states, or both give
/// an error.
pub trait ReplicatedState: Clone {
    /// The whole state as bytes.
    fn encode(&self) -> Vec<u8>;
    /// The state that [`Self::encode`] wrote.
    ///
    /// # Errors
    /// The bytes are no state.
    fn decode(bytes: &[u8]) -> Result<Self, StateError>
    where
        Self: Sized;
    /// Applies one change. On an error the state must be as before.
    ///
    /// # Errors
    /// The change doesn't fit the state.
    fn apply(&mut self, change: &[u8]) -> Result<(), StateError>;
}

/// Bytes that are no state, or a change that doesn't fit the state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{reason}")]
pub struct StateError {
    /// The reason, in words.
    pub reason: String,
}

impl StateError {
    /// An error with this reason.
    #[must_use]
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}
