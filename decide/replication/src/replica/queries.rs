//! Read-only queries of a replica.

use super::primary_state::Peer;
use super::{Replica, Role};
use crate::membership::Membership;
use crate::state::ReplicatedState;
use crate::status::{MemberRole, PeerStatus, Status};
use crate::types::{Epoch, Member, Position, Time};

static EMPTY_MEMBERSHIP: Membership = Membership {
    voters: Vec::new(),
    outgoing: None,
};

impl<S: ReplicatedState> Replica<S> {
    /// Returns the newest state that is known to be committed, with its position. Returns none on
    /// an empty disk, and after a start until a primary has made contact.
    #[must_use]
    pub fn committed(&self) -> Option<(Position, &S)> {
        self.committed
            .as_ref()
            .map(|(position, state)| (*position, state))
    }

    /// Returns the membership of the accepted state, which is empty on an empty disk.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.accepted
            .as_ref()
            .map_or(&EMPTY_MEMBERSHIP, |accepted| &accepted.membership)
    }

    /// Returns the identity and address of this member.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Returns the highest epoch that this member has promised, synced or not.
    #[must_use]
    pub fn promised(&self) -> Epoch {
        self.promised
    }

    /// Whether this member has contact with a quorum. For a primary, a quorum must have confirmed
    /// it within the contact timeout; other members rely on their primary's reports.
    #[must_use]
    pub fn in_contact(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < self.settings.contact_timeout_us;
        if let Some(primary) = self.as_primary() {
            return is_recent(primary.rounds.confirmed_at);
        }
        self.followed_primary()
            .and_then(|known| known.contact_at)
            .is_some_and(is_recent)
    }

    /// Whether this member's committed state is that of a primary in contact with a quorum, or has
    /// been older for less than `max_commit_lag_us`. Contact alone is not enough: with a full disk,
    /// or a link that fails in one direction, a member still receives heartbeats but falls behind.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        let behind_since = self
            .known_primary
            .as_ref()
            .and_then(|known| known.behind_since);
        let max_lag_us = self.settings.max_commit_lag_us;
        let is_behind = behind_since.is_some_and(|since| now.since(since) >= max_lag_us);
        self.in_contact(now) && (self.as_primary().is_some() || !is_behind)
    }

    /// Returns the primary that this member follows, or itself if it is primary.
    #[must_use]
    pub fn primary(&self) -> Option<&Member> {
        if self.as_primary().is_some() {
            return Some(&self.me);
        }
        self.followed_primary().map(|known| &known.member)
    }

    /// Whether this member is primary and the first record of its epoch is committed.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.as_primary().is_some_and(|primary| primary.is_serving)
    }

    /// Whether this member has no record in flight and no queued change. True if it is not primary.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.as_primary().is_none_or(|primary| {
            !primary.has_record_in_flight && primary.queued_changes.is_empty()
        })
    }

    /// Whether this member may accept changes: it is the serving primary, the group has its full
    /// size or has waited for more voters long enough, and the group does not mix voters without a
    /// disk and members with one.
    #[must_use]
    pub fn may_accept_changes(&self, now: Time) -> bool {
        let Some(primary) = self.as_primary().filter(|primary| primary.is_serving) else {
            return false;
        };
        let full_size = 2 * self.settings.fault_tolerance as usize + 1;
        let has_waited = now.since(primary.elected_at) >= self.settings.bootstrap_timeout_us;
        let membership = self.membership();
        let has_full_size = membership.voters.len() >= full_size && !membership.is_joint();
        (has_waited || has_full_size) && !self.has_diskless_voter_beside_durable()
    }

    /// Returns a status report for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            member: self.me.clone(),
            role: self.member_role(),
            promised: self.promised,
            primary: self.primary().cloned(),
            head: self.accepted_position().unwrap_or_default(),
            synced: self.disk.synced,
            committed: self.committed.as_ref().map(|(position, _)| *position),
            membership: self.membership().clone(),
            in_contact: self.in_contact(now),
            is_writable: self.is_writable(now),
            is_leaving: self.departure.is_some(),
            peers: self.peer_statuses(now),
            not_serving_reason: self.not_serving_reason(now),
        }
    }

    fn member_role(&self) -> MemberRole {
        match &self.role {
            Role::Primary(primary) => MemberRole::Primary {
                serving: primary.is_serving,
            },
            Role::PreCandidate(_) | Role::Candidate(_) => MemberRole::Candidate,
            Role::Follower if self.is_non_voter() => MemberRole::NonVoter,
            Role::Follower => MemberRole::Voter,
        }
    }

    fn peer_statuses(&self, now: Time) -> Vec<PeerStatus> {
        let Some(primary) = self.as_primary() else {
            return Vec::new();
        };
        let status = |peer: &Peer| PeerStatus {
            identity: peer.member.identity,
            member: peer.member.clone(),
            is_voter: peer.is_voter(),
            last_contact_age_us: now.since(peer.last_contact_at),
            synced: peer
                .synced
                .filter(|position| position.epoch == primary.epoch),
            is_leaving: peer.is_leaving,
        };
        primary.peers.values().map(status).collect()
    }

    fn not_serving_reason(&self, now: Time) -> String {
        match &self.role {
            Role::Primary(primary) if primary.is_serving => String::new(),
            Role::Primary(_) => "its first record is not committed yet".to_owned(),
            Role::PreCandidate(_) => "asks whether it would be granted an epoch".to_owned(),
            Role::Candidate(_) => "waits for grants or the newest image".to_owned(),
            Role::Follower if self.accepted.is_none() => "an empty disk: it knocks".to_owned(),
            Role::Follower if self.is_non_voter() => {
                "the membership doesn't name it: it knocks".to_owned()
            }
            Role::Follower if !self.is_writable(now) => "its disk takes no writes".to_owned(),
            Role::Follower if self.in_contact(now) => "another member is primary".to_owned(),
            Role::Follower => "no primary in contact is heard".to_owned(),
        }
    }
}
