//! What was handed to the disk, what of it is synced, and what waits for that.

use std::collections::VecDeque;

use super::{Memory, Replica, Role};
use crate::durable::{DurableItem, Record};
use crate::message::{Body, ProcessInstant};
use crate::output::{Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Position, Time, WriteId};

/// Most items that wait for the disk at a voter: beyond this it accepts nothing more.
const MOST_OUTSTANDING: usize = 16;

/// The disk, as far as it is known here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Disk {
    last_ticket: u64,
    outstanding: VecDeque<Outstanding>,
    /// Where the synced image stands.
    pub(super) synced: Option<Position>,
    /// The synced promise.
    pub(super) synced_promise: Epoch,
    /// Since when something waits to be synced.
    unsynced_since: Option<Time>,
    /// A write failed: the whole image is written at this time.
    retry_at: Option<Time>,
    stall_told: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outstanding {
    write_id: WriteId,
    promise: Epoch,
    position: Option<Position>,
    since: Time,
}

impl Disk {
    pub(super) fn recovered(&mut self, position: Position, promised: Epoch) {
        self.synced = Some(position);
        self.synced_promise = promised;
    }

    /// Takes in that all up to this ticket is synced; whether that is news.
    pub(super) fn persisted(&mut self, write_id: WriteId) -> bool {
        let mut news = false;
        while self
            .outstanding
            .front()
            .is_some_and(|first| first.write_id <= write_id)
        {
            let Some(done) = self.outstanding.pop_front() else {
                break;
            };
            self.synced = done.position;
            self.synced_promise = done.promise;
            news = true;
        }
        if self.retry_at.is_none() {
            self.unsynced_since = self.outstanding.front().map(|first| first.since);
        }
        self.stall_told &= self.unsynced_since.is_some();
        news
    }

    /// For how long something has waited to be synced.
    pub(super) fn waits_for(&self, now: Time) -> u64 {
        self.unsynced_since.map_or(0, |since| now.since(since))
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Whether the disk takes writes: none failed, none waits too long, and few wait.
    pub(super) fn writable(&self, now: Time) -> bool {
        let fast = self.disk.waits_for(now) < self.settings.disk_stall;
        fast && self.disk.retry_at.is_none() && self.disk.outstanding.len() < MOST_OUTSTANDING
    }

    /// Raises the promise, and writes it if there is an image that it protects.
    pub(super) fn promise(&mut self, now: Time, epoch: Epoch) {
        debug_assert!(epoch > self.promised, "a promise only rises");
        self.promised = epoch;
        if self.settings.faults.promise_not_durable {
            self.disk.synced_promise = epoch;
        } else if self.image.is_some() {
            self.persist(now, DurableItem::Promise(epoch));
        }
    }

    pub(super) fn persist_record(&mut self, now: Time, record: Record) {
        self.persist(now, DurableItem::Record(record));
    }

    /// Writes the whole image in memory.
    pub(super) fn persist_image(&mut self, now: Time) {
        let Some(image) = &self.image else { return };
        let item = image.to_item(self.me.identity, self.promised);
        self.persist(now, item);
    }

    fn persist(&mut self, now: Time, item: DurableItem) {
        self.disk.unsynced_since.get_or_insert(now);
        if self.disk.retry_at.is_some() {
            // Memory is ahead; the image that is written after the failure carries this item.
            return;
        }
        self.disk.last_ticket += 1;
        let write_id = WriteId(self.disk.last_ticket);
        let position = self.image.as_ref().map(|image| image.position);
        self.disk.outstanding.push_back(Outstanding {
            write_id,
            promise: self.promised,
            position,
            since: now,
        });
        self.outputs.push(Output::Persist { write_id, item });
    }

    /// The whole image that stands for the item of this ticket and all before it, if a segment of
    /// the disk begins anew with it; none if it is no longer, or not the last, in flight.
    pub fn snapshot_for(&self, write_id: WriteId) -> Option<DurableItem> {
        let last = self
            .disk
            .outstanding
            .back()
            .filter(|last| last.write_id == write_id)?;
        debug_assert!(
            last.promise <= self.promised,
            "the disk never knows a promise that memory doesn't"
        );
        self.durable_snapshot()
    }

    /// Everything that this member holds, as an item; also what was accepted and not yet synced.
    pub fn durable_snapshot(&self) -> Option<DurableItem> {
        self.image
            .as_ref()
            .map(|image: &Memory<S>| image.to_item(self.me.identity, self.promised))
    }

    pub(super) fn disk_failed(&mut self, now: Time, write_id: WriteId) {
        if !self
            .disk
            .outstanding
            .iter()
            .any(|item| item.write_id == write_id)
        {
            return;
        }
        self.disk.outstanding.clear();
        self.disk.retry_at = Some(now.after(self.settings.retry_interval));
        self.outputs.push(Output::Notice(Notice::DiskFailed));
    }

    pub(super) fn tick_disk(&mut self, now: Time) {
        if self.disk.retry_at.is_some_and(|at| at <= now) {
            self.disk.retry_at = None;
            self.persist_image(now);
        }
        let outstanding_for = self.disk.waits_for(now);
        if outstanding_for >= self.settings.disk_stall && !self.disk.stall_told {
            self.disk.stall_told = true;
            self.outputs
                .push(Output::Notice(Notice::DiskStalled { outstanding_for }));
        }
    }

    pub(super) fn wake_of_disk(&self) -> Option<Time> {
        self.disk.retry_at
    }

    /// Sends what waited for the disk.
    pub(super) fn after_sync(&mut self, now: Time) {
        self.send_pending_grants();
        if matches!(self.role, Role::Follower) && self.is_alone() {
            // A sole voter has nobody to wait for.
            self.election_at = now;
        }
        match &self.role {
            Role::Primary(_) => self.try_commit(now),
            Role::Candidate(_) => self.begin_vote(now),
            Role::Follower | Role::Canvassing(_) => self.tell_synced(now),
        }
    }

    fn is_alone(&self) -> bool {
        let voters = self
            .image
            .as_ref()
            .map_or(&[][..], |image| &image.membership.voters);
        !self.is_outsider() && voters.len() == 1
    }

    /// Tells the primary what is synced now.
    fn tell_synced(&mut self, now: Time) {
        let Some(known) = &self.known else { return };
        if known.epoch != self.promised {
            return;
        }
        let (address, epoch, round) = (known.member.address.clone(), known.epoch, known.round);
        self.answer_append(now, &address, epoch, round);
    }

    pub(super) fn answer_append(&mut self, now: Time, address: &str, epoch: Epoch, round: u64) {
        let mut synced = self.disk.synced;
        if self.settings.faults.answer_before_sync {
            synced = self.image.as_ref().map(|image| image.position);
        }
        let (writable, leaving) = (self.writable(now), self.leaving.is_some());
        let stamp = ProcessInstant {
            process: self.process,
            clock: now.0,
        };
        self.send(
            address,
            Body::AppendResponse {
                epoch,
                round,
                synced,
                writable,
                leaving,
                stamp,
            },
        );
    }
}
