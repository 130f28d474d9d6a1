//! Actions that a replica requests from its caller, and the events that it reports for the log.

use crate::durable::DurableItem;
use crate::message::Message;
use crate::state::StateError;
use crate::types::{Epoch, Member, Position, RequestId, WriteId};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message. The network may lose it.
    Send {
        /// Address of the receiver, as `ip:port`.
        to: String,
        /// The message to encode and send.
        message: Message,
    },
    /// Write and sync an item after all earlier items, then call [`crate::Replica::on_persisted`].
    Persist {
        /// Id to pass to `on_persisted` or `on_persist_failed`.
        write_id: WriteId,
        /// The item to append to the disk.
        item: DurableItem,
    },
    /// A call to `propose` or `confirm` has finished.
    Completed {
        /// The id that the call returned.
        request: RequestId,
        /// The result that the caller may act on.
        outcome: Outcome,
    },
    /// [`crate::Replica::committed`] has advanced to this position.
    Committed(Position),
    /// An event for the caller to log.
    Notice(Notice),
}

/// The result of a call to `propose` or `confirm`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is committed, at this position.
    Committed(Position),
    /// A quorum has confirmed this primary in a round that began after the call. The committed
    /// state is at this position.
    Confirmed(Position),
    /// This member is not the primary. The request has had no effect and never will.
    NotPrimary,
    /// The state machine rejected the change. The request has had no effect and never will.
    Rejected(StateError),
    /// The primary stepped down with the change in flight. Another primary may still commit it.
    Unknown,
}

/// An event for the caller to log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This member won an election and became primary.
    BecamePrimary {
        /// The epoch that it was elected for.
        epoch: Epoch,
        /// Position of the newest state among its voters, which it adopted.
        adopted: Position,
        /// Number of granted votes, its own included.
        grants: usize,
    },
    /// This member was primary and gave up the role.
    SteppedDown {
        /// The epoch that it was primary in.
        epoch: Epoch,
        /// The condition that ended its leadership.
        reason: StepDownReason,
    },
    /// This member chose a new epoch and requests votes for it.
    ElectionStarted {
        /// The epoch that it chose.
        epoch: Epoch,
        /// Time since the last heartbeat of the last known primary, in microseconds; 0 if none was
        /// known.
        last_contact_age_us: u64,
        /// Whether the election was requested by the primary.
        is_leadership_transfer: bool,
    },
    /// This member received the first heartbeat of another primary.
    PrimaryObserved {
        /// The epoch of that primary.
        epoch: Epoch,
        /// The sender of the heartbeat.
        primary: Member,
    },
    /// This primary asked another voter to take over.
    LeadershipTransferStarted {
        /// The voter that was asked.
        to: Member,
        /// The condition that caused the transfer.
        reason: LeadershipTransferReason,
    },
    /// This primary has written the record of a joint membership.
    MembershipChange {
        /// Position of that record.
        position: Position,
        /// The voters that the change adds and removes.
        change: MembershipChange,
    },
    /// A change of membership is committed.
    MembershipChanged {
        /// Position of the record that ends the change.
        position: Position,
        /// Number of voters after the change.
        voters: usize,
    },
    /// A voter that is unresponsive or leaving stays in the membership, because the others would
    /// tolerate too few losses without it.
    RemovalRejected {
        /// The voter that stays.
        voter: Member,
        /// Number of voters that would remain.
        remaining: usize,
        /// Further losses that the membership tolerates now.
        tolerated_losses: i64,
        /// Further losses that it would tolerate without the voter.
        tolerated_losses_without: i64,
    },
    /// The newest membership that this member has seen does not include it.
    Excluded {
        /// Position of the state that has this membership.
        position: Position,
    },
    /// A complete snapshot was received from a peer.
    SnapshotReceived {
        /// Position of the state in the snapshot.
        position: Position,
        /// Size of the encoded snapshot in bytes.
        bytes: usize,
    },
    /// The received chunks do not form a valid snapshot, or a record could not be applied to the
    /// state.
    SnapshotRejected {
        /// Position of the snapshot or record.
        position: Position,
        /// Text of the decoding or state error.
        reason: String,
    },
    /// A write has waited for its sync for [`crate::Settings::disk_stall_timeout_us`] or longer.
    DiskStalled {
        /// Age of the oldest unsynced write, in microseconds.
        pending_for_us: u64,
    },
    /// A write or sync failed. The next write is a snapshot.
    DiskFailed,
}

/// The reason why a primary stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepDownReason {
    /// Another member has promised or started this higher epoch.
    HigherEpoch(Epoch),
    /// No quorum has confirmed the primary for this time, in microseconds.
    NoContact(u64),
    /// The membership no longer includes the primary.
    Excluded,
}

/// The reason why a primary asks another voter to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeadershipTransferReason {
    /// The primary was asked to leave the group.
    Leaving,
    /// The oldest write of the primary has waited for its sync for this time, in microseconds.
    DiskStalled(u64),
}

/// A change of the membership, with the measurement that caused it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// A learner replaces the voter at the same address, whose disk was wiped.
    ReplaceWiped {
        /// The voter that is removed.
        old: Member,
        /// The learner that becomes a voter.
        new: Member,
    },
    /// A learner replaces a voter that is unresponsive or leaving.
    ReplaceUnresponsive {
        /// The voter that is removed.
        old: Member,
        /// The learner that becomes a voter.
        new: Member,
        /// Time since the last message of the removed voter, in microseconds.
        last_contact_age_us: u64,
    },
    /// Learners become voters, and no voter is removed.
    Add {
        /// The learners that become voters.
        new: Vec<Member>,
    },
    /// A voter without contact is removed and not replaced.
    RemoveUnresponsive {
        /// The voter that is removed.
        old: Member,
        /// Time since the last message of that voter, in microseconds.
        last_contact_age_us: u64,
    },
    /// A voter that asked to leave is removed.
    RemoveLeaving {
        /// The voter that is removed.
        old: Member,
    },
    /// A voter is reached at a new address, which the membership now records.
    ChangeAddress {
        /// The voter with its new address.
        new: Member,
    },
}
