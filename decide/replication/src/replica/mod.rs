//! The state machine of one member: its state, its constructors and its inputs.
//!
//! Each sibling module holds the methods of one concern. `rounds` and `primary_state` hold plain
//! state and do not use [`Replica`].
//!
//! Memory is ahead of the disk: `Replica::accepted` is the accepted state, and `Disk::synced` is
//! the part of it that other members may rely on.

mod append;
mod confirmation;
mod disk_writes;
mod diskless;
mod election;
mod join;
mod leadership_transfer;
mod leave;
mod membership_change;
mod pre_vote;
mod primary;
mod primary_state;
mod queries;
mod rounds;
mod snapshot_transfer;
mod vote_count;
mod vote_grants;

use std::collections::BTreeSet;

use self::disk_writes::Disk;
use self::election::Election;
use self::leave::Departure;
use self::pre_vote::PreVote;
use self::primary_state::{Primary, ReportedProgress};
use self::snapshot_transfer::{CachedSnapshot, IncomingSnapshot};
use self::vote_grants::PendingGrant;
use crate::durable::{DurableItem, RecoverError, Recovered, Snapshot, Update};
use crate::faults::Fault;
use crate::membership::Membership;
use crate::message::{Body, Message, ReplicaVersion};
use crate::output::{Outcome, Output};
use crate::settings::Settings;
use crate::state::{ReplicatedState, StateError};
use crate::types::{Epoch, Identity, Member, Position, RequestId, Time, WriteId};

/// One member of the group: a learner, a voter, or the primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<S> {
    settings: Settings,
    me: Member,
    /// State of the random number generator.
    rng_state: u64,
    /// Random number that distinguishes this process from earlier ones with the same disk.
    process_nonce: u64,
    /// Addresses of peers that this member asks to join.
    peer_addresses: BTreeSet<String>,
    /// Members that are known to have no disk.
    diskless_members: BTreeSet<Identity>,
    /// The accepted state, which may not be synced yet; none on an empty disk.
    accepted: Option<VersionedState<S>>,
    /// The newest state that is known to be committed, with its position.
    committed: Option<(Position, S)>,
    /// Highest epoch that this member has promised. `disk` holds the highest epoch whose promise is
    /// synced.
    promised: Epoch,
    /// Highest epoch that another member named when it rejected a vote or heartbeat. The next epoch
    /// that this member chooses is higher.
    highest_rejecting_epoch: Epoch,
    disk: Disk,
    role: Role,
    known_primary: Option<KnownPrimary>,
    /// Whether no primary has made contact since the process started. All members of the group may
    /// then have just started.
    awaits_first_primary: bool,
    /// Votes to send once the promise of their epoch is synced.
    pending_grants: Vec<PendingGrant>,
    /// The snapshot that is being received, if any.
    incoming: Option<IncomingSnapshot>,
    /// The last snapshot that was encoded for another member.
    cached_snapshot: Option<CachedSnapshot>,
    /// Position of the newest known state whose membership does not include this member.
    excluded_at: Option<Position>,
    departure: Option<Departure>,
    election_due_at: Time,
    next_join_request_at: Time,
    /// Time before which this member starts no election, because it transferred the leadership.
    passive_until: Time,
    next_request_id: u64,
    outputs: Vec<Output>,
}

/// The state that this member has accepted, with its position and membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VersionedState<S> {
    position: Position,
    membership: Membership,
    state: S,
}

/// The current role of this member, with the state of that role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    /// Votes if it is a voter, and accepts records.
    Follower,
    /// Asks the voters whether they would vote for it.
    PreCandidate(PreVote),
    /// Requests votes for a new epoch.
    Candidate(Election),
    Primary(Box<Primary>),
}

/// The primary whose heartbeat this member accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownPrimary {
    member: Member,
    epoch: Epoch,
    /// Highest round received from this primary.
    round: u64,
    last_contact_at: Time,
    /// Time of receipt of its last heartbeat that reported contact with a quorum.
    confirmed_at: Option<Time>,
    /// Time at which this member sent the newest response that the primary had received when it
    /// reported contact with a quorum.
    contact_at: Option<Time>,
    /// Time since which the primary has reported a newer committed position than this member knows.
    behind_since: Option<Time>,
}

impl<S: ReplicatedState> Replica<S> {
    /// Creates the sole founder of a group, on an empty disk, when the group starts for the first
    /// time. The caller writes its snapshot to disk before it sends any message. `seed` is a random
    /// number.
    #[must_use]
    pub fn bootstrap(settings: Settings, me: Member, state: S, seed: u64, now: Time) -> Self {
        let epoch = Epoch {
            counter: 1,
            primary: me.identity,
        };
        let position = Position { epoch, number: 1 };
        let membership = Membership::new([me.clone()]);
        let mut replica = Self::learner(settings, me, seed, now);
        replica.promised = epoch;
        replica.accepted = Some(VersionedState {
            position,
            membership,
            state,
        });
        replica.election_due_at = now;
        replica.persist_snapshot(now);
        replica
    }

