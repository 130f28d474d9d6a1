//! Timeouts of the table. A server is suspect after some intervals without a heartbeat and dropped
//! after a minute. A tombstone is dropped after two minutes.

use super::Registry;
use crate::changes::Changes;
use crate::timing::{EXPIRY_AFTER_US, SUSPECT_AFTER_INTERVALS, TOMBSTONE_RETENTION_US};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::ServerRecord;

impl Registry {
    /// Returns the time without a heartbeat after which a server is suspect.
    pub(super) fn suspicion_timeout(&self) -> Micros {
        self.heartbeat_interval
            .saturating_mul(SUSPECT_AFTER_INTERVALS)
    }

    /// Detects a suspension of this machine by a tick that comes more than a heartbeat interval
    /// after the previous one. During a suspension the machine receives no heartbeats, so the
    /// timeouts of servers restart when it resumes.
    pub(super) fn detect_suspension(&mut self, now: Time) {
        if now.since(self.last_tick_at) > self.heartbeat_interval {
            self.resumed_at = now;
        }
        self.last_tick_at = now;
    }

    /// Drops servers without a heartbeat for [`EXPIRY_AFTER_US`], and tombstones that were kept for
    /// [`TOMBSTONE_RETENTION_US`]. Only dropped servers are added to `changes`.
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

    /// Marks servers without a heartbeat for the suspicion timeout as suspect. The changes are for
    /// routers only.
    pub(super) fn suspect_overdue_servers(&mut self, now: Time, changes: &mut Changes) {
        let (resumed_at, suspicion_timeout) = (self.resumed_at, self.suspicion_timeout());
        let mut suspects: Vec<&ServerRecord> = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.is_live() && !entry.record.is_suspect)
        {
            if now.since(entry.last_seen_at.max(resumed_at)) >= suspicion_timeout {
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
