//! Messages between a router and a control machine.

use crate::{ConfigurationPosition, ServerRecord};
use rkyv::{Archive, Deserialize, Serialize};

/// How often a control machine sends [`ControlToRouter::Heartbeat`] (milliseconds).
pub const ROUTER_HEARTBEAT_MS: u64 = 250;

/// From a router to a control machine.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum RouterToControl {
    /// First message on a connection.
    Hello {
        /// [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION) of the router.
        protocol_version: u16,
        /// `nodeName` of its settings.
        node_name: String,
        /// Its zone.
        zone: String,
        /// A random number that identifies the process for its lifetime.
        process: u64,
        /// The configuration that it has applied.
        configuration: Option<ConfigurationPosition>,
    },
    /// All pushes up to this number have been applied.
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
    /// Sent every [`ROUTER_HEARTBEAT_MS`], and at once when contact changes.
    Heartbeat {
        /// Whether this control machine is in contact with a confirmed primary.
        in_contact: bool,
        /// Internal addresses of the control machines that can be connected to.
        control_addresses: Vec<String>,
        /// Routers that are members now, the receiver included.
        router_count: u32,
    },
    /// A committed configuration.
    Configuration {
        /// Number of this push.
        push: u64,
        /// Its position.
        position: ConfigurationPosition,
        /// The complete document, JSON.
        document: Vec<u8>,
    },
    /// What is known of some servers; all others are unchanged.
    Servers {
        /// Number of this push.
        push: u64,
        /// Records to merge.
        records: Vec<ServerRecord>,
        /// Whether the first table of the connection is complete with this push.
        is_complete: bool,
    },
}
