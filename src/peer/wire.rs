//! Frames on a connection between brokers: a length of four bytes, most significant first, then so
//! many bytes. The first frame is a greeting that every version can read: a fixed word and the
//! version, then the rest in the form of that version. All others are encoded by `postcard`.

use crate::decide::failure_detector::Member;
use serde::{Deserialize, Serialize};

/// The version of the protocol.
pub(super) const VERSION: u16 = 1;
/// The longest frame, without its length (bytes). Guards memory: no peer sends a longer one.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024;
/// The beginning of a greeting.
const GREETING_PREFIX: &[u8; 18] = b"lichenswitch-peers";

/// The first frame of a connection, by the broker that has opened it. The order of the fields is
/// that on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Greeting {
    /// The cluster that the broker belongs to.
    pub cluster: String,
    /// The broker.
    pub from: Member,
}

/// A frame after the greeting. The order of the variants is that on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Frame {
    /// A message of the failure detector.
    Swim(Vec<u8>),
    /// The greeting or a frame was rejected for this reason; the connection ends.
    Rejected(String),
    /// A message of the consensus.
    Consensus(Vec<u8>),
}

/// Why the bytes of a peer are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum WireError {
    /// A frame is empty, or longer than any may be.
    #[error("a message of {0} bytes, {MAX_FRAME_BYTES} at most")]
    Length(usize),
    /// The first frame is not a greeting.
    #[error("no greeting of a peer")]
    NoGreeting,
    /// The greeting ends before its version.
    #[error("a greeting without a version")]
    NoVersion,
    /// The greeting is of this other version.
    #[error("it speaks version {0}, here it is {VERSION}")]
    Version(u16),
    /// The greeting can't be decoded.
    #[error("a greeting that can't be read")]
    UnreadableGreeting,
    /// The peer is of the first cluster, this broker of the second.
    #[error("it is of cluster {0:?}, this is {1:?}")]
    Cluster(String, String),
    /// A frame after the greeting can't be decoded.
    #[error("a message that can't be read")]
    UnreadableFrame,
}

fn with_length(content: &[u8]) -> Vec<u8> {
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(content);
    bytes
}

/// Encodes a greeting.
#[must_use]
pub(super) fn encode_greeting(greeting: &Greeting) -> Vec<u8> {
    let rest = postcard::to_stdvec(greeting).unwrap_or_default();
    with_length(&[&GREETING_PREFIX[..], &VERSION.to_be_bytes(), &rest].concat())
}

/// Encodes a frame; `None`: it is too long to be sent.
#[must_use]
pub(super) fn encode_frame(frame: &Frame) -> Option<Vec<u8>> {
    let content = postcard::to_stdvec(frame).ok()?;
    (content.len() <= MAX_FRAME_BYTES).then(|| with_length(&content))
}

/// The content of the first frame in these bytes, and how many bytes it takes with its length;
/// `None`: it is incomplete.
///
/// # Errors
/// When its length is out of bounds, which is found before the rest of it has arrived.
pub(super) fn split_frame(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, WireError> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(WireError::Length(length));
    }
    Ok(rest.get(..length).map(|content| (content, 4 + length)))
}

/// Decodes a greeting to this cluster.
///
/// # Errors
/// When it is not one, or is of another version or cluster.
pub(super) fn decode_greeting(content: &[u8], cluster: &str) -> Result<Greeting, WireError> {
    let rest = content
        .strip_prefix(&GREETING_PREFIX[..])
        .ok_or(WireError::NoGreeting)?;
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(WireError::NoVersion)?;
    let version = u16::from_be_bytes(*version);
    if version != VERSION {
        return Err(WireError::Version(version));
    }
    let greeting: Greeting =
        postcard::from_bytes(rest).map_err(|_| WireError::UnreadableGreeting)?;
    if greeting.cluster != cluster {
        return Err(WireError::Cluster(greeting.cluster, cluster.into()));
    }
    Ok(greeting)
}

/// Decodes a frame after the greeting.
///
/// # Errors
/// When it is of another version, or none.
pub(super) fn decode_frame(content: &[u8]) -> Result<Frame, WireError> {
    postcard::from_bytes(content).map_err(|_| WireError::UnreadableFrame)
}

#[cfg(test)]
mod tests;
