//! A ring of preallocated segment files with one writer thread.
//!
//! It owns the files of one folder. It promises: what [`Storage::append`] or
//! [`Storage::replace_snapshot`] has returned `Ok` for is there after any crash of the process or
//! loss of power; what was never submitted never appears; a record that a later snapshot replaced
//! never returns. It touches the file system alone, through [`FileSystem`], and knows nothing of what
//! snapshots and records mean.
//!
//! **On disk.** Each segment is a sequence of blocks, each beginning at a multiple of 512 bytes, so
//! that a torn write can't harm a block that was synced. A block has a header (format,
//! owner, generation of its segment, number in it, length, checksum of the payload, checksum of the
//! header) and a payload. Block 0 is the snapshot, block 1 a sync marker that is written once the
//! snapshot has been synced, all others are batches of records, one block a sync. So a valid block proves that
//! all blocks before it were synced, and damage to them differs from a tail that was never
//! acknowledged ([`Finding`]).
//!
//! **A snapshot** goes to the next segment of the ring under a higher generation, and counts once
//! snapshot and marker are synced; the segment before it stays as it is until the ring comes round.
//!
//! **Failures.** A write or sync that fails advances nothing: the next attempt writes the same
//! place again, whole. After a failed `replace_snapshot` the half-finished segment is voided before
//! anything else is acknowledged.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
extern crate self as lichenswitch_storage;

mod block;
mod error;
mod file_system;
mod finding;
mod recovery;
mod ring_scan;
mod segment;
mod storage;
mod sync;
mod writer;

pub use block::FORMAT_VERSION;
pub use error::StorageError;
pub use file_system::{write_all_at, FileSystem, RealFileSystem, StorageFile};
pub use finding::{Finding, ForeignReason};
pub use storage::{Recovered, Storage, StorageSettings, Usage};
pub use writer::{Completion, WriteRequest, Writer};
