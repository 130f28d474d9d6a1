//! Messages between the processes of a fleet: control machines among themselves, and control
//! machines and routers.
//!
//! It owns the types and promises that they are plain values. What carries them is
//! `lichenswitch-rpc`; messages of replication are types of `lichenswitch-replication` and travel
//! as bytes in [`PeerMessage::Replication`].
#![forbid(unsafe_code)]
// The derives of `rkyv` write items of their own without documentation: what is written here has it
// all the same.
#![allow(missing_docs)]

mod backlog;
mod tenants;

use rkyv::{Archive, Deserialize, Serialize};

pub use backlog::{BacklogReport, ServerBacklog};
pub use tenants::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage};

/// Version of all messages of this package. Processes of different versions refuse each other by
/// name.
pub const PROTOCOL_VERSION: u16 = 1;

/// Where a committed configuration stands among all: a later one compares greater.
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
    /// Number of the record.
    pub number: u64,
}

/// A moment in the life of a process; it means something to that process alone.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ProcessInstant {
    /// Drawn at the start of the process.
    pub process: u64,
    /// Its steady clock (microseconds).
    pub clock_us: u64,
}

/// State of a model server. Only ever grows.
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
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; new requests go elsewhere.
    Draining,
    /// Has ended or will take nothing more.
    Gone,
}

/// What is known of one incarnation of a model server.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ServerRecord {
    /// Its `instanceId`: never used twice.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it takes requests, `host:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at the same time.
    pub capacity_slots: u32,
    /// Its state.
    pub state: ServerState,
    /// Highest sequence number heard from it.
    pub sequence_number: u64,
    /// Milliseconds for which it stays slow from its start, when that was last told.
    pub warm_up_remaining_ms: u64,
    /// No control machine has heard it for several intervals; it may still serve.
    pub is_suspect: bool,
}

/// From a router to a control machine.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RouterToControl {
    /// First message on a connection.
    Hello {
        /// [`PROTOCOL_VERSION`].
        protocol: u16,
        /// `nodeName` of the settings.
        node: String,
        /// Its zone.
        zone: String,
        /// Drawn at the start of the process.
        process: u64,
        /// The configuration that it has applied.
        configuration: Option<ConfigurationPosition>,
    },
    /// All up to this push number has been applied.
    Applied {
        /// Number of the last push.
        push: u64,
        /// The configuration that is in force.
        configuration: Option<ConfigurationPosition>,
    },
}

/// From a control machine to a router. Everything but the heartbeat is numbered, from 1 on each
/// connection.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum ControlToRouter {
    /// Comes every [`ROUTER_HEARTBEAT_MS`], and at once when contact changes.
    Heartbeat {
        /// Whether this control machine is in contact with a confirmed primary.
        in_contact: bool,
        /// Control machines that can be connected to (internal addresses).
        control: Vec<String>,
        /// Routers that are members now, this one included.
        routers: u32,
    },
    /// A committed configuration.
    Configuration {
        /// Number of this push.
        push: u64,
        /// Its position.
        position: ConfigurationPosition,
        /// The whole document, JSON.
        document: Vec<u8>,
    },
    /// What is known of these servers; all others stay as they were.
    Servers {
        /// Number of this push.
        push: u64,
        /// Records to merge.
        records: Vec<ServerRecord>,
        /// Whether this ends the first whole table of the connection.
        is_complete: bool,
    },
}

/// How often a control machine speaks to its routers (milliseconds).
pub const ROUTER_HEARTBEAT_MS: u64 = 250;

/// A call that one control machine relays to the primary for a caller.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RelayedCall {
    /// An order of the operator.
    Order {
        /// Path of the call.
        path: String,
        /// `Base-Version`.
        base_version: u64,
        /// Body as it came.
        body: Vec<u8>,
    },
    /// `GET /configuration/describe`.
    Describe,
    /// What `status` shows of the primary.
    Status,
}

/// The primary's word on a relayed call.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RelayedResponse {
    /// This answer is certain.
    Response {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// This machine is not a confirmed primary, and has done nothing.
    NotPrimary,
    /// What became of the order is not known.
    Unknown,
}

/// Between control machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum PeerMessage {
    /// First message on a connection, both ways.
    Hello {
        /// [`PROTOCOL_VERSION`].
        protocol: u16,
        /// `nodeName` of the settings.
        node: String,
        /// Where this process listens for its peers, `ip:port`.
        address: String,
        /// Identity of its disk; of the process where it has none.
        identity: u64,
        /// Whether it may become a voter.
        eligible: bool,
        /// Peers that it knows, by address.
        known: Vec<String>,
    },
    /// A message of replication, serialised by that package.
    Replication(Vec<u8>),
    /// A call for the primary.
    Call {
        /// Unique in the life of the calling process.
        id: u64,
        /// The call.
        call: RelayedCall,
    },
    /// The answer to [`PeerMessage::Call`].
    CallResponse {
        /// Its number.
        id: u64,
        /// The response.
        response: RelayedResponse,
    },
    /// News of servers, to be merged; acknowledged by [`PeerMessage::ServersAck`] where `ack` is
    /// not 0.
    Servers {
        /// Number to acknowledge, or 0.
        ack: u64,
        /// Records to merge.
        records: Vec<ServerRecord>,
        /// Whether this is the whole table of the sender.
        is_complete: bool,
    },
    /// The news of this number has been merged.
    ServersAck {
        /// Its number.
        ack: u64,
    },
    /// Servers that were heard since the last of these, by instance, with how long ago
    /// (milliseconds).
    HeartbeatDigest(Vec<(String, u32)>),
    /// Asks for the whole table of servers.
    ServerTableRequest,
    /// Servers that the sender knows from before its start alone: a last resort, and no news of
    /// them.
    CachedServers(Vec<ServerRecord>),
    /// What this machine knows of its own place.
    Contact {
        /// Whether it is in contact with a confirmed primary.
        in_contact: bool,
        /// The primary that it knows, by address; itself, where it is confirmed.
        primary: Option<String>,
        /// Routers connected to it.
        routers: u32,
        /// Peers that it knows, by address.
        known: Vec<String>,
    },
    /// The primary is confirmed by a quorum, to a control machine that holds no copy of the state:
    /// all that was committed before the echoed moment has gone before this on the same connection.
    Confirmed {
        /// The receiver's last [`PeerMessage::ConfirmedAck`] that came; none before the first.
        echo: Option<ProcessInstant>,
    },
    /// Answer to [`PeerMessage::Confirmed`]: when it was sent.
    ConfirmedAck(ProcessInstant),
    /// The newest committed configuration, from the primary to a control machine that holds no copy
    /// of the state.
    Configuration {
        /// Its position.
        position: ConfigurationPosition,
        /// The whole document, JSON.
        document: Vec<u8>,
    },
}

/// All that travels on an internal connection.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Envelope {
    /// Between control machines.
    Peer(PeerMessage),
    /// From a router.
    FromRouter(RouterToControl),
    /// To a router.
    ToRouter(ControlToRouter),
}
