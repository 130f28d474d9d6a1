//! The replicated state, as the control machines hold it.

use lichenswitch_configuration::{OrderDigest, State};
use lichenswitch_replication::{ReplicatedState, StateError};

/// Bytes before the configuration in an encoded state: its format and length.
const HEAD: usize = 5;

/// Configuration and history of orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replicated {
    /// The state.
    pub state: State,
    /// A planted fault: the history does not travel.
    pub forgets_history: bool,
}

impl ReplicatedState for Replicated {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.state.encode();
        if self.forgets_history {
            let digests = self.state.history_len() * OrderDigest::BYTES;
            bytes.truncate(bytes.len() - digests - 4);
            bytes.extend_from_slice(&0_u32.to_le_bytes());
            debug_assert!(bytes.len() > HEAD, "the configuration stays");
        }
        bytes.push(u8::from(self.forgets_history));
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (forgets, bytes) = bytes.split_last().ok_or_else(|| StateError::new("no bytes"))?;
        let state = State::decode(bytes).map_err(|error| StateError::new(error.to_string()))?;
        Ok(Self { state, forgets_history: *forgets == 1 })
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        self.state.apply(change).map_err(|error| StateError::new(error.to_string()))
    }
}
