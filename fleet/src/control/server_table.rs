//! Model servers at this machine: their records, and heartbeats that wait for an acknowledgement.
//!
//! It owns the table and the pending updates. It promises that updates are sent at once to all
//! connected control machines and to this machine's routers, and are acknowledged once enough
//! control machines in contact have them (see [`ReplicationTargets`]); that a heartbeat without an
//! update is acknowledged at once; and that the departure of a server is relayed, since the machine
//! that reported it may have been cut off from the others right after. A machine with a disk has an
//! update about a departure only once it is written there: until then it neither acknowledges it to
//! others nor counts itself.

use super::clock::after;
use super::environment::Environment;
use super::net_program::{Net, Signal};
use super::pending_updates::{PendingAck, PendingUpdate, ReplicationOutcome, ReplicationTargets};
use super::server_cache::{ServerCache, WriteNumber};
use crate::settings::Settings;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::{HeartbeatAge, ServerRecord, ServerState};
use lichenswitch_net::ConnId;
use lichenswitch_registry::{Changes, Heartbeat, Registry};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// How long a machine that has just started waits for the table of another one.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// What becomes of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatOutcome {
    /// It is acknowledged at once.
    Acknowledged,
    /// It gets its response once the outcome of its update is known.
    Pending,
}

/// The table of servers, and the updates that others have to be sent.
pub(super) struct ServerTable {
    registry: Registry,
    /// The copy of the table on this machine's disk, if it has one.
    cache: Option<ServerCache>,
    started_at: Time,
    /// Whether a machine in contact has sent its complete table.
    has_complete_table: bool,
    /// Changes that were not sent yet.
    changes: Changes,
    /// Callers whose heartbeats brought these changes, with their instances.
    callers: Vec<(ConnId, String)>,
    pending_updates: Vec<PendingUpdate>,
    pending_acks: Vec<PendingAck>,
    /// The write that makes all known departures durable.
    last_departure_write: WriteNumber,
    /// Departures that other machines have reported, to be relayed.
    relayed_departures: Vec<ServerRecord>,
    /// Instances whose last update too few others are known to have.
    under_replicated: BTreeSet<String>,
    next_ack_number: u64,
    outcomes: Vec<(ConnId, ReplicationOutcome)>,
}

impl ServerTable {
    /// Opens the table, with the records of an earlier start from the disk, if there is one.
    ///
    /// # Errors
    /// When the socket of the writer can't be created.
    pub(super) fn start(
        settings: &Settings,
        environment: &Environment,
        net: &mut Net,
        now: Time,
    ) -> io::Result<ServerTable> {
        let mut servers = ServerTable::new(settings, now);
        if let Some(directory) = settings.data_directory.as_deref() {
            let (ours, theirs) = UnixStream::pair()?;
            net.watch_signal(Signal::TableWritten, ours)?;
            theirs.set_nonblocking(true)?;
            let (cache, records) =
                ServerCache::open(environment.file_system(), directory, now, theirs);
            servers.registry.restore_cached(now, &records);
            // Whether other machines have these records is not known yet.
            let departures = records.into_iter().filter(is_departure);
            servers
                .under_replicated
                .extend(departures.map(|record| record.instance));
            servers.cache = Some(cache);
        }
        Ok(servers)
    }

    /// A table without a disk.
    pub(super) fn new(settings: &Settings, now: Time) -> ServerTable {
        ServerTable {
            registry: Registry::new(now, interval(settings)),
            cache: None,
            started_at: now,
            has_complete_table: false,
            changes: Changes::default(),
            callers: Vec::new(),
            pending_updates: Vec::new(),
            pending_acks: Vec::new(),
            last_departure_write: WriteNumber::default(),
            relayed_departures: Vec::new(),
            under_replicated: BTreeSet::new(),
            next_ack_number: 1,
            outcomes: Vec::new(),
        }
    }

    /// The settings were read again.
    pub(super) fn on_settings(&mut self, settings: &Settings) {
        self.registry.set_heartbeat_interval(interval(settings));
    }

    /// Whether this machine knows enough to accept heartbeats. Until then the absence of a server
    /// means nothing.
    pub(super) fn accepts_heartbeats(&self, now: Time) -> bool {
        self.has_complete_table || after(self.started_at, TABLE_TIMEOUT) <= now
    }

