//! The table of servers of one control machine.
//!
//! Records only grow in the lattice. Silence is not part of it: each machine judges it by when it,
//! or another machine that told it, last heard a server.

use crate::heartbeat::Heartbeat;
use crate::merge::{merge_record, normalized, tombstone};
use lichenswitch_messages::{ServerRecord, ServerState};
use std::collections::{BTreeSet, HashMap};

/// Intervals of silence after which a server is unheard: a last resort for routers.
pub const SUSPECT_AFTER_INTERVALS: u64 = 5;

/// Intervals for which one instance must have been silent after another at the same address was
/// heard, to be gone. A beat may come seconds late, so the first beat of an instance that is not
/// known may be the last of one that has ended.
pub const ADDRESS_CONFLICT_INTERVALS: u64 = 3;

/// Silence after which a server is forgotten (microseconds).
pub const EXPIRY_AFTER_US: u64 = 60_000_000;

/// How long it is remembered that an instance is gone (microseconds): far longer than a beat may be
/// late.
pub const TOMBSTONE_RETENTION_US: u64 = 120_000_000;

/// Age up to which a tombstone is part of a snapshot (microseconds). Shorter than it is kept, so
/// that machines do not tell each other for ever what both have dropped.
pub const SNAPSHOT_TOMBSTONE_MAX_AGE_US: u64 = 60_000_000;

/// The least between two looks (microseconds), as a share of the interval: what is decided is late
/// by a quarter of it at most.
const TICKS_PER_INTERVAL: u64 = 4;

/// What has changed, to be pushed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records that are other ones now. For routers all of them; for other control machines those
    /// of [`Changes::update`].
    pub records: Vec<ServerRecord>,
    /// Instances whose records are no longer held. They are not gone: they have been silent for
    /// long, and may be heard again.
    pub expired: Vec<String>,
    /// How many of the first records have changed in the lattice; with the others only `is_suspect`
    /// has.
    replicated_count: usize,
}

impl Changes {
    /// Whether nothing has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.expired.is_empty()
    }

    /// The records that are news to other control machines, which judge silence by themselves.
    #[must_use]
    pub fn updates_for_peers(&self) -> &[ServerRecord] {
        &self.records[..self.replicated_count]
    }

    fn push_replicated(&mut self, record: &ServerRecord) {
        self.records.insert(self.replicated_count, record.clone());
        self.replicated_count += 1;
    }

    fn push_local(&mut self, record: &ServerRecord) {
        self.records.push(record.clone());
    }

    /// Puts others behind these.
    pub fn append(&mut self, others: Changes) {
        let (update, heard) = others.records.split_at(others.replicated_count);
        update
            .iter()
            .for_each(|record| self.push_replicated(record));
        heard.iter().for_each(|record| self.push_local(record));
        self.expired.extend(others.expired);
    }
}

/// A server, with when it was heard.
#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// When it was last heard, here or by a machine that told so; for one that is gone, when that
    /// was learnt.
    last_seen_us: u64,
    /// Whether it was heard here after the last digest.
    is_due_in_digest: bool,
    /// It is known from before a start alone.
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
    heartbeat_interval_us: u64,
    /// Since when this machine has been awake without a pause: silence before it says nothing.
    awake_since_us: u64,
    last_tick_us: u64,
    entries: HashMap<String, Entry>,
    /// Addresses at which there may be more than one live instance.
    contested_addresses: BTreeSet<String>,
}

impl Registry {
    /// An empty table of a machine that starts now; servers beat at this interval (microseconds).
    #[must_use]
    pub fn new(now: u64, heartbeat_interval_us: u64) -> Registry {
        Registry {
            heartbeat_interval_us: heartbeat_interval_us.max(1),
            awake_since_us: now,
            last_tick_us: now,
            entries: HashMap::new(),
            contested_addresses: BTreeSet::new(),
        }
    }

    /// The interval has another value now (microseconds).
    pub fn set_interval(&mut self, heartbeat_interval_us: u64) {
        self.heartbeat_interval_us = heartbeat_interval_us.max(1);
    }

