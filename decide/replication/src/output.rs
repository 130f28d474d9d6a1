//! What a replica asks its caller to do, and the events that it reports for the log.

use crate::durable::DurableItem;
use crate::message::Message;
use crate::state::StateError;
use crate::types::{Epoch, Member, Position, RequestId, WriteId};

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// `ip:port` of the receiver.
        to: String,
        /// The message.
        message: Message,
    },
    /// Write and sync an item after all before it, then call [`crate::Replica::on_persisted`].
    Persist {
        /// Id to call back with.
        write_id: WriteId,
        /// The item.
        item: DurableItem,
    },
    /// A request has ended.
    Completed {
        /// The request.
        request: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// [`crate::Replica::committed`] has risen to this position.
    Committed(Position),
    /// An event for the log.
    Notice(Notice),
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is committed, at this position.
    Committed(Position),
    /// A quorum has confirmed this primary in a round that began after the call; the committed state
    /// is at this position.
    Confirmed(Position),
    /// Nothing was done, and nothing ever will be.
    NotPrimary,
    /// The change doesn't fit the state; nothing was done, and nothing ever will be.
    Rejected(StateError),
    /// The change may be committed by another primary, or never.
    Unknown,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// This member has become primary.
    BecamePrimary {
        /// Its epoch.
        epoch: Epoch,
        /// Position of the state that it adopted.
        adopted: Position,
        /// Number of votes, its own included.
        grants: usize,
    },
    /// This member is no longer primary.
    SteppedDown {
        /// Its epoch.
        epoch: Epoch,
        /// The reason.
        reason: StepDownReason,
    },
    /// This member requests votes.
    ElectionStarted {
        /// Its epoch.
        epoch: Epoch,
        /// Time since the last message of a primary, in microseconds.
        last_contact_age_us: u64,
        /// Whether the primary has asked this member to take over.
        is_leadership_transfer: bool,
    },
    /// The first heartbeat of another primary was received.
    PrimaryObserved {
        /// Its epoch.
        epoch: Epoch,
        /// The primary.
        primary: Member,
    },
    /// The primary has asked another voter to take over.
    LeadershipTransferStarted {
        /// The other voter.
        to: Member,
        /// The reason.
        reason: LeadershipTransferReason,
    },
    /// The primary has written a joint membership.
    MembershipChange {
        /// Position of its record.
        position: Position,
        /// The change.
        change: MembershipChange,
    },
    /// A change of membership is finished.
    MembershipChanged {
        /// Position of the final record.
        position: Position,
        /// Number of voters now.
        voters: usize,
    },
    /// A voter that is unresponsive or leaves is not removed, as the others would bear too few
    /// losses.
    RemovalRejected {
        /// The voter.
        voter: Member,
        /// Number of voters that would remain.
        remaining: usize,
        /// Further losses that the membership tolerates now.
        tolerated_losses: i64,
        /// Further losses that it would tolerate without the voter.
        tolerated_losses_without: i64,
    },
    /// The newest membership that was seen does not name this member.
    Excluded {
        /// Position of the state with that membership.
        position: Position,
    },
    /// A snapshot was received from a peer, whole.
    SnapshotReceived {
        /// Its position.
        position: Position,
        /// Its size in bytes.
        bytes: usize,
    },
    /// Chunks that don't come to a snapshot, or a record that doesn't fit the state.
    SnapshotRejected {
        /// Its position.
        position: Position,
        /// The error.
        reason: String,
    },
    /// A write has not been synced for longer than [`crate::Settings::disk_stall_timeout_us`].
    DiskStalled {
        /// Age of the oldest write that is not synced, in microseconds.
        pending_for_us: u64,
    },
    /// A write failed; a snapshot is written next.
    DiskFailed,
}

/// Why a primary stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepDownReason {
    /// It learned of a higher epoch.
    HigherEpoch(Epoch),
    /// No quorum has confirmed it for so long, in microseconds.
    NoContact(u64),
    /// The membership no longer names it.
    Excluded,
}

/// Why a primary asks another voter to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeadershipTransferReason {
    /// It leaves.
    Leaving,
    /// Its disk has not synced for so long, in microseconds.
    DiskStalled(u64),
}

/// A change of the membership, with the figures that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// A learner replaces the voter at its address, whose disk was wiped.
    ReplaceWiped {
        /// The voter that is removed.
        old: Member,
        /// The learner that becomes a voter.
        new: Member,
    },
    /// A learner replaces a voter that is unresponsive or leaves.
    ReplaceUnresponsive {
        /// The voter that is removed.
        old: Member,
        /// The learner that becomes a voter.
        new: Member,
        /// Time since the last contact with the old voter, in microseconds.
        last_contact_age_us: u64,
    },
    /// Learners become voters beside the others.
    Add {
        /// The learners.
        new: Vec<Member>,
    },
    /// A voter has been unresponsive for too long.
    RemoveUnresponsive {
        /// The voter that is removed.
        old: Member,
        /// Time since the last contact with it, in microseconds.
        last_contact_age_us: u64,
    },
    /// A voter that asked to leave.
    RemoveLeaving {
        /// The voter that is removed.
        old: Member,
    },
    /// A voter has another address than before.
    ChangeAddress {
        /// The voter with its present address.
        new: Member,
    },
}
