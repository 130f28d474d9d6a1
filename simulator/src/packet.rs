//! The messages between hosts: calls, their replies, and the messages of own processes.

use lichenswitch_messages::{ControlToRouter, PeerMessage, RelayedCall, RouterToControl};

/// Number of a call from outside; never reused in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Number of a router's connection; never reused in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The outcome of a call from outside, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A response.
    Response {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The connection closes without a response.
    Closed,
}

/// A message on a link.
#[derive(Clone, Debug)]
pub enum Packet {
    /// From one control machine to another.
    Peer(PeerMessage),
    /// A call from outside.
    Call(CallId, RelayedCall),
    /// The outcome of a call.
    Reply(CallId, Reply),
    /// From a router to a control machine; `None`: it has closed the connection.
    FromRouter(ConnectionId, Option<RouterToControl>),
    /// From a control machine to a router; `None`: it has closed the connection.
    ToRouter(ConnectionId, Option<ControlToRouter>),
}