    /// A heartbeat has come here. A beat that is late, or comes from an instance that has left,
    /// changes nothing.
    pub fn on_heartbeat(&mut self, now: u64, instance: &str, heartbeat: &Heartbeat) -> Changes {
        let update = heartbeat.record(instance);
        let fresh = self
            .entries
            .get(instance)
            .is_none_or(|known| is_current(known, &update));
        let superseded = match self.entries.contains_key(instance) {
            true => Vec::new(),
            false => self.superseded_by(now, &update),
        };
        let mut changes = self.apply(now, &update);
        if fresh {
            changes.append(self.note_heartbeat(now, instance));
        }
        for other in superseded {
            changes.append(self.apply(now, &tombstone(&other)));
        }
        changes
    }

    /// A server has said that it leaves, whether it said `draining` before or not, and whether it
    /// is known or not.
    pub fn on_deregister(&mut self, now: u64, instance: &str) -> Changes {
        self.apply(now, &tombstone(instance))
    }

    /// Another control machine has sent a record.
    pub fn merge(&mut self, now: u64, update: &ServerRecord) -> Changes {
        self.apply(now, update)
    }

    /// Another control machine has sent records.
    pub fn merge_all(&mut self, now: u64, update: &[ServerRecord]) -> Changes {
        let mut changes = Changes::default();
        update
            .iter()
            .for_each(|record| changes.append(self.apply(now, record)));
        changes
    }

    /// What this machine knew before its start. Who is not known yet is known from now on, with its
    /// silence counted from now unless its record says that it was unheard; it is no news to other
    /// control machines, which may have forgotten it with reason. That a server was leaving or had
    /// left holds, whoever remembers it: a beat from before that may still be on its way.
    pub fn restore_cached(&mut self, now: u64, records: &[ServerRecord]) -> Changes {
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

    /// Another control machine has told whom it heard, and how many milliseconds ago.
    pub fn merge_heartbeat_digest(&mut self, now: u64, heard: &[(String, u32)]) -> Changes {
        let mut changes = Changes::default();
        for (instance, ago_ms) in heard {
            let at = now.saturating_sub(u64::from(*ago_ms) * 1_000);
            changes.append(self.note_heartbeat_at(now, at, instance));
        }
        changes
    }

    /// Looks at silence, tombstones and addresses that have more than one instance. To be called by
    /// [`Registry::next_wake`].
    pub fn tick(&mut self, now: u64) -> Changes {
        self.detect_pause(now);
        let mut changes = self.resolve_address_conflicts(now);
        self.expire(now, &mut changes);
        self.mark_suspects(now, &mut changes);
        changes
    }

    /// When to call [`Registry::tick`] next.
    #[must_use]
    pub fn next_wake(&self) -> u64 {
        self.last_tick_us
            .saturating_add((self.heartbeat_interval_us / TICKS_PER_INTERVAL).max(1))
    }

    /// Servers that are known from before a start alone, those that had left too: for routers, and
    /// for machines that know none.
    #[must_use]
    pub fn cached_servers(&self) -> Vec<ServerRecord> {
        let mut records: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.is_cached)
            .map(|e| e.record.clone())
            .collect();
        records.sort_by(|one, other| one.instance.cmp(&other.instance));
        records
    }

    /// All that a machine that starts has to know: live servers, and who has gone in the last
    /// minute. Servers that are only [`Registry::cached_servers`] are no part of it.
    #[must_use]
    pub fn snapshot(&self, now: u64) -> Vec<ServerRecord> {
        let told = |entry: &&Entry| {
            !entry.is_cached
                && (entry.is_live()
                    || now.saturating_sub(entry.last_seen_us) < SNAPSHOT_TOMBSTONE_MAX_AGE_US)
        };
        let mut records: Vec<_> = self
            .entries
            .values()
            .filter(told)
            .map(|entry| entry.record.clone())
            .collect();
        records.sort_by(|one, other| one.instance.cmp(&other.instance));
        records
    }

