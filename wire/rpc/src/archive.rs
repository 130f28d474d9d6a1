//! Values as `rkyv` archives.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// Why a value can't be encoded, or bytes not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// A value can't be serialised.
    #[error("cannot serialise a message: {0}")]
    Encode(Error),
    /// Bytes are no archive of the requested type.
    #[error("cannot read a message: {0}")]
    Decode(Error),
}

/// Encodes a value.
///
/// # Errors
/// [`ArchiveError::Encode`] when it can't be serialised.
pub fn encode<T>(value: &T) -> Result<Vec<u8>, ArchiveError>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    rkyv::to_bytes::<Error>(value)
        .map(AlignedVec::into_vec)
        .map_err(ArchiveError::Encode)
}

/// Decodes a value. The bytes are validated, and may have any alignment.
///
/// # Errors
/// [`ArchiveError::Decode`] when they are no archive of this type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, ArchiveError>
where
    T: Archive,
    T::Archived:
        for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    // An archive is read in place, and has to be aligned as its types demand.
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).map_err(ArchiveError::Decode)
}
