//! Updates about servers that await acknowledgements from other control machines, and
//! acknowledgements that this machine owes to others.

use super::clock::after;
use super::server_cache::WriteNumber;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an update with enough acknowledgements waits for those of the remaining machines.
const ALL_ACKS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an update without the required acknowledgements is rejected. The server then
/// turns to the next control machine.
const REQUIRED_ACKS_TIMEOUT: Duration = Duration::from_millis(400);

/// The final result of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicationOutcome {
    /// Enough machines have the update.
    Replicated,
    /// Too few machines have the update, and it is not waited for any longer.
    NotReplicated,
}

/// The machines that receive an update, and the acknowledgements that it requires.
///
/// Together with this machine, the required voters are a majority. After a partition, any part of
/// the group that continues therefore contains a voter that has the update.
pub(super) struct ReplicationTargets {
    /// All machines that receive the update.
    pub(super) notified: BTreeSet<SocketAddr>,
    /// The machines whose acknowledgements count.
    pub(super) counted: BTreeSet<SocketAddr>,
    /// Number of `counted` machines that have to acknowledge the update.
    pub(super) required: usize,
}

impl ReplicationTargets {
    /// Requires one acknowledgement from any of the notified machines, or none if there are none.
    pub(super) fn any_of(notified: BTreeSet<SocketAddr>) -> ReplicationTargets {
        ReplicationTargets {
            counted: notified.clone(),
            required: notified.len().min(1),
            notified,
        }
    }
}

/// An update that was sent to other machines and whose outcome is not known yet.
pub(super) struct PendingUpdate {
    /// Number of the update, which acknowledgements repeat.
    pub(super) ack: u64,
    /// Instances whose requests caused the update.
    pub(super) instances: Vec<String>,
    /// Callers that are answered once the outcome is known.
    pub(super) callers: Vec<ConnId>,
    /// Connected machines that were notified and have not acknowledged the update.
    unacknowledged: BTreeSet<SocketAddr>,
    /// Machines whose acknowledgement counts.
    counted: BTreeSet<SocketAddr>,
    /// Number of required acknowledgements that have not arrived.
    missing_acks: usize,
    /// The write that makes the update durable on this machine; `None` if none is needed or it has
    /// completed.
    write: Option<WriteNumber>,
    started_at: Time,
}

impl PendingUpdate {
    /// Creates the state of an update that is sent at `now`.
    pub(super) fn new(
        ack: u64,
        callers: Vec<(ConnId, String)>,
        targets: ReplicationTargets,
        write: Option<WriteNumber>,
        now: Time,
    ) -> PendingUpdate {
        let (callers, instances) = callers.into_iter().unzip();
        PendingUpdate {
            ack,
            instances,
            callers,
            unacknowledged: targets.notified,
            counted: targets.counted,
            missing_acks: targets.required,
            write,
            started_at: now,
        }
    }

    /// Records an acknowledgement. It counts only if the machine was notified, is in contact and is
    /// one of the counted machines.
    pub(super) fn on_ack(&mut self, from: SocketAddr, in_contact: bool) {
        let counts =
            self.unacknowledged.remove(&from) && in_contact && self.counted.contains(&from);
        self.missing_acks = self.missing_acks.saturating_sub(usize::from(counts));
    }

    /// Stops waiting for a machine that is disconnected.
    pub(super) fn on_peer_disconnected(&mut self, address: SocketAddr) {
        self.unacknowledged.remove(&address);
    }

    /// Records that all writes up to this number have succeeded. `None` if this machine has no
    /// disk.
    pub(super) fn on_written(&mut self, written: Option<WriteNumber>) {
        self.write = self.write.filter(|required| written < Some(*required));
    }

    /// Returns the outcome, or `None` while it is not known.
    pub(super) fn outcome(&self, now: Time) -> Option<ReplicationOutcome> {
        let has_waited = |timeout| after(self.started_at, timeout) <= now;
        match self.is_replicated() {
            true => (self.unacknowledged.is_empty() || has_waited(ALL_ACKS_TIMEOUT))
                .then_some(ReplicationOutcome::Replicated),
            false => (self.cannot_succeed() || has_waited(REQUIRED_ACKS_TIMEOUT))
                .then_some(ReplicationOutcome::NotReplicated),
        }
    }

    /// Returns the latest time at which the outcome is known.
    pub(super) fn next_wake(&self) -> Time {
        let timeout = match self.is_replicated() {
            true => ALL_ACKS_TIMEOUT,
            false => REQUIRED_ACKS_TIMEOUT,
        };
        after(self.started_at, timeout)
    }

    /// Whether enough other machines have the update, and this machine has it on disk if needed.
    fn is_replicated(&self) -> bool {
        self.missing_acks == 0 && self.write.is_none()
    }

    /// Whether too few machines remain that could still acknowledge the update.
    fn cannot_succeed(&self) -> bool {
        self.unacknowledged.intersection(&self.counted).count() < self.missing_acks
    }
}

/// An acknowledgement that this machine owes to another machine for its update.
pub(super) struct PendingAck {
    to: ConnId,
    ack: u64,
    /// The write that makes the update durable on this machine, if it needs one.
    write: Option<WriteNumber>,
    received_at: Time,
}

impl PendingAck {
    /// Creates an acknowledgement that was requested at `now` on a connection.
    pub(super) fn new(to: ConnId, ack: u64, write: Option<WriteNumber>, now: Time) -> PendingAck {
        PendingAck {
            to,
            ack,
            write,
            received_at: now,
        }
    }

    /// Whether the write that the acknowledgement waits for has succeeded, if it needs one.
    pub(super) fn is_due(&self, written: Option<WriteNumber>) -> bool {
        self.write.is_none_or(|required| Some(required) <= written)
    }

    /// Whether the requesting machine has stopped waiting for the acknowledgement.
    pub(super) fn has_expired(&self, now: Time) -> bool {
        after(self.received_at, REQUIRED_ACKS_TIMEOUT) <= now
    }

    /// Returns the connection, and the number of the update to acknowledge on it.
    pub(super) fn into_connection_and_ack(self) -> (ConnId, u64) {
        (self.to, self.ack)
    }
}
