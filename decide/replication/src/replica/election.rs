//! The candidate's part of an election: its timing, the choice of the epoch and the requests for
//! votes. `pre_vote` has the preceding step, `vote_count` the evaluation of votes, and
//! `vote_grants` the voters' part.
//!
//! The algorithm is Raft's election with pre-vote, with two differences. An epoch includes its
//! candidate, so a voter may vote for several candidates in turn, each time promising a higher
//! epoch. And a vote does not depend on how new the candidate's state is: the votes report where
//! the newest state is, and the candidate adopts it before it serves, like a new primary in
//! Viewstamped Replication.

use super::primary::PersistAs;
use super::vote_count::{VoteCount, VoteOutcome};
use super::{Replica, Role, VersionedState};
use crate::faults::Fault;
use crate::message::ReplicaVersion;
use crate::output::{Notice, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Position, Time};

/// An election for a chosen epoch, with the votes so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Election {
    pub(super) epoch: Epoch,
    pub(super) is_leadership_transfer: bool,
    /// Time at which the votes were first requested; none until the candidate's own promise is
    /// synced.
    pub(super) votes_requested_at: Option<Time>,
    retry_at: Time,
    pub(super) votes: VoteCount,
}

impl<S: ReplicatedState> Replica<S> {
    /// Postpones the next election by a new random time, so that two voters rarely start one at the
    /// same time.
    ///
    /// The first elections after the start of the process come sooner: voters in contact with a
    /// primary deny a pre-vote, and if all members have just started, there is no primary to wait
    /// for.
    pub(super) fn postpone_election(&mut self, now: Time) {
        let base_us = if self.awaits_first_primary {
            self.settings.retry_interval_us
        } else {
            self.settings.election_timeout_us
        };
        let delay_us = base_us + self.random_below(base_us);
        self.election_due_at = now.after(delay_us);
    }

    pub(super) fn may_campaign(&self, now: Time) -> bool {
        let is_eligible =
            !self.is_non_voter() && self.departure.is_none() && now >= self.passive_until;
        is_eligible && self.is_writable(now) && self.disk.synced.is_some()
    }

    /// Whether this voter has recent contact with a primary that reports contact with a quorum.
    pub(super) fn follows_confirmed_primary(&self, now: Time) -> bool {
        if self.as_primary().is_some() {
            return self.in_contact(now);
        }
        let timeout_us = self.settings.election_timeout_us;
        self.followed_primary()
            .and_then(|known| known.confirmed_at)
            .is_some_and(|confirmed_at| now.since(confirmed_at) < timeout_us)
    }

    pub(super) fn tick_election(&mut self, now: Time) {
        if self.as_primary().is_some() {
            return;
        }
        if now < self.election_due_at {
            self.resend_vote_requests(now);
            return;
        }
        let skips_postponement = self.settings.faults.has(Fault::ElectionNotPostponed);
        if !skips_postponement || self.may_campaign(now) {
            self.postpone_election(now);
        }
        self.role = Role::Follower;
        if self.may_campaign(now) {
            self.begin_pre_vote(now);
        }
    }

    fn resend_vote_requests(&mut self, now: Time) {
        let next_retry_at = now.after(self.settings.retry_interval_us);
        match &mut self.role {
            Role::PreCandidate(pre_vote) if now >= pre_vote.retry_at => {
                pre_vote.retry_at = next_retry_at;
                pre_vote.votes.requested.clear();
                self.count_votes(now);
            }
            Role::Candidate(election)
                if election.votes_requested_at.is_some() && now >= election.retry_at =>
            {
                election.retry_at = next_retry_at;
                election.votes.requested.clear();
                self.count_votes(now);
            }
            _ => {}
        }
    }

    pub(super) fn next_election_wake(&self) -> Option<Time> {
        match &self.role {
            Role::Primary(_) => None,
            Role::Candidate(election) if election.votes_requested_at.is_some() => {
                Some(election.retry_at.min(self.election_due_at))
            }
            Role::PreCandidate(pre_vote) => Some(pre_vote.retry_at.min(self.election_due_at)),
            _ => Some(self.election_due_at),
        }
    }

