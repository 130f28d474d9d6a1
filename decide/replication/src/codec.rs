//! Serialization of messages and of items on disk, with `rkyv`.
//!
//! The encoding of a type depends on the order of its fields and variants, not on their names.
//! Builds of different versions exchange messages and read each other's disks, so this order must
//! never change. `tests/message_bytes.rs` and the fleet's `tests/stored_data.rs` check it.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error as ArchiveError;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

/// An error for bytes that do not decode to the expected type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot decode {len} bytes as a {expected}: {reason}")]
pub struct DecodeError {
    /// Name of the expected type, as used in the error text.
    pub expected: &'static str,
    /// Number of bytes in the input.
    pub len: usize,
    /// Error text of the deserializer.
    pub reason: String,
}

/// Encodes a value.
pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, ArchiveError>>,
{
    rkyv::to_bytes::<ArchiveError>(value)
        .expect("serialization into memory must not fail")
        .into_vec()
}

/// Decodes and validates a value that [`encode`] wrote. The bytes may have any alignment.
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
