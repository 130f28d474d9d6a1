//! How a voter becomes primary: it asks whether it would get the votes, chooses an epoch, and
//! requests them.
//!
//! It is Raft's election with its pre-vote, and differs in two points. An epoch names its candidate,
//! so a voter may vote for several in turn, each time promising a higher epoch. And a vote doesn't
//! depend on how new the candidate's state is: the votes say where the newest state is, and the
//! candidate adopts it before it serves, as a new primary of Viewstamped Replication does.

use std::collections::{BTreeMap, BTreeSet};

use super::primary::PersistAs;
use super::{Replica, Role, VersionedState};
use crate::faults::{Fault, Faults};
use crate::membership::Membership;
use crate::message::{Body, ReplicaVersion};
use crate::output::{Notice, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Identity, Member, Position, Time};

/// Before an epoch is chosen: who would vote for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PreVote {
    epoch: Epoch,
    highest_promised: Epoch,
    retry_at: Time,
    votes: VoteCount,
}

/// An epoch was chosen: who votes for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Election {
    epoch: Epoch,
    is_leadership_transfer: bool,
    /// When the votes were first requested; none until the candidate's own promise is synced.
    pub(super) votes_requested_at: Option<Time>,
    retry_at: Time,
    votes: VoteCount,
}

/// A vote that is sent once its promise is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingGrant {
    to: String,
    epoch: Epoch,
    version: ReplicaVersion,
}

/// The members that voted, and the states that they have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct VoteCount {
    requested: BTreeSet<Identity>,
    granted: BTreeMap<Identity, (Member, ReplicaVersion)>,
}

/// What the votes come to.
enum VoteOutcome {
    /// The newest state doesn't name the candidate as a voter.
    Excluded(Position),
    /// Not yet a quorum of the membership of the newest state.
    Pending(Membership),
    /// A quorum; the newest state has this position, and this member has it.
    Won(Position, Member),
}

