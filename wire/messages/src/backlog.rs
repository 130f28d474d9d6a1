//! Backlogs of model servers: reported by routers to control machines, exchanged between these, and
//! distributed to the other routers.
//!
//! A kind of its own beside [`Envelope`](crate::Envelope), whose format it leaves as it was. Control
//! machines send it only once a router has, so that a control machine of an earlier version, which
//! doesn't know it, receives it only where routers were updated first.

use rkyv::{Archive, Deserialize, Serialize};

/// Backlog of one server.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ServerBacklog {
    /// Hash of the server's instance, the same at all routers.
    pub server: u32,
    /// Prompt tokens that were sent to it and whose response has not begun; 0: none any more.
    pub tokens: u32,
}

/// Backlogs that the sender knows of.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct BacklogReport {
    /// Whether the sender knows of no other backlogs; otherwise what it reported of other servers
    /// remains valid.
    pub is_complete: bool,
    /// Servers with their current backlogs.
    pub servers: Vec<ServerBacklog>,
}
