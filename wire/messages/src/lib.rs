//! Messages between the processes of a fleet: control machines with each other, and control
//! machines with routers.
//!
//! It owns the types, which are plain values. An internal connection carries three kinds of them,
//! each as an `rkyv` archive in a frame of `lichenswitch-rpc`: [`Envelope`], [`TenantMessage`] and
//! [`BacklogReport`]. Messages of replication are types of `lichenswitch-replication` and travel as
//! bytes in [`PeerMessage::Replication`].
//!
//! It promises that processes of different builds understand each other: the order of fields and
//! variants is the format, and `tests/wire_format.rs` compares it with stored bytes. Names are free.
#![forbid(unsafe_code)]
// The derives of `rkyv` generate items without documentation; the written ones all have it.
#![allow(missing_docs)]

mod backlog;
mod configuration;
mod peer;
mod router;
mod servers;
mod tenants;

use rkyv::{Archive, Deserialize, Serialize};

pub use backlog::{BacklogReport, ServerBacklog};
pub use configuration::ConfigurationPosition;
pub use peer::{PeerMessage, ProcessInstant, RelayedCall, RelayedResponse};
pub use router::{ControlToRouter, RouterToControl, ROUTER_HEARTBEAT_MS};
pub use servers::{HeartbeatAge, ServerRecord, ServerState};
pub use tenants::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage};

/// Version of all messages of this package. Processes of different versions reject each other with
/// an error that names both.
pub const PROTOCOL_VERSION: u16 = 1;

/// All that control machines and routers exchange but for [`TenantMessage`] and [`BacklogReport`].
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
