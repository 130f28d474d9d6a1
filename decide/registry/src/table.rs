//! Table of servers of one control machine.
//!
//! Records are merged, so a record only ever increases in the order of [`merge_record`]. Whether a
//! server is suspect is not merged: each machine decides it from the time of the last heartbeat
//! that the machine itself received or that another machine reported.

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

/// The record of a server or a tombstone, and what this machine knows about its heartbeats.
#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// When the last heartbeat came to this machine or to another machine that reported it. For a
    /// tombstone: when this machine learned that the instance is gone.
    last_seen_at: Time,
    /// Whether a heartbeat has come to this machine since the last digest.
    is_due_in_digest: bool,
    /// Whether the server is known only from the table that was stored before the start.
    is_cached: bool,
}

impl Entry {
    fn is_live(&self) -> bool {
        self.record.state != ServerState::Gone
    }
}

/// Table of servers and tombstones by instance.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Micros,
    /// When this machine started or last resumed after a suspension. Timeouts count from here at
    /// the earliest.
    resumed_at: Time,
    last_tick_at: Time,
    entries: HashMap<String, Entry>,
    /// Addresses at which there may be more than one live instance.
    contested_addresses: BTreeSet<String>,
}

impl Registry {
    /// Creates an empty table of a machine that starts at `now`. Servers send a heartbeat at each
    /// `heartbeat_interval`.
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

    /// Sets the heartbeat interval after the settings were read again. The minimum is 1 µs.
    pub fn set_heartbeat_interval(&mut self, heartbeat_interval: Micros) {
        self.heartbeat_interval = heartbeat_interval.max(1);
    }

    /// Handles a heartbeat that has come to this machine. A delayed heartbeat does not renew the
    /// timeout of its server, and a heartbeat of an instance that is gone changes nothing.
    pub fn on_heartbeat(&mut self, now: Time, instance: &str, heartbeat: &Heartbeat) -> Changes {
        let update = heartbeat.to_record(instance);
        let is_current = self
            .entries
            .get(instance)
            .is_none_or(|known| !precedes(&update, known));
        let superseded = match self.entries.contains_key(instance) {
            true => Vec::new(),
            false => self.instances_superseded_by(now, &update),
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

    /// Marks an instance as gone after its deregistration. The instance need not be draining or
    /// even known.
    pub fn on_deregister(&mut self, now: Time, instance: &str) -> Changes {
        self.apply(now, &tombstone(instance))
    }

    /// Merges a record that another control machine has sent.
    pub fn merge(&mut self, now: Time, update: &ServerRecord) -> Changes {
        self.apply(now, update)
    }

    /// Merges records that another control machine has sent.
    pub fn merge_all(&mut self, now: Time, updates: &[ServerRecord]) -> Changes {
        let mut changes = Changes::default();
        updates
            .iter()
            .for_each(|record| changes.append(self.apply(now, record)));
        changes
    }

    /// Restores the records that this machine had stored before its start.
    ///
    /// An unknown server is added. Its timeouts begin now, unless its record is suspect. It is not
    /// sent to other control machines, which may have dropped it for good reason. A stored state
    /// that is later than the known one, draining or gone, replaces the known record, because the
    /// known record may come from an earlier, delayed heartbeat.
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

    /// Handles a digest of the heartbeats that another control machine has received.
    pub fn merge_heartbeat_digest(&mut self, now: Time, digest: &[HeartbeatAge]) -> Changes {
        let mut changes = Changes::default();
        for heartbeat in digest {
            let received_at = now.minus(u64::from(heartbeat.age_ms) * MICROS_PER_MILLI);
            changes.append(self.record_heartbeat_at(now, received_at, &heartbeat.instance));
        }
        changes
    }

    /// Resolves address conflicts, and applies the timeouts of servers and tombstones. The caller
    /// must call it by [`Registry::next_wake`]. If more than a heartbeat interval passes between
    /// two calls, the table assumes that this machine was suspended.
    pub fn tick(&mut self, now: Time) -> Changes {
        self.detect_suspension(now);
        let mut changes = self.resolve_address_conflicts(now);
        self.expire(now, &mut changes);
        self.suspect_overdue_servers(now, &mut changes);
        changes
    }

    /// Returns when to call [`Registry::tick`] next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        self.last_tick_at
            .plus((self.heartbeat_interval / TICKS_PER_INTERVAL).max(1))
    }

    /// Returns the records, including tombstones, that are known only from the table stored before
    /// the start, sorted by instance. They are sent to routers, and to machines that know no
    /// servers.
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

    /// Returns the records to send to a starting machine: live servers and the tombstones of the
    /// last minute, sorted by instance. [`Registry::cached_servers`] are not included.
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

    /// Returns the ages of the heartbeats that came to this machine since the last digest, sorted
    /// by instance, and starts the next digest.
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

    /// Returns the record or tombstone of an instance; `None` if the instance is unknown.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&ServerRecord> {
        self.entries.get(instance).map(|entry| &entry.record)
    }

