//! The replicated state of this machine: a replica, and the disk that it writes to.
//!
//! Items that the replica persists are written in order, and reported to the replica only once they
//! are synced. Without a disk, items are reported at once and exist only in memory.

use super::clock::{from_replica_time, to_replica_time};
use super::eligibility::is_founder;
use super::environment::Environment;
use super::error::ControlError;
use super::group_disk::{open_ring, DiskContents, DiskStatus, GroupDisk};
use super::net_program::Net;
use crate::settings::Settings;
use lichenswitch_control::ReplicatedConfiguration;
use lichenswitch_interface::Time;
use lichenswitch_replication as replication;
use lichenswitch_replication::{DurableItem, Identity, Member, Output, Replica, WriteId};
use log::{info, warn};
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before a disk that could not be opened is tried again.
pub(super) const DISK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Folder of the segment ring under the data directory.
const RING_FOLDER: &str = "control";

/// A member of the group: its replica, and the disk that holds its state.
pub(super) struct Group {
    pub(super) replica: Replica<ReplicatedConfiguration>,
    disk: Option<GroupDisk>,
    /// On a machine without a disk, the last write that has to be reported as synced.
    unreported_write: Option<WriteId>,
}

impl Group {
    /// Opens the disk and starts the replica. Returns `None` if the disk can't be used. The process
    /// then continues as a relay.
    pub(super) fn open(
        settings: &Settings,
        environment: &Environment,
        address: SocketAddr,
        net: &mut Net,
        now: Time,
    ) -> Option<Group> {
        match Group::start(settings, environment, address.to_string(), net, now) {
            Ok(group) => Some(group),
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "disk can't be used, this machine only relays for now");
                None
            }
        }
    }

    fn start(
        settings: &Settings,
        environment: &Environment,
        address: String,
        net: &mut Net,
        now: Time,
    ) -> Result<Group, ControlError> {
        let (storage, contents) = match &settings.data_directory {
            Some(directory) => {
                let (storage, contents) = open_ring(&directory.join(RING_FOLDER), environment)?;
                (Some(storage), contents)
            }
            None => (None, DiskContents::Empty),
        };
        let disk = storage
            .map(|storage| GroupDisk::start(storage, net))
            .transpose()?;
        let replica = start_replica(settings, environment, address, contents, now);
        Ok(Group {
            replica,
            disk,
            unreported_write: None,
        })
    }

    /// Returns the identity of this member.
    pub(super) fn identity(&self) -> Identity {
        self.replica.member().identity
    }

    /// Whether this member is a voter in the membership that its replica knows.
    pub(super) fn is_voter(&self) -> bool {
        self.replica.membership().contains(self.identity())
    }

    /// Takes the outputs of the replica, except for writes, which it submits to the disk.
    pub(super) fn take_outputs(&mut self, now: Time) -> Vec<Output> {
        let mut outputs = Vec::new();
        loop {
            for output in self.replica.take_outputs() {
                match output {
                    Output::Persist { write_id, item } => self.persist(write_id, &item),
                    other => outputs.push(other),
                }
            }
            match self.unreported_write.take() {
                Some(write_id) => self.replica.on_persisted(to_replica_time(now), write_id),
                None => return outputs,
            }
        }
    }

    fn persist(&mut self, write_id: WriteId, item: &DurableItem) {
        let Some(disk) = &mut self.disk else {
            self.unreported_write = Some(write_id);
            return;
        };
        // If the segment has no room for this item, a new segment is started. It begins with a
        // snapshot of all items up to this one.
        let bytes = item.encode();
        let snapshot = disk
            .wants_snapshot_before(bytes.len())
            .then(|| self.replica.snapshot_replacing(write_id))
            .flatten();
        let (is_snapshot, bytes) = match &snapshot {
            Some(snapshot) => (true, snapshot.encode()),
            None => (matches!(item, DurableItem::Snapshot(_)), bytes),
        };
        disk.submit(write_id, is_snapshot, bytes);
    }

    /// Reports the completed writes of the disk to the replica.
    pub(super) fn on_written(&mut self, now: Time) {
        let Some(disk) = &mut self.disk else { return };
        for write in disk.take_completed_writes() {
            match write.is_synced {
                true => self.replica.on_persisted(to_replica_time(now), write.id),
                false => self
                    .replica
                    .on_persist_failed(to_replica_time(now), write.id),
            }
        }
    }

    /// Returns when the replica's `tick` has to be called, or `None` if it does not have to be.
    pub(super) fn next_wake(&self) -> Option<Time> {
        Some(from_replica_time(self.replica.next_wake())).filter(|at| at.0 < u64::MAX)
    }

    /// Returns the state of the disk, or `None` on a machine without one.
    pub(super) fn disk_status(&self) -> Option<DiskStatus<'_>> {
        self.disk.as_ref().map(GroupDisk::status)
    }

    /// Waits until all submitted writes have ended. Called at the end of the process.
    pub(super) fn close(self) {
        if let Some(disk) = self.disk {
            disk.close();
        }
    }
}

/// Creates the replica: from the member on the disk if there is one, as the founder of a new group,
/// or as a learner.
fn start_replica(
    settings: &Settings,
    environment: &Environment,
    address: String,
    contents: DiskContents,
    now: Time,
) -> Replica<ReplicatedConfiguration> {
    let replication_settings = replication::Settings {
        fault_tolerance: u32::try_from(settings.fault_tolerance.machines).unwrap_or(u32::MAX),
        faults: environment.faults,
        ..replication::Settings::default()
    };
    let (seed, now) = (fastrand::u64(..), to_replica_time(now));
    let is_empty = matches!(contents, DiskContents::Empty);
    if let DiskContents::Member(recovered) = contents {
        match Replica::recover(
            replication_settings.clone(),
            address.clone(),
            *recovered,
            seed,
            now,
        ) {
            Ok(replica) => {
                info!(target: "control", identity = replica.member().identity.to_string().as_str(); "member recovered from the disk");
                return replica;
            }
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "state on the disk can't be read")
            }
        }
    }
    let member = Member {
        identity: generate_identity(&address),
        address,
    };
    if is_empty && is_founder(settings) {
        info!(target: "control", identity = member.identity.to_string().as_str(); "founding the group");
        return Replica::bootstrap(
            replication_settings,
            member,
            ReplicatedConfiguration::default(),
            seed,
            now,
        );
    }
    Replica::learner(replication_settings, member, seed, now)
}

/// Generates an identity that no other member has or had, from the system's random numbers, the
/// address and the time. It is never 0.
pub(super) fn generate_identity(address: &str) -> Identity {
    let hasher = std::collections::hash_map::RandomState::new();
    let identity = hasher.hash_one((
        address,
        std::process::id(),
        std::time::SystemTime::now(),
        fastrand::u64(..),
    ));
    Identity(identity.max(1))
}
