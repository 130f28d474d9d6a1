//! What this role calls its connections, timers and signals.

use lichenswitch_descriptors::Side;
use lichenswitch_interface::Time;
use std::time::Duration;

/// A process of the fleet that has not confirmed what was sent for so long is cut off, or gone.
const GONE_AFTER: Duration = Duration::from_secs(2);

/// The role, to the loop of sockets.
pub(super) struct Control;

/// Who a connection or listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// Servers and operators.
    Caller,
    /// Control machines and routers that have connected.
    Accepted,
    /// Control machines that were connected to.
    Dialled,
}

/// What has come to the process beside bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Signal {
    /// To finish what was taken, and end.
    Stop,
    /// To read the settings again.
    Reload,
    /// The writer of the disk has finished something.
    Written,
    /// The writer of the table of servers has finished something.
    TableWritten,
}

impl lichenswitch_net::Program for Control {
    type Owner = Owner;
    // Every wait of this role follows from its state, so the wheel carries nothing.
    type Timer = ();
    type Signal = Signal;

    fn side(owner: Owner) -> Side {
        match owner {
            Owner::Caller => Side::Clients,
            Owner::Accepted => Side::PeersIn,
            Owner::Dialled => Side::PeersOut,
        }
    }

    fn user_timeout(owner: Owner) -> Option<Duration> {
        match owner {
            Owner::Caller => None,
            Owner::Accepted | Owner::Dialled => Some(GONE_AFTER),
        }
    }
}

/// Sockets of this role.
pub(super) type Net = lichenswitch_net::Net<Control>;

/// A point so much later.
pub(super) fn after(time: Time, wait: Duration) -> Time {
    time.plus(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX))
}

/// How long ago a point was.
pub(super) fn elapsed(since: Time, now: Time) -> Duration {
    Duration::from_micros(now.since(since))
}

/// The earlier of two waits.
pub(super) fn sooner(one: Option<Time>, other: Option<Time>) -> Option<Time> {
    [one, other].into_iter().flatten().min()
}
