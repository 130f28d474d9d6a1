//! The table of model servers: their records, and the heartbeats that await an acknowledgement.
//!
//! Updates are sent at once to all connected control machines and to this machine's routers. An
//! update is acknowledged once enough control machines in contact have it (see
//! [`ReplicationTargets`]). A heartbeat without an update is acknowledged at once.
//!
//! The departure of a server is relayed, since the machine that reported it may have been cut off
//! from the others right afterwards. A machine with a disk has an update about a departure only
//! once it is written there. Until then it does not acknowledge the update to others, and does not
//! count itself.

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

/// Time for which a machine that has just started waits for the complete table of another machine.
const TABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The immediate result of a heartbeat or a deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatOutcome {
    /// The request is acknowledged at once.
    Acknowledged,
    /// The request is answered once the outcome of its update is known.
    Pending,
}

/// The table of servers, and the updates that have to be replicated to other machines.
pub(super) struct ServerTable {
    registry: Registry,
    /// The copy of the table on this machine's disk, if it has one.
    cache: Option<ServerCache>,
    started_at: Time,
    /// Whether a machine in contact has sent its complete table.
    has_complete_table: bool,
    /// Changes that have not been sent yet.
    changes: Changes,
    /// Callers whose requests caused [`Self::changes`], with their instances.
    callers: Vec<(ConnId, String)>,
    pending_updates: Vec<PendingUpdate>,
    pending_acks: Vec<PendingAck>,
    /// Number of the disk write that makes all known departures durable.
    last_departure_write: WriteNumber,
    /// Departures that other machines have reported and that this machine has to relay.
    relayed_departures: Vec<ServerRecord>,
    /// Instances whose last update is not known to be on enough other machines.
    under_replicated: BTreeSet<String>,
    next_ack_number: u64,
    outcomes: Vec<(ConnId, ReplicationOutcome)>,
}

impl ServerTable {
    /// Opens the table. With a data directory, restores the records that an earlier process wrote.
    ///
    /// # Errors
    /// Fails if the socket of the writer can't be created or watched.
    pub(super) fn start(
        settings: &Settings,
        environment: &Environment,
        net: &mut Net,
        now: Time,
    ) -> io::Result<ServerTable> {
        let mut servers = ServerTable::new(settings, now);
        if let Some(directory) = settings.data_directory.as_deref() {
            let (wake_reader, wake_writer) = UnixStream::pair()?;
            net.watch_signal(Signal::TableWritten, wake_reader)?;
            wake_writer.set_nonblocking(true)?;
            let (cache, records) =
                ServerCache::open(environment.file_system(), directory, now, wake_writer);
            servers.registry.restore_cached(now, &records);
            // It is not known yet whether other machines have these records.
            let departures = records.into_iter().filter(is_departure);
            servers
                .under_replicated
                .extend(departures.map(|record| record.instance));
            servers.cache = Some(cache);
        }
        Ok(servers)
    }

