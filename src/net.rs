//! What the broker calls its connections, timers and signals; the sockets themselves are the
//! package `wire/net`.

use crate::decide::descriptors::ConnectionKind;
pub use lichenswitch_net::{
    buffer, system_limit, wheel, Clock, ConnId, ConnectError, Program, TransferProgress,
};

/// The broker, as the owner of sockets.
pub struct Broker;

/// Its sockets.
pub type Net = lichenswitch_net::Net<Broker>;
/// One of its connections.
pub type Conn = lichenswitch_net::Conn<Owner>;
/// What is ready of them.
pub type Ready = lichenswitch_net::Ready<Owner, Signal>;

impl Program for Broker {
    type Owner = Owner;
    type Timer = Timer;
    type Signal = Signal;

    fn side(owner: Owner) -> ConnectionKind {
        match owner {
            Owner::Platform | Owner::Ogc | Owner::Operators => ConnectionKind::Clients,
            Owner::Frames | Owner::Features => ConnectionKind::Nodes,
            Owner::Discovery => ConnectionKind::Discovery,
            Owner::InboundPeer => ConnectionKind::InboundPeers,
            Owner::OutboundPeer => ConnectionKind::OutboundPeers,
        }
    }
}

/// Who a connection or listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Clients of the platform's protocol.
    Platform,
    /// Clients of the OGC front.
    Ogc,
    /// Data nodes that speak frames.
    Frames,
    /// Data nodes that speak OGC API Features.
    Features,
    /// Discovery.
    Discovery,
    /// Other brokers that have connected, where brokers talk.
    InboundPeer,
    /// Other brokers that were connected to.
    OutboundPeer,
    /// Operators, in a net of their own.
    Operators,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// An attempt's time is over.
    Attempt(Owner, u64),
    /// A connection should be up, or may have been idle for too long.
    Conn(ConnId),
    /// An answer that has begun on a connection should be whole.
    Answer(ConnId),
    /// Calls to data nodes have waited for a descriptor.
    Parked(Owner),
    /// The connections of clients are to be looked at.
    Clients(Owner),
    /// Discovery should have answered its call of this number.
    Discovery(u64),
}

/// What a signal to the process asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To finish what was taken, and end.
    Stop,
    /// To read the configuration again.
    Reload,
    /// To look at what operators want: it comes from a thread of this process.
    Orders,
}
