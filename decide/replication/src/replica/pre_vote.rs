//! The pre-vote: before a voter chooses an epoch, it asks whether it would get the votes. A higher
//! epoch without a majority of votes would only depose a working primary.

use super::vote_count::VoteCount;
use super::{Replica, Role};
use crate::message::{Body, ReplicaVersion};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Time};

/// A pre-vote in progress, with the votes so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PreVote {
    pub(super) epoch: Epoch,
    pub(super) highest_promised: Epoch,
    pub(super) retry_at: Time,
    pub(super) votes: VoteCount,
}

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn begin_pre_vote(&mut self, now: Time) {
        let epoch = self.next_epoch(Epoch::default());
        let Some(version) = self.replica_version() else {
            return;
        };
        let mut votes = VoteCount::default();
        let vote = (self.me.clone(), version);
        votes.granted.insert(self.me.identity, vote);
        self.role = Role::PreCandidate(PreVote {
            epoch,
            highest_promised: self.promised,
            retry_at: now.after(self.settings.retry_interval_us),
            votes,
        });
        self.count_votes(now);
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: &Member, epoch: Epoch) {
        self.update_peer_address(from);
        let Some(version) = self.replica_version() else {
            return;
        };
        // The epoch's counter is not checked: the candidate chooses an epoch above all that the
        // voters report as promised.
        let would_grant = !self.follows_confirmed_primary(now) && self.is_writable(now);
        let response = Body::PreVoteResponse {
            epoch,
            would_grant,
            promised: self.promised,
            version,
        };
        self.send(&from.address, response);
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        would_grant: bool,
        promised: Epoch,
        version: ReplicaVersion,
    ) {
        let me = self.me.identity;
        let accepted_position = self.accepted_position().unwrap_or_default();
        let Role::PreCandidate(pre_vote) = &mut self.role else {
            return;
        };
        if pre_vote.epoch != epoch {
            return;
        }
        pre_vote.highest_promised = pre_vote.highest_promised.max(promised);
        if would_grant {
            let granted = &mut pre_vote.votes.granted;
            granted.insert(from.identity, (from, version));
            self.count_votes(now);
        } else if version.position > accepted_position && !version.membership.contains(me) {
            self.on_excluded(now, version.position);
        }
    }
}