    /// Creates a member from the state on its disk. `address` is its current address and `seed` a
    /// random number.
    ///
    /// # Errors
    /// Returns an error if the state cannot be decoded or a change cannot be applied.
    pub fn recover(
        settings: Settings,
        address: String,
        recovered: Recovered,
        seed: u64,
        now: Time,
    ) -> Result<Self, RecoverError> {
        let accepted = recovered.snapshot;
        let mut state = S::decode(&accepted.state)?;
        for change in &recovered.changes {
            state.apply(change)?;
        }
        let me = Member {
            identity: accepted.identity,
            address,
        };
        let mut replica = Self::learner(settings, me, seed, now);
        replica.promised = accepted.promised;
        replica
            .disk
            .set_recovered(accepted.position, accepted.promised);
        let (position, membership) = (accepted.position, accepted.membership);
        replica.accepted = Some(VersionedState {
            position,
            membership,
            state,
        });
        Ok(replica)
    }

    /// Creates a member with an empty disk and a new identity. It asks to join and casts no vote
    /// until it has received a state. `seed` is a random number.
    #[must_use]
    pub fn learner(settings: Settings, me: Member, seed: u64, now: Time) -> Self {
        debug_assert!(me.identity.0 != 0, "identity 0 is not valid");
        let mut replica = Self {
            settings,
            rng_state: seed ^ me.identity.0.rotate_left(32),
            process_nonce: seed,
            me,
            peer_addresses: BTreeSet::new(),
            diskless_members: BTreeSet::new(),
            accepted: None,
            committed: None,
            promised: Epoch::default(),
            highest_rejecting_epoch: Epoch::default(),
            disk: Disk::default(),
            role: Role::Follower,
            known_primary: None,
            awaits_first_primary: true,
            pending_grants: Vec::new(),
            incoming: None,
            cached_snapshot: None,
            excluded_at: None,
            departure: None,
            election_due_at: now,
            next_join_request_at: now,
            passive_until: Time(0),
            next_request_id: 1,
            outputs: Vec::new(),
        };
        replica.postpone_election(now);
        replica
    }

    /// Adds addresses of peers that this member asks to join, in addition to those of known
    /// members.
    pub fn add_peer_addresses(&mut self, addresses: Vec<String>) {
        self.peer_addresses.extend(addresses);
        self.peer_addresses.remove(&self.me.address);
    }

    /// Handles a received message. Responses go to the address of the sender that the message
    /// names.
    pub fn on_message(&mut self, now: Time, message: Message) {
        self.step_down_without_contact(now);
        if message.from.identity != self.me.identity {
            self.dispatch(now, message);
        }
    }

