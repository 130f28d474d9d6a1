//! Messages that the members of a group exchange.
//!
//! Each message names its sender. A response also names the epoch, and where needed the round, that
//! it belongs to, so late, duplicate and misdirected responses are ignored.

use rkyv::{Archive, Deserialize, Serialize};

use crate::codec::{self, DecodeError};
use crate::durable::Record;
use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// Maximum number of snapshot bytes in one message.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// A message from one member to another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Message {
    /// The sender. Responses go to its address.
    pub from: Member,
    /// The request, response or heartbeat.
    pub body: Body,
}

/// The content of a message.
///
/// The election is Raft's with its pre-vote, with one difference: a voter grants its vote whatever
/// state the candidate has. The candidate then fetches the newest state among its voters, like a
/// new primary in Viewstamped Replication.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub enum Body {
    /// Asks whether the receiver would vote for this epoch. It changes no state at the receiver.
    PreVote {
        /// The epoch that the sender intends to choose.
        epoch: Epoch,
    },
    /// Response to [`Body::PreVote`].
    PreVoteResponse {
        /// The epoch of the request.
        epoch: Epoch,
        /// Whether the sender would vote for the epoch.
        would_grant: bool,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
        /// Position and membership of the sender's accepted state.
        version: ReplicaVersion,
    },
    /// Asks for the receiver's vote (Raft's `RequestVote`).
    Vote {
        /// The candidate's epoch.
        epoch: Epoch,
        /// Whether the primary asked the candidate to take over. The receiver then votes even if it
        /// is in contact with a primary.
        is_leadership_transfer: bool,
    },
    /// Grants the vote: the sender's promise of the epoch is synced to its disk.
    VoteGranted {
        /// The epoch of the request.
        epoch: Epoch,
        /// Position and membership of the sender's state when it promised the epoch.
        version: ReplicaVersion,
    },
    /// Rejects a vote request or a heartbeat, because the sender has promised a higher epoch.
    VoteRejected {
        /// The epoch that is rejected.
        epoch: Epoch,
        /// Highest epoch that the sender has promised.
        promised: Epoch,
    },
    /// A heartbeat of the primary, with the records that the receiver is missing.
    Append(Append),
    /// Response to [`Body::Append`]. It is sent again when a record has been synced.
    AppendResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Highest round that the sender has received in that epoch. It confirms the primary for
        /// this and all earlier rounds.
        round: u64,
        /// Position of the state that is synced to the sender's disk; none on an empty disk.
        synced: Option<Position>,
        /// Whether the sender's disk accepts writes.
        is_writable: bool,
        /// Whether the sender is leaving the group.
        is_leaving: bool,
        /// Time of sending, by the sender's clock.
        sent_at: ProcessInstant,
    },
    /// Asks for the chunks of a snapshot.
    SnapshotRequest {
        /// Epoch that the receiver must have promised to answer.
        epoch: Epoch,
        /// Position of the requested snapshot; none requests the newest one.
        position: Option<Position>,
        /// Index of the first chunk that is requested.
        next: u32,
    },
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Asks the receiver to accept the sender, which is not a voter, as a learner.
    JoinRequest,
    /// Response to [`Body::JoinRequest`] from a member that is not primary. It tells the receiver
    /// which members to ask.
    JoinResponse {
        /// The primary that the sender follows, if any.
        primary: Option<Member>,
        /// The members of the sender's accepted membership.
        members: Vec<Member>,
    },
    /// Asks the primary to remove the sender from the membership.
    LeaveRequest,
    /// Response of the primary to [`Body::LeaveRequest`].
    LeaveResponse {
        /// Epoch of the primary.
        epoch: Epoch,
        /// Whether the committed membership no longer includes the receiver.
        is_removed: bool,
        /// Whether the receiver stays in the membership, because the others would tolerate too few
        /// losses without it. Its process may stop nevertheless.
        is_retained: bool,
    },
    /// Tells a voter to start an election now (Raft's `TimeoutNow`). Sent by the primary.
    TakeOver {
        /// Epoch of the primary.
        epoch: Epoch,
    },
}

/// The position and membership of a member's accepted state.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ReplicaVersion {
    /// Position of the state.
    pub position: Position,
    /// The membership at that position.
    pub membership: Membership,
}

/// A time on the monotonic clock of one process. Other processes can only return it unchanged.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct ProcessInstant {
    /// Random number that the process chose when it started.
    pub process: u64,
    /// Monotonic clock of that process, in microseconds.
    pub clock: u64,
}

/// A heartbeat of the primary, with the records that the receiver is missing.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Append {
    /// The intended receiver. A member with another disk at the same address ignores the message.
    pub to: Identity,
    /// Epoch of the primary.
    pub epoch: Epoch,
    /// Number of the round that the receiver is asked to confirm.
    pub round: u64,
    /// Time at which the receiver sent the last response that has arrived. The content of this
    /// message was valid at some point after that time, however late it is received.
    pub last_response_sent_at: Option<ProcessInstant>,
    /// Whether a quorum has confirmed the primary within the contact timeout.
    pub in_contact: bool,
    /// Position of the primary's accepted state.
    pub head: Position,
    /// Position of the last committed record; the default if none is committed in this epoch.
    pub committed: Position,
    /// Consecutive records for the receiver to append.
    pub records: Vec<Record>,
    /// Whether the primary has discarded records that the receiver is missing. The receiver then
    /// requests a snapshot.
    pub must_request_snapshot: bool,
}

/// A chunk of a snapshot.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct SnapshotChunk {
    /// Epoch of the request for the snapshot.
    pub epoch: Epoch,
    /// Position of the state in the snapshot.
    pub position: Position,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Total number of chunks in the snapshot.
    pub count: u32,
    /// CRC-32 of the complete encoded snapshot.
    pub checksum: u32,
    /// Bytes of the chunk, at most [`CHUNK_BYTES`].
    pub bytes: Vec<u8>,
}

impl Message {
    /// Returns the encoded message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes and validates a message that [`Self::encode`] wrote.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        codec::decode(bytes, "message")
    }
}