    /// Returns the records of the servers that are not gone, in arbitrary order.
    pub fn live_servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries
            .values()
            .filter(|entry| entry.is_live())
            .map(|entry| &entry.record)
    }

    /// Returns the number of records, including tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is neither a server nor a tombstone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Merges an update of a known or unknown instance, and returns the changes.
    fn apply(&mut self, now: Time, update: &ServerRecord) -> Changes {
        match self.entries.contains_key(&update.instance) {
            true => self.update_known(now, update),
            false => self.insert_new(now, update),
        }
    }

    /// Adds an instance that becomes known by an update.
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

    /// Adds an instance from the table stored before the start. A live one may still serve
    /// requests, so it is sent to routers.
    fn insert_cached(&mut self, now: Time, stored: &ServerRecord) -> Changes {
        let record = normalized(stored);
        let mut changes = Changes::default();
        changes.push_local(&record);
        let elapsed = if record.is_suspect {
            self.suspicion_timeout()
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

    /// Adds an entry. If another live instance has its address, marks the address as contested.
    fn insert(&mut self, entry: Entry) {
        if entry.is_live()
            && self
                .live_instances_at(&entry.record.address)
                .next()
                .is_some()
        {
            self.contested_addresses
                .insert(entry.record.address.clone());
        }
        self.entries.insert(entry.record.instance.clone(), entry);
    }

    /// Merges an update into the record of a known instance. A newer update shows that a heartbeat
    /// came to some machine. Only changes that matter to other control machines are sent to them; a
    /// heartbeat that repeats the previous one is not.
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

    /// Records a heartbeat that came to this machine, for the timeouts and the next digest.
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

    /// Records a heartbeat that came to this or another machine at `received_at`, for the timeouts.
    /// A suspect server whose heartbeat is recent enough is no longer suspect.
    fn record_heartbeat_at(&mut self, now: Time, received_at: Time, instance: &str) -> Changes {
        let mut changes = Changes::default();
        let suspicion_timeout = self.suspicion_timeout();
        let Some(entry) = self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.is_live())
        else {
            return changes;
        };
        entry.last_seen_at = entry.last_seen_at.max(received_at);
        entry.is_cached = false;
        if entry.record.is_suspect && now.since(entry.last_seen_at) < suspicion_timeout {
            entry.record.is_suspect = false;
            changes.push_local(&entry.record);
        }
        changes
    }
}

/// Returns whether an update has a lower sequence number than the known record.
fn precedes(update: &ServerRecord, known: &Entry) -> bool {
    update.sequence_number < known.record.sequence_number
}

/// Returns whether a change of a record must be sent to other control machines. Changes of the
/// sequence number and of `is_suspect` and a shorter warm-up time don't count.
fn is_update_for_peers(before: &ServerRecord, after: &ServerRecord) -> bool {
    let expected = ServerRecord {
        sequence_number: after.sequence_number,
        warm_up_remaining_ms: before.warm_up_remaining_ms.max(after.warm_up_remaining_ms),
        is_suspect: after.is_suspect,
        ..before.clone()
    };
    let actual = ServerRecord {
        warm_up_remaining_ms: expected.warm_up_remaining_ms,
        ..after.clone()
    };
    expected != actual || after.warm_up_remaining_ms > before.warm_up_remaining_ms
}

#[cfg(test)]
mod tests;
