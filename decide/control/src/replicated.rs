//! The state that all voters hold.

use lichenswitch_configuration::State;
use lichenswitch_replication::{ReplicatedState, StateError};

/// Configuration and history of orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replicated(pub State);

impl ReplicatedState for Replicated {
    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        State::decode(bytes)
            .map(Replicated)
            .map_err(|e| StateError::new(e.to_string()))
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        self.0
            .apply(change)
            .map_err(|e| StateError::new(e.to_string()))
    }
}

impl AsRef<State> for Replicated {
    fn as_ref(&self) -> &State {
        &self.0
    }
}

/// A replicated state that holds a configuration and its history.
pub trait Configured: ReplicatedState + AsRef<State> {}

impl<S: ReplicatedState + AsRef<State>> Configured for S {}
