//! The event loop's vocabulary: who owns a socket, what a timer is for, which signals are watched.
//!
//! It lies below everything that opens connections or sets timers, and knows names only (`ids`).

use super::ids::{AttemptId, RequestId};
use lichenswitch_descriptors::Side;
use lichenswitch_net::{ConnId, Program};
use std::time::Duration;

/// The role, to the loop of sockets.
pub(crate) struct RouterProgram;

/// Who a connection or listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketOwner {
    /// Clients.
    Client,
    /// The platform, which asks whether this router is ready.
    Platform,
    /// Model servers.
    Server,
    /// Control machines.
    Control,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The time of a request is over.
    RequestDeadline(RequestId),
    /// The time that the module gave an attempt is over.
    AttemptTimeout(AttemptId),
    /// A client's connection may have been idle, or slow, for too long.
    Client(ConnId),
    /// A connection of the platform may have been idle for too long.
    Platform(ConnId),
    /// A connection to a server should be up, or may have been idle for too long.
    Server(ConnId),
    /// An attempt has waited for a connection.
    ConnectionWait(AttemptId),
    /// The link to a control machine is to be looked at.
    ControlLink,
    /// A request has waited for its tenant's quota.
    Quota,
    /// Control is to be told what waits at servers.
    BacklogReport,
    /// The settings file is to be looked at.
    SettingsCheck,
    /// The next step of the shutdown is due.
    Shutdown,
}

/// What has come to the process beside bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// To finish what was taken, and end.
    Stop,
    /// To read the settings again.
    Reload,
}

impl Program for RouterProgram {
    type Owner = SocketOwner;
    type Timer = Timer;
    type Signal = Signal;

    /// Guards what waits for machines that are cut off or without power. Not for clients: one that
    /// reads slowly sends no sign either.
    fn user_timeout(owner: SocketOwner) -> Option<Duration> {
        match owner {
            SocketOwner::Server => Some(SERVER_USER_TIMEOUT),
            SocketOwner::Control => Some(CONTROL_USER_TIMEOUT),
            SocketOwner::Client | SocketOwner::Platform => None,
        }
    }

    /// Guards streams whose server has lost power: nothing is being sent there that could go
    /// unacknowledged. A server that is only silent has a system that answers.
    fn probe_after(owner: SocketOwner) -> Option<Duration> {
        (owner == SocketOwner::Server).then_some(SERVER_PROBE)
    }

    fn side(owner: SocketOwner) -> Side {
        match owner {
            SocketOwner::Client => Side::Clients,
            SocketOwner::Platform => Side::PeersIn,
            SocketOwner::Server => Side::Nodes,
            SocketOwner::Control => Side::PeersOut,
        }
    }
}

/// A server that is well acknowledges within milliseconds, as long as its system has room for what
/// it has not read.
pub(crate) const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Clients give a stream up after two seconds of silence at the least: what is found by then can
/// still go on elsewhere.
pub(crate) const SERVER_PROBE: Duration = Duration::from_millis(1_000);

/// Control machines speak four times a second.
pub(crate) const CONTROL_USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sockets of this role.
pub(crate) type Net = lichenswitch_net::Net<RouterProgram>;
