//! Conflicts of live instances at one address. The instance that was started last stays, the others
//! are marked as gone.

use super::{Entry, Registry};
use crate::changes::Changes;
use crate::merge::tombstone;
use crate::timing::ADDRESS_CONFLICT_INTERVALS;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::ServerRecord;

impl Registry {
    /// Returns the time by which the heartbeats of an instance must lag behind those of another one
    /// at its address for the instance to be gone.
    fn address_conflict_timeout(&self) -> Micros {
        self.heartbeat_interval
            .saturating_mul(ADDRESS_CONFLICT_INTERVALS)
    }

    /// Returns the live instances at an address, in arbitrary order.
    pub(super) fn live_instances_at<'a>(
        &'a self,
        address: &'a str,
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.is_live() && entry.record.address == address)
    }

    /// Returns the instances that are gone once an unknown instance sends a heartbeat from their
    /// address.
    ///
    /// An instance that was started later has sent fewer heartbeats, so its sequence number is
    /// lower. If the number of the unknown instance is higher, its heartbeat may be a delayed one
    /// of an earlier instance. Then a known instance is gone only if it has not sent a heartbeat
    /// for [`Self::address_conflict_timeout`].
    pub(super) fn instances_superseded_by(
        &self,
        now: Time,
        new_record: &ServerRecord,
    ) -> Vec<String> {
        let is_superseded = |entry: &&Entry| {
            new_record.sequence_number <= entry.record.sequence_number
                || self.time_since_last_heartbeat(now, entry) >= self.address_conflict_timeout()
        };
        self.live_instances_at(&new_record.address)
            .filter(is_superseded)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }

    /// Returns the time since the last heartbeat of a server, or since this machine started or
    /// resumed if that was later, because it could not receive heartbeats before.
    fn time_since_last_heartbeat(&self, now: Time, entry: &Entry) -> Micros {
        now.since(entry.last_seen_at.max(self.resumed_at))
    }

    /// Marks instances as gone whose last heartbeat precedes that of another instance at their
    /// address by [`Self::address_conflict_timeout`]. An address with several live instances left
    /// is checked again at the next tick.
    pub(super) fn resolve_address_conflicts(&mut self, now: Time) -> Changes {
        let mut changes = Changes::default();
        for address in std::mem::take(&mut self.contested_addresses) {
            for instance in self.instances_superseded_at(&address) {
                changes.append(self.apply(now, &tombstone(&instance)));
            }
            if self.live_instances_at(&address).count() > 1 {
                self.contested_addresses.insert(address);
            }
        }
        changes
    }

    /// Returns the instances at an address whose last heartbeat precedes the newest one there by
    /// [`Self::address_conflict_timeout`].
    fn instances_superseded_at(&self, address: &str) -> Vec<String> {
        let newest = self
            .live_instances_at(address)
            .map(|entry| entry.last_seen_at)
            .max()
            .unwrap_or_default();
        let is_superseded =
            |entry: &&Entry| newest.since(entry.last_seen_at) >= self.address_conflict_timeout();
        self.live_instances_at(address)
            .filter(is_superseded)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }
}
