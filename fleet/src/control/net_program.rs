//! The types of this role for the event loop of [`lichenswitch_net`]: owners of connections, and
//! signals.

use lichenswitch_descriptors::ConnectionKind;
use std::time::Duration;

/// TCP user timeout of connections between processes of the fleet. A process that has not
/// acknowledged sent bytes for this time has failed or is unreachable.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// The [`lichenswitch_net::Program`] of the role `control`.
pub(super) struct Control;

/// The kind of a connection or listener, which determines the module that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// HTTP connections of servers and operators.
    Caller,
    /// Connections that control machines and routers have opened to this machine.
    Accepted,
    /// Connections that this machine has opened to other control machines.
    Dialled,
}

/// An event that does not come from a connection or a listener.
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
    // This role uses no timers. Its event loop derives the next wake-up time from its state.
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

/// The sockets of this role.
pub(super) type Net = lichenswitch_net::Net<Control>;
