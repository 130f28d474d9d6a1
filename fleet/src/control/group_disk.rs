//! The disk of a member of the group: a ring of segments, and the thread that writes it.

use super::environment::Environment;
use super::error::ControlError;
use super::net_program::{Net, Signal};
use lichenswitch_replication::{DecodeError, DurableItem, RecoverError, Recovered, WriteId};
use lichenswitch_storage::{
    FileSystem, Finding, Storage, StorageSettings, Usage, WriteRequest, Writer,
};
use log::{info, warn};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// The most that a record takes on disk beyond its own bytes: a header, and the rest of a sector.
const BLOCK_OVERHEAD_BYTES: u64 = 1_024;
/// Owner that the files of the ring name.
const RING_OWNER: &str = "lichenswitch-fleet control";

/// What a disk contained at the start.
pub(super) enum DiskContents {
    /// Nothing, and it never did.
    Empty,
    /// State that can't be used: the disk counts as lost.
    Lost,
    /// The state of a member.
    Member(Box<Recovered>),
}

/// A write that has ended.
pub(super) struct CompletedWrite {
    /// Its number.
    pub(super) id: WriteId,
    /// Whether it is synced; otherwise it has failed.
    pub(super) is_synced: bool,
}

/// The state of the disk, as `status` shows it.
pub(super) struct DiskStatus<'a> {
    /// How full the ring is.
    pub(super) usage: Usage,
    /// Writes that have not ended.
    pub(super) outstanding_writes: usize,
    /// The last failure, until a write succeeds again.
    pub(super) failure: Option<&'a str>,
}

/// The disk, by way of its writer.
pub(super) struct GroupDisk {
    writer: Writer,
    usage: Usage,
    /// Bytes of records that were submitted since `usage` was reported.
    submitted_bytes: u64,
    /// The last failure, until a write succeeds again.
    failure: Option<String>,
}

impl GroupDisk {
    /// Starts the writer of an opened ring. Its completions arrive as [`Signal::Written`].
    ///
    /// # Errors
    /// When the writer or its socket can't be created.
    pub(super) fn start(storage: Storage, net: &mut Net) -> Result<GroupDisk, ControlError> {
        let (ours, theirs) = UnixStream::pair()?;
        net.watch_signal(Signal::Written, ours)?;
        let usage = storage.usage();
        Ok(GroupDisk {
            writer: Writer::start(storage, theirs)?,
            usage,
            submitted_bytes: 0,
            failure: None,
        })
    }

    /// Whether a complete snapshot has to be written in place of a record of this length.
    pub(super) fn wants_snapshot_before(&self, bytes: usize) -> bool {
        let used =
            self.usage.used_bytes + self.submitted_bytes + bytes as u64 + BLOCK_OVERHEAD_BYTES;
        self.usage.wants_snapshot || used > self.usage.segment_bytes
    }

    /// Submits a write: a snapshot that replaces all before it, or a record behind them.
    pub(super) fn submit(&mut self, write_id: WriteId, is_snapshot: bool, bytes: Vec<u8>) {
        let job = if is_snapshot {
            // The next segment has room again; the writer reports how much once it is written.
            (
                self.usage.wants_snapshot,
                self.usage.used_bytes,
                self.submitted_bytes,
            ) = (false, 0, 0);
            WriteRequest::ReplaceSnapshot(bytes)
        } else {
            self.submitted_bytes += bytes.len() as u64 + BLOCK_OVERHEAD_BYTES;
            WriteRequest::Append(vec![bytes])
        };
        self.writer.submit(write_id.0, job);
    }

