//! What travels on links.

use lichenswitch_messages::{ControlToRouter, PeerMessage, RelayedCall, RouterToControl};

/// Number of a call from outside; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Number of a router's connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// How a call from outside ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// An answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The connection ends without one.
    Closed,
}

/// What travels on links.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Between control machines.
    Peer(PeerMessage),
    /// A call from outside.
    Call(CallId, RelayedCall),
    /// Its end.
    Reply(CallId, Reply),
    /// A router to a control machine; none: it has closed the connection.
    FromRouter(ConnectionId, Option<RouterToControl>),
    /// A control machine to a router; none: it has closed the connection.
    ToRouter(ConnectionId, Option<ControlToRouter>),
}
