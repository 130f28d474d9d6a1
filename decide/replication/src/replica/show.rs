//! What a caller may look at.

use super::{Replica, Role};
use crate::membership::Membership;
use crate::state::ReplicatedState;
use crate::status::{PeerStatus, RoleKind, Status};
use crate::types::{Epoch, Member, Position, Time};

static NO_MEMBERSHIP: Membership = Membership {
    voters: Vec::new(),
    outgoing: None,
};

impl<S: ReplicatedState> Replica<S> {
    /// What is known to be committed; none on an empty disk, and after a start until a primary
    /// tells.
    pub fn committed(&self) -> Option<(Position, &S)> {
        self.committed
            .as_ref()
            .map(|(position, state)| (*position, state))
    }

    /// The membership in the newest image here; empty on an empty disk.
    pub fn membership(&self) -> &Membership {
        self.image
            .as_ref()
            .map_or(&NO_MEMBERSHIP, |image| &image.membership)
    }

    /// Who this is.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Highest epoch that was promised.
    pub fn promised(&self) -> Epoch {
        self.promised
    }

    /// Whether what is told here is in touch with a quorum: at the primary, confirmed of late;
    /// elsewhere, told so by one.
    pub fn in_contact(&self, now: Time) -> bool {
        let recent = |at: Time| now.since(at) < self.settings.contact_timeout;
        if let Some(primary) = self.lead() {
            return recent(primary.rounds.confirmed_at);
        }
        let known = self
            .known
            .as_ref()
            .filter(|known| known.epoch == self.promised);
        known.and_then(|known| known.contact_at).is_some_and(recent)
    }

    /// Whether what is committed here is what a confirmed primary tells, but for a moment: contact
    /// alone is not enough, since a full disk or a link cut one way leaves a member behind that
    /// still hears the primary.
    pub fn is_current(&self, now: Time) -> bool {
        let behind = self.known.as_ref().and_then(|known| known.behind_since);
        let lags = behind.is_some_and(|since| now.since(since) >= self.settings.most_lag);
        self.in_contact(now) && (self.lead().is_some() || !lags)
    }

    /// The primary that this member knows, itself included.
    pub fn primary(&self) -> Option<&Member> {
        if self.lead().is_some() {
            return Some(&self.me);
        }
        let known = self
            .known
            .as_ref()
            .filter(|known| known.epoch == self.promised);
        known.map(|known| &known.member)
    }

    /// Whether this is the primary, and its first record is committed.
    pub fn is_serving(&self) -> bool {
        self.lead().is_some_and(|primary| primary.serving)
    }

    /// Whether no record is in flight and no change waits.
    pub fn is_idle(&self) -> bool {
        self.lead()
            .is_none_or(|primary| !primary.in_flight && primary.queue.is_empty())
    }

    /// Whether the group is large enough to take orders, or has waited for others long enough, and
    /// no voter without a disk stands beside members with one.
    pub fn may_accept_changes(&self, now: Time) -> bool {
        let Some(primary) = self.lead().filter(|primary| primary.serving) else {
            return false;
        };
        let enough = 2 * self.settings.fault_tolerance as usize + 1;
        let waited = now.since(primary.elected_at) >= self.settings.gathering_timeout;
        let voters = self.membership().voters.len();
        let gathered = waited || (voters >= enough && !self.membership().is_joint());
        gathered && !self.waits_for_disks()
    }

    /// A picture for operators.
    pub fn status(&self, now: Time) -> Status {
        Status {
            member: self.me.clone(),
            role: self.role_kind(),
            promised: self.promised,
            primary: self.primary().cloned(),
            head: self
                .image
                .as_ref()
                .map(|image| image.position)
                .unwrap_or_default(),
            synced: self.disk.synced,
            committed: self.committed.as_ref().map(|(position, _)| *position),
            membership: self.membership().clone(),
            in_contact: self.in_contact(now),
            is_writable: self.writable(now),
            is_leaving: self.leaving.is_some(),
            peers: self.peer_statuses(now),
            not_serving_reason: self.not_serving_reason(now),
        }
    }

    fn role_kind(&self) -> RoleKind {
        match &self.role {
            Role::Primary(primary) => RoleKind::Primary {
                serving: primary.serving,
            },
            Role::Canvassing(_) | Role::Candidate(_) => RoleKind::Candidate,
            Role::Follower if self.is_outsider() => RoleKind::NonVoter,
            Role::Follower => RoleKind::Voter,
        }
    }

    fn peer_statuses(&self, now: Time) -> Vec<PeerStatus> {
        let Some(primary) = self.lead() else {
            return Vec::new();
        };
        let status = |peer: &super::primary::Peer| PeerStatus {
            identity: peer.member.identity,
            member: peer.member.clone(),
            is_voter: peer.votes,
            last_contact_age_us: now.since(peer.heard_at),
            synced: peer
                .reported
                .filter(|position| position.epoch == primary.epoch),
            is_leaving: peer.leaving,
        };
        primary.peers.values().map(status).collect()
    }

    fn not_serving_reason(&self, now: Time) -> String {
        match &self.role {
            Role::Primary(primary) if primary.serving => String::new(),
            Role::Primary(_) => "its first record is not committed yet".to_owned(),
            Role::Canvassing(_) => "asks whether it would be granted an epoch".to_owned(),
            Role::Candidate(_) => "waits for grants or the newest image".to_owned(),
            Role::Follower if self.image.is_none() => "an empty disk: it knocks".to_owned(),
            Role::Follower if self.is_outsider() => {
                "the membership doesn't name it: it knocks".to_owned()
            }
            Role::Follower if !self.writable(now) => "its disk takes no writes".to_owned(),
            Role::Follower if self.in_contact(now) => "another member is primary".to_owned(),
            Role::Follower => "no primary in contact is heard".to_owned(),
        }
    }
}
