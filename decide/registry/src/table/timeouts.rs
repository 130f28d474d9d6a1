//! Timeouts of servers: suspected after some intervals without a heartbeat, dropped after a minute;
//! and of tombstones.

use super::Registry;
use crate::changes::Changes;
use crate::timing::{EXPIRY_AFTER_US, SUSPECT_AFTER_INTERVALS, TOMBSTONE_RETENTION_US};
use lichenswitch_messages::ServerRecord;

impl Registry {
    pub(super) fn suspect_after_us(&self) -> u64 {
        self.heartbeat_interval_us
            .saturating_mul(SUSPECT_AFTER_INTERVALS)
    }

    /// A machine that was suspended has received no heartbeats meanwhile: timeouts count from when it
    /// resumed.
    pub(super) fn detect_suspension(&mut self, now: u64) {
        if now.saturating_sub(self.last_tick_us) > self.heartbeat_interval_us {
            self.resumed_at_us = now;
        }
        self.last_tick_us = now;
    }

    /// Drops servers without a heartbeat, and tombstones that are old enough.
    pub(super) fn expire(&mut self, now: u64, changes: &mut Changes) {
        let resumed_at_us = self.resumed_at_us;
        self.entries.retain(|instance, entry| {
            if !entry.is_live() {
                return now.saturating_sub(entry.last_seen_us) < TOMBSTONE_RETENTION_US;
            }
            let is_retained =
                now.saturating_sub(entry.last_seen_us.max(resumed_at_us)) < EXPIRY_AFTER_US;
            if !is_retained {
                changes.expired.push(instance.clone());
            }
            is_retained
        });
        changes.expired.sort();
    }

    /// Marks servers as suspect whose heartbeats are overdue.
    pub(super) fn suspect_overdue_servers(&mut self, now: u64, changes: &mut Changes) {
        let (resumed_at_us, suspect_after_us) = (self.resumed_at_us, self.suspect_after_us());
        let mut suspects: Vec<&ServerRecord> = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.is_live() && !entry.record.is_suspect)
        {
            if now.saturating_sub(entry.last_seen_us.max(resumed_at_us)) >= suspect_after_us {
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
