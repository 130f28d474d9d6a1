//! How a voter becomes primary: it asks whether it would be supported, draws an epoch, and gathers
//! grants.

use std::collections::{BTreeMap, BTreeSet};

use super::{Memory, Replica, Role};
use crate::faults::Fault;
use crate::membership::Membership;
use crate::message::{Body, ReplicaVersion};
use crate::output::{Notice, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Identity, Member, Position, Time};

/// Before an epoch is drawn: who would support it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Canvass {
    epoch: Epoch,
    highest_promised: Epoch,
    retry_at: Time,
    tally: Tally,
}

/// An epoch was drawn: who grants it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    epoch: Epoch,
    take_over: bool,
    /// When the votes were first asked for; none until the own promise is synced.
    pub(super) asked_at: Option<Time>,
    retry_at: Time,
    tally: Tally,
}

/// A grant that is sent once the promise is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingGrant {
    to: String,
    epoch: Epoch,
    held: ReplicaVersion,
}

/// Who said yes, and what they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Tally {
    asked: BTreeSet<Identity>,
    yes: BTreeMap<Identity, (Member, ReplicaVersion)>,
}

/// What a tally comes to.
enum Verdict {
    /// The newest image doesn't name the candidate.
    Excluded(Position),
    /// Not yet a quorum of the membership in the newest image.
    Open(Membership),
    /// A quorum; the newest image stands here and is at this member.
    Won(Position, Member),
}

impl Tally {
    fn verdict(&self, me: Identity, by_number: bool, half: bool) -> Option<Verdict> {
        let order = |position: Position| {
            if by_number {
                (position.number, Epoch::default())
            } else {
                (0, position.epoch)
            }
        };
        let key = |held: &ReplicaVersion| (order(held.position), held.position.number);
        let (holder, newest) = self.yes.values().max_by_key(|(_, held)| key(held))?;
        if !newest.membership.names(me) {
            return Some(Verdict::Excluded(newest.position));
        }
        let present: BTreeSet<Identity> = self.yes.keys().copied().collect();
        let won =
            newest.membership.quorum(&present) || (half && half_of(&newest.membership, &present));
        Some(match won {
            true => Verdict::Won(newest.position, holder.clone()),
            false => Verdict::Open(newest.membership.clone()),
        })
    }
}

/// The planted fault of a quorum that is too small.
pub(super) fn half_of(membership: &Membership, present: &BTreeSet<Identity>) -> bool {
    let present = membership
        .voters
        .iter()
        .filter(|voter| present.contains(&voter.identity))
        .count();
    present * 2 >= membership.voters.len()
}

impl<S: ReplicatedState> Replica<S> {
    /// Puts the next attempt off by a time that is drawn anew, so that two voters seldom try at
    /// once. After a start attempts come soon: where the others hear a primary they don't support
    /// one, and where all have started together nobody needs to be waited for.
    pub(super) fn rest_before_election(&mut self, now: Time) {
        let base = if self.fresh {
            self.settings.retry_interval
        } else {
            self.settings.election_timeout
        };
        let rest = base + self.draw_below(base);
        self.election_at = now.after(rest);
    }

    fn may_campaign(&self, now: Time) -> bool {
        let able = !self.is_outsider() && self.departure.is_none() && now >= self.passive_until;
        able && self.writable(now) && self.disk.synced.is_some()
    }

    /// Whether this voter hears a primary that a quorum confirms.
    fn hears_primary(&self, now: Time) -> bool {
        if self.lead().is_some() {
            return self.in_contact(now);
        }
        let recent = |heard: Time| now.since(heard) < self.settings.election_timeout;
        let heard = self
            .known
            .as_ref()
            .filter(|known| known.epoch == self.promised);
        heard
            .and_then(|known| known.confirmed_at)
            .is_some_and(recent)
    }

    pub(super) fn tick_election(&mut self, now: Time) {
        if self.lead().is_some() {
            return;
        }
        if now >= self.election_at {
            if !self.settings.faults.has(Fault::ElectionNotPostponed) || self.may_campaign(now) {
                self.rest_before_election(now);
            }
            self.role = Role::Follower;
            if self.may_campaign(now) {
                self.begin_canvass(now);
            }
            return;
        }
        self.ask_again(now);
    }

    fn ask_again(&mut self, now: Time) {
        let next = now.after(self.settings.retry_interval);
        match &mut self.role {
            Role::Canvassing(canvass) if now >= canvass.retry_at => {
                canvass.retry_at = next;
                canvass.tally.asked.clear();
                self.count_support(now);
            }
            Role::Candidate(candidacy)
                if candidacy.asked_at.is_some() && now >= candidacy.retry_at =>
            {
                candidacy.retry_at = next;
                candidacy.tally.asked.clear();
                self.count_grants(now);
            }
            _ => {}
        }
    }