    fn dispatch(&mut self, now: Time, Message { from, body }: Message) {
        match body {
            Body::PreVote { epoch } => self.on_pre_vote(now, &from, epoch),
            Body::PreVoteResponse {
                epoch,
                would_grant,
                promised,
                version,
            } => self.on_pre_vote_response(now, from, epoch, would_grant, promised, version),
            Body::Vote {
                epoch,
                is_leadership_transfer,
            } => self.on_vote(now, from, epoch, is_leadership_transfer),
            Body::VoteGranted { epoch, version } => self.on_vote_granted(now, from, epoch, version),
            Body::VoteRejected { epoch, promised } => self.on_vote_rejected(now, epoch, promised),
            Body::Append(append) => self.on_append(now, &from, &append),
            Body::AppendResponse {
                epoch,
                round,
                synced,
                is_writable,
                is_leaving,
                sent_at,
            } => {
                let progress = ReportedProgress {
                    round,
                    synced,
                    is_writable,
                    is_leaving,
                    sent_at,
                };
                self.on_append_response(now, &from, epoch, &progress);
            }
            Body::SnapshotRequest {
                epoch,
                position,
                next,
            } => self.on_snapshot_request(now, &from, epoch, position, next),
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, &from, chunk),
            Body::JoinRequest => self.on_join_request(now, from),
            Body::JoinResponse { primary, members } => self.on_join_response(primary, members),
            Body::LeaveRequest => self.on_leave_request(now, &from),
            Body::LeaveResponse {
                epoch,
                is_removed,
                is_retained,
            } => self.on_leave_response(&from, epoch, is_removed || is_retained),
            Body::TakeOver { epoch } => self.on_take_over(now, &from, epoch),
        }
    }

    /// Handles the sync of this item and all items before it.
    pub fn on_persisted(&mut self, now: Time, write_id: WriteId) {
        self.step_down_without_contact(now);
        if self.disk.mark_synced(write_id) {
            self.after_sync(now);
        }
    }

    /// Handles a failed write or sync of this item. The caller must not write the items that follow
    /// it; the next item to write is a snapshot.
    pub fn on_persist_failed(&mut self, now: Time, write_id: WriteId) {
        self.step_down_without_contact(now);
        self.on_disk_failed(now, write_id);
    }

    /// Handles the passage of time. The caller calls it at [`Self::next_wake`]; earlier calls are
    /// harmless.
    pub fn tick(&mut self, now: Time) {
        self.step_down_without_contact(now);
        self.tick_disk(now);
        self.tick_snapshot_transfer(now);
        self.tick_primary(now);
        self.tick_election(now);
        self.tick_join(now);
        self.tick_leave(now);
    }

    /// Returns the time at which [`Self::tick`] must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let wakes = [
            self.next_disk_wake(),
            self.next_snapshot_transfer_wake(),
            self.next_primary_wake(),
            self.next_election_wake(),
            self.next_join_wake(),
            self.next_leadership_transfer_wake(),
            self.next_leave_wake(),
        ];
        wakes.into_iter().flatten().min().unwrap_or(Time(u64::MAX))
    }

    /// Proposes a change of the state. Changes are written one at a time, in order. Each call
    /// causes one [`Output::Completed`].
    pub fn propose(&mut self, now: Time, change: Vec<u8>) -> RequestId {
        self.step_down_without_contact(now);
        let request = self.allocate_request_id();
        match self.as_primary_mut() {
            Some(primary) => {
                primary.queued_changes.push_back((request, change));
                self.write_next_and_broadcast(now);
            }
            None => self.complete(request, Outcome::NotPrimary),
        }
        request
    }

    /// Requests confirmation that this member is still primary, by a round that begins after this
    /// call (Raft's `ReadIndex`). Each call causes one [`Output::Completed`].
    pub fn confirm(&mut self, now: Time) -> RequestId {
        if !self.settings.faults.has(Fault::ConfirmFromMemory) {
            self.step_down_without_contact(now);
        }
        let request = self.allocate_request_id();
        self.start_confirmation(now, request);
        request
    }

    /// Returns the pending outputs in order and clears the list.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn allocate_request_id(&mut self) -> RequestId {
        let request = RequestId(self.next_request_id);
        self.next_request_id += 1;
        request
    }

    fn complete(&mut self, request: RequestId, outcome: Outcome) {
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

    /// Returns the position and membership that this member reports with a vote; none on an empty
    /// disk.
    fn replica_version(&self) -> Option<ReplicaVersion> {
        let accepted = self.accepted.as_ref()?;
        Some(ReplicaVersion {
            position: accepted.position,
            membership: accepted.membership.clone(),
        })
    }

    fn accepted_position(&self) -> Option<Position> {
        self.accepted.as_ref().map(|accepted| accepted.position)
    }

    /// Returns the position of the newest known committed state, or the default if none is known.
    fn committed_position(&self) -> Position {
        self.committed
            .as_ref()
            .map(|(position, _)| *position)
            .unwrap_or_default()
    }

    /// Returns the known primary if its epoch is the one that this member has promised. It is never
    /// this member.
    fn followed_primary(&self) -> Option<&KnownPrimary> {
        self.known_primary
            .as_ref()
            .filter(|known| known.epoch == self.promised)
    }

    fn as_primary(&self) -> Option<&Primary> {
        match &self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    fn as_primary_mut(&mut self) -> Option<&mut Primary> {
        match &mut self.role {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    /// Returns a uniformly distributed random number below `limit` (splitmix64).
    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }

    /// Whether the newest membership that this member knows does not include it. Also true on an
    /// empty disk.
    fn is_non_voter(&self) -> bool {
        let Some(accepted) = &self.accepted else {
            return true;
        };
        let is_excluded = self
            .excluded_at
            .is_some_and(|excluded_at| accepted.position <= excluded_at);
        is_excluded || !accepted.membership.contains(self.me.identity)
    }
}

impl<S: ReplicatedState> VersionedState<S> {
    /// Applies one update. On an error, the state is unchanged.
    fn apply(&mut self, position: Position, update: &Update) -> Result<(), StateError> {
        match update {
            Update::EpochStart => {}
            Update::Change(change) => self.state.apply(change)?,
            Update::Membership(membership) => self.membership = membership.clone(),
        }
        debug_assert!(position > self.position, "record positions must increase");
        self.position = position;
        Ok(())
    }

    fn to_durable_item(&self, identity: Identity, promised: Epoch) -> DurableItem {
        DurableItem::Snapshot(Snapshot {
            identity,
            promised,
            position: self.position,
            membership: self.membership.clone(),
            state: self.state.encode(),
        })
    }
}