    /// Creates an empty table without a copy on disk.
    pub(super) fn new(settings: &Settings, now: Time) -> ServerTable {
        ServerTable {
            registry: Registry::new(now, heartbeat_interval_us(settings)),
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

    /// Applies the heartbeat interval of reloaded settings.
    pub(super) fn on_settings(&mut self, settings: &Settings) {
        self.registry
            .set_heartbeat_interval(heartbeat_interval_us(settings));
    }

    /// Whether this machine accepts heartbeats. It does once it has a complete table, or
    /// [`TABLE_TIMEOUT`] after its start. Until then it can't tell whether a server that is absent
    /// from its table is registered.
    pub(super) fn accepts_heartbeats(&self, now: Time) -> bool {
        self.has_complete_table || after(self.started_at, TABLE_TIMEOUT) <= now
    }

    /// Handles a heartbeat of a server.
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

    /// Handles the deregistration of a server.
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
                // A repeated request shares the outcome of the update that is already pending.
                callers.push(caller);
                self.changes.append(changes);
                return HeartbeatOutcome::Pending;
            }
            if let Some(record) = self
                .registry
                .record(instance)
                .filter(|_| self.under_replicated.contains(instance))
            {
                // Resends the last update, which is not known to be on enough other machines.
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

    /// Returns the callers that await the newest update of an instance. `None` if no update is
    /// pending, or if a newer one has not been sent yet.
    fn callers_awaiting(&mut self, instance: &str) -> Option<&mut Vec<ConnId>> {
        if self.has_unsent_update_of(instance) {
            return None;
        }
        self.pending_updates
            .iter_mut()
            .rev()
            .find(|pending| pending.instances.iter().any(|other| other == instance))
            .map(|pending| &mut pending.callers)
    }

    fn has_unsent_update_of(&self, instance: &str) -> bool {
        self.callers.iter().any(|(_, other)| other == instance)
    }

    /// Merges records from another control machine.
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

    /// Marks reported departures as under-replicated, and queues them to be relayed. Departures in
    /// a complete table are not relayed, since each machine receives a complete table when it
    /// connects.
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

    /// Takes the departures that this machine has to relay.
    pub(super) fn take_relayed_departures(&mut self) -> Vec<ServerRecord> {
        std::mem::take(&mut self.relayed_departures)
    }

    /// Merges records that another control machine has restored from its disk.
    pub(super) fn on_cached_servers(&mut self, now: Time, records: &[ServerRecord]) {
        let changes = self.registry.restore_cached(now, records);
        self.record_departures(&changes, true);
        self.changes.append(changes);
    }

    /// Merges the ages of heartbeats that another control machine has received. Returns whether one
    /// of the instances is unknown to this machine.
    pub(super) fn on_heartbeat_digest(&mut self, now: Time, digest: &[HeartbeatAge]) -> bool {
        let changes = self.registry.merge_heartbeat_digest(now, digest);
        self.changes.append(changes);
        digest
            .iter()
            .any(|heartbeat| self.registry.record(&heartbeat.instance).is_none())
    }

    /// Queues the acknowledgement of an update from another control machine. If the update contains
    /// a departure, the acknowledgement waits for the disk write.
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

    /// Returns the number of the write that makes all departures known by now durable. Starts a
    /// write if the unsent changes contain a departure. `None` without a disk.
    fn departure_write(&mut self) -> Option<WriteNumber> {
        let cache = self.cache.as_mut()?;
        if self.changes.records.iter().any(is_departure) {
            self.last_departure_write = cache.write_now();
        }
        Some(self.last_departure_write)
    }

    /// Records that another control machine has acknowledged the update with this number.
    pub(super) fn on_ack(&mut self, from: SocketAddr, ack: u64, in_contact: bool) {
        let mut pending = self.pending_updates.iter_mut();
        if let Some(update) = pending.find(|update| update.ack == ack) {
            update.on_ack(from, in_contact);
        }
    }

    /// Handles the end of the last connection to another control machine.
    pub(super) fn on_peer_disconnected(&mut self, address: SocketAddr) {
        for update in &mut self.pending_updates {
            update.on_peer_disconnected(address);
        }
    }

    /// Whether there are unsent changes, or callers that wait until they are sent.
    pub(super) fn has_changes(&self) -> bool {
        !self.changes.is_empty() || !self.callers.is_empty()
    }

    /// Takes the changes that have to be sent, and the number of the update that the `targets`
    /// acknowledge. The number is 0 if no caller awaits the outcome.
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

    /// Starts disk writes that are due, and completes updates whose outcome is known.
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

    /// Takes the callers that have to be answered, with the outcomes of their updates.
    pub(super) fn take_outcomes(&mut self) -> Vec<(ConnId, ReplicationOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Takes the acknowledgements that are due, as connections and numbers. Drops expired ones.
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

    /// Marks silent servers as suspect, removes expired ones, and starts the periodic disk write
    /// when it is due.
    pub(super) fn tick(&mut self, now: Time) {
        if let Some(cache) = &mut self.cache {
            cache.tick(now, || known_records(&self.registry, now));
        }
        if self.registry.next_wake() > now {
            return;
        }
        let changes = self.registry.tick(now);
        let suspects = || changes.records.iter().filter(|record| record.is_suspect);
        if let Some(first) = suspects().next() {
            log::info!(target: "control", servers = suspects().count(), first = first.instance.as_str(); "servers are suspect");
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

    /// Returns the complete table, without records that are known only from the disk.
    pub(super) fn snapshot(&self, now: Time) -> Vec<ServerRecord> {
        self.registry.snapshot(now)
    }

    /// Returns the records that are known only from the disk.
    pub(super) fn cached(&self) -> Vec<ServerRecord> {
        self.registry.cached_servers()
    }

    /// Returns all known records, including those known only from the disk. Routers that connect
    /// receive them.
    pub(super) fn known(&self, now: Time) -> Vec<ServerRecord> {
        known_records(&self.registry, now)
    }

    /// Returns the registry that holds the records.
    pub(super) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns when [`Self::advance`] has to be called even if no event arrives.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.pending_updates
            .iter()
            .map(PendingUpdate::next_wake)
            .min()
    }
}

/// Returns the complete table, followed by the records that are known only from the disk.
fn known_records(registry: &Registry, now: Time) -> Vec<ServerRecord> {
    let mut records = registry.snapshot(now);
    records.append(&mut registry.cached_servers());
    records
}

/// Whether a record reports that its server is not ready: it is draining or gone.
fn is_departure(record: &ServerRecord) -> bool {
    record.state != ServerState::Ready
}

fn heartbeat_interval_us(settings: &Settings) -> Micros {
    u64::try_from(settings.heartbeat_interval.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a known record to an update.
fn as_update(record: &ServerRecord) -> Changes {
    let mut table = Registry::new(Time::default(), 1);
    table.merge(Time::default(), record)
}

#[cfg(test)]
mod tests;
