//! Timeouts of servers: suspected after some intervals without a heartbeat, dropped after a minute;
//! and of tombstones.

use super::Registry;
use crate::changes::Changes;
use crate::timing::{EXPIRY_AFTER_US, SUSPECT_AFTER_INTERVALS, TOMBSTONE_RETENTION_US};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::ServerRecord;

impl Registry {
    pub(super) fn suspect_after(&self) -> Micros {
        self.heartbeat_interval
            .saturating_mul(SUSPECT_AFTER_INTERVALS)
    }

    /// A machine that was suspended has received no heartbeats meanwhile: timeouts count from when it
    /// resumed.
    pub(super) fn detect_suspension(&mut self, now: Time) {
        if now.since(self.last_tick_at) > self.heartbeat_interval {
            self.resumed_at = now;
        }
        self.last_tick_at = now;
    }

    /// Drops servers without a heartbeat, and tombstones that are old enough.
    pub(super) fn expire(&mut self, now: Time, changes: &mut Changes) {
        let resumed_at = self.resumed_at;
        self.entries.retain(|instance, entry| {
            if !entry.is_live() {
                return now.since(entry.last_seen_at) < TOMBSTONE_RETENTION_US;
            }
            let is_retained = now.since(entry.last_seen_at.max(resumed_at)) < EXPIRY_AFTER_US;
            if !is_retained {
                changes.expired.push(instance.clone());
            }
            is_retained
        });
        changes.expired.sort();
    }

    /// Marks servers as suspect whose heartbeats are overdue.
    pub(super) fn suspect_overdue_servers(&mut self, now: Time, changes: &mut Changes) {
        let (resumed_at, suspect_after) = (self.resumed_at, self.suspect_after());
        let mut suspects: Vec<&ServerRecord> = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.is_live() && !entry.record.is_suspect)
        {
            if now.since(entry.last_seen_at.max(resumed_at)) >= suspect_after {
                entry.record.is_suspect = true;
                suspects.push(&entry.record);
            }
        }
        suspects.sort_by(|one, other| one.instance.cmp(&other.instance));
        suspects
            .into_iter()
            .for_each(|record| changes.push_local(record));
    }
}
