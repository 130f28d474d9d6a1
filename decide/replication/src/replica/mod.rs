//! The state machine of one member: its parts, constructors and what a caller asks it.
//!
//! Memory runs ahead of the disk: [`Replica::image`] is what was accepted, [`disk::Disk::synced`]
//! what may be answered for.

mod append;
mod disk;
mod election;
mod join;
mod leave;
mod primary;
mod rounds;
mod show;
mod transfer;
mod without_disk;

use std::collections::BTreeSet;

use self::disk::Disk;
use self::election::{Candidacy, Canvass, PendingGrant};
use self::leave::Leaving;
use self::primary::{Primary, Told};
use self::transfer::{Served, Transfer};
use crate::durable::{DurableItem, RecoverError, Recovered, Snapshot, Update};
use crate::membership::Membership;
use crate::message::{Body, Message, ReplicaVersion};
use crate::output::{Outcome, Output};
use crate::settings::Settings;
use crate::state::{ReplicatedState, StateError};
use crate::types::{Epoch, Identity, Member, Position, RequestId, Time, WriteId};

/// One member: a voter, a newcomer, or the primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<S> {
    settings: Settings,
    me: Member,
    /// State of the generator of random numbers.
    random: u64,
    /// Tells this process from others with the same disk.
    process: u64,
    /// Addresses to knock at.
    peers: BTreeSet<String>,
    /// Members known to have no disk.
    without_disk: BTreeSet<Identity>,
    /// What was accepted, perhaps not yet synced.
    image: Option<Memory<S>>,
    committed: Option<(Position, S)>,
    /// Highest epoch promised; what is synced of it is in `disk`.
    promised: Epoch,
    /// Highest epoch of which another has said that it promised it: the next that is drawn lies
    /// above it.
    told: Epoch,
    disk: Disk,
    role: Role,
    known: Option<KnownPrimary>,
    /// Nobody has been heard as primary since the start: the group may have started with this
    /// member.
    fresh: bool,
    /// Grants that wait for the disk.
    pending_grants: Vec<PendingGrant>,
    /// An image that comes in.
    transfer: Option<Transfer>,
    /// The image that was last encoded for others.
    served: Option<Served>,
    /// Where an image stands whose membership doesn't name this member.
    excluded: Option<Position>,
    leaving: Option<Leaving>,
    election_at: Time,
    knock_at: Time,
    passive_until: Time,
    next_request: u64,
    outputs: Vec<Output>,
}

/// The image in memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Memory<S> {
    position: Position,
    membership: Membership,
    state: S,
}

/// The part that this member plays.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    /// Votes if it may, and copies.
    Follower,
    /// Asks whether it would be granted an epoch.
    Canvassing(Canvass),
    /// Asks for grants.
    Candidate(Candidacy),
    Primary(Box<Primary>),
}

/// The primary that was heard under the promised epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownPrimary {
    member: Member,
    epoch: Epoch,
    /// Highest round heard.
    round: u64,
    heard_at: Time,
    /// When it was last heard to say that a quorum confirms it.
    confirmed_at: Option<Time>,
    /// When the answer was sent that it had had when it last said that a quorum confirms it.
    contact_at: Option<Time>,
    /// Since when it has told of more that is committed than is known here.
    behind_since: Option<Time>,
}

impl<S: ReplicatedState> Replica<S> {
    /// The sole founder of a group, on an empty disk, at a first start. Its image is on disk before
    /// anything is told.
    pub fn bootstrap(settings: Settings, me: Member, state: S, seed: u64, now: Time) -> Self {
        let epoch = Epoch {
            counter: 1,
            primary: me.identity,
        };
        let position = Position { epoch, number: 1 };
        let membership = Membership::new([me.clone()]);
        let mut replica = Self::learner(settings, me, seed, now);
        replica.promised = epoch;
        replica.image = Some(Memory {
            position,
            membership,
            state,
        });
        replica.election_at = now;
        replica.persist_image(now);
        replica
    }