    pub(super) fn wake_of_election(&self) -> Option<Time> {
        match &self.role {
            Role::Primary(_) => None,
            Role::Candidate(candidacy) if candidacy.asked_at.is_some() => {
                Some(candidacy.retry_at.min(self.election_at))
            }
            Role::Canvassing(canvass) => Some(canvass.retry_at.min(self.election_at)),
            _ => Some(self.election_at),
        }
    }

    fn next_epoch(&self, above: Epoch) -> Epoch {
        let counter = self.promised.max(self.told).max(above).counter + 1;
        Epoch {
            counter,
            primary: self.me.identity,
        }
    }

    fn begin_canvass(&mut self, now: Time) {
        let epoch = self.next_epoch(Epoch::default());
        let Some(held) = self.held() else { return };
        let mut tally = Tally::default();
        tally.yes.insert(self.me.identity, (self.me.clone(), held));
        let (highest_promised, retry_at) = (self.promised, now.after(self.settings.retry_interval));
        self.role = Role::Canvassing(Canvass {
            epoch,
            highest_promised,
            retry_at,
            tally,
        });
        self.count_support(now);
    }

    fn count_support(&mut self, now: Time) {
        let faults = self.settings.faults;
        let Role::Canvassing(canvass) = &self.role else {
            return;
        };
        let (epoch, above) = (canvass.epoch, canvass.highest_promised);
        match canvass.tally.verdict(
            self.me.identity,
            faults.has(Fault::NewestByNumber),
            faults.has(Fault::HalfIsQuorum),
        ) {
            None => {}
            Some(Verdict::Excluded(position)) => self.give_up(now, position),
            Some(Verdict::Won(..)) => self.begin_candidacy(now, above, false),
            Some(Verdict::Open(membership)) => self.ask(&membership, Body::PreVote { epoch }),
        }
    }

    /// Sends a question to those of a membership that were not asked yet.
    fn ask(&mut self, membership: &Membership, body: Body) {
        let tally = match &mut self.role {
            Role::Canvassing(canvass) => &mut canvass.tally,
            Role::Candidate(candidacy) => &mut candidacy.tally,
            _ => return,
        };
        let mut to = Vec::new();
        for member in membership
            .all()
            .filter(|member| member.identity != self.me.identity)
        {
            let open = !tally.yes.contains_key(&member.identity);
            if open && tally.asked.insert(member.identity) {
                to.push(member.address.clone());
            }
        }
        for address in to {
            self.send(&address, body.clone());
        }
    }

    /// The newest image names others: this member asks to join instead.
    fn give_up(&mut self, now: Time, position: Position) {
        self.excluded = Some(position);
        self.role = Role::Follower;
        self.transfer = None;
        self.knock_at = now;
        self.outputs
            .push(Output::Notice(Notice::Excluded { position }));
    }

    pub(super) fn on_pre_vote(&mut self, now: Time, from: Member, epoch: Epoch) {
        self.note_address(&from);
        let Some(held) = self.held() else { return };
        // Not the counter: the epoch is drawn above all that supporters have promised.
        let supported = !self.hears_primary(now) && self.writable(now);
        let promised = self.promised;
        self.send(
            &from.address,
            Body::PreVoteResponse {
                epoch,
                supported,
                promised,
                held,
            },
        );
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        supported: bool,
        promised: Epoch,
        held: ReplicaVersion,
    ) {
        let me = self.me.identity;
        let my_position = self
            .image
            .as_ref()
            .map(|image| image.position)
            .unwrap_or_default();
        let Role::Canvassing(canvass) = &mut self.role else {
            return;
        };
        if canvass.epoch != epoch {
            return;
        }
        canvass.highest_promised = canvass.highest_promised.max(promised);
        if supported {
            canvass.tally.yes.insert(from.identity, (from, held));
            self.count_support(now);
        } else if held.position > my_position && !held.membership.names(me) {
            self.give_up(now, held.position);
        }
    }

    pub(super) fn begin_candidacy(&mut self, now: Time, above: Epoch, take_over: bool) {
        let epoch = self.next_epoch(above);
        let silent_for = self
            .known
            .as_ref()
            .map_or(0, |known| now.since(known.heard_at));
        self.outputs.push(Output::Notice(Notice::ElectionStarted {
            epoch,
            silent_for,
            take_over,
        }));
        self.rest_before_election(now);
        self.transfer = None;
        let retry_at = now.after(self.settings.retry_interval);
        let tally = Tally::default();
        self.role = Role::Candidate(Candidacy {
            epoch,
            take_over,
            asked_at: None,
            retry_at,
            tally,
        });
        self.promise(now, epoch);
        self.begin_vote(now);
    }

    /// Asks for grants, once the own promise is synced: an epoch that a crash forgets might be
    /// drawn again.
    pub(super) fn begin_vote(&mut self, now: Time) {
        let held = self.held();
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.asked_at.is_some() || self.disk.synced_promise < candidacy.epoch {
            return;
        }
        let Some(held) = held else { return };
        candidacy.asked_at = Some(now);
        candidacy
            .tally
            .yes
            .insert(self.me.identity, (self.me.clone(), held));
        self.count_grants(now);
    }

