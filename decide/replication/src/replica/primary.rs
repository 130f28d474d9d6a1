//! The primary's log of records, with one uncommitted record at a time, and the progress of its
//! peers.

use std::collections::BTreeSet;

use super::primary_state::{LeadershipTransfer, Peer, PeerRole, Primary, ReportedProgress};
use super::{Replica, Role, VersionedState};
use crate::durable::{Record, Update};
use crate::faults::Fault;
use crate::membership::Membership;
use crate::message::{Append, Body};
use crate::output::{Notice, Outcome, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Identity, Member, Position, RequestId, Time};

/// The form in which a primary writes a record to its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PersistAs {
    /// As a record: the state that it follows is already on this disk.
    Record,
    /// As part of a snapshot: the state that it follows was received from another member.
    Snapshot,
}

impl<S: ReplicatedState> Replica<S> {
    /// Makes this candidate primary with the adopted state. `grants` is the number of votes.
    pub(super) fn become_primary(
        &mut self,
        now: Time,
        epoch: Epoch,
        adopted: VersionedState<S>,
        grants: usize,
        persist_as: PersistAs,
    ) {
        let Role::Candidate(election) = &self.role else {
            return;
        };
        let votes_requested_at = election.votes_requested_at.unwrap_or(now);
        self.outputs.push(Output::Notice(Notice::BecamePrimary {
            epoch,
            adopted: adopted.position,
            grants,
        }));
        self.accepted = Some(adopted);
        self.incoming = None;
        self.known_primary = None;
        self.awaits_first_primary = false;
        self.pending_grants.clear();
        let primary = Primary::new(epoch, votes_requested_at, now);
        self.role = Role::Primary(Box::new(primary));
        self.refresh_peers(now);
        self.write_record(now, Update::EpochStart, None, persist_as);
        self.broadcast(now);
    }

