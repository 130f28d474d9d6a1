//! The side of the primary: records, one in flight at a time, and who has synced what.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::election::half_of;
use super::leave::HandOver;
use super::rounds::Rounds;
use super::{Memory, Replica, Role};
use crate::durable::{Record, Update};
use crate::faults::Fault;
use crate::membership::Membership;
use crate::message::{Append, Body, ProcessInstant};
use crate::output::{Notice, Outcome, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Identity, Member, Position, RequestId, Time};

/// Records that are kept for those that lack only a few.
const MOST_RECORDS: usize = 64;
/// Bytes of changes in the records that are kept, and in those of one message, beside the first.
const MOST_RECORD_BYTES: usize = 256 * 1024;

/// What only a primary knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Primary {
    pub(super) epoch: Epoch,
    pub(super) elected_at: Time,
    pub(super) peers: BTreeMap<Identity, Peer>,
    /// The newest records of this epoch; each stands on the one before it, and the last is the
    /// head.
    tail: VecDeque<Record>,
    /// The record at the head is not committed.
    pub(super) in_flight: bool,
    /// Who asked for the record in flight.
    request: Option<RequestId>,
    /// The first record is committed.
    pub(super) serving: bool,
    pub(super) queue: VecDeque<(RequestId, Vec<u8>)>,
    pub(super) rounds: Rounds,
    heartbeat_at: Time,
    pub(super) hand_over: Option<HandOver>,
    /// Removals that were refused, and told of.
    pub(super) refused: BTreeSet<Identity>,
}

/// A voter or newcomer, as the primary knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// The membership names it.
    pub(super) votes: bool,
    pub(super) heard_at: Time,
    /// Highest round that it confirmed.
    pub(super) round: u64,
    /// Where its synced image stands, as it last said.
    pub(super) reported: Option<Position>,
    /// It has answered in this epoch.
    pub(super) answered: bool,
    pub(super) writable: bool,
    pub(super) leaving: bool,
    /// The last record that was sent to it, and when.
    sent: Option<(Position, Time)>,
    /// When it sent the answer that came last.
    echo: Option<ProcessInstant>,
}

/// What a peer says of itself in answer to a heartbeat.
pub(super) struct Told {
    pub(super) round: u64,
    pub(super) synced: Option<Position>,
    pub(super) writable: bool,
    pub(super) leaving: bool,
    pub(super) stamp: ProcessInstant,
}

impl Peer {
    pub(super) fn new(member: Member, now: Time) -> Self {
        let (votes, answered, leaving) = (false, false, false);
        let (round, reported, sent) = (0, None, None);
        Self {
            member,
            votes,
            heard_at: now,
            round,
            reported,
            answered,
            writable: true,
            leaving,
            sent,
            echo: None,
        }
    }
}

impl Primary {
    /// Records after `position`, as many as fit a message; none if they are no longer kept.
    fn records_after(&self, position: Option<Position>) -> Option<Vec<Record>> {
        let first = self
            .tail
            .iter()
            .position(|record| Some(record.previous) == position)?;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let before = bytes;
            bytes += size_of_update(&record.update);
            before == 0 || bytes <= MOST_RECORD_BYTES
        };
        Some(
            self.tail
                .iter()
                .skip(first)
                .take_while(fits)
                .cloned()
                .collect(),
        )
    }

    /// Whether the record after this position is kept.
    pub(super) fn keeps_after(&self, position: Position) -> bool {
        self.tail.iter().any(|record| record.previous == position)
    }

    fn remember(&mut self, record: Record) {
        self.tail.push_back(record);
        let size = |tail: &VecDeque<Record>| -> usize {
            tail.iter()
                .map(|record| size_of_update(&record.update))
                .sum()
        };
        while self.tail.len() > MOST_RECORDS
            || (self.tail.len() > 1 && size(&self.tail) > 4 * MOST_RECORD_BYTES)
        {
            self.tail.pop_front();
        }
    }
}

