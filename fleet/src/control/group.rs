//! The replicated state as this machine holds it: a replica, and the disk that it writes to.
//!
//! It owns both, and promises that what the replica wants written is written in order, and told to
//! it only once it has been synced. Without a disk the memory of the process is what there is.

use super::program::{Net, Signal};
use super::{ControlError, Environment};
use crate::settings::Settings;
use lichenswitch_control::{Eligibility, ReplicatedConfiguration};
use lichenswitch_interface::Time;
use lichenswitch_replication as replication;
use lichenswitch_replication::{
    DurableItem, Identity, Member, Output, Recovered, Replica, WriteId,
};
use lichenswitch_storage::{
    FileSystem, Finding, Storage, StorageSettings, Usage, WriteRequest, Writer,
};
use log::{info, warn};
use std::hash::BuildHasher;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// Why the machine of these settings takes part in the group, if it does.
pub(super) fn eligibility(settings: &Settings) -> Eligibility {
    let own = settings.listen.control_plane;
    let seed = own.is_some_and(|own| settings.seed_nodes.contains(&own));
    match settings.data_directory.is_some() || settings.loss_counted {
        true => Eligibility::Durable,
        false if settings.first_start && seed => Eligibility::StandIn,
        false => Eligibility::Relay,
    }
}

/// Whether a machine takes part from its start on.
pub(super) fn begins(eligibility: Eligibility, settings: &Settings) -> bool {
    eligibility == Eligibility::Durable || (eligibility == Eligibility::StandIn && founds(settings))
}

/// Whether this machine founds the group: once in the life of a system, by one machine that all
/// name alike.
fn founds(settings: &Settings) -> bool {
    settings.first_start
        && settings
            .listen
            .control_plane
            .is_some_and(|own| settings.seed_nodes.first() == Some(&own))
}

/// A replica, and where it writes.
pub(super) struct Group {
    pub(super) replica: Replica<ReplicatedConfiguration>,
    disk: Option<Disk>,
    /// Items that are to be told as written, where there is no disk.
    remembered: Option<WriteId>,
}

/// What a disk held.
enum Contents {
    /// Nothing, ever.
    Nothing,
    /// What can't be used: it counts as a disk that was lost.
    Lost,
    /// A member.
    Member(Box<Recovered>),
}

/// The disk, by its writer.
struct Disk {
    writer: Writer,
    usage: Usage,
    /// Bytes of records that were handed over since `usage` was told.
    handed: u64,
    /// The last failure, until something is written again.
    failure: Option<String>,
}

/// What a record takes on disk beyond its own bytes, at most: a header, and the rest of a sector.
const BLOCK_BYTES: u64 = 1_024;
/// Folder of the ring under the data directory.
const FOLDER: &str = "control";
/// Owner that the ring's files name.
const OWNER: &str = "lichenswitch-fleet control";

impl Group {
    /// Starts with what the disk holds.
    pub(super) fn start(
        settings: &Settings,
        environment: &Environment,
        address: String,
        net: &mut Net,
        now: Time,
    ) -> Result<Group, ControlError> {
        let (storage, contents) = match &settings.data_directory {
            Some(directory) => {
                let (storage, contents) = open(&directory.join(FOLDER), environment)?;
                (Some(storage), contents)
            }
            None => (None, Contents::Nothing),
        };
        let disk = storage
            .map(|storage| Disk::start(storage, net))
            .transpose()?;
        let replica = replica(settings, environment, address, contents, now);
        Ok(Group {
            replica,
            disk,
            remembered: None,
        })
    }

    /// Of the member.
    pub(super) fn identity(&self) -> Identity {
        self.replica.member().identity
    }

    /// Whether it is a voter, as far as it knows.
    pub(super) fn votes(&self) -> bool {
        self.replica.membership().names(self.identity())
    }

    /// What the replica wants done, but for what it wants written: that is begun here.
    pub(super) fn take_outputs(&mut self, now: Time) -> Vec<Output> {
        let mut outputs = Vec::new();
        loop {
            for output in self.replica.take_outputs() {
                match output {
                    Output::Persist { write_id, item } => self.persist(write_id, &item),
                    other => outputs.push(other),
                }
            }
            match self.remembered.take() {
                Some(write_id) => self.replica.on_persisted(to_replica(now), write_id),
                None => return outputs,
            }
        }
    }