    /// A server has sent a heartbeat.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        caller: ConnId,
        instance: &str,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        let changes = self.registry.on_heartbeat(now, instance, heartbeat);
        self.on_update(caller, instance, changes)
    }

    /// A server has deregistered.
    pub(super) fn on_deregister(
        &mut self,
        now: Time,
        caller: ConnId,
        instance: &str,
    ) -> HeartbeatOutcome {
        let changes = self.registry.on_deregister(now, instance);
        self.on_update(caller, instance, changes)
    }

    fn on_update(
        &mut self,
        caller: ConnId,
        instance: &str,
        mut changes: Changes,
    ) -> HeartbeatOutcome {
        if changes.updates_for_peers().is_empty() {
            if let Some(callers) = self.callers_awaiting(instance) {
                // A repeat: it gets the outcome of the update that is pending already.
                callers.push(caller);
                self.changes.append(changes);
                return HeartbeatOutcome::Pending;
            }
            if let Some(record) = self
                .registry
                .record(instance)
                .filter(|_| self.under_replicated.contains(instance))
            {
                // Too few other machines are known to have its last update: it is sent again.
                changes = as_update(record);
            }
        }
        let has_update = !changes.updates_for_peers().is_empty();
        self.changes.append(changes);
        if has_update || self.has_unsent_update_of(instance) {
            self.callers.push((caller, instance.to_owned()));
            return HeartbeatOutcome::Pending;
        }
        HeartbeatOutcome::Acknowledged
    }

    /// Callers that wait for the newest update of an instance, where it was sent and none came
    /// after it.
    fn callers_awaiting(&mut self, instance: &str) -> Option<&mut Vec<ConnId>> {
        if self.has_unsent_update_of(instance) {
            return None;
        }
        self.pending_updates
            .iter_mut()
            .rev()
            .find(|pending| pending.instances.iter().any(|of| of == instance))
            .map(|pending| &mut pending.callers)
    }

    fn has_unsent_update_of(&self, instance: &str) -> bool {
        self.callers.iter().any(|(_, of)| of == instance)
    }

    /// Another control machine has sent records.
    pub(super) fn on_records(
        &mut self,
        now: Time,
        records: &[ServerRecord],
        is_complete: bool,
        in_contact: bool,
    ) {
        let changes = self.registry.merge_all(now, records);
        self.record_departures(&changes, is_complete);
        self.changes.append(changes);
        self.has_complete_table |= is_complete && in_contact;
    }

    /// A departure that one machine reports counts as under-replicated until this machine knows
    /// better, and is relayed; one in a complete table is not relayed, since each machine gets such
    /// a table when it connects.
    fn record_departures(&mut self, changes: &Changes, is_complete: bool) {
        for record in changes
            .updates_for_peers()
            .iter()
            .filter(|record| is_departure(record))
        {
            self.under_replicated.insert(record.instance.clone());
            if !is_complete {
                self.relayed_departures.push(record.clone());
            }
        }
    }

    /// Takes the departures that have to be relayed.
    pub(super) fn take_relayed_departures(&mut self) -> Vec<ServerRecord> {
        std::mem::take(&mut self.relayed_departures)
    }

    /// Another control machine has sent records of an earlier start from its disk.
    pub(super) fn on_cached_servers(&mut self, now: Time, records: &[ServerRecord]) {
        let changes = self.registry.restore_cached(now, records);
        self.record_departures(&changes, true);
        self.changes.append(changes);
    }

    /// Another control machine has sent the instances whose heartbeats it received. Returns whether
    /// one of them is unknown here.
    pub(super) fn on_heartbeat_digest(&mut self, now: Time, digest: &[HeartbeatAge]) -> bool {
        let changes = self.registry.merge_heartbeat_digest(now, digest);
        self.changes.append(changes);
        digest
            .iter()
            .any(|heartbeat| self.registry.record(&heartbeat.instance).is_none())
    }

    /// Another control machine waits on this connection for the acknowledgement of its update.
    pub(super) fn on_ack_requested(
        &mut self,
        now: Time,
        to: ConnId,
        ack: u64,
        updates: &[ServerRecord],
    ) {
        let write = if updates.iter().any(is_departure) {
            self.departure_write()
        } else {
            None
        };
        self.pending_acks.push(PendingAck::new(to, ack, write, now));
    }

    /// The write that makes all departures known by now durable; `None` without a disk.
    fn departure_write(&mut self) -> Option<WriteNumber> {
        let cache = self.cache.as_mut()?;
        if self.changes.records.iter().any(is_departure) {
            self.last_departure_write = cache.write_now();
        }
        Some(self.last_departure_write)
    }

    /// Another control machine has acknowledged the update of this number.
    pub(super) fn on_ack(&mut self, from: SocketAddr, ack: u64, in_contact: bool) {
        let mut pending = self.pending_updates.iter_mut();
        if let Some(update) = pending.find(|update| update.ack == ack) {
            update.on_ack(from, in_contact);
        }
    }

    /// The last connection to that machine is closed.
    pub(super) fn on_peer_disconnected(&mut self, address: SocketAddr) {
        for update in &mut self.pending_updates {
            update.on_peer_disconnected(address);
        }
    }

    /// Whether there are changes that were not sent yet, or heartbeats that wait for that.
    pub(super) fn has_changes(&self) -> bool {
        !self.changes.is_empty() || !self.callers.is_empty()
    }

    /// Takes the changes that have to be sent, and the number under which the update goes to the
    /// `targets`, or 0 if no caller awaits its outcome.
    pub(super) fn take_changes(
        &mut self,
        now: Time,
        targets: ReplicationTargets,
    ) -> (Changes, u64) {
        let departure_write = self.departure_write();
        let changes = std::mem::take(&mut self.changes);
        let callers = std::mem::take(&mut self.callers);
        if let Some(cache) = self.cache.as_mut().filter(|_| !changes.is_empty()) {
            cache.on_change();
        }
        if callers.is_empty() {
            return (changes, 0);
        }
        let ack = self.next_ack_number;
        self.next_ack_number += 1;
        let has_departure = changes.updates_for_peers().iter().any(is_departure);
        let write = departure_write.filter(|_| has_departure);
        self.pending_updates
            .push(PendingUpdate::new(ack, callers, targets, write, now));
        (changes, ack)
    }

    /// Begins writes that are due, and completes updates whose outcome is known.
    pub(super) fn advance(&mut self, now: Time) {
        if let Some(cache) = &mut self.cache {
            cache.advance(now, || known_records(&self.registry, now));
        }
        let written = self.cache.as_ref().map(ServerCache::written);
        for mut update in std::mem::take(&mut self.pending_updates) {
            update.on_written(written);
            match update.outcome(now) {
                None => self.pending_updates.push(update),
                Some(outcome) => self.complete(update, outcome),
            }
        }
    }

    fn complete(&mut self, update: PendingUpdate, outcome: ReplicationOutcome) {
        for instance in update.instances {
            match outcome {
                ReplicationOutcome::Replicated => self.under_replicated.remove(&instance),
                ReplicationOutcome::NotReplicated => self.under_replicated.insert(instance),
            };
        }
        let callers = update.callers.into_iter();
        self.outcomes
            .extend(callers.map(|caller| (caller, outcome)));
    }

    /// Takes the callers that get a response now, with the outcomes of their updates.
    pub(super) fn take_outcomes(&mut self) -> Vec<(ConnId, ReplicationOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Takes the acknowledgements that are due, as connections and numbers. One that has expired is
    /// dropped.
    pub(super) fn take_acks(&mut self, now: Time) -> Vec<(ConnId, u64)> {
        let written = self.cache.as_ref().map(ServerCache::written);
        let (due, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_acks)
            .into_iter()
            .partition(|pending| pending.is_due(written));
        self.pending_acks = others
            .into_iter()
            .filter(|pending| !pending.has_expired(now))
            .collect();
        due.into_iter()
            .map(PendingAck::into_connection_and_ack)
            .collect()
    }

    /// Marks silent servers as suspect, forgets expired ones, and begins a periodic write.
    pub(super) fn tick(&mut self, now: Time) {
        if let Some(cache) = &mut self.cache {
            cache.tick(now, || known_records(&self.registry, now));
        }
        if self.registry.next_wake() > now {
            return;
        }
        let changes = self.registry.tick(now);
        let silent = || changes.records.iter().filter(|record| record.is_suspect);
        if let Some(first) = silent().next() {
            log::info!(target: "control", servers = silent().count(), first = first.instance.as_str(); "servers are suspect");
        }
        if let Some(first) = changes.expired.first() {
            log::info!(target: "control", servers = changes.expired.len(), first = first.as_str(); "servers expired");
        }
        self.under_replicated
            .retain(|instance| self.registry.record(instance).is_some());
        self.changes.append(changes);
    }

    /// Takes the instances whose heartbeats were received since the last take.
    pub(super) fn take_heartbeat_digest(&mut self, now: Time) -> Vec<HeartbeatAge> {
        self.registry.take_heartbeat_digest(now)
    }

    /// The complete table, without records that only the disk remembers.
    pub(super) fn snapshot(&self, now: Time) -> Vec<ServerRecord> {
        self.registry.snapshot(now)
    }

    /// Servers that are known only from the disk.
    pub(super) fn cached(&self) -> Vec<ServerRecord> {
        self.registry.cached_servers()
    }

    /// All known records, for a router that connects.
    pub(super) fn known(&self, now: Time) -> Vec<ServerRecord> {
        known_records(&self.registry, now)
    }

    /// The records.
    pub(super) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// When [`Self::advance`] has something to do without a further event.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.pending_updates
            .iter()
            .map(PendingUpdate::next_wake)
            .min()
    }
}

/// The table, followed by the servers that only the disk remembers.
fn known_records(registry: &Registry, now: Time) -> Vec<ServerRecord> {
    let mut records = registry.snapshot(now);
    records.append(&mut registry.cached_servers());
    records
}

/// Whether a record reports that its server is draining or gone.
fn is_departure(record: &ServerRecord) -> bool {
    record.state != ServerState::Ready
}

fn interval(settings: &Settings) -> Micros {
    u64::try_from(settings.heartbeat_interval.as_micros()).unwrap_or(u64::MAX)
}

/// A known record as an update.
fn as_update(record: &ServerRecord) -> Changes {
    let mut table = Registry::new(Time::default(), 1);
    table.merge(Time::default(), record)
}

#[cfg(test)]
mod tests;