fn size_of_update(update: &Update) -> usize {
    match update {
        Update::Change(change) => change.len() + 64,
        Update::EpochStart | Update::Membership(_) => 64,
    }
}

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn become_primary(
        &mut self,
        now: Time,
        epoch: Epoch,
        adopted: Option<Memory<S>>,
        grants: usize,
        whole: bool,
    ) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let Some(adopted) = adopted else { return };
        let elected = candidacy.asked_at.unwrap_or(now);
        let notice = Notice::BecamePrimary {
            epoch,
            adopted: adopted.position,
            grants,
        };
        self.outputs.push(Output::Notice(notice));
        self.image = Some(adopted);
        self.transfer = None;
        self.known = None;
        self.fresh = false;
        self.pending_grants.clear();
        self.role = Role::Primary(Box::new(Primary {
            epoch,
            elected_at: now,
            peers: BTreeMap::new(),
            tail: VecDeque::new(),
            in_flight: false,
            request: None,
            serving: false,
            queue: VecDeque::new(),
            rounds: Rounds::new(elected),
            heartbeat_at: now,
            hand_over: None,
            refused: BTreeSet::new(),
        }));
        self.refresh_peers(now);
        self.write(now, Update::EpochStart, None, whole);
        self.broadcast(now);
    }

    /// Gives the part of the primary or candidate up, if it is held.
    pub(super) fn step_down(&mut self, now: Time, reason: StepDownReason) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.transfer = None;
        let Role::Primary(mut primary) = role else {
            return;
        };
        self.outputs.push(Output::Notice(Notice::SteppedDown {
            epoch: primary.epoch,
            reason,
        }));
        if let Some(request) = primary.request {
            self.settle(request, Outcome::Unknown);
        }
        for (request, _) in primary.queue {
            self.settle(request, Outcome::NotPrimary);
        }
        for (request, _) in primary.rounds.take_waiting() {
            self.settle(request, Outcome::NotPrimary);
        }
        self.rest_before_election(now);
    }

    /// Makes the peers those that the membership names, and the newcomers.
    fn refresh_peers(&mut self, now: Time) {
        let me = self.me.identity;
        let Some(membership) = self.image.as_ref().map(|image| image.membership.clone()) else {
            return;
        };
        let Some(primary) = self.lead_mut() else {
            return;
        };
        primary
            .peers
            .retain(|identity, peer| !peer.votes || membership.names(*identity));
        for member in membership.all().filter(|member| member.identity != me) {
            let peer = primary.peers.entry(member.identity);
            peer.or_insert_with(|| Peer::new(member.clone(), now)).votes = true;
        }
    }

    /// Writes a record on top of the image. Nothing else may be in flight.
    fn write(&mut self, now: Time, update: Update, request: Option<RequestId>, whole: bool) {
        let Some(image) = &mut self.image else { return };
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        debug_assert!(!primary.in_flight, "one record is in flight at a time");
        let position = Position {
            epoch: primary.epoch,
            number: image.position.number + 1,
        };
        let record = Record {
            position,
            previous: image.position,
            update,
        };
        if let Err(error) = image.apply(position, &record.update) {
            if let Some(request) = request {
                self.settle(request, Outcome::Rejected(error));
            }
            return;
        }
        primary.in_flight = true;
        primary.request = request;
        primary.remember(record.clone());
        let changes_members = matches!(record.update, Update::Membership(_));
        if whole {
            self.persist_image(now);
        } else {
            self.persist_record(now, record);
        }
        if changes_members {
            self.refresh_peers(now);
        }
    }

    /// Writes what comes next, if nothing is in flight: the end of a change of membership, the next
    /// such change, an operator's change.
    pub(super) fn write_next(&mut self, now: Time) {
        if self.write_one(now) {
            self.broadcast(now);
            self.try_commit(now);
        }
    }

    fn write_one(&mut self, now: Time) -> bool {
        loop {
            let Some(primary) = self.lead() else {
                return false;
            };
            let handing_over = primary.hand_over.as_ref().is_some_and(HandOver::under_way);
            if primary.in_flight || !primary.serving {
                return false;
            }
            let Some(image) = &self.image else {
                return false;
            };
            if image.membership.is_joint() {
                let finished = image.membership.finished();
                self.write(now, Update::Membership(finished), None, false);
                return true;
            }
            if handing_over {
                return false;
            }
            if self.write_membership_change(now) {
                return true;
            }
            let next = self
                .lead_mut()
                .and_then(|primary| primary.queue.pop_front());
            let Some((request, change)) = next else {
                return false;
            };
            self.write(now, Update::Change(change), Some(request), false);
            if self.lead().is_some_and(|primary| primary.in_flight) {
                return true;
            }
        }
    }

    fn write_membership_change(&mut self, now: Time) -> bool {
        let Some((voters, change)) = self.next_membership(now) else {
            return false;
        };
        let Some(image) = &self.image else {
            return false;
        };
        let mut membership = image.membership.joint(voters);
        if self.settings.faults.has(Fault::NoJointRecord) {
            membership = membership.finished();
        }
        self.write(now, Update::Membership(membership), None, false);
        let position = self
            .image
            .as_ref()
            .map(|image| image.position)
            .unwrap_or_default();
        self.outputs.push(Output::Notice(Notice::MembershipChange {
            position,
            change,
        }));
        true
    }

    /// Sends a heartbeat to everybody: a new round, with the records that each lacks.
    pub(super) fn broadcast(&mut self, now: Time) {
        let interval = self.settings.heartbeat_interval;
        let Some(primary) = self.lead_mut() else {
            return;
        };
        primary.rounds.begin(now);
        primary.heartbeat_at = now.after(interval);
        let peers: Vec<Identity> = primary.peers.keys().copied().collect();
        for identity in peers {
            self.send_append(now, identity);
        }
        self.count_round(now);
    }

    fn send_append(&mut self, now: Time, identity: Identity) {
        let in_contact = self.in_contact(now);
        let retry = self.settings.retry_interval;
        let Some(head) = self.image.as_ref().map(|image| image.position) else {
            return;
        };
        let committed = self
            .committed
            .as_ref()
            .map(|(position, _)| *position)
            .unwrap_or_default();
        let Role::Primary(primary) = &mut self.role else {
            return;
        };
        let Some(peer) = primary.peers.get(&identity) else {
            return;
        };
        let just_sent = peer
            .sent
            .is_some_and(|(sent, at)| sent == head && now.since(at) < retry);
        let current = peer.reported == Some(head);
        let kept = match (peer.answered, primary.tail.front()) {
            // At its beginning a primary guesses that all stand where it stood.
            (false, Some(first)) if primary.tail.len() == 1 => {
                primary.records_after(Some(first.previous))
            }
            _ => primary.records_after(peer.reported),
        };
        let take_image = peer.answered && !current && kept.is_none();
        let records = if current || just_sent {
            Vec::new()
        } else {
            kept.unwrap_or_default()
        };
        let (address, echo) = (peer.member.address.clone(), peer.echo);
        let (epoch, round) = (primary.epoch, primary.rounds.current);
        if let (Some(last), Some(peer)) = (records.last(), primary.peers.get_mut(&identity)) {
            peer.sent = Some((last.position, now));
        }
        let append = Append {
            to: identity,
            epoch,
            round,
            echo,
            in_contact,
            head,
            committed,
            records,
            take_image,
        };
        self.send(&address, Body::Append(append));
    }

    pub(super) fn on_append_response(&mut self, now: Time, from: Member, epoch: Epoch, told: Told) {
        let synced = told.synced;
        self.note_address(&from);
        let any_epoch = self.settings.faults.has(Fault::CountEarlierEpoch);
        let Some(primary) = self
            .lead_mut()
            .filter(|primary| primary.epoch == epoch || any_epoch)
        else {
            return;
        };
        let (own, current) = (primary.epoch, primary.rounds.current);
        let Some(peer) = primary.peers.get_mut(&from.identity) else {
            return;
        };
        peer.heard_at = now;
        peer.writable = told.writable;
        peer.echo = Some(told.stamp);
        peer.leaving = told.leaving;
        peer.round = peer.round.max(told.round.min(current));
        let first = !peer.answered;
        peer.answered = true;
        let advanced = synced > peer.reported;
        if synced.is_some_and(|position| position.epoch == own) {
            peer.reported = peer.reported.max(synced);
        } else if peer.reported.is_none_or(|position| position.epoch != own) {
            peer.reported = synced;
        }
        self.count_round(now);
        self.try_commit(now);
        self.help_along(now, from.identity, first || advanced);
        self.write_next(now);
    }

    /// Sends at once what a peer lacks, if it has just moved.
    fn help_along(&mut self, now: Time, identity: Identity, moved: bool) {
        let head = self.image.as_ref().map(|image| image.position);
        let Some(primary) = self.lead_mut() else {
            return;
        };
        let Some(peer) = primary.peers.get(&identity) else {
            return;
        };
        if !moved || peer.reported == head {
            return;
        }
        let just_sent = peer
            .sent
            .is_some_and(|(sent, at)| Some(sent) == head && at == now);
        let reported = peer.reported;
        let helps = reported.is_some_and(|position| primary.keeps_after(position));
        let Some(peer) = primary.peers.get_mut(&identity) else {
            return;
        };
        if !(just_sent && helps) {
            peer.sent = peer.sent.filter(|(sent, _)| Some(*sent) == head);
            self.send_append(now, identity);
        }
    }

    /// Commits the record in flight if a quorum has synced it.
    pub(super) fn try_commit(&mut self, now: Time) {
        let me = self.me.identity;
        let synced = self.disk.synced;
        let Some(image) = &self.image else { return };
        let head = image.position;
        let Some(primary) = self.lead().filter(|primary| primary.in_flight) else {
            return;
        };
        let holds = |peer: &Peer| peer.reported == Some(head);
        let holders = primary
            .peers
            .iter()
            .filter(|(_, peer)| holds(peer))
            .map(|(identity, _)| *identity);
        let own = (synced == Some(head)).then_some(me);
        let present: BTreeSet<Identity> = holders.chain(own).collect();
        if !self.is_quorum(&image.membership, &present) {
            return;
        }
        self.committed = Some((head, image.state.clone()));
        let changed = !image.membership.is_joint();
        let voters = image.membership.voters.len();
        let Some(primary) = self.lead_mut() else {
            return;
        };
        primary.in_flight = false;
        primary.serving = true;
        let request = primary.request.take();
        let changed = changed
            && primary
                .tail
                .back()
                .is_some_and(|last| is_membership(&last.update));
        self.outputs.push(Output::Committed(head));
        if let Some(request) = request {
            self.settle(request, Outcome::Committed(head));
        }
        if changed {
            self.outputs.push(Output::Notice(Notice::MembershipChanged {
                position: head,
                voters,
            }));
        }
        self.write_one(now);
        self.broadcast(now);
        self.answer_waiting(now);
        self.try_commit(now);
    }

    fn is_quorum(&self, membership: &Membership, present: &BTreeSet<Identity>) -> bool {
        let faults = self.settings.faults;
        let leaver_alone = faults.has(Fault::LeaverCommitsAlone) && self.departure.is_some();
        let alone = (leaver_alone || faults.has(Fault::PrimaryCommitsAlone))
            && present.contains(&self.me.identity);
        let half = faults.has(Fault::HalfIsQuorum) && half_of(membership, present);
        membership.quorum(present) || alone || half
    }

    /// A member may have moved: what is sent to it goes where it was last heard.
    pub(super) fn note_address(&mut self, from: &Member) {
        let Some(primary) = self.lead_mut() else {
            return;
        };
        if let Some(peer) = primary.peers.get_mut(&from.identity) {
            peer.member.address.clone_from(&from.address);
        }
    }

    pub(super) fn note_heard(&mut self, now: Time, identity: Identity, epoch: Epoch) {
        let Some(primary) = self.lead_mut().filter(|primary| primary.epoch == epoch) else {
            return;
        };
        if let Some(peer) = primary.peers.get_mut(&identity) {
            peer.heard_at = now;
        }
    }

    pub(super) fn tick_primary(&mut self, now: Time) {
        let newcomer_timeout = self.settings.newcomer_timeout;
        let Some(primary) = self.lead_mut() else {
            return;
        };
        primary
            .peers
            .retain(|_, peer| peer.votes || now.since(peer.heard_at) < newcomer_timeout);
        if now >= primary.heartbeat_at {
            self.write_one(now);
            self.broadcast(now);
            self.try_commit(now);
        }
        self.tick_hand_over(now);
    }

    pub(super) fn wake_of_primary(&self) -> Option<Time> {
        let primary = self.lead()?;
        let contact_ends = primary
            .rounds
            .confirmed_at
            .after(self.settings.contact_timeout + 1);
        Some(primary.heartbeat_at.min(contact_ends))
    }
}

fn is_membership(update: &Update) -> bool {
    matches!(update, Update::Membership(_))
}