    pub(super) fn count_grants(&mut self, now: Time) {
        let faults = self.settings.faults;
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let (epoch, take_over) = (candidacy.epoch, candidacy.take_over);
        match candidacy.tally.verdict(
            self.me.identity,
            faults.has(Fault::NewestByNumber),
            faults.has(Fault::HalfIsQuorum),
        ) {
            None => {}
            Some(Verdict::Excluded(position)) => self.give_up(now, position),
            Some(Verdict::Open(membership)) => {
                self.ask(&membership, Body::Vote { epoch, take_over })
            }
            Some(Verdict::Won(position, holder)) => self.adopt(now, epoch, position, holder),
        }
    }

    /// Elected once the newest image is here.
    fn adopt(&mut self, now: Time, epoch: Epoch, position: Position, holder: Member) {
        let grants = match &self.role {
            Role::Candidate(candidacy) => candidacy.tally.yes.len(),
            _ => return,
        };
        if self
            .image
            .as_ref()
            .is_some_and(|image| image.position == position)
        {
            let image = self.image.clone();
            self.become_primary(now, epoch, image, grants, false);
        } else {
            self.fetch(now, epoch, Some(position), holder);
        }
    }

    /// The image that the candidate lacked has come.
    pub(super) fn fetched(&mut self, now: Time, image: Memory<S>) {
        let faults = self.settings.faults;
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let (epoch, grants) = (candidacy.epoch, candidacy.tally.yes.len());
        let verdict = candidacy.tally.verdict(
            self.me.identity,
            faults.has(Fault::NewestByNumber),
            faults.has(Fault::HalfIsQuorum),
        );
        match verdict {
            Some(Verdict::Won(position, _)) if position == image.position => {
                self.become_primary(now, epoch, Some(image), grants, true);
            }
            _ => self.count_grants(now),
        }
    }

    pub(super) fn on_vote(&mut self, now: Time, from: Member, epoch: Epoch, take_over: bool) {
        if from.identity != epoch.primary {
            return;
        }
        let Some(held) = self.held_for_vote() else {
            return;
        };
        if epoch < self.promised {
            let promised = self.promised;
            self.send(&from.address, Body::VoteRejected { epoch, promised });
            return;
        }
        if epoch > self.promised {
            let heard = self.hears_primary(now) && !take_over;
            if heard || !self.writable(now) {
                return;
            }
            self.step_down(now, StepDownReason::HigherEpoch(epoch));
            self.promise(now, epoch);
            self.rest_before_election(now);
        }
        if held.position.epoch < epoch {
            self.pending_grants.retain(|grant| grant.epoch == epoch);
            self.pending_grants.push(PendingGrant {
                to: from.address,
                epoch,
                held,
            });
            self.send_pending_grants();
        }
    }

    fn held_for_vote(&self) -> Option<ReplicaVersion> {
        let empty = ReplicaVersion {
            position: Position::default(),
            membership: Membership::default(),
        };
        self.held().or_else(|| {
            self.settings
                .faults
                .has(Fault::EmptyDiskVotes)
                .then_some(empty)
        })
    }

    /// Sends the grants whose promise is synced; those of epochs that a later promise overtook are
    /// forgotten.
    pub(super) fn send_pending_grants(&mut self) {
        let empty_disk = self.image.is_none();
        for grant in std::mem::take(&mut self.pending_grants) {
            if grant.epoch != self.promised {
                continue;
            }
            if self.disk.synced_promise >= grant.epoch || empty_disk {
                self.send(
                    &grant.to,
                    Body::VoteGranted {
                        epoch: grant.epoch,
                        held: grant.held,
                    },
                );
            } else {
                self.pending_grants.push(grant);
            }
        }
    }

    pub(super) fn on_grant(&mut self, now: Time, from: Member, epoch: Epoch, held: ReplicaVersion) {
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.epoch == epoch && candidacy.asked_at.is_some() {
            candidacy.tally.yes.insert(from.identity, (from, held));
            self.count_grants(now);
        }
    }

    pub(super) fn on_refusal(&mut self, now: Time, epoch: Epoch, promised: Epoch) {
        if promised <= epoch {
            return;
        }
        self.told = self.told.max(promised);
        match &self.role {
            Role::Candidate(candidacy) if candidacy.epoch == epoch => self.role = Role::Follower,
            Role::Primary(primary) if primary.epoch == epoch => {
                self.step_down(now, StepDownReason::HigherEpoch(promised));
            }
            _ => {}
        }
    }

    pub(super) fn on_take_over(&mut self, now: Time, from: Member, epoch: Epoch) {
        let current = epoch == self.promised && from.identity == epoch.primary;
        let follows = matches!(self.role, Role::Follower | Role::Canvassing(_));
        if current && follows && self.may_campaign(now) {
            self.begin_candidacy(now, epoch, true);
        }
    }
}
