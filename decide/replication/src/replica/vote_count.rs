//! Counting of votes in pre-votes and elections: which votes have been granted, which members to
//! ask next, and the result.

use std::collections::{BTreeMap, BTreeSet};

use super::{Replica, Role};
use crate::faults::{Fault, Faults};
use crate::membership::Membership;
use crate::message::{Body, ReplicaVersion};
use crate::output::{Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Identity, Member, Position, Time};

/// The members that were asked for a vote, and the granted votes with the voters' states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct VoteCount {
    pub(super) requested: BTreeSet<Identity>,
    pub(super) granted: BTreeMap<Identity, (Member, ReplicaVersion)>,
}

/// The result of a vote count.
pub(super) enum VoteOutcome {
    /// The newest state, at this position, does not include the candidate as a voter.
    Excluded(Position),
    /// The votes are not yet a quorum of this membership, which is that of the newest state.
    Pending(Membership),
    /// The votes are a quorum. The newest state has this position, and this member has it.
    Won(Position, Member),
}

impl VoteCount {
    /// Evaluates the granted votes; returns none if there are none.
    pub(super) fn outcome(&self, me: Identity, faults: Faults) -> Option<VoteOutcome> {
        let epoch_order = |position: Position| {
            if faults.has(Fault::NewestByNumber) {
                (position.number, Epoch::default())
            } else {
                (0, position.epoch)
            }
        };
        let version_order =
            |version: &ReplicaVersion| (epoch_order(version.position), version.position.number);
        let (source, newest) = self
            .granted
            .values()
            .max_by_key(|(_, version)| version_order(version))?;
        let membership = &newest.membership;
        if !membership.contains(me) {
            return Some(VoteOutcome::Excluded(newest.position));
        }
        let present: BTreeSet<Identity> = self.granted.keys().copied().collect();
        let is_half_quorum = faults.has(Fault::HalfIsQuorum) && membership.has_half(&present);
        let outcome = if membership.is_quorum(&present) || is_half_quorum {
            VoteOutcome::Won(newest.position, source.clone())
        } else {
            VoteOutcome::Pending(membership.clone())
        };
        Some(outcome)
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Continues a pre-vote or election according to its votes: starts the next step if a quorum
    /// has granted them, or sends requests to members that were not asked yet.
    pub(super) fn count_votes(&mut self, now: Time) {
        let Some((votes, request)) = self.votes_in_progress() else {
            return;
        };
        match votes.outcome(self.me.identity, self.settings.faults) {
            None => {}
            Some(VoteOutcome::Excluded(position)) => self.on_excluded(now, position),
            Some(VoteOutcome::Pending(membership)) => self.send_requests(&membership, &request),
            Some(VoteOutcome::Won(position, source)) => self.on_votes_won(now, position, source),
        }
    }

    /// Returns the votes of the pre-vote or election in progress, and the request to send for
    /// further votes.
    fn votes_in_progress(&self) -> Option<(&VoteCount, Body)> {
        match &self.role {
            Role::PreCandidate(pre_vote) => {
                let epoch = pre_vote.epoch;
                Some((&pre_vote.votes, Body::PreVote { epoch }))
            }
            Role::Candidate(election) => {
                let request = Body::Vote {
                    epoch: election.epoch,
                    is_leadership_transfer: election.is_leadership_transfer,
                };
                Some((&election.votes, request))
            }
            Role::Follower | Role::Primary(_) => None,
        }
    }

    fn on_votes_won(&mut self, now: Time, position: Position, source: Member) {
        match &self.role {
            Role::PreCandidate(pre_vote) => {
                let above = pre_vote.highest_promised;
                self.begin_election(now, above, false);
            }
            Role::Candidate(_) => self.adopt_newest_state(now, position, source),
            Role::Follower | Role::Primary(_) => {}
        }
    }

    /// Sends the request to all members of `membership` that have neither been asked nor voted.
    fn send_requests(&mut self, membership: &Membership, request: &Body) {
        let votes = match &mut self.role {
            Role::PreCandidate(pre_vote) => &mut pre_vote.votes,
            Role::Candidate(election) => &mut election.votes,
            _ => return,
        };
        let mut addresses = Vec::new();
        for member in membership
            .all()
            .filter(|member| member.identity != self.me.identity)
        {
            let has_not_voted = !votes.granted.contains_key(&member.identity);
            if has_not_voted && votes.requested.insert(member.identity) {
                addresses.push(member.address.clone());
            }
        }
        for address in addresses {
            self.send(&address, request.clone());
        }
    }

    /// Ends the candidacy because the newest state does not include this member, and asks to join
    /// instead.
    pub(super) fn on_excluded(&mut self, now: Time, position: Position) {
        self.excluded_at = Some(position);
        self.role = Role::Follower;
        self.incoming = None;
        self.next_join_request_at = now;
        self.outputs
            .push(Output::Notice(Notice::Excluded { position }));
    }
}
