//! The table of servers of one control machine.
//!
//! Records are merged and only ever advance. Whether a server is suspect is not merged: each machine
//! judges it by when it, or another machine that reported so, last received a heartbeat.

mod address_conflicts;
mod timeouts;

use crate::changes::Changes;
use crate::heartbeat::Heartbeat;
use crate::merge::{merge_record, normalized, tombstone};
use crate::timing::{SNAPSHOT_TOMBSTONE_MAX_AGE_US, TICKS_PER_INTERVAL};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::{HeartbeatAge, ServerRecord, ServerState};
use std::collections::{BTreeSet, HashMap};

/// Microseconds in a millisecond, the unit of [`HeartbeatAge`].
const MICROS_PER_MILLI: Micros = 1_000;

/// A server, with when its last heartbeat came.
#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// When its last heartbeat came, here or to a machine that reported so; of one that is gone,
    /// when that was learnt.
    last_seen_at: Time,
    /// Whether a heartbeat has come here since the last digest.
    is_due_in_digest: bool,
    /// Whether it is known only from the table that was stored before the start.
    is_cached: bool,
}

impl Entry {
    fn is_live(&self) -> bool {
        self.record.state != ServerState::Gone
    }
}

/// The table of servers.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Micros,
    /// Since when this machine has run without a pause: earlier timeouts mean nothing.
    resumed_at: Time,
    last_tick_at: Time,
    entries: HashMap<String, Entry>,
    /// Addresses at which there may be more than one live instance.
    contested_addresses: BTreeSet<String>,
}

impl Registry {
    /// An empty table of a machine that starts now. Servers send heartbeats at this interval.
    #[must_use]
    pub fn new(now: Time, heartbeat_interval: Micros) -> Registry {
        Registry {
            heartbeat_interval: heartbeat_interval.max(1),
            resumed_at: now,
            last_tick_at: now,
            entries: HashMap::new(),
            contested_addresses: BTreeSet::new(),
        }
    }

    /// Replaces the interval of heartbeats.
    pub fn set_heartbeat_interval(&mut self, heartbeat_interval: Micros) {
        self.heartbeat_interval = heartbeat_interval.max(1);
    }

    /// A heartbeat has come here. One that is delayed, or of an instance that is gone, changes
    /// nothing.
    pub fn on_heartbeat(&mut self, now: Time, instance: &str, heartbeat: &Heartbeat) -> Changes {
        let update = heartbeat.to_record(instance);
        let is_current = self
            .entries
            .get(instance)
            .is_none_or(|known| !precedes(&update, known));
        let superseded = match self.entries.contains_key(instance) {
            true => Vec::new(),
            false => self.superseded_by(now, &update),
        };
        let mut changes = self.apply(now, &update);
        if is_current {
            changes.append(self.record_heartbeat(now, instance));
        }
        for other in superseded {
            changes.append(self.apply(now, &tombstone(&other)));
        }
        changes
    }

    /// A server has deregistered, whether it was draining before or not, and whether it is known or
    /// not.
    pub fn on_deregister(&mut self, now: Time, instance: &str) -> Changes {
        self.apply(now, &tombstone(instance))
    }

    /// Another control machine has sent a record.
    pub fn merge(&mut self, now: Time, update: &ServerRecord) -> Changes {
        self.apply(now, update)
    }

    /// Another control machine has sent records.
    pub fn merge_all(&mut self, now: Time, updates: &[ServerRecord]) -> Changes {
        let mut changes = Changes::default();
        updates
            .iter()
            .for_each(|record| changes.append(self.apply(now, record)));
        changes
    }

    /// Restores what this machine had stored before its start. An unknown server is known from now
    /// on, and its timeouts begin now unless its record is suspect; it is not sent to other control
    /// machines, which may have dropped it with reason. That a server was draining or gone applies
    /// in any case: an earlier heartbeat of it may still be under way.
    pub fn restore_cached(&mut self, now: Time, records: &[ServerRecord]) -> Changes {
        let mut changes = Changes::default();
        for record in records {
            match self.entries.get(&record.instance) {
                None => changes.append(self.insert_cached(now, record)),
                Some(known) if known.record.state < record.state => {
                    changes.append(self.apply(now, record))
                }
                Some(_) => {}
            }
        }
        changes
    }

    /// Another control machine has reported from which servers heartbeats came.
    pub fn merge_heartbeat_digest(&mut self, now: Time, digest: &[HeartbeatAge]) -> Changes {
        let mut changes = Changes::default();
        for heartbeat in digest {
            let at = now.minus(u64::from(heartbeat.age_ms) * MICROS_PER_MILLI);
            changes.append(self.record_heartbeat_at(now, at, &heartbeat.instance));
        }
        changes
    }

    /// Resolves address conflicts, and applies the timeouts of servers and tombstones. To be called
    /// by [`Registry::next_wake`].
    pub fn tick(&mut self, now: Time) -> Changes {
        self.detect_suspension(now);
        let mut changes = self.resolve_address_conflicts(now);
        self.expire(now, &mut changes);
        self.suspect_overdue_servers(now, &mut changes);
        changes
    }

