//! Model servers at this machine: their beats, and who has to know of them before they are
//! acknowledged.
//!
//! It owns the table and the beats that wait for their acknowledgement. It promises: news are told
//! to all control machines that are connected and to this machine's routers at once; they are
//! acknowledged once enough control machines in contact hold them (see [`Audience`]); a beat that
//! brings nothing new is acknowledged at once; and that a server leaves is told on, since whoever
//! said so may have been cut off from the others right after. A machine with a disk holds news of a
//! server that leaves only once they are written there: until then it neither confirms them to
//! others nor counts itself.

use super::program::{after, Net, Signal};
use super::server_cache::{ServerCache, WriteNumber};
use super::Environment;
use crate::settings::Settings;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, ServerState};
use lichenswitch_net::ConnId;
use lichenswitch_registry::{Changes, Heartbeat, Registry};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// After so long it is enough that as many machines hold the news as have to.
const ALL_WAIT: Duration = Duration::from_millis(100);
/// After so long news that too few machines hold are refused: the server goes on to the next
/// control machine.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// A machine that has just started waits so long for another one's table.
const TABLE_WAIT: Duration = Duration::from_secs(2);

/// What becomes of a beat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Beat {
    /// It is acknowledged now.
    Known,
    /// It waits until its news are held elsewhere.
    Waits,
}

/// Who is told news, and who of them has to hold them before they are acknowledged: as many voters
/// as make a majority with this machine, so that whatever part of the group goes on after a cut has
/// one that holds them.
pub(super) struct Audience {
    /// All machines that are connected.
    pub(super) told: BTreeSet<SocketAddr>,
    /// Those whose copy counts.
    pub(super) counted: BTreeSet<SocketAddr>,
    /// How many of these have to hold the news beside this machine.
    pub(super) needed: usize,
}

/// News that wait to be held elsewhere.
struct Wait {
    ack: u64,
    instances: Vec<String>,
    callers: Vec<ConnId>,
    /// Machines that were told and have not answered.
    told: BTreeSet<SocketAddr>,
    /// Machines whose copy counts.
    counted: BTreeSet<SocketAddr>,
    /// How many of these in contact have yet to hold them.
    missing: usize,
    /// The write by which this machine holds them, while it has not completed.
    write: Option<WriteNumber>,
    since: Time,
}

/// News of another machine that are to be confirmed to it.
struct Confirmation {
    to: ConnId,
    ack: u64,
    /// The write by which this machine holds them, if it takes one.
    write: Option<WriteNumber>,
    since: Time,
}

/// The table of servers, and what is to be told of it.
pub(super) struct Servers {
    registry: Registry,
    /// The table on this machine's disk, if it has one.
    cache: Option<ServerCache>,
    started: Time,
    /// A machine in contact has sent its whole table.
    has_table: bool,
    /// Changes that were not told yet.
    changes: Changes,
    /// Callers whose beats brought these changes, with their instances.
    callers: Vec<(ConnId, String)>,
    waits: Vec<Wait>,
    confirmations: Vec<Confirmation>,
    /// The write that holds all that is known of servers that leave.
    leaving_write: WriteNumber,
    /// What was heard of servers that leave, to be told on.
    hearsay: Vec<ServerRecord>,
    /// Instances whose last news too few others are known to hold.
    unconfirmed: BTreeSet<String>,
    next_ack: u64,
    answers: Vec<(ConnId, bool)>,
}

impl Servers {
    /// With what the disk remembers of a time before the start, if there is one.
    pub(super) fn start(
        settings: &Settings,
        environment: &Environment,
        net: &mut Net,
        now: Time,
    ) -> io::Result<Servers> {
        let mut servers = Servers::new(settings, now);
        if let Some(directory) = settings.data_directory.as_deref() {
            let (ours, theirs) = UnixStream::pair()?;
            net.watch_signal(Signal::TableWritten, ours)?;
            theirs.set_nonblocking(true)?;
            let (cache, records) =
                ServerCache::open(environment.file_system(), directory, now, theirs);
            servers.registry.restore_cached(now.0, &records);
            // Whether others hold what this machine remembers isn't known yet.
            let leaving = records
                .into_iter()
                .filter(|record| record.state != ServerState::Ready);
            servers
                .unconfirmed
                .extend(leaving.map(|record| record.instance));
            servers.cache = Some(cache);
        }
        Ok(servers)
    }

