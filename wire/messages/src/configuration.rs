//! The order of committed configurations.

use rkyv::{Archive, Deserialize, Serialize};

/// Position of a committed configuration in the replicated state. A later one compares greater, so
/// the order of the fields is the order of comparison.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ConfigurationPosition {
    /// Counter of the epoch.
    pub epoch: u64,
    /// Identity of the primary of that epoch.
    pub primary: u64,
    /// Number of the record within the replicated state.
    pub number: u64,
}
