//! The replicated state, as the control machines hold it, with a fault that tests plant.

use lichenswitch_configuration::{OrderDigest, State};
use lichenswitch_replication::{ReplicatedState, StateError};

/// Bytes before the configuration in an encoded state: its format and length.
const HEAD: usize = 5;

/// What the control machines replicate, wrapped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replicated {
    inner: lichenswitch_control::ReplicatedConfiguration,
    /// A planted fault: the history does not travel.
    forgets_history: bool,
}

impl Replicated {
    /// An empty state. `forgets_history`: a planted fault, by which the history does not travel.
    pub fn new(forgets_history: bool) -> Self {
        Self {
            forgets_history,
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
        if self.forgets_history {
            let digests = self.state().history_len() * OrderDigest::BYTES;
            bytes.truncate(bytes.len() - digests - 4);
            bytes.extend_from_slice(&0_u32.to_le_bytes());
            debug_assert!(bytes.len() > HEAD, "the configuration stays");
        }
        bytes.push(u8::from(self.forgets_history));
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (forgets, bytes) = bytes
            .split_last()
            .ok_or_else(|| StateError::new("no bytes"))?;
        let inner = lichenswitch_control::ReplicatedConfiguration::decode(bytes)?;
        Ok(Self {
            inner,
            forgets_history: *forgets == 1,
        })
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        self.inner.apply(change)
    }
}