    /// A member whose disk holds an image. `address` is where it is reached now.
    pub fn recover(
        settings: Settings,
        address: String,
        recovered: Recovered,
        seed: u64,
        now: Time,
    ) -> Result<Self, RecoverError> {
        let image = recovered.snapshot;
        let mut state = S::decode(&image.state)?;
        for change in &recovered.changes {
            state.apply(change)?;
        }
        let me = Member {
            identity: image.identity,
            address,
        };
        let mut replica = Self::learner(settings, me, seed, now);
        replica.promised = image.promised;
        replica.disk.recovered(image.position, image.promised);
        let (position, membership) = (image.position, image.membership);
        replica.image = Some(Memory {
            position,
            membership,
            state,
        });
        Ok(replica)
    }

    /// A member with an empty disk and a fresh identity: it knocks, and votes for nothing until it
    /// holds an image.
    pub fn learner(settings: Settings, me: Member, seed: u64, now: Time) -> Self {
        debug_assert!(me.identity.0 != 0, "an identity is drawn before it is used");
        let mut replica = Self {
            settings,
            random: seed ^ me.identity.0.rotate_left(32),
            process: seed,
            me,
            peers: BTreeSet::new(),
            without_disk: BTreeSet::new(),
            image: None,
            committed: None,
            promised: Epoch::default(),
            told: Epoch::default(),
            disk: Disk::default(),
            role: Role::Follower,
            known: None,
            fresh: true,
            pending_grants: Vec::new(),
            transfer: None,
            served: None,
            excluded: None,
            leaving: None,
            election_at: now,
            knock_at: now,
            passive_until: Time(0),
            next_request: 1,
            outputs: Vec::new(),
        };
        replica.rest_before_election(now);
        replica
    }

    /// Addresses to knock at, beside those of members it knows.
    pub fn add_peer_addresses(&mut self, addresses: Vec<String>) {
        self.peers.extend(addresses);
        self.peers.remove(&self.me.address);
    }

    /// A message came in. Answers go to the address that it names as its sender's.
    pub fn on_message(&mut self, now: Time, message: Message) {
        self.check_contact(now);
        let Message { from, body } = message;
        if from.identity == self.me.identity {
            return;
        }
        match body {
            Body::PreVote { epoch } => self.on_pre_vote(now, from, epoch),
            Body::PreVoteResponse {
                epoch,
                supported,
                promised,
                held,
            } => {
                self.on_pre_vote_response(now, from, epoch, supported, promised, held);
            }
            Body::Vote { epoch, take_over } => self.on_vote(now, from, epoch, take_over),
            Body::VoteGranted { epoch, held } => self.on_grant(now, from, epoch, held),
            Body::VoteRejected { epoch, promised } => self.on_refusal(now, epoch, promised),
            Body::Append(append) => self.on_append(now, from, append),
            Body::AppendResponse {
                epoch,
                round,
                synced,
                writable,
                leaving,
                stamp,
            } => {
                let told = Told {
                    round,
                    synced,
                    writable,
                    leaving,
                    stamp,
                };
                self.on_append_response(now, from, epoch, told);
            }
            Body::SnapshotRequest {
                epoch,
                position,
                next,
            } => {
                self.on_image_request(now, from, epoch, position, next);
            }
            Body::SnapshotChunk(chunk) => self.on_image_chunk(now, from, chunk),
            Body::JoinRequest => self.on_knock(now, from),
            Body::JoinResponse { primary, members } => self.on_knock_response(primary, members),
            Body::LeaveRequest => self.on_leave(now, from),
            Body::LeaveResponse {
                epoch,
                removed,
                stays,
            } => {
                self.on_leave_response(from, epoch, removed || stays);
            }
            Body::TakeOver { epoch } => self.on_take_over(now, from, epoch),
        }
    }

