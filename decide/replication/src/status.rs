//! The status report of a replica, for operators.

use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// The member has no vote, because its disk is empty or the membership does not include it.
    NonVoter,
    /// The member votes and follows the primary.
    Voter,
    /// The member requests pre-votes or votes.
    Candidate,
    /// The member is the primary.
    Primary {
        /// Whether the primary has committed the first record of its epoch.
        serving: bool,
    },
}

/// A status report of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identity and address of this member.
    pub member: Member,
    /// Role of this member.
    pub role: MemberRole,
    /// Highest epoch that this member has promised.
    pub promised: Epoch,
    /// The primary that this member follows, or itself if it is primary.
    pub primary: Option<Member>,
    /// Position of the accepted state, which may not be synced yet.
    pub head: Position,
    /// Position of the state that is synced to disk; none on an empty disk.
    pub synced: Option<Position>,
    /// Position of the newest state that this member knows to be committed.
    pub committed: Option<Position>,
    /// The membership at `head`.
    pub membership: Membership,
    /// Whether this member has contact with a quorum, directly as primary or through its primary.
    pub in_contact: bool,
    /// Whether the disk of this member accepts writes.
    pub is_writable: bool,
    /// Whether this member is leaving the group.
    pub is_leaving: bool,
    /// The voters and learners that this member knows as primary; empty in other roles.
    pub peers: Vec<PeerStatus>,
    /// Reason why this member is not serving requests, as a sentence; empty if it is serving.
    pub not_serving_reason: String,
}

/// The status of a peer, as known to the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Identity and latest known address of the peer.
    pub member: Member,
    /// Whether the peer is a voter; otherwise it is a learner.
    pub is_voter: bool,
    /// Time since the last message of the peer, in microseconds.
    pub last_contact_age_us: u64,
    /// Position of the state that is synced to its disk; none if that state is not of the current
    /// epoch.
    pub synced: Option<Position>,
    /// Whether the peer has asked to leave.
    pub is_leaving: bool,
    /// Identity of `member`, as a key for tables.
    pub identity: Identity,
}