    /// Ends the role of candidate or primary, and completes the pending requests of a primary.
    pub(super) fn step_down(&mut self, now: Time, reason: StepDownReason) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.incoming = None;
        let Role::Primary(mut primary) = role else {
            return;
        };
        self.outputs.push(Output::Notice(Notice::SteppedDown {
            epoch: primary.epoch,
            reason,
        }));
        if let Some(request) = primary.in_flight_request {
            self.complete(request, Outcome::Unknown);
        }
        for (request, _) in primary.queued_changes {
            self.complete(request, Outcome::NotPrimary);
        }
        for request in primary.rounds.take_pending() {
            self.complete(request, Outcome::NotPrimary);
        }
        self.postpone_election(now);
    }

    /// Updates the peers to the members that the membership includes, and keeps the learners.
    fn refresh_peers(&mut self, now: Time) {
        let me = self.me.identity;
        let Some(accepted) = &self.accepted else {
            return;
        };
        let membership = accepted.membership.clone();
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        primary
            .peers
            .retain(|identity, peer| !peer.is_voter() || membership.contains(*identity));
        for member in membership.all().filter(|member| member.identity != me) {
            let peer = primary.peers.entry(member.identity);
            let peer = peer.or_insert_with(|| Peer::learner(member.clone(), now));
            peer.role = PeerRole::Voter;
        }
    }

    /// Writes a record that follows the accepted state. No other record may be in flight.
    fn write_record(
        &mut self,
        now: Time,
        update: Update,
        request: Option<RequestId>,
        persist_as: PersistAs,
    ) {
        let Some(accepted) = &mut self.accepted else {
            return;
        };
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        debug_assert!(!primary.has_record_in_flight, "another record is in flight");
        let position = Position {
            epoch: primary.epoch,
            number: accepted.position.number + 1,
        };
        let record = Record {
            position,
            previous: accepted.position,
            update,
        };
        if let Err(error) = accepted.apply(position, &record.update) {
            if let Some(request) = request {
                self.complete(request, Outcome::Rejected(error));
            }
            return;
        }
        primary.has_record_in_flight = true;
        primary.in_flight_request = request;
        primary.retain_record(record.clone());
        let changes_membership = is_membership_update(&record.update);
        match persist_as {
            PersistAs::Snapshot => self.persist_snapshot(now),
            PersistAs::Record => self.persist_record(now, record),
        }
        if changes_membership {
            self.refresh_peers(now);
        }
    }

    /// Writes and broadcasts the next record, if no record is in flight.
    pub(super) fn write_next_and_broadcast(&mut self, now: Time) {
        if self.write_next_record(now) {
            self.broadcast(now);
            self.try_commit(now);
        }
    }

    /// Writes the next record, if none is in flight: the end of a change of membership, a new
    /// change of membership, or a change of the state. Returns whether it wrote a record.
    fn write_next_record(&mut self, now: Time) -> bool {
        let Some(primary) = self.as_primary() else {
            return false;
        };
        if primary.has_record_in_flight || !primary.is_serving {
            return false;
        }
        let is_transferring = primary
            .leadership_transfer
            .as_ref()
            .is_some_and(LeadershipTransfer::is_in_progress);
        let Some(accepted) = &self.accepted else {
            return false;
        };
        if accepted.membership.is_joint() {
            let finalized = Update::Membership(accepted.membership.finalized());
            self.write_record(now, finalized, None, PersistAs::Record);
            return true;
        }
        if is_transferring {
            return false;
        }
        self.write_membership_change(now) || self.write_queued_change(now)
    }

    /// Writes the first queued change that applies to the state, and rejects those before it.
    fn write_queued_change(&mut self, now: Time) -> bool {
        while let Some((request, change)) = self
            .as_primary_mut()
            .and_then(|primary| primary.queued_changes.pop_front())
        {
            self.write_record(
                now,
                Update::Change(change),
                Some(request),
                PersistAs::Record,
            );
            if self
                .as_primary()
                .is_some_and(|primary| primary.has_record_in_flight)
            {
                return true;
            }
        }
        false
    }

    fn write_membership_change(&mut self, now: Time) -> bool {
        let Some((voters, change)) = self.next_membership_change(now) else {
            return false;
        };
        let Some(accepted) = &self.accepted else {
            return false;
        };
        let mut membership = accepted.membership.joint(voters);
        if self.settings.faults.has(Fault::NoJointRecord) {
            membership = membership.finalized();
        }
        self.write_record(now, Update::Membership(membership), None, PersistAs::Record);
        let position = self.accepted_position().unwrap_or_default();
        self.outputs.push(Output::Notice(Notice::MembershipChange {
            position,
            change,
        }));
        true
    }

    /// Begins a new round: sends all peers a heartbeat, with the records that each is missing.
    pub(super) fn broadcast(&mut self, now: Time) {
        let interval_us = self.settings.heartbeat_interval_us;
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        primary.rounds.begin(now);
        primary.next_heartbeat_at = now.after(interval_us);
        let peers: Vec<Identity> = primary.peers.keys().copied().collect();
        for identity in peers {
            self.send_append(now, identity);
        }
        self.count_confirmations(now);
    }

    fn send_append(&mut self, now: Time, identity: Identity) {
        let in_contact = self.in_contact(now);
        let retry_us = self.settings.retry_interval_us;
        let Some(head) = self.accepted_position() else {
            return;
        };
        let committed = self.committed_position();
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        let Some(peer) = primary.peers.get(&identity) else {
            return;
        };
        let was_just_sent = peer
            .last_sent
            .is_some_and(|(sent, at)| sent == head && now.since(at) < retry_us);
        let is_up_to_date = peer.synced == Some(head);
        let retained = primary.records_for(peer);
        let must_request_snapshot = peer.has_responded && !is_up_to_date && retained.is_none();
        let records = if is_up_to_date || was_just_sent {
            Vec::new()
        } else {
            retained.unwrap_or_default()
        };
        let address = peer.member.address.clone();
        let append = Append {
            to: identity,
            epoch: primary.epoch,
            round: primary.rounds.current,
            last_response_sent_at: peer.last_response_sent_at,
            in_contact,
            head,
            committed,
            records,
            must_request_snapshot,
        };
        if let (Some(last), Some(peer)) = (append.records.last(), primary.peers.get_mut(&identity))
        {
            peer.last_sent = Some((last.position, now));
        }
        self.send(&address, Body::Append(append));
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Time,
        from: &Member,
        epoch: Epoch,
        progress: &ReportedProgress,
    ) {
        self.update_peer_address(from);
        let accepts_any_epoch = self.settings.faults.has(Fault::CountEarlierEpoch);
        let Some(primary) = self
            .as_primary_mut()
            .filter(|primary| primary.epoch == epoch || accepts_any_epoch)
        else {
            return;
        };
        let (epoch, current_round) = (primary.epoch, primary.rounds.current);
        let Some(peer) = primary.peers.get_mut(&from.identity) else {
            return;
        };
        let has_advanced = peer.update(now, epoch, current_round, progress);
        self.count_confirmations(now);
        self.try_commit(now);
        if has_advanced {
            self.send_missing_records(now, from.identity);
        }
        self.write_next_and_broadcast(now);
    }

    /// Sends the missing records to a peer whose synced position has just advanced.
    fn send_missing_records(&mut self, now: Time, identity: Identity) {
        let head = self.accepted_position();
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        let Some(peer) = primary.peers.get(&identity) else {
            return;
        };
        if peer.synced == head {
            return;
        }
        let was_just_sent = peer
            .last_sent
            .is_some_and(|(sent, at)| Some(sent) == head && at == now);
        let has_records = peer
            .synced
            .is_some_and(|position| primary.has_record_after(position));
        if was_just_sent && has_records {
            return;
        }
        if let Some(peer) = primary.peers.get_mut(&identity) {
            peer.last_sent = peer.last_sent.filter(|(sent, _)| Some(*sent) == head);
            self.send_append(now, identity);
        }
    }

    /// Commits the record in flight if a quorum has synced it, then writes the next one.
    pub(super) fn try_commit(&mut self, now: Time) {
        let Some(accepted) = &self.accepted else {
            return;
        };
        let head = accepted.position;
        let Some(primary) = self
            .as_primary()
            .filter(|primary| primary.has_record_in_flight)
        else {
            return;
        };
        let peers = primary.peers.iter();
        let members_with_record = peers.filter(|(_, peer)| peer.synced == Some(head));
        let members_with_record = members_with_record.map(|(identity, _)| *identity);
        let this_member = (self.disk.synced == Some(head)).then_some(self.me.identity);
        let present: BTreeSet<Identity> = members_with_record.chain(this_member).collect();
        if !self.is_quorum(&accepted.membership, &present) {
            return;
        }
        self.committed = Some((head, accepted.state.clone()));
        self.on_record_committed(head);
        self.write_next_record(now);
        self.broadcast(now);
        self.complete_confirmed_requests(now);
        self.try_commit(now);
    }

    /// Marks the record at the head as committed and reports it.
    fn on_record_committed(&mut self, head: Position) {
        let membership = self.membership();
        let is_final = !membership.is_joint();
        let voters = membership.voters.len();
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        primary.has_record_in_flight = false;
        primary.is_serving = true;
        let request = primary.in_flight_request.take();
        let changed_membership = is_final
            && primary
                .last_record()
                .is_some_and(|last| is_membership_update(&last.update));
        self.outputs.push(Output::Committed(head));
        if let Some(request) = request {
            self.complete(request, Outcome::Committed(head));
        }
        if changed_membership {
            self.outputs.push(Output::Notice(Notice::MembershipChanged {
                position: head,
                voters,
            }));
        }
    }

    fn is_quorum(&self, membership: &Membership, present: &BTreeSet<Identity>) -> bool {
        let faults = self.settings.faults;
        let leaver_commits_alone =
            faults.has(Fault::LeaverCommitsAlone) && self.departure.is_some();
        let commits_alone = (leaver_commits_alone || faults.has(Fault::PrimaryCommitsAlone))
            && present.contains(&self.me.identity);
        let is_half_quorum = faults.has(Fault::HalfIsQuorum) && membership.has_half(present);
        membership.is_quorum(present) || commits_alone || is_half_quorum
    }

    /// Sets the address of a peer to that of its last message, since its address may have changed.
    pub(super) fn update_peer_address(&mut self, from: &Member) {
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        if let Some(peer) = primary.peers.get_mut(&from.identity) {
            peer.member.address.clone_from(&from.address);
        }
    }

    /// Records contact with a peer through a message other than a response to a heartbeat.
    pub(super) fn on_peer_contact(&mut self, now: Time, identity: Identity, epoch: Epoch) {
        let Some(primary) = self
            .as_primary_mut()
            .filter(|primary| primary.epoch == epoch)
        else {
            return;
        };
        if let Some(peer) = primary.peers.get_mut(&identity) {
            peer.last_contact_at = now;
        }
    }

    pub(super) fn tick_primary(&mut self, now: Time) {
        let learner_timeout_us = self.settings.learner_timeout_us;
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        primary.peers.retain(|_, peer| {
            peer.is_voter() || now.since(peer.last_contact_at) < learner_timeout_us
        });
        if now >= primary.next_heartbeat_at {
            self.write_next_record(now);
            self.broadcast(now);
            self.try_commit(now);
        }
        self.tick_leadership_transfer(now);
    }

    pub(super) fn next_primary_wake(&self) -> Option<Time> {
        let primary = self.as_primary()?;
        let contact_ends_at = primary
            .rounds
            .confirmed_at
            .after(self.settings.contact_timeout_us + 1);
        Some(primary.next_heartbeat_at.min(contact_ends_at))
    }
}

fn is_membership_update(update: &Update) -> bool {
    matches!(update, Update::Membership(_))
}
