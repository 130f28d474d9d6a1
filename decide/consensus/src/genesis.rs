//! The identities of the voters, and the genesis that fixes them for the life of a cluster.

use serde::{Deserialize, Serialize};

/// A voter together with its storage: one that has lost its storage is another voter, since it no
/// longer knows what it has promised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// The broker's name.
    pub name: String,
    /// Chosen when its storage was empty; not 0.
    pub storage_id: u64,
}

/// The voters of a cluster, ordered by name. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Genesis(pub(crate) Vec<VoterIdentity>);

impl Genesis {
    /// The voters.
    #[must_use]
    pub fn voters(&self) -> &[VoterIdentity] {
        &self.0
    }

    /// Tells one genesis from another (FNV-1a, 64 bits, of names and storage ids).
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

    /// The voter of this name.
    #[must_use]
    pub fn voter(&self, name: &str) -> Option<&VoterIdentity> {
        self.0.iter().find(|voter| voter.name == name)
    }
}

/// What a voter sends to the others until each has a genesis.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The sender.
    pub identity: VoterIdentity,
    /// The genesis that it has adopted, if it has one.
    pub genesis: Option<Genesis>,
}