    /// When to call [`Registry::tick`] next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        self.last_tick_at
            .plus((self.heartbeat_interval / TICKS_PER_INTERVAL).max(1))
    }

    /// Servers that are known only from the table that was stored before the start, tombstones
    /// included: for routers, and for machines that know no servers.
    #[must_use]
    pub fn cached_servers(&self) -> Vec<ServerRecord> {
        let mut records: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.is_cached)
            .map(|entry| entry.record.clone())
            .collect();
        records.sort_by(|one, other| one.instance.cmp(&other.instance));
        records
    }

    /// What a starting machine has to know: live servers, and tombstones of the last minute. Servers
    /// that are only [`Registry::cached_servers`] are no part of it.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> Vec<ServerRecord> {
        let is_included = |entry: &&Entry| {
            !entry.is_cached
                && (entry.is_live()
                    || now.since(entry.last_seen_at) < SNAPSHOT_TOMBSTONE_MAX_AGE_US)
        };
        let mut records: Vec<_> = self
            .entries
            .values()
            .filter(is_included)
            .map(|entry| entry.record.clone())
            .collect();
        records.sort_by(|one, other| one.instance.cmp(&other.instance));
        records
    }

    /// The last heartbeats of the servers whose heartbeats came here since the last digest, by
    /// instance.
    pub fn take_heartbeat_digest(&mut self, now: Time) -> Vec<HeartbeatAge> {
        let mut digest = Vec::new();
        for (instance, entry) in self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_due_in_digest && entry.is_live())
        {
            entry.is_due_in_digest = false;
            let age_ms = now.since(entry.last_seen_at) / MICROS_PER_MILLI;
            digest.push(HeartbeatAge {
                instance: instance.clone(),
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            });
        }
        digest.sort();
        digest
    }

    /// What is known of an instance.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&ServerRecord> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// Servers that are not gone, in no order.
    pub fn live_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries
            .values()
            .filter(|entry| entry.is_live())
            .map(|entry| &entry.record)
    }

    /// Number of records, tombstones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Merges an update.
    fn apply(&mut self, now: Time, update: &ServerRecord) -> Changes {
        match self.entries.contains_key(&update.instance) {
            true => self.update_known(now, update),
            false => self.insert_new(now, update),
        }
    }

    /// A server that becomes known by an update.
    fn insert_new(&mut self, now: Time, update: &ServerRecord) -> Changes {
        let record = ServerRecord {
            is_suspect: false,
            ..normalized(update)
        };
        let mut changes = Changes::default();
        changes.push_replicated(&record);
        self.insert(Entry {
            record,
            last_seen_at: now,
            is_due_in_digest: false,
            is_cached: false,
        });
        changes
    }

    /// A server that was stored before the start: it may still serve, unless it was gone.
    fn insert_cached(&mut self, now: Time, stored: &ServerRecord) -> Changes {
        let record = normalized(stored);
        let mut changes = Changes::default();
        changes.push_local(&record);
        let elapsed = if record.is_suspect {
            self.suspect_after()
        } else {
            0
        };
        self.insert(Entry {
            record,
            last_seen_at: now.minus(elapsed),
            is_due_in_digest: false,
            is_cached: true,
        });
        changes
    }

    fn insert(&mut self, entry: Entry) {
        if entry.is_live() && self.live_at(&entry.record.address).next().is_some() {
            self.contested_addresses
                .insert(entry.record.address.clone());
        }
        self.entries.insert(entry.record.instance.clone(), entry);
    }

    /// A newer update shows that a heartbeat came somewhere. Only what matters to others is sent on:
    /// a heartbeat that repeats the one before is not.
    fn update_known(&mut self, now: Time, update: &ServerRecord) -> Changes {
        let mut changes = Changes::default();
        let Some(entry) = self.entries.get_mut(&update.instance) else {
            return changes;
        };
        let before = entry.record.clone();
        let is_cached = std::mem::take(&mut entry.is_cached);
        if !merge_record(&mut entry.record, update) && !is_cached {
            return changes;
        }
        entry.last_seen_at = entry.last_seen_at.max(now);
        entry.record.is_suspect = false;
        if is_cached || is_update_for_peers(&before, &entry.record) {
            changes.push_replicated(&entry.record);
        } else if before.is_suspect {
            changes.push_local(&entry.record);
        }
        if entry.is_live() && before.address != entry.record.address {
            self.contested_addresses
                .insert(entry.record.address.clone());
        }
        changes
    }

    /// A heartbeat came here.
    fn record_heartbeat(&mut self, now: Time, instance: &str) -> Changes {
        match self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.is_live())
        {
            Some(entry) => entry.is_due_in_digest = true,
            None => return Changes::default(),
        }
        self.record_heartbeat_at(now, now, instance)
    }

    /// A heartbeat came at some time, here or elsewhere.
    fn record_heartbeat_at(&mut self, now: Time, at: Time, instance: &str) -> Changes {
        let mut changes = Changes::default();
        let suspect_after = self.suspect_after();
        let Some(entry) = self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.is_live())
        else {
            return changes;
        };
        entry.last_seen_at = entry.last_seen_at.max(at);
        entry.is_cached = false;
        if entry.record.is_suspect && now.since(entry.last_seen_at) < suspect_after {
            entry.record.is_suspect = false;
            changes.push_local(&entry.record);
        }
        changes
    }
}

/// Whether an update is older than what is known.
fn precedes(update: &ServerRecord, known: &Entry) -> bool {
    update.sequence_number < known.record.sequence_number
}

/// Whether a record differs from the one before for others: in anything but the sequence number and
/// a warm-up time that only runs down.
fn is_update_for_peers(before: &ServerRecord, after: &ServerRecord) -> bool {
    let expected = ServerRecord {
        sequence_number: after.sequence_number,
        warm_up_remaining_ms: before.warm_up_remaining_ms.max(after.warm_up_remaining_ms),
        is_suspect: after.is_suspect,
        ..before.clone()
    };
    let updated = ServerRecord {
        warm_up_remaining_ms: expected.warm_up_remaining_ms,
        ..after.clone()
    };
    expected != updated || after.warm_up_remaining_ms > before.warm_up_remaining_ms
}

#[cfg(test)]
mod tests;
