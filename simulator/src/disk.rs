//! The simulated disk of one control process: a queue that is written and synced batch by batch,
//! with faults and losses of power.
//!
//! It guarantees what `lichenswitch-storage` does, and no more: a snapshot replaces everything before
//! it once it is complete; a torn or missing record ends the chain; what is found at a start is synced
//! before it is used.

use std::collections::VecDeque;

use fastrand::Rng;
use lichenswitch_replication::{DurableItem, WriteId};

/// Least time of a write with its sync, in microseconds.
const SYNC_US: u64 = 800;
/// Upper bound of the random addition to it, in microseconds.
const SYNC_JITTER_US: u64 = 1_500;
/// Most records after a snapshot; beyond, the next write should be a snapshot.
const MAX_RECORDS_AFTER_SNAPSHOT: usize = 40;

/// A fault of a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// None: the disk is healthy.
    #[default]
    None,
    /// Each sync takes so many microseconds more.
    Slow(u64),
    /// No batch ends until the fault does.
    Stalled,
    /// Every write fails.
    Full,
}

/// The outcome of a batch whose time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All items up to this one are synced.
    Persisted(WriteId),
    /// This item, and all after it, were not written.
    Failed(WriteId),
    /// The disk has stalled: the batch ends later.
    Stalled,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    write_id: WriteId,
    item: DurableItem,
}

/// A simulated disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    items: Vec<DurableItem>,
    queue: VecDeque<PendingWrite>,
    batch: Vec<PendingWrite>,
    fault: DiskFault,
}

impl Disk {
    /// The items that a starting process finds.
    pub fn items(&self) -> &[DurableItem] {
        &self.items
    }

    /// Whether nothing was written.
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

    /// Begins to write the queue as one batch, if none is in progress; returns its duration in
    /// microseconds.
    pub fn begin_batch(&mut self, random: &mut Rng) -> Option<u64> {
        if !self.batch.is_empty() || self.queue.is_empty() {
            return None;
        }
        self.batch.extend(self.queue.drain(..));
        Some(self.duration(random))
    }

    fn duration(&self, random: &mut Rng) -> u64 {
        let slow = if let DiskFault::Slow(additional) = self.fault {
            additional
        } else {
            0
        };
        SYNC_US + random.u64(0..SYNC_JITTER_US) + slow
    }

    /// Ends the batch, whose time has passed.
    pub fn finish_batch(&mut self, random: &mut Rng) -> BatchOutcome {
        let write_ids = (
            self.batch.first().map(|pending| pending.write_id),
            self.batch.last().map(|pending| pending.write_id),
        );
        let (Some(first), Some(last)) = write_ids else {
            return BatchOutcome::Stalled;
        };
        match self.fault {
            DiskFault::Stalled => BatchOutcome::Stalled,
            DiskFault::Full => {
                self.tear(random);
                self.queue.clear();
                BatchOutcome::Failed(first)
            }
            DiskFault::None | DiskFault::Slow(_) => {
                for pending in std::mem::take(&mut self.batch) {
                    self.write(pending.item);
                }
                BatchOutcome::Persisted(last)
            }
        }
    }

    fn write(&mut self, item: DurableItem) {
        if matches!(item, DurableItem::Snapshot(_)) {
            self.items.clear();
        }
        self.items.push(item);
    }

    /// Sets the fault; returns after how many microseconds a batch that had stalled ends.
    pub fn set_fault(&mut self, fault: DiskFault, random: &mut Rng) -> Option<u64> {
        let stalled = self.fault == DiskFault::Stalled && !self.batch.is_empty();
        self.fault = fault;
        stalled.then(|| self.duration(random))
    }

    /// The fault at present.
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

    /// A random part of the batch reaches the disk; a missing record ends the chain.
    fn tear(&mut self, random: &mut Rng) {
        let mut chain_intact = true;
        for pending in std::mem::take(&mut self.batch) {
            let present = random.bool();
            let is_snapshot = matches!(pending.item, DurableItem::Snapshot(_));
            chain_intact = present && (chain_intact || is_snapshot);
            if chain_intact {
                self.write(pending.item);
            }
        }
    }

    /// Erases everything, faults included.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }
}
