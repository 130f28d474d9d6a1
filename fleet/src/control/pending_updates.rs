//! Updates about servers that wait to be acknowledged by other control machines, and updates of
//! others that wait to be acknowledged by this one.

use super::clock::after;
use super::server_cache::WriteNumber;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// After this time the required acknowledgements are enough, whatever other machines are silent.
const ALL_ACKS_TIMEOUT: Duration = Duration::from_millis(100);
/// After this time an update without the required acknowledgements is rejected: the server turns to
/// the next control machine.
const REQUIRED_ACKS_TIMEOUT: Duration = Duration::from_millis(400);

/// What becomes of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicationOutcome {
    /// Enough machines have it.
    Replicated,
    /// Too few machines have it, and no more are expected to.
    NotReplicated,
}

/// The machines that are sent an update, and those of them that have to acknowledge it: as many
/// voters as make a majority with this machine, so that any part of the group that goes on after a
/// partition contains one that has the update.
pub(super) struct ReplicationTargets {
    /// All machines that are connected.
    pub(super) notified: BTreeSet<SocketAddr>,
    /// Those whose acknowledgement counts.
    pub(super) counted: BTreeSet<SocketAddr>,
    /// How many of these have to acknowledge the update.
    pub(super) required: usize,
}

impl ReplicationTargets {
    /// All of these machines, any one of which has to acknowledge, if there are any.
    pub(super) fn any_of(notified: BTreeSet<SocketAddr>) -> ReplicationTargets {
        ReplicationTargets {
            counted: notified.clone(),
            required: notified.len().min(1),
            notified,
        }
    }
}

/// An update that waits to be acknowledged.
pub(super) struct PendingUpdate {
    /// Its number, which acknowledgements repeat.
    pub(super) ack: u64,
    /// Instances that it is about.
    pub(super) instances: Vec<String>,
    /// Callers that get a response once its outcome is known.
    pub(super) callers: Vec<ConnId>,
    /// Machines that were notified and have not acknowledged it.
    unacknowledged: BTreeSet<SocketAddr>,
    /// Machines whose acknowledgement counts.
    counted: BTreeSet<SocketAddr>,
    /// How many of these have yet to acknowledge it.
    missing_acks: usize,
    /// The write that makes it durable on this machine, while it has not completed.
    write: Option<WriteNumber>,
    started_at: Time,
}

impl PendingUpdate {
    /// An update that is sent now.
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

    /// A machine has acknowledged it. This counts only from a notified machine in contact.
    pub(super) fn on_ack(&mut self, from: SocketAddr, in_contact: bool) {
        let counts =
            self.unacknowledged.remove(&from) && in_contact && self.counted.contains(&from);
        self.missing_acks = self.missing_acks.saturating_sub(usize::from(counts));
    }

    /// No acknowledgement will come from that machine.
    pub(super) fn on_peer_disconnected(&mut self, address: SocketAddr) {
        self.unacknowledged.remove(&address);
    }

    /// All writes up to this number have completed; `None`: this machine has no disk.
    pub(super) fn on_written(&mut self, written: Option<WriteNumber>) {
        self.write = self.write.filter(|required| written < Some(*required));
    }

    /// Its outcome; `None` while it is not known.
    pub(super) fn outcome(&self, now: Time) -> Option<ReplicationOutcome> {
        let has_waited = |timeout| after(self.started_at, timeout) <= now;
        match self.is_replicated() {
            true => (self.unacknowledged.is_empty() || has_waited(ALL_ACKS_TIMEOUT))
                .then_some(ReplicationOutcome::Replicated),
            false => (self.cannot_succeed() || has_waited(REQUIRED_ACKS_TIMEOUT))
                .then_some(ReplicationOutcome::NotReplicated),
        }
    }

    /// When its outcome is known at the latest.
    pub(super) fn next_wake(&self) -> Time {
        let timeout = match self.is_replicated() {
            true => ALL_ACKS_TIMEOUT,
            false => REQUIRED_ACKS_TIMEOUT,
        };
        after(self.started_at, timeout)
    }

    /// Whether enough machines have it, this one among them.
    fn is_replicated(&self) -> bool {
        self.missing_acks == 0 && self.write.is_none()
    }

    /// Whether too few machines are left that could acknowledge it.
    fn cannot_succeed(&self) -> bool {
        self.unacknowledged.intersection(&self.counted).count() < self.missing_acks
    }
}

/// An update of another machine that this machine has to acknowledge.
pub(super) struct PendingAck {
    to: ConnId,
    ack: u64,
    /// The write that makes the update durable here, if it needs one.
    write: Option<WriteNumber>,
    received_at: Time,
}

impl PendingAck {
    /// An acknowledgement that is requested now, on this connection.
    pub(super) fn new(to: ConnId, ack: u64, write: Option<WriteNumber>, now: Time) -> PendingAck {
        PendingAck {
            to,
            ack,
            write,
            received_at: now,
        }
    }

    /// Whether the write that it waits for has completed.
    pub(super) fn is_due(&self, written: Option<WriteNumber>) -> bool {
        self.write.is_none_or(|required| Some(required) <= written)
    }

    /// Whether the machine that requested it has given up meanwhile.
    pub(super) fn has_expired(&self, now: Time) -> bool {
        after(self.received_at, REQUIRED_ACKS_TIMEOUT) <= now
    }

    /// The connection, and the number to be acknowledged on it.
    pub(super) fn into_connection_and_ack(self) -> (ConnId, u64) {
        (self.to, self.ack)
    }
}
