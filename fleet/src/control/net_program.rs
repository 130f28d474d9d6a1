//! Owners of connections, and signals, as the loop of sockets knows them.

use lichenswitch_descriptors::ConnectionKind;
use std::time::Duration;

/// TCP user timeout: a process of the fleet that has not acknowledged bytes for so long is cut off or
/// has failed.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// The role, as the loop of sockets knows it.
pub(super) struct Control;

/// To whom a connection or listener belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// Servers and operators.
    Caller,
    /// Control machines and routers that have connected.
    Accepted,
    /// Control machines that this machine has dialled.
    Dialled,
}

/// Events of the process other than bytes on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Signal {
    /// The process has to finish pending calls and exit.
    Stop,
    /// The settings have to be read again.
    Reload,
    /// The writer of the group's disk has completed writes.
    Written,
    /// The writer of the table of servers has completed a write.
    TableWritten,
}

impl lichenswitch_net::Program for Control {
    type Owner = Owner;
    // Every wait of this role follows from its state, so the wheel carries nothing.
    type Timer = ();
    type Signal = Signal;

    fn side(owner: Owner) -> ConnectionKind {
        match owner {
            Owner::Caller => ConnectionKind::Clients,
            Owner::Accepted => ConnectionKind::InboundPeers,
            Owner::Dialled => ConnectionKind::OutboundPeers,
        }
    }

    fn user_timeout(owner: Owner) -> Option<Duration> {
        match owner {
            Owner::Caller => None,
            Owner::Accepted | Owner::Dialled => Some(USER_TIMEOUT),
        }
    }
}

/// Sockets of this role.
pub(super) type Net = lichenswitch_net::Net<Control>;
