//! What the processes of a fleet exchange about model servers.

use rkyv::{Archive, Deserialize, Serialize};

/// State of a model server. It only ever advances, in the order of the variants.
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
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes the requests that it has; new ones go to other servers.
    Draining,
    /// Has ended, or accepts nothing any more.
    Gone,
}

/// What is known of one incarnation of a model server.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ServerRecord {
    /// Its `instanceId`, which is never used twice.
    pub instance: String,
    /// Name of its service.
    pub service: String,
    /// Where it accepts requests, `host:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it processes concurrently.
    pub capacity_slots: u32,
    /// Its state.
    pub state: ServerState,
    /// Highest sequence number of a heartbeat that was received from it.
    pub sequence_number: u64,
    /// How much longer it warms up after its start, by the heartbeat of that sequence number
    /// (milliseconds).
    pub warm_up_remaining_ms: u64,
    /// Suspected of failure: no control machine has received a heartbeat for several intervals. It
    /// may still serve.
    pub is_suspect: bool,
}

/// The last heartbeat of a server, as an item of a
/// [`HeartbeatDigest`](crate::PeerMessage::HeartbeatDigest).
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[rkyv(attr(allow(missing_docs)))]
pub struct HeartbeatAge {
    /// `instanceId` of the server.
    pub instance: String,
    /// Time since the heartbeat (milliseconds).
    pub age_ms: u32,
}
