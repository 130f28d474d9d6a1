//! The identities of the voters, and the genesis, which fixes the set of voters for the life of a
//! cluster.

use serde::{Deserialize, Serialize};

/// The identity of a voter: its broker together with its storage.
///
/// A broker that has lost its storage is a different voter, because it no longer knows which
/// promises it has made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// Name of the broker, unique in the cluster.
    pub name: String,
    /// Identifier that the broker chooses when it starts with empty storage; never 0.
    pub storage_id: u64,
}

/// The voters of a cluster, ordered by name. A genesis never changes once it exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Genesis(pub(crate) Vec<VoterIdentity>);

impl Genesis {
    /// Returns the voters, ordered by name.
    #[must_use]
    pub fn voters(&self) -> &[VoterIdentity] {
        &self.0
    }

    /// Returns a hash that identifies this genesis: 64-bit FNV-1a over names and storage ids.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = self.0.iter().flat_map(|voter| {
            let storage_id = voter.storage_id.to_be_bytes();
            voter.name.bytes().chain([0]).chain(storage_id)
        });
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, b| {
            (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        })
    }

    /// Returns the identity of the voter with this name.
    #[must_use]
    pub fn voter(&self, name: &str) -> Option<&VoterIdentity> {
        self.0.iter().find(|voter| voter.name == name)
    }
}

/// The message that a voter sends to the other voters during the bootstrap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity of the sending voter.
    pub identity: VoterIdentity,
    /// Genesis that the sender has adopted, if any.
    pub genesis: Option<Genesis>,
}
