//! The disk of a member of the group: a ring of segments, and the thread that writes to it.

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

/// Maximum space that a record takes on disk in addition to its own bytes: a header, and padding to
/// the end of a sector.
const BLOCK_OVERHEAD_BYTES: u64 = 1_024;
/// Name of the owner in the files of the ring.
const RING_OWNER: &str = "lichenswitch-fleet control";

/// The state that was found on the disk at startup.
pub(super) enum DiskContents {
    /// No state, and no sign that there ever was any.
    Empty,
    /// State that can't be used, now or at an earlier start. The disk counts as lost.
    Lost,
    /// The complete state of a member.
    Member(Box<Recovered>),
}

/// The result of a write that has ended.
pub(super) struct CompletedWrite {
    /// Number of the write, as it was submitted.
    pub(super) id: WriteId,
    /// Whether the write is synced. If not, it has failed.
    pub(super) is_synced: bool,
}

/// The state of the disk, as `status` shows it.
pub(super) struct DiskStatus<'a> {
    /// Space that the ring uses.
    pub(super) usage: Usage,
    /// Number of submitted writes that have not ended.
    pub(super) outstanding_writes: usize,
    /// The last failure, until a write succeeds again.
    pub(super) failure: Option<&'a str>,
}

/// The event loop's handle of the ring and its writer thread.
pub(super) struct GroupDisk {
    writer: Writer,
    usage: Usage,
    /// Upper bound of the bytes of submitted records that `usage` does not include yet.
    submitted_bytes: u64,
    /// The last failure, until a write succeeds again.
    failure: Option<String>,
}

impl GroupDisk {
    /// Starts the writer of an opened ring. Its completions arrive as [`Signal::Written`].
    ///
    /// # Errors
    /// Fails if the writer or its socket can't be created.
    pub(super) fn start(storage: Storage, net: &mut Net) -> Result<GroupDisk, ControlError> {
        let (wake_reader, wake_writer) = UnixStream::pair()?;
        net.watch_signal(Signal::Written, wake_reader)?;
        let usage = storage.usage();
        Ok(GroupDisk {
            writer: Writer::start(storage, wake_writer)?,
            usage,
            submitted_bytes: 0,
            failure: None,
        })
    }

    /// Whether a complete snapshot has to be written instead of a record of `bytes` bytes.
    pub(super) fn wants_snapshot_before(&self, bytes: usize) -> bool {
        let used =
            self.usage.used_bytes + self.submitted_bytes + bytes as u64 + BLOCK_OVERHEAD_BYTES;
        self.usage.wants_snapshot || used > self.usage.segment_bytes
    }

    /// Submits a write: a snapshot that replaces all earlier records, or a record that is appended.
    pub(super) fn submit(&mut self, write_id: WriteId, is_snapshot: bool, bytes: Vec<u8>) {
        let request = if is_snapshot {
            // The snapshot starts a new segment. The writer reports its usage once it is written.
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
        self.writer.submit(write_id.0, request);
    }

    /// Takes the results of writes that have ended, in order. Logs when writes begin to fail and
    /// when they succeed again.
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
                    // The write is retried. Only the first failure is logged.
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

    /// Returns the state of the disk.
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

/// Opens the ring. If it is incomplete, the disk counts as lost: the folder is renamed, and the
/// machine starts with an empty ring and a new identity.
///
/// # Errors
/// Fails if a folder or file can't be opened, created or renamed.
pub(super) fn open_ring(
    folder: &Path,
    environment: &Environment,
) -> Result<(Storage, DiskContents), ControlError> {
    let open = || {
        Storage::open_with(
            environment.file_system(),
            folder,
            &StorageSettings::new(RING_OWNER),
        )
    };
    let (storage, found) = open()?;
    for finding in &found.findings {
        warn!(target: "control", finding:? = finding; "damage found on the disk");
    }
    // A torn write was never acknowledged. Any other finding shows that the disk contained state.
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
    Ok((open()?.0, DiskContents::Lost))
}

/// The reason why the state on a disk can't be used.
#[derive(Debug, thiserror::Error)]
enum UnusableState {
    /// An item on the disk can't be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The items on the disk don't form a valid state.
    #[error(transparent)]
    Recover(#[from] RecoverError),
    /// An acknowledged write is missing.
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

/// Renames the folder. It is not deleted, so that an operator can examine it; one that was set
/// aside earlier is deleted.
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

/// Returns the path to which an unusable folder is renamed.
fn aside_path(folder: &Path) -> PathBuf {
    folder.with_extension("lost")
}
