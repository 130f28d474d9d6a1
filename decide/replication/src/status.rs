//! What a replica shows of itself.

use crate::membership::Membership;
use crate::types::{Epoch, Identity, Member, Position};

/// The part that a member plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RoleKind {
    /// It has no vote: an empty disk, or a membership that doesn't name it.
    NonVoter,
    /// It votes and copies.
    Voter,
    /// It asks for votes.
    Candidate,
    /// It is primary; `serving` once its first record is committed.
    Primary {
        /// Whether its first record is committed.
        serving: bool,
    },
}

/// A picture of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Who it is.
    pub member: Member,
    /// Its part.
    pub role: RoleKind,
    /// Highest epoch it has promised.
    pub promised: Epoch,
    /// The primary it knows.
    pub primary: Option<Member>,
    /// Where its image stands.
    pub head: Position,
    /// Where its image on disk stands, synced.
    pub synced: Option<Position>,
    /// What it knows to be committed.
    pub committed: Option<Position>,
    /// The membership in its image.
    pub membership: Membership,
    /// In contact with a quorum, itself or by its primary.
    pub in_contact: bool,
    /// Its disk takes writes.
    pub is_writable: bool,
    /// It has asked to leave.
    pub is_leaving: bool,
    /// The voters and newcomers, as a primary sees them; empty elsewhere.
    pub peers: Vec<PeerStatus>,
    /// Why it is not serving, in a sentence; empty if it is.
    pub not_serving_reason: String,
}

/// A peer, as a primary sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Who it is.
    pub member: Member,
    /// Whether it votes.
    pub is_voter: bool,
    /// Microseconds since it was last heard.
    pub last_contact_age_us: u64,
    /// Where its image stands, synced; none if not under this epoch.
    pub synced: Option<Position>,
    /// It has asked to leave.
    pub is_leaving: bool,
    /// The identity, again, for tables keyed by it.
    pub identity: Identity,
}