impl VoteCount {
    fn outcome(&self, me: Identity, faults: Faults) -> Option<VoteOutcome> {
        let order = |position: Position| {
            if faults.has(Fault::NewestByNumber) {
                (position.number, Epoch::default())
            } else {
                (0, position.epoch)
            }
        };
        let key = |version: &ReplicaVersion| (order(version.position), version.position.number);
        let (source, newest) = self
            .granted
            .values()
            .max_by_key(|(_, version)| key(version))?;
        let membership = &newest.membership;
        if !membership.contains(me) {
            return Some(VoteOutcome::Excluded(newest.position));
        }
        let present: BTreeSet<Identity> = self.granted.keys().copied().collect();
        let is_half = faults.has(Fault::HalfIsQuorum) && membership.is_half(&present);
        let outcome = if membership.is_quorum(&present) || is_half {
            VoteOutcome::Won(newest.position, source.clone())
        } else {
            VoteOutcome::Pending(membership.clone())
        };
        Some(outcome)
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Postpones the next attempt by a new random time, so that two voters seldom try at once.
    /// After a start attempts come soon: where the others are in contact with a primary they give
    /// no pre-vote, and where all have started together nobody needs to be waited for.
    pub(super) fn postpone_election(&mut self, now: Time) {
        let base_us = if self.awaits_first_primary {
            self.settings.retry_interval_us
        } else {
            self.settings.election_timeout_us
        };
        let delay_us = base_us + self.random_below(base_us);
        self.election_due_at = now.after(delay_us);
    }

    fn may_campaign(&self, now: Time) -> bool {
        let is_able = !self.is_non_voter() && self.departure.is_none() && now >= self.passive_until;
        is_able && self.is_writable(now) && self.disk.synced.is_some()
    }

    /// Whether a primary is in contact with this voter and, as it says, with a quorum.
    fn follows_confirmed_primary(&self, now: Time) -> bool {
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
        let not_postponed = self.settings.faults.has(Fault::ElectionNotPostponed);
        if !not_postponed || self.may_campaign(now) {
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
                self.count_pre_votes(now);
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

    pub(super) fn wake_of_election(&self) -> Option<Time> {
        match &self.role {
            Role::Primary(_) => None,
            Role::Candidate(election) if election.votes_requested_at.is_some() => {
                Some(election.retry_at.min(self.election_due_at))
            }
            Role::PreCandidate(pre_vote) => Some(pre_vote.retry_at.min(self.election_due_at)),
            _ => Some(self.election_due_at),
        }
    }

    fn next_epoch(&self, above: Epoch) -> Epoch {
        let highest = self.promised.max(self.highest_rejecting_epoch).max(above);
        Epoch {
            counter: highest.counter + 1,
            primary: self.me.identity,
        }
    }

    fn begin_pre_vote(&mut self, now: Time) {
        let epoch = self.next_epoch(Epoch::default());
        let Some(version) = self.version() else {
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
        self.count_pre_votes(now);
    }

    fn count_pre_votes(&mut self, now: Time) {
        let Role::PreCandidate(pre_vote) = &self.role else {
            return;
        };
        let (epoch, above) = (pre_vote.epoch, pre_vote.highest_promised);
        let outcome = pre_vote
            .votes
            .outcome(self.me.identity, self.settings.faults);
        match outcome {
            None => {}
            Some(VoteOutcome::Excluded(position)) => self.on_excluded(now, position),
            Some(VoteOutcome::Won(..)) => self.begin_election(now, above, false),
            Some(VoteOutcome::Pending(membership)) => {
                self.send_to_unasked(&membership, &Body::PreVote { epoch });
            }
        }
    }

    /// Sends a request to those of a membership that have not got one yet.
    fn send_to_unasked(&mut self, membership: &Membership, request: &Body) {
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
            let is_open = !votes.granted.contains_key(&member.identity);
            if is_open && votes.requested.insert(member.identity) {
                addresses.push(member.address.clone());
            }
        }
        for address in addresses {
            self.send(&address, request.clone());
        }
    }

    /// The newest state doesn't name this member: it asks to join instead.
    fn on_excluded(&mut self, now: Time, position: Position) {
        self.excluded_at = Some(position);
        self.role = Role::Follower;
        self.incoming = None;
        self.next_join_request_at = now;
        self.outputs
            .push(Output::Notice(Notice::Excluded { position }));
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: &Member, epoch: Epoch) {
        self.update_peer_address(from);
        let Some(version) = self.version() else {
            return;
        };
        // Not the counter: the epoch is chosen above all that the voters have promised.
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
            self.count_pre_votes(now);
        } else if version.position > accepted_position && !version.membership.contains(me) {
            self.on_excluded(now, version.position);
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

    /// Requests votes, once this candidate's own promise is synced: an epoch that a crash forgets
    /// might be chosen again.
    pub(super) fn request_votes(&mut self, now: Time) {
        let version = self.version();
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

    fn count_votes(&mut self, now: Time) {
        let Role::Candidate(election) = &self.role else {
            return;
        };
        let (epoch, is_leadership_transfer) = (election.epoch, election.is_leadership_transfer);
        let outcome = election
            .votes
            .outcome(self.me.identity, self.settings.faults);
        match outcome {
            None => {}
            Some(VoteOutcome::Excluded(position)) => self.on_excluded(now, position),
            Some(VoteOutcome::Pending(membership)) => {
                let request = Body::Vote {
                    epoch,
                    is_leadership_transfer,
                };
                self.send_to_unasked(&membership, &request);
            }
            Some(VoteOutcome::Won(position, source)) => self.adopt(now, epoch, position, source),
        }
    }

    /// The votes are won: this member is elected once it has the newest state.
    fn adopt(&mut self, now: Time, epoch: Epoch, position: Position, source: Member) {
        let Role::Candidate(election) = &self.role else {
            return;
        };
        let grants = election.votes.granted.len();
        let accepted = self.accepted.as_ref();
        match accepted.filter(|accepted| accepted.position == position) {
            Some(accepted) => {
                let adopted = accepted.clone();
                self.become_primary(now, epoch, adopted, grants, PersistAs::Record);
            }
            None => self.fetch_snapshot(now, epoch, Some(position), source),
        }
    }

    /// The state that the candidate lacked was received.
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

    pub(super) fn on_vote(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        is_leadership_transfer: bool,
    ) {
        if from.identity != epoch.primary {
            return;
        }
        let Some(version) = self.version_for_vote() else {
            return;
        };
        if epoch < self.promised {
            let promised = self.promised;
            self.send(&from.address, Body::VoteRejected { epoch, promised });
            return;
        }
        if epoch > self.promised {
            let has_primary = self.follows_confirmed_primary(now) && !is_leadership_transfer;
            if has_primary || !self.is_writable(now) {
                return;
            }
            self.step_down(now, StepDownReason::HigherEpoch(epoch));
            self.promise(now, epoch);
            self.postpone_election(now);
        }
        if version.position.epoch < epoch {
            self.pending_grants.retain(|grant| grant.epoch == epoch);
            self.pending_grants.push(PendingGrant {
                to: from.address,
                epoch,
                version,
            });
            self.send_pending_grants();
        }
    }

    fn version_for_vote(&self) -> Option<ReplicaVersion> {
        let empty = ReplicaVersion {
            position: Position::default(),
            membership: Membership::default(),
        };
        let empty_votes = self.settings.faults.has(Fault::EmptyDiskVotes);
        self.version().or_else(|| empty_votes.then_some(empty))
    }

    /// Sends the votes whose promise is synced; those of epochs that a later promise overtook are
    /// dropped.
    pub(super) fn send_pending_grants(&mut self) {
        let has_empty_disk = self.accepted.is_none();
        for grant in std::mem::take(&mut self.pending_grants) {
            if grant.epoch != self.promised {
                continue;
            }
            if self.disk.synced_promise >= grant.epoch || has_empty_disk {
                let (epoch, version) = (grant.epoch, grant.version);
                self.send(&grant.to, Body::VoteGranted { epoch, version });
            } else {
                self.pending_grants.push(grant);
            }
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

    /// A vote, or a heartbeat, was rejected by a member that has promised a higher epoch.
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

    /// The primary asks this voter to take over.
    pub(super) fn on_take_over(&mut self, now: Time, from: &Member, epoch: Epoch) {
        let is_current = epoch == self.promised && from.identity == epoch.primary;
        let is_follower = matches!(self.role, Role::Follower | Role::PreCandidate(_));
        if is_current && is_follower && self.may_campaign(now) {
            self.begin_election(now, epoch, true);
        }
    }
}
