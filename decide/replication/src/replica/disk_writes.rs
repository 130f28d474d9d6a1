//! Writes to the disk: the pending writes, the synced position, and the actions that wait for a
//! sync.

use std::collections::VecDeque;

use super::{Replica, Role};
use crate::durable::{DurableItem, Record};
use crate::faults::Fault;
use crate::message::{Body, ProcessInstant};
use crate::output::{Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Position, Time, WriteId};

/// Maximum number of pending writes at a voter; with this many it accepts no records.
const MAX_PENDING_WRITES: usize = 16;

/// The state of the disk, from the caller's reports of completed and failed writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Disk {
    last_write_id: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Position of the synced state; none on an empty disk.
    pub(super) synced: Option<Position>,
    /// Highest epoch whose promise is synced.
    pub(super) synced_promise: Epoch,
    /// Time since which the oldest unsynced item has waited.
    unsynced_since: Option<Time>,
    /// Time at which a snapshot is written after a failed write.
    retry_at: Option<Time>,
    is_stall_reported: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    write_id: WriteId,
    promise: Epoch,
    position: Option<Position>,
    submitted_at: Time,
}

impl Disk {
    /// Sets the position and promise of the state that was read from the disk.
    pub(super) fn set_recovered(&mut self, position: Position, promised: Epoch) {
        self.synced = Some(position);
        self.synced_promise = promised;
    }

    /// Marks all items up to this one as synced. Returns whether any of them was pending.
    pub(super) fn mark_synced(&mut self, write_id: WriteId) -> bool {
        let mut has_advanced = false;
        while self
            .pending_writes
            .front()
            .is_some_and(|first| first.write_id <= write_id)
        {
            let Some(synced_write) = self.pending_writes.pop_front() else {
                break;
            };
            self.synced = synced_write.position;
            self.synced_promise = synced_write.promise;
            has_advanced = true;
        }
        if self.retry_at.is_none() {
            self.unsynced_since = self.pending_writes.front().map(|first| first.submitted_at);
        }
        self.is_stall_reported &= self.unsynced_since.is_some();
        has_advanced
    }

    /// Returns how long the oldest unsynced item has waited, in microseconds; 0 if there is none.
    pub(super) fn pending_for_us(&self, now: Time) -> u64 {
        self.unsynced_since.map_or(0, |since| now.since(since))
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Whether the disk accepts writes: none has failed or stalled, and only a few are pending.
    pub(super) fn is_writable(&self, now: Time) -> bool {
        let is_responsive = self.disk.pending_for_us(now) < self.settings.disk_stall_timeout_us;
        is_responsive
            && self.disk.retry_at.is_none()
            && self.disk.pending_writes.len() < MAX_PENDING_WRITES
    }

    /// Raises the promised epoch, and writes the promise if the disk holds a state.
    pub(super) fn promise(&mut self, now: Time, epoch: Epoch) {
        debug_assert!(epoch > self.promised, "the promised epoch must increase");
        self.promised = epoch;
        if self.settings.faults.has(Fault::PromiseNotDurable) {
            self.disk.synced_promise = epoch;
        } else if self.accepted.is_some() {
            self.persist(now, DurableItem::Promise(epoch));
        }
    }

    pub(super) fn persist_record(&mut self, now: Time, record: Record) {
        self.persist(now, DurableItem::Record(record));
    }

    /// Writes the accepted state as a snapshot, unless there is none.
    pub(super) fn persist_snapshot(&mut self, now: Time) {
        let Some(accepted) = &self.accepted else {
            return;
        };
        let item = accepted.to_durable_item(self.me.identity, self.promised);
        self.persist(now, item);
    }

    fn persist(&mut self, now: Time, item: DurableItem) {
        self.disk.unsynced_since.get_or_insert(now);
        if self.disk.retry_at.is_some() {
            // The snapshot that is written after the failure includes this item.
            return;
        }
        self.disk.last_write_id += 1;
        let write_id = WriteId(self.disk.last_write_id);
        let position = self.accepted_position();
        self.disk.pending_writes.push_back(PendingWrite {
            write_id,
            promise: self.promised,
            position,
            submitted_at: now,
        });
        self.outputs.push(Output::Persist { write_id, item });
    }

    /// Returns a snapshot to write in place of this item and all items before it, to begin a new
    /// disk segment. Returns none if this item is no longer the last one in flight.
    #[must_use]
    pub fn snapshot_replacing(&self, write_id: WriteId) -> Option<DurableItem> {
        let last = self
            .disk
            .pending_writes
            .back()
            .filter(|last| last.write_id == write_id)?;
        debug_assert!(
            last.promise <= self.promised,
            "a written promise must not exceed the promise in memory"
        );
        self.durable_snapshot()
    }

    /// Returns the accepted state as a snapshot, synced or not; none on an empty disk.
    #[must_use]
    pub fn durable_snapshot(&self) -> Option<DurableItem> {
        self.accepted
            .as_ref()
            .map(|accepted| accepted.to_durable_item(self.me.identity, self.promised))
    }

    pub(super) fn on_disk_failed(&mut self, now: Time, write_id: WriteId) {
        if !self
            .disk
            .pending_writes
            .iter()
            .any(|item| item.write_id == write_id)
        {
            return;
        }
        self.disk.pending_writes.clear();
        self.disk.retry_at = Some(now.after(self.settings.retry_interval_us));
        self.outputs.push(Output::Notice(Notice::DiskFailed));
    }

    pub(super) fn tick_disk(&mut self, now: Time) {
        if self.disk.retry_at.is_some_and(|at| at <= now) {
            self.disk.retry_at = None;
            self.persist_snapshot(now);
        }
        let pending_for_us = self.disk.pending_for_us(now);
        if pending_for_us >= self.settings.disk_stall_timeout_us && !self.disk.is_stall_reported {
            self.disk.is_stall_reported = true;
            self.outputs
                .push(Output::Notice(Notice::DiskStalled { pending_for_us }));
        }
    }

    pub(super) fn next_disk_wake(&self) -> Option<Time> {
        self.disk.retry_at
    }

    /// Performs the actions that waited for a sync.
    pub(super) fn after_sync(&mut self, now: Time) {
        self.send_pending_grants();
        if matches!(self.role, Role::Follower) && self.is_sole_voter() {
            // A sole voter has no other voter to wait for, so it starts its election at once.
            self.election_due_at = now;
        }
        match &self.role {
            Role::Primary(_) => self.try_commit(now),
            Role::Candidate(_) => self.request_votes(now),
            Role::Follower | Role::PreCandidate(_) => self.report_synced(now),
        }
    }

    fn is_sole_voter(&self) -> bool {
        !self.is_non_voter() && self.membership().voters.len() == 1
    }

    /// Reports the synced position to the primary.
    fn report_synced(&mut self, now: Time) {
        let Some(known) = self.followed_primary() else {
            return;
        };
        let (address, epoch, round) = (known.member.address.clone(), known.epoch, known.round);
        self.respond_to_append(now, &address, epoch, round);
    }

    pub(super) fn respond_to_append(&mut self, now: Time, address: &str, epoch: Epoch, round: u64) {
        let mut synced = self.disk.synced;
        if self.settings.faults.has(Fault::RespondBeforeSync) {
            synced = self.accepted_position();
        }
        let response = Body::AppendResponse {
            epoch,
            round,
            synced,
            is_writable: self.is_writable(now),
            is_leaving: self.departure.is_some(),
            sent_at: ProcessInstant {
                process: self.process_nonce,
                clock: now.0,
            },
        };
        self.send(address, response);
    }
}
