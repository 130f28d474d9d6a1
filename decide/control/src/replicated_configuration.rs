//! Configuration state as replicated by the voters of the group.

use lichenswitch_configuration::State;
use lichenswitch_replication::{ReplicatedState, StateError};

/// The configuration and the history of accepted orders, which all voters replicate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicatedConfiguration(pub State);

impl ReplicatedState for ReplicatedConfiguration {
    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        State::decode(bytes)
            .map(ReplicatedConfiguration)
            .map_err(|e| StateError::new(e.to_string()))
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        self.0
            .apply(change)
            .map_err(|e| StateError::new(e.to_string()))
    }
}

impl AsRef<State> for ReplicatedConfiguration {
    fn as_ref(&self) -> &State {
        &self.0
    }
}

/// A replicated state that contains a configuration and the history of accepted orders.
pub trait ConfigurationState: ReplicatedState + AsRef<State> {}

impl<S: ReplicatedState + AsRef<State>> ConfigurationState for S {}
