//! Work that waits at model servers: from routers to control machines, among these, and back to
//! routers.
//!
//! A kind of its own beside [`Envelope`](crate::Envelope), which stays as it was. Control machines
//! send it only once a router has, so that control machines of an earlier version, which don't know
//! it, meet it only where routers were updated before them.

use rkyv::{Archive, Deserialize, Serialize};

/// Work that waits at one server.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ServerBacklog {
    /// The server, by the hash that all routers name it by.
    pub server: u32,
    /// Tokens of prompts that were sent there and have not begun to be answered.
    pub tokens: u32,
}

/// What the sender knows to wait at servers.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct BacklogReport {
    /// Whether this is all that the sender knows; else what it said of other servers stands.
    pub is_complete: bool,
    /// Servers with what waits there now; 0: nothing any more.
    pub servers: Vec<ServerBacklog>,
}