    /// Takes the writes that have ended, in order, and logs when the disk fails and recovers.
    pub(super) fn take_completed_writes(&mut self) -> Vec<CompletedWrite> {
        let mut completed = Vec::new();
        for completion in self.writer.completions() {
            let is_synced = completion.result.is_ok();
            match completion.result {
                Ok(usage) => {
                    if self.failure.is_some() {
                        info!(target: "control", "disk writes succeed again");
                    }
                    (self.usage, self.failure) = (usage, None);
                    if self.writer.outstanding() == 0 {
                        self.submitted_bytes = 0;
                    }
                }
                Err(e) => {
                    // The write is retried again and again, but logged once.
                    if self.failure.is_none() {
                        warn!(target: "control", error = e.to_string().as_str(); "disk write failed");
                    }
                    self.failure = Some(e.to_string());
                }
            }
            completed.push(CompletedWrite {
                id: WriteId(completion.write_id),
                is_synced,
            });
        }
        completed
    }

    /// The state of the disk.
    pub(super) fn status(&self) -> DiskStatus<'_> {
        DiskStatus {
            usage: self.usage,
            outstanding_writes: self.writer.outstanding(),
            failure: self.failure.as_deref(),
        }
    }

    /// Waits until all submitted writes have ended.
    pub(super) fn close(self) {
        self.writer.close();
    }
}

/// Opens the ring. An incomplete one counts as a lost disk: it is set aside, and the machine starts
/// with an empty one and another identity.
///
/// # Errors
/// When a folder or file can't be opened, created or renamed.
pub(super) fn open_ring(
    folder: &Path,
    environment: &Environment,
) -> Result<(Storage, DiskContents), ControlError> {
    let ring = || {
        Storage::open_with(
            environment.file_system(),
            folder,
            &StorageSettings::new(RING_OWNER),
        )
    };
    let (storage, found) = ring()?;
    for finding in &found.findings {
        warn!(target: "control", finding:? = finding; "damage found on the disk");
    }
    // A torn write was never acknowledged; any other finding means that there was state once.
    let is_torn_write = |finding: &Finding| matches!(finding, Finding::Torn { .. });
    if found.is_empty() && found.findings.iter().all(is_torn_write) {
        let was_set_aside = aside_path(folder).exists();
        return Ok((
            storage,
            if was_set_aside {
                DiskContents::Lost
            } else {
                DiskContents::Empty
            },
        ));
    }
    let reason = match read(&found) {
        Ok(recovered) if !found.loses_state() => {
            return Ok((storage, DiskContents::Member(Box::new(recovered))));
        }
        Ok(_) => UnusableState::Incomplete,
        Err(reason) => reason,
    };
    drop(storage);
    set_aside(folder, environment.file_system().as_ref(), &reason)?;
    Ok((ring()?.0, DiskContents::Lost))
}

/// Why the state on a disk can't be used.
#[derive(Debug, thiserror::Error)]
enum UnusableState {
    /// An item on it can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// Its items don't add up to a state.
    #[error(transparent)]
    Recover(#[from] RecoverError),
    /// Something that was acknowledged is not there.
    #[error("acknowledged state is missing")]
    Incomplete,
}

fn read(found: &lichenswitch_storage::Recovered) -> Result<Recovered, UnusableState> {
    let items = found
        .snapshot
        .iter()
        .chain(&found.records)
        .map(|bytes| DurableItem::decode(bytes))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Recovered::from_items(items)?)
}

/// Renames the folder. It is not deleted, so that an operator can examine it; one that was set aside
/// earlier is deleted.
fn set_aside(
    folder: &Path,
    files: &dyn FileSystem,
    reason: &UnusableState,
) -> Result<(), ControlError> {
    let aside = aside_path(folder);
    warn!(target: "control", reason = reason.to_string().as_str(), aside = aside.display().to_string().as_str(); "the disk counts as lost");
    if aside.exists() {
        std::fs::remove_dir_all(&aside)?;
    }
    files.rename(folder, &aside)?;
    Ok(files.sync_folder(folder.parent().unwrap_or(folder))?)
}

/// The name that an unusable folder gets.
fn aside_path(folder: &Path) -> PathBuf {
    folder.with_extension("lost")
}
