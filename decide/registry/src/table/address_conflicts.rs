//! Addresses with more than one live instance: the one that was started last stays.

use super::{Entry, Registry};
use crate::changes::Changes;
use crate::merge::tombstone;
use crate::timing::ADDRESS_CONFLICT_INTERVALS;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::ServerRecord;

impl Registry {
    fn conflict_after(&self) -> Micros {
        self.heartbeat_interval
            .saturating_mul(ADDRESS_CONFLICT_INTERVALS)
    }

    /// Live instances at an address.
    pub(super) fn live_at<'a>(&'a self, address: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.is_live() && entry.record.address == address)
    }

    /// Instances that end when an unknown one sends a heartbeat from their address. An instance that
    /// was started later has sent fewer heartbeats; where the newcomer has sent more, this one may
    /// be delayed, and the time without a heartbeat decides.
    pub(super) fn superseded_by(&self, now: Time, newcomer: &ServerRecord) -> Vec<String> {
        let is_superseded = |entry: &&Entry| {
            newcomer.sequence_number <= entry.record.sequence_number
                || self.since_last_heartbeat(now, entry) >= self.conflict_after()
        };
        self.live_at(&newcomer.address)
            .filter(is_superseded)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }

    /// Time without a heartbeat of a server while this machine could receive it.
    fn since_last_heartbeat(&self, now: Time, entry: &Entry) -> Micros {
        now.since(entry.last_seen_at.max(self.resumed_at))
    }

    /// Ends instances whose last heartbeat precedes by far that of another one at their address.
    pub(super) fn resolve_address_conflicts(&mut self, now: Time) -> Changes {
        let mut changes = Changes::default();
        for address in std::mem::take(&mut self.contested_addresses) {
            for instance in self.superseded_at(&address) {
                changes.append(self.apply(now, &tombstone(&instance)));
            }
            if self.live_at(&address).count() > 1 {
                self.contested_addresses.insert(address);
            }
        }
        changes
    }

    fn superseded_at(&self, address: &str) -> Vec<String> {
        let newest = self
            .live_at(address)
            .map(|entry| entry.last_seen_at)
            .max()
            .unwrap_or_default();
        let is_superseded =
            |entry: &&Entry| newest.since(entry.last_seen_at) >= self.conflict_after();
        self.live_at(address)
            .filter(is_superseded)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }
}