    pub(super) fn next_epoch(&self, above: Epoch) -> Epoch {
        let highest = self.promised.max(self.highest_rejecting_epoch).max(above);
        Epoch {
            counter: highest.counter + 1,
            primary: self.me.identity,
        }
    }

    pub(super) fn begin_election(&mut self, now: Time, above: Epoch, is_leadership_transfer: bool) {
        let epoch = self.next_epoch(above);
        let last_contact_age_us = self
            .known_primary
            .as_ref()
            .map_or(0, |known| now.since(known.last_contact_at));
        self.outputs.push(Output::Notice(Notice::ElectionStarted {
            epoch,
            last_contact_age_us,
            is_leadership_transfer,
        }));
        self.postpone_election(now);
        self.incoming = None;
        self.role = Role::Candidate(Election {
            epoch,
            is_leadership_transfer,
            votes_requested_at: None,
            retry_at: now.after(self.settings.retry_interval_us),
            votes: VoteCount::default(),
        });
        self.promise(now, epoch);
        self.request_votes(now);
    }

    /// Requests votes once this candidate's own promise is synced. An epoch that is lost in a crash
    /// could be chosen again.
    pub(super) fn request_votes(&mut self, now: Time) {
        let version = self.replica_version();
        let Role::Candidate(election) = &mut self.role else {
            return;
        };
        if election.votes_requested_at.is_some() || self.disk.synced_promise < election.epoch {
            return;
        }
        let Some(version) = version else { return };
        election.votes_requested_at = Some(now);
        let vote = (self.me.clone(), version);
        election.votes.granted.insert(self.me.identity, vote);
        self.count_votes(now);
    }

    /// Becomes primary if this member has the newest state among the votes. Otherwise fetches that
    /// state first.
    pub(super) fn adopt_newest_state(&mut self, now: Time, position: Position, source: Member) {
        let Role::Candidate(election) = &self.role else {
            return;
        };
        let (epoch, grants) = (election.epoch, election.votes.granted.len());
        let accepted = self.accepted.as_ref();
        match accepted.filter(|accepted| accepted.position == position) {
            Some(accepted) => {
                let adopted = accepted.clone();
                self.become_primary(now, epoch, adopted, grants, PersistAs::Record);
            }
            None => self.fetch_snapshot(now, epoch, Some(position), source),
        }
    }

    /// Becomes primary with the received state, if it is still the newest one among the votes.
    pub(super) fn on_snapshot_for_election(&mut self, now: Time, received: VersionedState<S>) {
        let Role::Candidate(election) = &self.role else {
            return;
        };
        let (epoch, grants) = (election.epoch, election.votes.granted.len());
        let outcome = election
            .votes
            .outcome(self.me.identity, self.settings.faults);
        match outcome {
            Some(VoteOutcome::Won(position, _)) if position == received.position => {
                self.become_primary(now, epoch, received, grants, PersistAs::Snapshot);
            }
            _ => self.count_votes(now),
        }
    }

    pub(super) fn on_vote_granted(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        version: ReplicaVersion,
    ) {
        let Role::Candidate(election) = &mut self.role else {
            return;
        };
        if election.epoch == epoch && election.votes_requested_at.is_some() {
            let granted = &mut election.votes.granted;
            granted.insert(from.identity, (from, version));
            self.count_votes(now);
        }
    }

    /// Handles the rejection of a vote or heartbeat by a member that has promised a higher epoch.
    pub(super) fn on_vote_rejected(&mut self, now: Time, epoch: Epoch, promised: Epoch) {
        if promised <= epoch {
            return;
        }
        self.highest_rejecting_epoch = self.highest_rejecting_epoch.max(promised);
        match &self.role {
            Role::Candidate(election) if election.epoch == epoch => self.role = Role::Follower,
            Role::Primary(primary) if primary.epoch == epoch => {
                self.step_down(now, StepDownReason::HigherEpoch(promised));
            }
            _ => {}
        }
    }

    /// Starts an election at the request of the primary.
    pub(super) fn on_take_over(&mut self, now: Time, from: &Member, epoch: Epoch) {
        let is_current = epoch == self.promised && from.identity == epoch.primary;
        let is_follower = matches!(self.role, Role::Follower | Role::PreCandidate(_));
        if is_current && is_follower && self.may_campaign(now) {
            self.begin_election(now, epoch, true);
        }
    }
}
