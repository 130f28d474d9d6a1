//! Messages between members. Each names its sender, and an answer the epoch and round it belongs
//! to, so that one that is late, repeated or meant for another never counts.

use rkyv::{Archive, Deserialize, Serialize};

use crate::codec::{self, DecodeError};
use crate::durable::Record;
use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// Most bytes of an image in one message.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// A message from one member to another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Message {
    /// Who sent it, and where answers go.
    pub from: Member,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Body {
    /// Would you grant me this epoch? Changes nothing at the receiver.
    PreVote {
        /// The epoch that would be drawn.
        epoch: Epoch,
    },
    /// Answer to [`Body::PreVote`].
    PreVoteResponse {
        /// As asked.
        epoch: Epoch,
        /// Whether it would be granted.
        supported: bool,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
        /// What the sender holds.
        held: ReplicaVersion,
    },
    /// Grant me this epoch.
    Vote {
        /// The candidate's epoch.
        epoch: Epoch,
        /// The primary handed its part on: it may be heard still.
        take_over: bool,
    },
    /// The sender has promised the epoch, on disk.
    VoteGranted {
        /// As asked.
        epoch: Epoch,
        /// What the sender held when it promised.
        held: ReplicaVersion,
    },
    /// The sender has promised a higher epoch.
    VoteRejected {
        /// The epoch that is refused.
        epoch: Epoch,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
    },
    /// A heartbeat of the primary, with records if the receiver lacks some.
    Append(Append),
    /// Answer to [`Body::Append`], and sent again when a record has been synced.
    AppendResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Highest round heard in that epoch: the sender confirms the epoch for it.
        round: u64,
        /// Where the image on the sender's disk stands, synced.
        synced: Option<Position>,
        /// The sender's disk takes writes.
        writable: bool,
        /// The sender has asked to leave.
        leaving: bool,
        /// When it was sent.
        stamp: ProcessInstant,
    },
    /// Send me an image, from this chunk on.
    SnapshotRequest {
        /// Epoch under which it is asked for.
        epoch: Epoch,
        /// Which image; the newest if none.
        position: Option<Position>,
        /// Number of the first chunk that is wanted.
        next: u32,
    },
    /// A piece of an image.
    SnapshotChunk(SnapshotChunk),
    /// I am no member and want to be one.
    JoinRequest,
    /// Answer to [`Body::JoinRequest`]: where to knock.
    JoinResponse {
        /// The primary that the sender knows.
        primary: Option<Member>,
        /// The members that the sender knows.
        members: Vec<Member>,
    },
    /// I want to be a member no more.
    LeaveRequest,
    /// Answer to [`Body::LeaveRequest`] of the primary.
    LeaveResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// The committed membership doesn't name the receiver.
        removed: bool,
        /// It stays a member, as the rest would bear too little; it may go.
        stays: bool,
    },
    /// Primary to a voter: become primary now.
    TakeOver {
        /// Epoch of the primary.
        epoch: Epoch,
    },
}

/// Which image a member holds, and the membership in it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ReplicaVersion {
    /// Where the image stands.
    pub position: Position,
    /// The membership in it.
    pub membership: Membership,
}

/// A moment in the life of a process; it means something to that process alone.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ProcessInstant {
    /// Drawn at the start of the process.
    pub process: u64,
    /// Its steady clock (microseconds).
    pub clock: u64,
}

/// A heartbeat of the primary, with records if the receiver lacks some.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Append {
    /// Whom it is for. A new disk at the address of an old one is not meant.
    pub to: Identity,
    /// Epoch of the primary.
    pub epoch: Epoch,
    /// Number of the round that it asks to confirm.
    pub round: u64,
    /// Of the receiver's last answer that came. What is told here was true after that was sent,
    /// however late this is read.
    pub echo: Option<ProcessInstant>,
    /// A quorum has confirmed the primary of late.
    pub in_contact: bool,
    /// Where the primary's image stands.
    pub head: Position,
    /// The last position that is committed; default if none is under this epoch.
    pub committed: Position,
    /// Records, each standing on the one before it.
    pub records: Vec<Record>,
    /// The records that the receiver lacks are no longer kept: it is to ask for the image.
    pub take_image: bool,
}

/// A piece of an image.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct SnapshotChunk {
    /// Epoch under which it was asked for.
    pub epoch: Epoch,
    /// Which image it is of.
    pub position: Position,
    /// Number of the chunk, from 0.
    pub number: u32,
    /// Chunks of the whole.
    pub total: u32,
    /// CRC-32 of the whole.
    pub checksum: u32,
    /// The bytes, at most [`CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

impl Message {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// The message that [`Self::encode`] wrote; checked.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes, "message")
    }
}
