//! Values as bytes: the format of messages and of items on disk (`rkyv`).
//!
//! The bytes of a type follow from the order of its fields and variants, not from their names.
//! Builds of different versions exchange messages and read each other's disks, so that order never
//! changes; `tests/message_bytes.rs` and the fleet's `tests/stored_data.rs` hold it.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error as ArchiveError;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

/// Bytes that hold no value of the type that was expected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{len} bytes are no {expected}: {reason}")]
pub struct DecodeError {
    /// What the bytes should have held.
    pub expected: &'static str,
    /// Number of bytes.
    pub len: usize,
    /// The error of the deserialiser.
    pub reason: String,
}

/// A value as bytes.
pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, ArchiveError>>,
{
    rkyv::to_bytes::<ArchiveError>(value)
        .expect("a plain value is serialised into memory without an error")
        .into_vec()
}

/// The value that [`encode`] wrote. The bytes are checked first; they may have any alignment.
pub(crate) fn decode<T>(bytes: &[u8], expected: &'static str) -> Result<T, DecodeError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, ArchiveError>>
        + Deserialize<T, HighDeserializer<ArchiveError>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, ArchiveError>(&aligned).map_err(|error| DecodeError {
        expected,
        len: bytes.len(),
        reason: error.to_string(),
    })
}
