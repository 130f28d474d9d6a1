//! Admission of requests to the slots of a model server: one that finds no free slot waits in a
//! bounded queue.

use super::Shared;
use crate::sync::lock;
use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request without a deadline waits for a slot this long.
const DEFAULT_QUEUE_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests in the slots and in the queue before them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
}

/// A reserved slot; released when dropped.
pub(super) struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.load).running -= 1;
        self.0.freed.notify_one();
    }
}

impl Shared {
    /// Reserves a slot, and waits in the queue where none is free; `None`: the queue is full, the
    /// deadline passed first, or the server ended.
    pub(super) fn reserve_slot(&self, deadline: Option<Instant>) -> Option<Slot<'_>> {
        let mut load = lock(&self.load);
        if load.running >= self.description.slots {
            if load.waiting >= self.description.queue_capacity {
                return None;
            }
            load = self.wait_for_slot(load, deadline);
            if load.running >= self.description.slots || self.is_stopped() {
                return None;
            }
        }
        load.running += 1;
        Some(Slot(self))
    }

    fn wait_for_slot<'a>(
        &'a self,
        mut load: MutexGuard<'a, RequestLoad>,
        deadline: Option<Instant>,
    ) -> MutexGuard<'a, RequestLoad> {
        let timeout = deadline.map_or(DEFAULT_QUEUE_TIMEOUT, |deadline| {
            deadline.saturating_duration_since(Instant::now())
        });
        let must_wait =
            |load: &mut RequestLoad| load.running >= self.description.slots && !self.is_stopped();
        load.waiting += 1;
        let (mut load, _) = self
            .freed
            .wait_timeout_while(load, timeout, must_wait)
            .unwrap_or_else(PoisonError::into_inner);
        load.waiting -= 1;
        load
    }
}
