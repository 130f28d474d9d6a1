//! Messages between members.
//!
//! Each message names its sender, and a response names the epoch and the round that it belongs to,
//! so that one that is late, repeated or meant for another member never counts.

use rkyv::{Archive, Deserialize, Serialize};

use crate::codec::{self, DecodeError};
use crate::durable::Record;
use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// Most bytes of a snapshot in one message.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// A message from one member to another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Message {
    /// The sender; responses go to its address.
    pub from: Member,
    /// The content.
    pub body: Body,
}

/// The content of a message.
///
/// The election is Raft's with its pre-vote, except that a vote is given for an epoch whatever
/// state the candidate has: the candidate then fetches the newest state among its voters, as a new
/// primary of Viewstamped Replication does.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Body {
    /// Asks whether the receiver would vote for this epoch. Changes nothing there.
    PreVote {
        /// The epoch that would be chosen.
        epoch: Epoch,
    },
    /// Response to [`Body::PreVote`].
    PreVoteResponse {
        /// The epoch of the request.
        epoch: Epoch,
        /// Whether the sender would vote for it.
        would_grant: bool,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
        /// The sender's state.
        version: ReplicaVersion,
    },
    /// Asks for the receiver's vote (Raft's `RequestVote`).
    Vote {
        /// The candidate's epoch.
        epoch: Epoch,
        /// The primary has asked the candidate to take over: that a primary is in contact is then
        /// no reason to withhold the vote.
        is_leadership_transfer: bool,
    },
    /// The sender has promised the epoch, on disk.
    VoteGranted {
        /// The epoch of the request.
        epoch: Epoch,
        /// The sender's state when it promised.
        version: ReplicaVersion,
    },
    /// The sender has promised a higher epoch.
    VoteRejected {
        /// The epoch that is rejected.
        epoch: Epoch,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
    },
    /// A heartbeat of the primary, with the records that the receiver lacks.
    Append(Append),
    /// Response to [`Body::Append`]; sent once more when a record has been synced.
    AppendResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Highest round received in that epoch: the sender confirms the epoch for it.
        round: u64,
        /// Position of the state that is synced on the sender's disk.
        synced: Option<Position>,
        /// Whether the sender's disk takes writes.
        is_writable: bool,
        /// Whether the sender has asked to leave.
        is_leaving: bool,
        /// When it was sent, by the sender's clock.
        sent_at: ProcessInstant,
    },
    /// Asks for the chunks of a snapshot.
    SnapshotRequest {
        /// Epoch under which it is requested.
        epoch: Epoch,
        /// Position of the snapshot; the newest if none.
        position: Option<Position>,
        /// Index of the first chunk that is requested.
        next: u32,
    },
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The sender is no voter, and asks to become one.
    JoinRequest,
    /// Response to [`Body::JoinRequest`] of a member that is not primary: where to ask.
    JoinResponse {
        /// The primary that the sender knows.
        primary: Option<Member>,
        /// The members that the sender knows.
        members: Vec<Member>,
    },
    /// The sender asks to be removed.
    LeaveRequest,
    /// Response of the primary to [`Body::LeaveRequest`].
    LeaveResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// The committed membership doesn't name the receiver.
        is_removed: bool,
        /// The receiver stays in the membership, as the others would bear too few losses without
        /// it; its process may end.
        is_retained: bool,
    },
    /// From the primary to a voter: start an election now (Raft's `TimeoutNow`).
    TakeOver {
        /// Epoch of the primary.
        epoch: Epoch,
    },
}

/// Which state a member has accepted.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ReplicaVersion {
    /// Position of the state.
    pub position: Position,
    /// The membership at that position.
    pub membership: Membership,
}

/// A point in time of one process; it means nothing to any other.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ProcessInstant {
    /// A random number that the process chose at its start.
    pub process: u64,
    /// Its monotonic clock (microseconds).
    pub clock: u64,
}

/// A heartbeat of the primary, with the records that the receiver lacks.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Append {
    /// The member that it is for. Another disk at the same address is not meant.
    pub to: Identity,
    /// Epoch of the primary.
    pub epoch: Epoch,
    /// Number of the round that it asks to confirm.
    pub round: u64,
    /// When the receiver sent its last response that arrived. What this message says was true after
    /// that, however late it is received.
    pub last_response_sent_at: Option<ProcessInstant>,
    /// A quorum has confirmed the primary recently.
    pub in_contact: bool,
    /// Position of the primary's state.
    pub head: Position,
    /// The last position that is committed; the default if none is under this epoch.
    pub committed: Position,
    /// Records, each following the one before it.
    pub records: Vec<Record>,
    /// The primary no longer has the records that the receiver lacks: the receiver is to request a
    /// snapshot.
    pub must_request_snapshot: bool,
}

/// A chunk of a snapshot.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct SnapshotChunk {
    /// Epoch under which the snapshot was requested.
    pub epoch: Epoch,
    /// Position of the snapshot.
    pub position: Position,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// The bytes, at most [`CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

impl Message {
    /// The message as bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// The message that [`Self::encode`] wrote; checked.
    ///
    /// # Errors
    /// The bytes are no message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes, "message")
    }
}
