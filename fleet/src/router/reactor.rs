//! The event loop's vocabulary: who owns a socket, what a timer is for, which signals are watched.
//!
//! It lies below everything that opens connections or sets timers, and knows names only (`ids`).

use super::ids::{AttemptId, RequestId};
use lichenswitch_descriptors::ConnectionKind;
use lichenswitch_net::{ConnId, Program};
use std::time::Duration;

/// The role as the event loop knows it: its types of owners, timers and signals.
pub(crate) struct RouterProgram;

/// Whom a connection or listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketOwner {
    /// Clients.
    Client,
    /// The platform, which checks readiness.
    Platform,
    /// Model servers.
    Server,
    /// Control machines.
    Control,
}

/// What a timer is for. A timer that fires too early is set again by its handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// The decision module's timeout for an attempt.
    AttemptTimeout(AttemptId),
    /// A client's connection may have been idle, or stalled, for too long.
    Client(ConnId),
    /// A connection of the platform may have been idle for too long.
    Platform(ConnId),
    /// A connection to a server should be up, or may have been idle for too long.
    Server(ConnId),
    /// An attempt has waited for a connection for the longest time allowed.
    ConnectionWait(AttemptId),
    /// The link to control is to be checked.
    ControlLink,
    /// A request has waited for its tenant's quota for the longest time allowed.
    Quota,
    /// Backlogs are to be reported to control.
    BacklogReport,
    /// The settings file is to be checked for changes.
    SettingsCheck,
    /// The next step of the shutdown is due.
    Shutdown,
}

/// Signals that the loop watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Finish what was received, and end.
    Stop,
    /// Read the settings again.
    Reload,
}

impl Program for RouterProgram {
    type Owner = SocketOwner;
    type Timer = Timer;
    type Signal = Signal;

    /// Detects machines that are partitioned or without power. Not for clients: one that reads slowly
    /// acknowledges nothing either.
    fn user_timeout(owner: SocketOwner) -> Option<Duration> {
        match owner {
            SocketOwner::Server => Some(SERVER_USER_TIMEOUT),
            SocketOwner::Control => Some(CONTROL_USER_TIMEOUT),
            SocketOwner::Client | SocketOwner::Platform => None,
        }
    }

    /// Detects servers that have lost power during a stream, when nothing is sent that could go
    /// unacknowledged. The operating system of a silent server still answers probes.
    fn probe_after(owner: SocketOwner) -> Option<Duration> {
        (owner == SocketOwner::Server).then_some(SERVER_PROBE_INTERVAL)
    }

    fn side(owner: SocketOwner) -> ConnectionKind {
        match owner {
            SocketOwner::Client => ConnectionKind::Clients,
            SocketOwner::Platform => ConnectionKind::InboundPeers,
            SocketOwner::Server => ConnectionKind::Nodes,
            SocketOwner::Control => ConnectionKind::OutboundPeers,
        }
    }
}

/// How long data to a server may go unacknowledged: a healthy server's system acknowledges within
/// milliseconds, as long as its receive buffer has room.
pub(crate) const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a server is probed: clients give a stream up after two seconds of silence at
/// the least, so a fault that is found by then can still be resumed elsewhere.
const SERVER_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long data to a control machine may go unacknowledged: they send four times a second.
const CONTROL_USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sockets of this role.
pub(crate) type Net = lichenswitch_net::Net<RouterProgram>;