    /// Who was heard here since this was last asked, with how many milliseconds ago.
    pub fn take_heartbeat_digest(&mut self, now: u64) -> Vec<(String, u32)> {
        let mut digest = Vec::new();
        for (instance, entry) in self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_due_in_digest && entry.is_live())
        {
            entry.is_due_in_digest = false;
            let ago_ms = now.saturating_sub(entry.last_seen_us) / 1_000;
            digest.push((instance.clone(), u32::try_from(ago_ms).unwrap_or(u32::MAX)));
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
    pub fn live(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries
            .values()
            .filter(|entry| entry.is_live())
            .map(|entry| &entry.record)
    }

    /// Records that are held, tombstones too.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes news into the table.
    fn apply(&mut self, now: u64, update: &ServerRecord) -> Changes {
        match self.entries.contains_key(&update.instance) {
            true => self.update_known(now, update),
            false => self.insert_new(now, update),
        }
    }

    fn insert_new(&mut self, now: u64, update: &ServerRecord) -> Changes {
        let record = ServerRecord {
            is_suspect: false,
            ..normalized(update)
        };
        if record.state != ServerState::Gone && self.live_at(&record.address).next().is_some() {
            self.contested_addresses.insert(record.address.clone());
        }
        let mut changes = Changes::default();
        changes.push_replicated(&record);
        let entry = Entry {
            record,
            last_seen_us: now,
            is_due_in_digest: false,
            is_cached: false,
        };
        self.entries.insert(update.instance.clone(), entry);
        changes
    }

    /// A server that was known before the start: it may still serve, unless it had left.
    fn insert_cached(&mut self, now: u64, update: &ServerRecord) -> Changes {
        let record = normalized(update);
        if record.state != ServerState::Gone && self.live_at(&record.address).next().is_some() {
            self.contested_addresses.insert(record.address.clone());
        }
        let mut changes = Changes::default();
        changes.push_local(&record);
        let silent_us = if record.is_suspect {
            self.suspect_after_us()
        } else {
            0
        };
        let last_seen_us = now.saturating_sub(silent_us);
        let entry = Entry {
            record,
            last_seen_us,
            is_due_in_digest: false,
            is_cached: true,
        };
        self.entries.insert(update.instance.clone(), entry);
        changes
    }

    /// Newer news shows that the server was heard somewhere. Told on is only what matters to
    /// others: a beat that says the same again is not.
    fn update_known(&mut self, now: u64, update: &ServerRecord) -> Changes {
        let mut changes = Changes::default();
        let Some(entry) = self.entries.get_mut(&update.instance) else {
            return changes;
        };
        let before = entry.record.clone();
        let is_cached = std::mem::take(&mut entry.is_cached);
        if !merge_record(&mut entry.record, update) && !is_cached {
            return changes;
        }
        entry.last_seen_us = entry.last_seen_us.max(now);
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

    /// A server was heard here.
    fn note_heartbeat(&mut self, now: u64, instance: &str) -> Changes {
        match self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.is_live())
        {
            Some(entry) => entry.is_due_in_digest = true,
            None => return Changes::default(),
        }
        self.note_heartbeat_at(now, now, instance)
    }

    /// A server was heard at some time, here or elsewhere.
    fn note_heartbeat_at(&mut self, now: u64, at: u64, instance: &str) -> Changes {
        let mut changes = Changes::default();
        let suspect_after_us = self.suspect_after_us();
        let Some(entry) = self
            .entries
            .get_mut(instance)
            .filter(|entry| entry.is_live())
        else {
            return changes;
        };
        entry.last_seen_us = entry.last_seen_us.max(at);
        entry.is_cached = false;
        if entry.record.is_suspect && now.saturating_sub(entry.last_seen_us) < suspect_after_us {
            entry.record.is_suspect = false;
            changes.push_local(&entry.record);
        }
        changes
    }

    fn suspect_after_us(&self) -> u64 {
        self.heartbeat_interval_us
            .saturating_mul(SUSPECT_AFTER_INTERVALS)
    }

    fn conflict_after_us(&self) -> u64 {
        self.heartbeat_interval_us
            .saturating_mul(ADDRESS_CONFLICT_INTERVALS)
    }

    /// Live instances at an address.
    fn live_at<'a>(&'a self, address: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.is_live() && entry.record.address == address)
    }

    /// Those that an instance that has just been heard for the first time ends, as it has their
    /// address. An instance that has begun later has made fewer calls; where the newcomer has made
    /// more, its beat may be a late one, and silence decides.
    fn superseded_by(&self, now: u64, newcomer: &ServerRecord) -> Vec<String> {
        let ended = |entry: &&Entry| {
            newcomer.sequence_number <= entry.record.sequence_number
                || self.silence(now, entry) >= self.conflict_after_us()
        };
        self.live_at(&newcomer.address)
            .filter(ended)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }

    /// How long a server has been silent while this machine could hear it.
    fn silence(&self, now: u64, entry: &Entry) -> u64 {
        now.saturating_sub(entry.last_seen_us.max(self.awake_since_us))
    }

    /// A machine that was frozen has not heard anybody meanwhile: silence counts from its waking.
    fn detect_pause(&mut self, now: u64) {
        if now.saturating_sub(self.last_tick_us) > self.heartbeat_interval_us {
            self.awake_since_us = now;
        }
        self.last_tick_us = now;
    }

    /// At an address with several live instances, those are gone that fell silent well before
    /// another was heard.
    fn resolve_address_conflicts(&mut self, now: u64) -> Changes {
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
            .map(|entry| entry.last_seen_us)
            .max()
            .unwrap_or(0);
        let outlived =
            |entry: &&Entry| newest.saturating_sub(entry.last_seen_us) >= self.conflict_after_us();
        self.live_at(address)
            .filter(outlived)
            .map(|entry| entry.record.instance.clone())
            .collect()
    }

    fn expire(&mut self, now: u64, changes: &mut Changes) {
        let awake = self.awake_since_us;
        self.entries.retain(|instance, entry| {
            if !entry.is_live() {
                return now.saturating_sub(entry.last_seen_us) < TOMBSTONE_RETENTION_US;
            }
            let kept = now.saturating_sub(entry.last_seen_us.max(awake)) < EXPIRY_AFTER_US;
            if !kept {
                changes.expired.push(instance.clone());
            }
            kept
        });
        changes.expired.sort();
    }

    fn mark_suspects(&mut self, now: u64, changes: &mut Changes) {
        let (awake, suspect_after_us) = (self.awake_since_us, self.suspect_after_us());
        let mut fallen: Vec<&ServerRecord> = Vec::new();
        for entry in self
            .entries
            .values_mut()
            .filter(|entry| entry.is_live() && !entry.record.is_suspect)
        {
            if now.saturating_sub(entry.last_seen_us.max(awake)) >= suspect_after_us {
                entry.record.is_suspect = true;
                fallen.push(&entry.record);
            }
        }
        fallen.sort_by(|one, other| one.instance.cmp(&other.instance));
        fallen
            .into_iter()
            .for_each(|record| changes.push_local(record));
    }
}

/// Whether a beat is not older than what is known.
fn is_current(known: &Entry, update: &ServerRecord) -> bool {
    update.sequence_number >= known.record.sequence_number
}

/// Whether a record tells others more than the one before: all but the number of the beat, and a
/// cold time that only runs down.
fn is_update_for_peers(before: &ServerRecord, after: &ServerRecord) -> bool {
    let known = ServerRecord {
        sequence_number: after.sequence_number,
        warm_up_remaining_ms: before.warm_up_remaining_ms.max(after.warm_up_remaining_ms),
        is_suspect: after.is_suspect,
        ..before.clone()
    };
    let told = ServerRecord {
        warm_up_remaining_ms: known.warm_up_remaining_ms,
        ..after.clone()
    };
    known != told || after.warm_up_remaining_ms > before.warm_up_remaining_ms
}

#[cfg(test)]
mod tests;