    /// Without a disk.
    pub(super) fn new(settings: &Settings, now: Time) -> Servers {
        Servers {
            registry: Registry::new(now.0, interval(settings)),
            cache: None,
            started: now,
            has_table: false,
            changes: Changes::default(),
            callers: Vec::new(),
            waits: Vec::new(),
            confirmations: Vec::new(),
            leaving_write: WriteNumber::default(),
            hearsay: Vec::new(),
            unconfirmed: BTreeSet::new(),
            next_ack: 1,
            answers: Vec::new(),
        }
    }

    pub(super) fn on_settings(&mut self, settings: &Settings) {
        self.registry.set_interval(interval(settings));
    }

    /// Whether this machine knows enough to take beats: silence before that says nothing of
    /// anybody.
    pub(super) fn may_take_beats(&self, now: Time) -> bool {
        self.has_table || after(self.started, TABLE_WAIT) <= now
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        caller: ConnId,
        instance: &str,
        beat: &Heartbeat,
    ) -> Beat {
        let changes = self.registry.on_heartbeat(now.0, instance, beat);
        self.on_call(caller, instance, changes)
    }

    pub(super) fn on_deregister(&mut self, now: Time, caller: ConnId, instance: &str) -> Beat {
        let changes = self.registry.on_deregister(now.0, instance);
        self.on_call(caller, instance, changes)
    }

    fn on_call(&mut self, caller: ConnId, instance: &str, mut changes: Changes) -> Beat {
        if changes.updates_for_peers().is_empty() {
            if let Some(callers) = self.callers_that_wait_for(instance) {
                // The same server again: it learns what becomes of its newest news.
                callers.push(caller);
                self.changes.append(changes);
                return Beat::Waits;
            }
            if let Some(record) = self
                .registry
                .record(instance)
                .filter(|_| self.unconfirmed.contains(instance))
            {
                // Too few others are known to hold its last news.
                changes = told_again(record);
            }
        }
        let news = !changes.updates_for_peers().is_empty();
        self.changes.append(changes);
        if news || self.callers.iter().any(|(_, waits)| waits == instance) {
            self.callers.push((caller, instance.to_owned()));
            return Beat::Waits;
        }
        Beat::Known
    }

    /// Callers that wait for the newest news of an instance, where these were told and none came
    /// after.
    fn callers_that_wait_for(&mut self, instance: &str) -> Option<&mut Vec<ConnId>> {
        if self.callers.iter().any(|(_, waits)| waits == instance) {
            return None;
        }
        let waits = |wait: &&mut Wait| wait.instances.iter().any(|waits| waits == instance);
        self.waits
            .iter_mut()
            .rev()
            .find(waits)
            .map(|wait| &mut wait.callers)
    }

    /// Another control machine has sent records.
    pub(super) fn on_records(
        &mut self,
        now: Time,
        records: &[ServerRecord],
        whole: bool,
        in_contact: bool,
    ) {
        let changes = self.registry.merge_all(now.0, records);
        self.note_hearsay(&changes, whole);
        self.changes.append(changes);
        self.has_table |= whole && in_contact;
    }

    /// What one machine says of a server that leaves counts as held by too few until this machine
    /// knows better, and is told on; not so what comes with a whole table, which all get that
    /// connect.
    fn note_hearsay(&mut self, changes: &Changes, whole: bool) {
        for record in changes
            .updates_for_peers()
            .iter()
            .filter(|record| leaves(record))
        {
            self.unconfirmed.insert(record.instance.clone());
            if !whole {
                self.hearsay.push(record.clone());
            }
        }
    }

    /// What was heard of servers that leave since this was last asked.
    pub(super) fn take_hearsay(&mut self) -> Vec<ServerRecord> {
        std::mem::take(&mut self.hearsay)
    }