    fn persist(&mut self, write_id: WriteId, item: &DurableItem) {
        let Some(disk) = &mut self.disk else {
            self.remembered = Some(write_id);
            return;
        };
        // A segment that is nearly full, or too full for this item, begins anew with everything
        // that this item and those before it come to.
        let bytes = item.encode();
        let anew = disk
            .wants_snapshot_before(bytes.len())
            .then(|| self.replica.snapshot_for(write_id))
            .flatten();
        let (is_snapshot, bytes) = match &anew {
            Some(snapshot) => (true, snapshot.encode()),
            None => (matches!(item, DurableItem::Snapshot(_)), bytes),
        };
        disk.submit(write_id, is_snapshot, bytes);
    }

    /// The writer has finished something.
    pub(super) fn on_written(&mut self, now: Time) {
        let Some(disk) = &mut self.disk else { return };
        for completion in disk.writer.completions() {
            let write_id = WriteId(completion.write_id);
            match completion.result {
                Ok(usage) => {
                    if disk.failure.is_some() {
                        info!(target: "control", "the disk takes writes again");
                    }
                    (disk.usage, disk.failure) = (usage, None);
                    if disk.writer.outstanding() == 0 {
                        disk.handed = 0;
                    }
                    self.replica.on_persisted(to_replica(now), write_id);
                }
                Err(e) => {
                    // It is tried again and again; the log needs to hear of it once.
                    if disk.failure.is_none() {
                        warn!(target: "control", error = e.to_string().as_str(); "the disk takes nothing");
                    }
                    disk.failure = Some(e.to_string());
                    self.replica.on_persist_failed(to_replica(now), write_id);
                }
            }
        }
    }

    /// When the replica wants to be woken; `None`: never.
    pub(super) fn next_wake(&self) -> Option<Time> {
        Some(of_replica(self.replica.next_wake())).filter(|at| at.0 < u64::MAX)
    }

    /// How full the disk is, and its last failure.
    pub(super) fn disk(&self) -> Option<(Usage, usize, Option<&str>)> {
        let disk = self.disk.as_ref()?;
        Some((
            disk.usage,
            disk.writer.outstanding(),
            disk.failure.as_deref(),
        ))
    }

    /// Waits for what was handed to the disk. Called once, at the end of the process.
    pub(super) fn close(self) {
        if let Some(disk) = self.disk {
            disk.writer.close();
        }
    }
}

/// A time, as the replica counts it.
pub(super) fn to_replica(now: Time) -> replication::Time {
    replication::Time(now.0)
}

/// A time of the replica, as the loop counts it.
pub(super) fn of_replica(time: replication::Time) -> Time {
    Time(time.0)
}

impl Disk {
    fn start(storage: Storage, net: &mut Net) -> Result<Disk, ControlError> {
        let (ours, theirs) = UnixStream::pair()?;
        net.watch_signal(Signal::Written, ours)?;
        let usage = storage.usage();
        Ok(Disk {
            writer: Writer::start(storage, theirs)?,
            usage,
            handed: 0,
            failure: None,
        })
    }

    /// Whether a whole snapshot is to be written in place of a record of these bytes.
    fn wants_snapshot_before(&self, bytes: usize) -> bool {
        let used = self.usage.used_bytes + self.handed + bytes as u64 + BLOCK_BYTES;
        self.usage.wants_snapshot || used > self.usage.segment_bytes
    }

    fn submit(&mut self, write_id: WriteId, is_snapshot: bool, bytes: Vec<u8>) {
        let job = if is_snapshot {
            // The next segment has room again; how much is told once it is written.
            (
                self.usage.wants_snapshot,
                self.usage.used_bytes,
                self.handed,
            ) = (false, 0, 0);
            WriteRequest::ReplaceSnapshot(bytes)
        } else {
            self.handed += bytes.len() as u64 + BLOCK_BYTES;
            WriteRequest::Append(vec![bytes])
        };
        self.writer.submit(write_id.0, job);
    }
}

