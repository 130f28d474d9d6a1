//! What this role calls its connections, timers and signals.

use super::ids::{AttemptId, ExchangeId};
use lichenswitch_descriptors::Side;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::{ConnId, Program};
use std::time::Duration;

/// The role, to the loop of sockets.
pub(super) struct Router;

/// Who a connection or listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
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
pub(super) enum Timer {
    /// The time of a request is over.
    Exchange(ExchangeId),
    /// The time that the module gave an attempt is over.
    Attempt(AttemptId),
    /// A client's connection may have been idle, or slow, for too long.
    Client(ConnId),
    /// A connection of the platform may have been idle for too long.
    Platform(ConnId),
    /// A connection to a server should be up, or may have been idle for too long.
    Server(ConnId),
    /// An attempt has waited for a connection.
    Waiting(AttemptId),
    /// The link to a control machine is to be looked at.
    Control,
    /// A request has waited for its tenant's quota.
    Quota,
    /// Control is to be told what waits at servers.
    Backlog,
    /// The settings file is to be looked at.
    Settings,
    /// The next step of the shutdown is due.
    Shutdown,
}

/// What has come to the process beside bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Signal {
    /// To finish what was taken, and end.
    Stop,
    /// To read the settings again.
    Reload,
}

impl Program for Router {
    type Owner = Owner;
    type Timer = Timer;
    type Signal = Signal;

    /// Guards what waits for machines that are cut off or without power. Not for clients: one that
    /// reads slowly sends no sign either.
    fn user_timeout(owner: Owner) -> Option<Duration> {
        match owner {
            Owner::Server => Some(SERVER_USER_TIMEOUT),
            Owner::Control => Some(CONTROL_USER_TIMEOUT),
            Owner::Client | Owner::Platform => None,
        }
    }

    /// Guards streams whose server has lost power: nothing is being sent there that could go
    /// unacknowledged. A server that is only silent has a system that answers.
    fn probe_after(owner: Owner) -> Option<Duration> {
        (owner == Owner::Server).then_some(SERVER_PROBE)
    }

    fn side(owner: Owner) -> Side {
        match owner {
            Owner::Client => Side::Clients,
            Owner::Platform => Side::PeersIn,
            Owner::Server => Side::Nodes,
            Owner::Control => Side::PeersOut,
        }
    }
}

/// A server that is well acknowledges within milliseconds, as long as its system has room for what
/// it has not read.
pub(super) const SERVER_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Clients give a stream up after two seconds of silence at the least: what is found by then can
/// still go on elsewhere.
const SERVER_PROBE: Duration = Duration::from_millis(1_000);
/// Control machines speak four times a second.
const CONTROL_USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sockets of this role.
pub(super) type Net = lichenswitch_net::Net<Router>;

/// A duration on the clock of the loop.
#[must_use]
pub(super) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// A point so much later.
#[must_use]
pub(super) fn after(time: Time, wait: Duration) -> Time {
    time.plus(micros(wait))
}
