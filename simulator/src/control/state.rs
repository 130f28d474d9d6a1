//! The state that the control machines replicate, with a fault that tests plant.

use lichenswitch_configuration::{OrderDigest, State};
use lichenswitch_replication::{ReplicatedState, StateError};

/// Bytes before the configuration in an encoded state: its format and length.
const HEADER_BYTES: usize = 5;

/// The replicated configuration, and whether the fault is planted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replicated {
    inner: lichenswitch_control::ReplicatedConfiguration,
    /// A planted fault: the encoded state has no history of orders.
    loses_history: bool,
}

impl Replicated {
    /// An empty state. `loses_history`: a planted fault, by which the encoded state has no history of
    /// orders.
    pub fn new(loses_history: bool) -> Self {
        Self {
            loses_history,
            ..Self::default()
        }
    }

    /// The state.
    pub fn state(&self) -> &State {
        &self.inner.0
    }
}

impl AsRef<State> for Replicated {
    fn as_ref(&self) -> &State {
        self.state()
    }
}

impl ReplicatedState for Replicated {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.inner.encode();
        if self.loses_history {
            let digests = self.state().history_len() * OrderDigest::BYTES;
            bytes.truncate(bytes.len() - digests - 4);
            bytes.extend_from_slice(&0_u32.to_le_bytes());
            debug_assert!(bytes.len() > HEADER_BYTES, "the configuration stays");
        }
        bytes.push(u8::from(self.loses_history));
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (loses_history, bytes) = bytes
            .split_last()
            .ok_or_else(|| StateError::new("no bytes"))?;
        let inner = lichenswitch_control::ReplicatedConfiguration::decode(bytes)?;
        Ok(Self {
            inner,
            loses_history: *loses_history == 1,
        })
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        self.inner.apply(change)
    }
}
