//! Values as bytes.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// A value that couldn't be turned into bytes, or bytes that are no such value.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// The value can't be serialised.
    #[error("cannot serialise a message: {0}")]
    Encode(Error),
    /// The bytes are no such value.
    #[error("cannot read a message: {0}")]
    Decode(Error),
}

/// A value as bytes.
///
/// # Errors
/// When it can't be serialised.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, ArchiveError>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    rkyv::to_bytes::<Error>(value)
        .map(AlignedVec::into_vec)
        .map_err(ArchiveError::Encode)
}

/// The value of these bytes, which are checked; they may lie at any address.
///
/// # Errors
/// When they are no such value.
pub fn decode<T>(bytes: &[u8]) -> Result<T, ArchiveError>
where
    T: Archive,
    T::Archived:
        for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    // An archive is read in place, and has to lie as its types demand.
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).map_err(ArchiveError::Decode)
}