/// Opens the ring. What is not whole is treated as a lost disk: set aside, and begun anew with
/// another identity.
fn open(folder: &Path, environment: &Environment) -> Result<(Storage, Contents), ControlError> {
    let ring = || {
        Storage::open_with(
            environment.file_system(),
            folder,
            &StorageSettings::new(OWNER),
        )
    };
    let (storage, found) = ring()?;
    for finding in &found.findings {
        warn!(target: "control", finding:? = finding; "the disk is not as it was left");
    }
    // A write that was cut off and never acknowledged is nothing; anything else was something once.
    let blank = |finding: &Finding| matches!(finding, Finding::Torn { .. });
    if found.is_empty() && found.findings.iter().all(blank) {
        let before = aside(folder).exists();
        return Ok((
            storage,
            if before {
                Contents::Lost
            } else {
                Contents::Nothing
            },
        ));
    }
    match read(&found) {
        Ok(recovered) if !found.loses_state() => {
            Ok((storage, Contents::Member(Box::new(recovered))))
        }
        outcome => {
            let reason = outcome
                .err()
                .unwrap_or_else(|| "acknowledged state is missing".to_owned());
            drop(storage);
            set_aside(folder, environment.file_system().as_ref(), &reason)?;
            Ok((ring()?.0, Contents::Lost))
        }
    }
}

fn read(found: &lichenswitch_storage::Recovered) -> Result<Recovered, String> {
    let items = found
        .snapshot
        .iter()
        .chain(&found.records)
        .map(|bytes| DurableItem::decode(bytes));
    let items = items
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| e.to_string())?;
    Recovered::from_items(items).map_err(|e| e.to_string())
}

/// The folder gets another name. It is not deleted: a person may want to look at it. One that was
/// set aside before goes.
fn set_aside(folder: &Path, files: &dyn FileSystem, reason: &str) -> Result<(), ControlError> {
    let aside = aside(folder);
    warn!(target: "control", reason = reason, aside = aside.display().to_string().as_str(); "the disk counts as lost");
    if aside.exists() {
        std::fs::remove_dir_all(&aside)?;
    }
    files.rename(folder, &aside)?;
    Ok(files.sync_folder(folder.parent().unwrap_or(folder))?)
}

/// Where a folder that can't be used is put.
fn aside(folder: &Path) -> PathBuf {
    folder.with_extension("lost")
}

fn replica(
    settings: &Settings,
    environment: &Environment,
    address: String,
    contents: Contents,
    now: Time,
) -> Replica<ReplicatedConfiguration> {
    let figures = replication::Settings {
        fault_tolerance: u32::try_from(settings.fault_tolerance.machines).unwrap_or(u32::MAX),
        faults: environment.faults,
        ..replication::Settings::default()
    };
    let (seed, now) = (fastrand::u64(..), to_replica(now));
    let nothing = matches!(contents, Contents::Nothing);
    if let Contents::Member(recovered) = contents {
        match Replica::recover(figures.clone(), address.clone(), *recovered, seed, now) {
            Ok(replica) => {
                info!(target: "control", identity = replica.member().identity.to_string().as_str(); "the disk holds a member");
                return replica;
            }
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "what the disk holds can't be read")
            }
        }
    }
    let member = Member {
        identity: draw_identity(&address),
        address,
    };
    if nothing && founds(settings) {
        info!(target: "control", identity = member.identity.to_string().as_str(); "founds the group");
        return Replica::bootstrap(
            figures,
            member,
            ReplicatedConfiguration::default(),
            seed,
            now,
        );
    }
    Replica::learner(figures, member, seed, now)
}

/// A number that no other member has, and none had: from the system's random numbers, the address
/// and the time.
pub(super) fn draw_identity(address: &str) -> Identity {
    let hasher = std::collections::hash_map::RandomState::new();
    let drawn = hasher.hash_one((
        address,
        std::process::id(),
        std::time::SystemTime::now(),
        fastrand::u64(..),
    ));
    Identity(drawn.max(1))
}