    /// Another control machine remembers these from before its start.
    pub(super) fn on_remembered(&mut self, now: Time, records: &[ServerRecord]) {
        let changes = self.registry.restore_cached(now.0, records);
        self.note_hearsay(&changes, true);
        self.changes.append(changes);
    }

    /// Another control machine has told whom it heard. Tells whether it named one that is not known
    /// here.
    pub(super) fn on_heard(&mut self, now: Time, heard: &[(String, u32)]) -> bool {
        let changes = self.registry.merge_heartbeat_digest(now.0, heard);
        self.changes.append(changes);
        heard
            .iter()
            .any(|(instance, _)| self.registry.record(instance).is_none())
    }

    /// Another control machine waits on this connection for word that these news of its are held
    /// here.
    pub(super) fn on_confirmation_wanted(
        &mut self,
        now: Time,
        to: ConnId,
        ack: u64,
        news: &[ServerRecord],
    ) {
        let write = if news.iter().any(leaves) {
            self.write_that_holds_leaving()
        } else {
            None
        };
        self.confirmations.push(Confirmation {
            to,
            ack,
            write,
            since: now,
        });
    }

    /// The write by which this machine holds what it knows by now of servers that leave; `None`
    /// without a disk.
    fn write_that_holds_leaving(&mut self) -> Option<WriteNumber> {
        let cache = self.cache.as_mut()?;
        if self.changes.records.iter().any(leaves) {
            self.leaving_write = cache.write_now();
        }
        Some(self.leaving_write)
    }

    /// Another control machine holds the news of this number.
    pub(super) fn on_merged(&mut self, from: SocketAddr, ack: u64, in_contact: bool) {
        if let Some(wait) = self.waits.iter_mut().find(|wait| wait.ack == ack) {
            let counts = wait.told.remove(&from) && in_contact && wait.counted.contains(&from);
            wait.missing = wait.missing.saturating_sub(usize::from(counts));
        }
    }

    /// No connection to that machine is left.
    pub(super) fn on_lost(&mut self, address: SocketAddr) {
        for wait in &mut self.waits {
            wait.told.remove(&address);
        }
    }

    /// Whether there are changes that were not told yet, or beats that wait for that.
    pub(super) fn has_changes(&self) -> bool {
        !self.changes.is_empty() || !self.callers.is_empty()
    }

    /// Changes since this was last asked: what is to be told to routers, and the number under which
    /// the news go to the `audience`, or 0 if nobody waits for them.
    pub(super) fn take_changes(&mut self, now: Time, audience: Audience) -> (Changes, u64) {
        let leaving_write = self.write_that_holds_leaving();
        let changes = std::mem::take(&mut self.changes);
        let callers = std::mem::take(&mut self.callers);
        if let Some(cache) = self.cache.as_mut().filter(|_| !changes.is_empty()) {
            cache.on_change();
        }
        if callers.is_empty() {
            return (changes, 0);
        }
        let ack = self.next_ack;
        self.next_ack += 1;
        let (callers, instances) = callers.into_iter().unzip();
        let Audience {
            told,
            counted,
            needed: missing,
        } = audience;
        let write = leaving_write.filter(|_| changes.updates_for_peers().iter().any(leaves));
        self.waits.push(Wait {
            ack,
            instances,
            callers,
            told,
            counted,
            missing,
            write,
            since: now,
        });
        (changes, ack)
    }

    /// Writes what is to be written at once, and ends waits whose outcome is known.
    pub(super) fn settle(&mut self, now: Time) {
        if let Some(cache) = &mut self.cache {
            cache.advance(now, || known(&self.registry, now));
        }
        let written = self.cache.as_ref().map(ServerCache::written);
        for mut wait in std::mem::take(&mut self.waits) {
            wait.write = wait.write.filter(|needed| written < Some(*needed));
            match wait.outcome(now) {
                None => self.waits.push(wait),
                Some(held) => {
                    for instance in wait.instances {
                        match held {
                            true => self.unconfirmed.remove(&instance),
                            false => self.unconfirmed.insert(instance),
                        };
                    }
                    self.answers
                        .extend(wait.callers.into_iter().map(|caller| (caller, held)));
                }
            }
        }
    }