    /// The item of this ticket, and all before it, are synced.
    pub fn on_persisted(&mut self, now: Time, write_id: WriteId) {
        self.check_contact(now);
        if self.disk.persisted(write_id) {
            self.after_sync(now);
        }
    }

    /// The item of this ticket could not be written or synced. Nothing that was to be written after
    /// it may be written either; the next item will be a whole image.
    pub fn on_persist_failed(&mut self, now: Time, write_id: WriteId) {
        self.check_contact(now);
        self.disk_failed(now, write_id);
    }

    /// Time has passed; call it at [`Self::next_wake`], earlier does no harm.
    pub fn tick(&mut self, now: Time) {
        self.check_contact(now);
        self.tick_disk(now);
        self.tick_transfer(now);
        self.tick_primary(now);
        self.tick_election(now);
        self.tick_knock(now);
        self.tick_leave(now);
    }

    /// When [`Self::tick`] has something to do next.
    pub fn next_wake(&self) -> Time {
        let wakes = [
            self.wake_of_disk(),
            self.wake_of_transfer(),
            self.wake_of_primary(),
            self.wake_of_election(),
            self.wake_of_knock(),
            self.wake_of_leave(),
        ];
        wakes.into_iter().flatten().min().unwrap_or(Time(u64::MAX))
    }

    /// Asks for a change; changes are written one at a time, in order. Ends in one
    /// [`Output::Completed`].
    pub fn propose(&mut self, now: Time, change: Vec<u8>) -> RequestId {
        self.check_contact(now);
        let request = self.draw_request();
        match self.lead_mut() {
            Some(primary) => {
                primary.queue.push_back((request, change));
                self.write_next(now);
            }
            None => self.settle(request, Outcome::NotPrimary),
        }
        request
    }

    /// Asks for a round that begins after this call. Ends in one [`Output::Completed`].
    pub fn confirm(&mut self, now: Time) -> RequestId {
        if !self.settings.faults.answer_from_memory {
            self.check_contact(now);
        }
        let request = self.draw_request();
        self.begin_confirmation(now, request);
        request
    }

    /// What is to be done, in order; empties the list.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn draw_request(&mut self) -> RequestId {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        request
    }

    fn settle(&mut self, request: RequestId, outcome: Outcome) {
        self.outputs.push(Output::Completed { request, outcome });
    }

    fn send(&mut self, to: &str, body: Body) {
        let message = Message {
            from: self.me.clone(),
            body,
        };
        self.outputs.push(Output::Send {
            to: to.to_owned(),
            message,
        });
    }

    /// What a grant says of the image here.
    fn held(&self) -> Option<ReplicaVersion> {
        let image = self.image.as_ref()?;
        Some(ReplicaVersion {
            position: image.position,
            membership: image.membership.clone(),
        })
    }

    fn lead(&self) -> Option<&Primary> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    fn lead_mut(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    /// A number that is drawn evenly below `limit`.
    fn draw_below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }

    /// Whether the newest membership seen gives this member no vote.
    fn is_outsider(&self) -> bool {
        let Some(image) = &self.image else {
            return true;
        };
        let overruled = self
            .excluded
            .is_some_and(|excluded| image.position <= excluded);
        overruled || !image.membership.names(self.me.identity)
    }
}

impl<S: ReplicatedState> Memory<S> {
    /// Takes one update; on an error nothing has changed.
    fn apply(&mut self, position: Position, update: &Update) -> Result<(), StateError> {
        match update {
            Update::EpochStart => {}
            Update::Change(change) => self.state.apply(change)?,
            Update::Membership(membership) => self.membership = membership.clone(),
        }
        debug_assert!(position > self.position, "positions rise");
        self.position = position;
        Ok(())
    }

    fn to_item(&self, identity: Identity, promised: Epoch) -> DurableItem {
        DurableItem::Snapshot(Snapshot {
            identity,
            promised,
            position: self.position,
            membership: self.membership.clone(),
            state: self.state.encode(),
        })
    }
}
