//! The status of a replica, for operators.

use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// It has no vote: its disk is empty, or the membership doesn't name it.
    NonVoter,
    /// It votes, and follows the primary.
    Voter,
    /// It requests pre-votes or votes.
    Candidate,
    /// It is the primary.
    Primary {
        /// Whether its first record is committed.
        serving: bool,
    },
}

/// The status of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The member.
    pub member: Member,
    /// Its role.
    pub role: MemberRole,
    /// Highest epoch it has promised.
    pub promised: Epoch,
    /// The primary that it knows.
    pub primary: Option<Member>,
    /// Position of the state that it has accepted.
    pub head: Position,
    /// Position of the state that is synced on its disk.
    pub synced: Option<Position>,
    /// Position of the state that it knows to be committed.
    pub committed: Option<Position>,
    /// The membership at `head`.
    pub membership: Membership,
    /// Whether it is in contact with a quorum, itself or by its primary.
    pub in_contact: bool,
    /// Whether its disk takes writes.
    pub is_writable: bool,
    /// Whether it has asked to leave.
    pub is_leaving: bool,
    /// The voters and learners, as a primary sees them; empty elsewhere.
    pub peers: Vec<PeerStatus>,
    /// Why it is not serving, in a sentence; empty if it is.
    pub not_serving_reason: String,
}

/// A peer, as a primary sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub member: Member,
    /// Whether it votes.
    pub is_voter: bool,
    /// Time since its last message (microseconds).
    pub last_contact_age_us: u64,
    /// Position of the state that is synced on its disk; none if it is not of this epoch.
    pub synced: Option<Position>,
    /// Whether it has asked to leave.
    pub is_leaving: bool,
    /// The identity of `member`, for tables keyed by it.
    pub identity: Identity,
}
