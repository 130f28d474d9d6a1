//! Messages between control machines.

use crate::{ConfigurationPosition, HeartbeatAge, ServerRecord};
use rkyv::{Archive, Deserialize, Serialize};

/// An instant on the clock of one process; it has a meaning for that process alone.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ProcessInstant {
    /// A random number that identifies the process for its lifetime.
    pub process: u64,
    /// Its monotonic clock (microseconds).
    pub clock_us: u64,
}

/// A call that a control machine relays to the primary on behalf of a caller.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RelayedCall {
    /// An operator's order to change the configuration.
    Order {
        /// Path of the call.
        path: String,
        /// `Base-Version`.
        base_version: u64,
        /// Body as it was received.
        body: Vec<u8>,
    },
    /// `GET /configuration/describe`.
    Describe,
    /// What `status` shows of the primary.
    Status,
}

/// The primary's response to a [`RelayedCall`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RelayedResponse {
    /// The call has this definite response.
    Response {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The receiver is no confirmed primary, and has done nothing.
    NotPrimary,
    /// Whether the order was committed is not known.
    Unknown,
}

/// Between control machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum PeerMessage {
    /// First message on a connection, in both directions.
    Hello {
        /// [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION) of the sender.
        protocol_version: u16,
        /// `nodeName` of its settings.
        node_name: String,
        /// Where it listens for its peers, `ip:port`.
        address: String,
        /// Identity of its disk; of the process where it has none.
        identity: u64,
        /// Whether it may become a voter.
        eligible: bool,
        /// Addresses of the peers that it knows.
        known_peers: Vec<String>,
    },
    /// A message of replication, serialised by that package.
    Replication(Vec<u8>),
    /// A call for the primary.
    Call {
        /// Unique in the lifetime of the calling process.
        id: u64,
        /// The call.
        call: RelayedCall,
    },
    /// The response to [`PeerMessage::Call`].
    CallResponse {
        /// Number of the call.
        id: u64,
        /// The response.
        response: RelayedResponse,
    },
    /// Updates of servers, to be merged; acknowledged by [`PeerMessage::ServersAck`] where `ack` is
    /// not 0.
    Servers {
        /// Number to acknowledge, or 0.
        ack: u64,
        /// Records to merge.
        records: Vec<ServerRecord>,
        /// Whether this is the complete table of the sender.
        is_complete: bool,
    },
    /// The updates of this number have been merged.
    ServersAck {
        /// Their number.
        ack: u64,
    },
    /// Servers that sent a heartbeat to the sender since its last digest.
    HeartbeatDigest(Vec<HeartbeatAge>),
    /// Requests the complete table of servers.
    ServerTableRequest,
    /// Servers that the sender knows only from the table that it had stored before its start: a
    /// last resort, and no update of them.
    CachedServers(Vec<ServerRecord>),
    /// The sender's contact with the primary.
    Contact {
        /// Whether it is in contact with a confirmed primary.
        in_contact: bool,
        /// Address of the primary that it knows; its own, where it is confirmed itself.
        primary: Option<String>,
        /// Routers connected to it.
        connected_routers: u32,
        /// Addresses of the peers that it knows.
        known_peers: Vec<String>,
    },
    /// From a primary that a quorum has confirmed, to a control machine without a replica of the
    /// state. All that was committed before the echoed instant precedes this message on its
    /// connection.
    Confirmed {
        /// The receiver's last [`PeerMessage::ConfirmedAck`]; none before the first.
        echo: Option<ProcessInstant>,
    },
    /// Response to [`PeerMessage::Confirmed`]: when it was sent.
    ConfirmedAck(ProcessInstant),
    /// The newest committed configuration, from the primary to a control machine without a replica
    /// of the state.
    Configuration {
        /// Its position.
        position: ConfigurationPosition,
        /// The complete document, JSON.
        document: Vec<u8>,
    },
}