    /// Callers whose beats are acknowledged, or refused, now.
    pub(super) fn take_answers(&mut self) -> Vec<(ConnId, bool)> {
        std::mem::take(&mut self.answers)
    }

    /// Connections on which news are confirmed now, with their numbers. What could not be written
    /// for long is confirmed no more: whoever told it has given up.
    pub(super) fn take_confirmations(&mut self, now: Time) -> Vec<(ConnId, u64)> {
        let written = self.cache.as_ref().map(ServerCache::written);
        let is_held = |confirmation: &Confirmation| {
            confirmation
                .write
                .is_none_or(|needed| Some(needed) <= written)
        };
        let (held, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.confirmations)
            .into_iter()
            .partition(is_held);
        self.confirmations = others
            .into_iter()
            .filter(|other| now < after(other.since, LONGEST_WAIT))
            .collect();
        held.into_iter()
            .map(|confirmation| (confirmation.to, confirmation.ack))
            .collect()
    }

    /// Looks at silence.
    pub(super) fn tick(&mut self, now: Time) {
        if let Some(cache) = &mut self.cache {
            cache.tick(now, || known(&self.registry, now));
        }
        if self.registry.next_wake() > now.0 {
            return;
        }
        let changes = self.registry.tick(now.0);
        let silent = || changes.records.iter().filter(|record| record.is_suspect);
        if let Some(first) = silent().next() {
            log::info!(target: "control", servers = silent().count(), first = first.instance.as_str(); "servers are silent");
        }
        if let Some(first) = changes.expired.first() {
            log::info!(target: "control", servers = changes.expired.len(), first = first.as_str(); "servers are forgotten");
        }
        self.unconfirmed
            .retain(|instance| self.registry.record(instance).is_some());
        self.changes.append(changes);
    }

    pub(super) fn take_digest(&mut self, now: Time) -> Vec<(String, u32)> {
        self.registry.take_heartbeat_digest(now.0)
    }

    pub(super) fn snapshot(&self, now: Time) -> Vec<ServerRecord> {
        self.registry.snapshot(now.0)
    }

    /// Servers that are known from before a start alone.
    pub(super) fn remembered(&self) -> Vec<ServerRecord> {
        self.registry.cached_servers()
    }

    /// All that is known, for a router that connects.
    pub(super) fn known(&self, now: Time) -> Vec<ServerRecord> {
        known(&self.registry, now)
    }

    pub(super) fn registry(&self) -> &Registry {
        &self.registry
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        self.waits.iter().map(Wait::next_wake).min()
    }
}

impl Wait {
    /// Whether too few are left that could yet hold them.
    fn is_hopeless(&self) -> bool {
        self.told.intersection(&self.counted).count() < self.missing
    }

    /// Whether enough machines hold the news, this one among them.
    fn held(&self) -> bool {
        self.missing == 0 && self.write.is_none()
    }

    /// The same; `None` while it is not known.
    fn outcome(&self, now: Time) -> Option<bool> {
        let waited = |most| after(self.since, most) <= now;
        match self.held() {
            true => (self.told.is_empty() || waited(ALL_WAIT)).then_some(true),
            false => (self.is_hopeless() || waited(LONGEST_WAIT)).then_some(false),
        }
    }

    fn next_wake(&self) -> Time {
        after(
            self.since,
            if self.held() { ALL_WAIT } else { LONGEST_WAIT },
        )
    }
}

/// The table, and behind it the servers that are only remembered.
fn known(registry: &Registry, now: Time) -> Vec<ServerRecord> {
    let mut records = registry.snapshot(now.0);
    records.append(&mut registry.cached_servers());
    records
}

/// Whether a record tells that its server leaves or has left.
fn leaves(record: &ServerRecord) -> bool {
    record.state != ServerState::Ready
}

fn interval(settings: &Settings) -> u64 {
    u64::try_from(settings.heartbeat_interval.as_micros()).unwrap_or(u64::MAX)
}

/// A record that is told as news although it is known here.
fn told_again(record: &ServerRecord) -> Changes {
    let mut table = Registry::new(0, 1);
    table.merge(0, record)
}

#[cfg(test)]
mod tests;
