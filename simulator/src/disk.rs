//! A disk under one control process: a queue that is written and synced batch by batch, with
//! troubles and losses of power.
//!
//! It keeps the promises of `lichenswitch-storage` (a snapshot replaces all before it once
//! it is whole; a torn or missing record ends the chain; what is found at a start is synced before
//! it is used), and nothing beyond them.

use std::collections::VecDeque;

use fastrand::Rng;
use lichenswitch_replication::{DurableItem, WriteId};

/// Least time of a write with its sync, in microseconds.
const SYNC_US: u64 = 800;
/// Most that is added to it at random.
const SYNC_JITTER_US: u64 = 1_500;
/// Most records after a snapshot; then the next write is to be a snapshot.
const MAX_RECORDS_AFTER_SNAPSHOT: usize = 40;

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// Nothing.
    #[default]
    None,
    /// Each sync takes so many microseconds more.
    Slow(u64),
    /// Nothing ends until the trouble does.
    Stalled,
    /// Every write fails.
    Full,
}

/// How a batch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finished {
    /// All items up to this one are synced.
    Persisted(WriteId),
    /// This item, and all after it, were not written.
    Failed(WriteId),
    /// The disk has stalled: the batch ends later.
    WaitTimes,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    write_id: WriteId,
    item: DurableItem,
}

/// A disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    items: Vec<DurableItem>,
    queue: VecDeque<PendingWrite>,
    batch: Vec<PendingWrite>,
    fault: DiskFault,
}

impl Disk {
    /// What is found at a start.
    pub fn items(&self) -> &[DurableItem] {
        &self.items
    }

    /// Whether nothing was ever written.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether the next item should be a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        self.items.len() + self.batch.len() + self.queue.len() > MAX_RECORDS_AFTER_SNAPSHOT
    }

    /// Submits an item, to be written after all others.
    pub fn submit(&mut self, write_id: WriteId, item: DurableItem) {
        self.queue.push_back(PendingWrite { write_id, item });
    }

    /// Begins to write what waits, if nothing is being written; tells for how many microseconds.
    pub fn begin(&mut self, random: &mut Rng) -> Option<u64> {
        if !self.batch.is_empty() || self.queue.is_empty() {
            return None;
        }
        self.batch.extend(self.queue.drain(..));
        Some(self.duration(random))
    }

    fn duration(&self, random: &mut Rng) -> u64 {
        let slow = if let DiskFault::Slow(more) = self.fault {
            more
        } else {
            0
        };
        SYNC_US + random.u64(0..SYNC_JITTER_US) + slow
    }

    /// The time of the batch has passed.
    pub fn finish(&mut self, random: &mut Rng) -> Finished {
        let tickets = (
            self.batch.first().map(|pending| pending.write_id),
            self.batch.last().map(|pending| pending.write_id),
        );
        let (Some(first), Some(last)) = tickets else {
            return Finished::WaitTimes;
        };
        match self.fault {
            DiskFault::Stalled => Finished::WaitTimes,
            DiskFault::Full => {
                self.tear(random);
                self.queue.clear();
                Finished::Failed(first)
            }
            DiskFault::None | DiskFault::Slow(_) => {
                for pending in std::mem::take(&mut self.batch) {
                    self.write(pending.item);
                }
                Finished::Persisted(last)
            }
        }
    }

    fn write(&mut self, item: DurableItem) {
        if matches!(item, DurableItem::Snapshot(_)) {
            self.items.clear();
        }
        self.items.push(item);
    }

    /// Sets what is wrong; tells after how many microseconds a batch that had stalled ends.
    pub fn set_fault(&mut self, fault: DiskFault, random: &mut Rng) -> Option<u64> {
        let stalled = self.fault == DiskFault::Stalled && !self.batch.is_empty();
        self.fault = fault;
        stalled.then(|| self.duration(random))
    }

    /// What is wrong.
    pub fn fault(&self) -> DiskFault {
        self.fault
    }

    /// The process ends, or power is lost: what was being written is present, missing or torn.
    pub fn stop(&mut self, random: &mut Rng) {
        self.queue.clear();
        if random.u32(0..4) == 0 {
            self.batch.clear();
        }
        self.tear(random);
    }

    /// Of the batch, a part reaches the disk.
    fn tear(&mut self, random: &mut Rng) {
        let mut chain = true;
        for pending in std::mem::take(&mut self.batch) {
            let present = random.bool();
            let is_snapshot = matches!(pending.item, DurableItem::Snapshot(_));
            chain = present && (chain || is_snapshot);
            if chain {
                self.write(pending.item);
            }
        }
    }

    /// All is gone.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }
}
