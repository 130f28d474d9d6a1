//! What a replica wants done, and what it tells.

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
        /// Number to answer with.
        write_id: WriteId,
        /// The item.
        item: DurableItem,
    },
    /// The end of a request.
    Completed {
        /// Which request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// [`crate::Replica::committed`] has risen to this position.
    Committed(Position),
    /// For the log.
    Notice(Notice),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is committed, at this position.
    Committed(Position),
    /// A quorum has confirmed this primary in a round that began after the call; what is committed
    /// stands here.
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
        /// Where the image stood that it adopted.
        adopted: Position,
        /// Who granted.
        grants: usize,
    },
    /// This member is primary no more.
    SteppedDown {
        /// Its epoch.
        epoch: Epoch,
        /// Why.
        reason: StepDownReason,
    },
    /// This member asks for votes.
    ElectionStarted {
        /// Its epoch.
        epoch: Epoch,
        /// How long no primary was heard, in microseconds.
        silent_for: u64,
        /// The primary asked for it.
        take_over: bool,
    },
    /// Another primary is heard for the first time.
    PrimaryObserved {
        /// Its epoch.
        epoch: Epoch,
        /// Who it is.
        primary: Member,
    },
    /// The primary hands its part on.
    LeadershipTransferStarted {
        /// To whom.
        to: Member,
        /// Why.
        reason: LeadershipTransferReason,
    },
    /// The primary changes the membership.
    MembershipChange {
        /// Where the joint record stands.
        position: Position,
        /// What changes.
        change: MembershipChange,
    },
    /// A change of membership is finished.
    MembershipChanged {
        /// Where the final record stands.
        position: Position,
        /// Voters now.
        voters: usize,
    },
    /// A voter that is silent or leaves is not removed.
    RemovalRejected {
        /// Which voter.
        voter: Member,
        /// Voters that would remain.
        remaining: usize,
        /// Further losses that are borne now.
        bears: i64,
        /// Further losses that would be borne without it.
        would_bear: i64,
    },
    /// The newest membership that was seen does not name this member.
    Excluded {
        /// Where the image with that membership stands.
        position: Position,
    },
    /// A whole image was taken from a peer.
    SnapshotReceived {
        /// Where it stands.
        position: Position,
        /// Its bytes.
        bytes: usize,
    },
    /// Chunks that don't come to a whole image.
    SnapshotRejected {
        /// Where it should stand.
        position: Position,
        /// Why.
        reason: String,
    },
    /// A write has not been synced for longer than [`crate::Settings::disk_stall`].
    DiskStalled {
        /// Microseconds so far.
        outstanding_for: u64,
    },
    /// A write failed; the whole image is written next.
    DiskFailed,
}

/// Why a primary stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepDownReason {
    /// A higher epoch was told.
    HigherEpoch(Epoch),
    /// No quorum confirmed it for so long, in microseconds.
    NoContact(u64),
    /// The membership no longer names it.
    Excluded,
}

/// Why a primary hands its part on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeadershipTransferReason {
    /// It leaves.
    Leaving,
    /// Its disk has not synced for so long, in microseconds.
    DiskStalled(u64),
}

/// What changes in a membership, with the figures that led to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// A newcomer takes the place of a voter whose disk was wiped.
    ReplaceWiped {
        /// Who goes.
        old: Member,
        /// Who comes.
        new: Member,
    },
    /// A newcomer takes the place of a voter that is silent or leaves.
    ReplaceSilent {
        /// Who goes.
        old: Member,
        /// Who comes.
        new: Member,
        /// For how long the old one was silent, in microseconds.
        silent_for: u64,
    },
    /// Newcomers beside the voters.
    Add {
        /// Who comes.
        new: Vec<Member>,
    },
    /// A voter is silent too long.
    RemoveSilent {
        /// Who goes.
        old: Member,
        /// For how long it was silent, in microseconds.
        silent_for: u64,
    },
    /// A voter that asked to leave.
    RemoveLeaver {
        /// Who goes.
        old: Member,
    },
    /// A voter has another address than before.
    Move {
        /// Where it is now.
        new: Member,
    },
}
