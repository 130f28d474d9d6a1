//! The state of a primary: its peers, the newest records, and operations in progress.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::rounds::Rounds;
use crate::durable::{Record, Update};
use crate::message::ProcessInstant;
use crate::types::{Epoch, Identity, Member, Position, RequestId, Time};

/// Maximum number of records that are retained for peers that are missing only a few.
const MAX_RETAINED_RECORDS: usize = 64;
/// Maximum size of the records in one message, in bytes. A single larger record is sent alone.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum size of the retained records, in bytes. The last record is retained whatever its size.
const MAX_RETAINED_BYTES: usize = 4 * MAX_MESSAGE_BYTES;
/// Approximate size of a record without its change, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// The state of a primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Primary {
    pub(super) epoch: Epoch,
    pub(super) elected_at: Time,
    pub(super) peers: BTreeMap<Identity, Peer>,
    /// The newest records of this epoch, consecutive. The last one is the head.
    recent_records: VecDeque<Record>,
    /// Whether the record at the head is not committed yet.
    pub(super) has_record_in_flight: bool,
    /// The request whose change is in the record in flight.
    pub(super) in_flight_request: Option<RequestId>,
    /// Whether the first record of the epoch is committed.
    pub(super) is_serving: bool,
    /// Changes that are not written yet.
    pub(super) queued_changes: VecDeque<(RequestId, Vec<u8>)>,
    pub(super) rounds: Rounds,
    pub(super) next_heartbeat_at: Time,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    /// Voters whose removal was rejected and reported.
    pub(super) rejected_removals: BTreeSet<Identity>,
}

/// A voter or learner, as known to the primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) role: PeerRole,
    pub(super) last_contact_at: Time,
    /// Highest round that the peer has confirmed.
    pub(super) round: u64,
    /// Position of its synced state, from its responses.
    pub(super) synced: Option<Position>,
    /// Whether the peer has responded in this epoch.
    pub(super) has_responded: bool,
    pub(super) is_writable: bool,
    pub(super) is_leaving: bool,
    /// Position of the last record that was sent to the peer, and the time of sending.
    pub(super) last_sent: Option<(Position, Time)>,
    /// Time at which the peer sent the last response that has arrived.
    pub(super) last_response_sent_at: Option<ProcessInstant>,
}

/// The role of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum PeerRole {
    /// The membership includes the peer.
    Voter,
    /// The peer has asked to join, and the primary brings it up to date.
    Learner,
}

/// The fields of a received [`crate::message::Body::AppendResponse`], without its epoch.
pub(super) struct ReportedProgress {
    pub(super) round: u64,
    pub(super) synced: Option<Position>,
    pub(super) is_writable: bool,
    pub(super) is_leaving: bool,
    pub(super) sent_at: ProcessInstant,
}

/// An attempt of the primary to transfer the leadership to another voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeadershipTransfer {
    /// The voter that was asked last; none if no voter is suitable.
    pub(super) to: Option<Member>,
    pub(super) next_attempt_at: Time,
}

impl LeadershipTransfer {
    /// Whether a voter was asked to take over. The primary then writes no changes.
    pub(super) fn is_in_progress(&self) -> bool {
        self.to.is_some()
    }
}

impl Peer {
    /// Creates a learner that has just made contact.
    pub(super) fn learner(member: Member, now: Time) -> Self {
        Self {
            member,
            role: PeerRole::Learner,
            last_contact_at: now,
            round: 0,
            synced: None,
            has_responded: false,
            is_writable: true,
            is_leaving: false,
            last_sent: None,
            last_response_sent_at: None,
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.role == PeerRole::Voter
    }

    /// Updates the peer from a response under `epoch`, to a round up to `current_round`. Returns
    /// whether the response is the first in this epoch or its synced position has advanced.
    pub(super) fn update(
        &mut self,
        now: Time,
        epoch: Epoch,
        current_round: u64,
        progress: &ReportedProgress,
    ) -> bool {
        let synced = progress.synced;
        self.last_contact_at = now;
        self.is_writable = progress.is_writable;
        self.last_response_sent_at = Some(progress.sent_at);
        self.is_leaving = progress.is_leaving;
        self.round = self.round.max(progress.round.min(current_round));
        let is_first = !self.has_responded;
        self.has_responded = true;
        let has_advanced = synced > self.synced;
        if synced.is_some_and(|position| position.epoch == epoch) {
            self.synced = self.synced.max(synced);
        } else if self.synced.is_none_or(|position| position.epoch != epoch) {
            self.synced = synced;
        }
        is_first || has_advanced
    }
}

impl Primary {
    /// Creates the state of a primary that was elected for this epoch by votes that it requested at
    /// `votes_requested_at`.
    pub(super) fn new(epoch: Epoch, votes_requested_at: Time, now: Time) -> Self {
        Self {
            epoch,
            elected_at: now,
            peers: BTreeMap::new(),
            recent_records: VecDeque::new(),
            has_record_in_flight: false,
            in_flight_request: None,
            is_serving: false,
            queued_changes: VecDeque::new(),
            rounds: Rounds::new(votes_requested_at),
            next_heartbeat_at: now,
            leadership_transfer: None,
            rejected_removals: BTreeSet::new(),
        }
    }

    /// Returns the records to send to a peer, as many as fit in one message, or none if they are
    /// not retained.
    pub(super) fn records_for(&self, peer: &Peer) -> Option<Vec<Record>> {
        match (peer.has_responded, self.recent_records.front()) {
            // Before the first response, a new primary assumes that its peers have the state that
            // it adopted.
            (false, Some(first)) if self.recent_records.len() == 1 => {
                self.records_after(Some(first.previous))
            }
            _ => self.records_after(peer.synced),
        }
    }

    fn records_after(&self, position: Option<Position>) -> Option<Vec<Record>> {
        let first_index = self
            .recent_records
            .iter()
            .position(|record| Some(record.previous) == position)?;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let bytes_before = bytes;
            bytes += size_of_update(&record.update);
            bytes_before == 0 || bytes <= MAX_MESSAGE_BYTES
        };
        let records = self
            .recent_records
            .iter()
            .skip(first_index)
            .take_while(fits);
        Some(records.cloned().collect())
    }

    /// Whether the record that follows this position is retained.
    pub(super) fn has_record_after(&self, position: Position) -> bool {
        self.recent_records
            .iter()
            .any(|record| record.previous == position)
    }

    /// Returns the record at the head.
    pub(super) fn last_record(&self) -> Option<&Record> {
        self.recent_records.back()
    }

    /// Retains a record and discards the oldest ones beyond the limits.
    pub(super) fn retain_record(&mut self, record: Record) {
        self.recent_records.push_back(record);
        while self.recent_records.len() > MAX_RETAINED_RECORDS
            || (self.recent_records.len() > 1 && self.retained_bytes() > MAX_RETAINED_BYTES)
        {
            self.recent_records.pop_front();
        }
    }

    fn retained_bytes(&self) -> usize {
        self.recent_records
            .iter()
            .map(|record| size_of_update(&record.update))
            .sum()
    }
}

fn size_of_update(update: &Update) -> usize {
    match update {
        Update::Change(change) => change.len() + RECORD_OVERHEAD_BYTES,
        Update::EpochStart | Update::Membership(_) => RECORD_OVERHEAD_BYTES,
    }
}
