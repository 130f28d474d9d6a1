//! Messages on internal connections: an [`Envelope`] in a frame, the same for all roles.
//!
//! It owns what both ends must agree on (version, kind and longest frame), and promises that what is read was sent so by a process of this
//! program.

use lichenswitch_messages::{Envelope, PROTOCOL_VERSION};
use lichenswitch_rpc::{ArchiveError, FrameError, FrameReader};

/// Kind of all frames: the envelope itself says what is in it.
const KIND: u16 = 1;
/// Longest payload (bytes): an order with a body of 4 MiB, and what goes with it.
pub const PAYLOAD_LIMIT_BYTES: usize = 5 << 20;

/// Why a connection can't be read, or a message not be sent.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// What came is no frame of this program.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame holds no message, or a message can't be written.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// A frame of another kind.
    #[error("a frame of kind {0} is not for this connection")]
    Kind(u16),
}

/// A message as bytes for a connection.
///
/// # Errors
/// When it is too long.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, EnvelopeError> {
    let payload = lichenswitch_rpc::encode(envelope)?;
    let mut bytes = Vec::with_capacity(payload.len() + lichenswitch_rpc::HEADER_BYTES);
    lichenswitch_rpc::encode_frame_into(&mut bytes, PROTOCOL_VERSION, KIND, &payload, PAYLOAD_LIMIT_BYTES)?;
    Ok(bytes)
}

/// Finds the messages in what a connection brings, cut anywhere.
#[derive(Debug)]
pub struct EnvelopeReader {
    frames: FrameReader,
}

impl Default for EnvelopeReader {
    fn default() -> Self {
        EnvelopeReader { frames: FrameReader::with_limit(PROTOCOL_VERSION, PAYLOAD_LIMIT_BYTES) }
    }
}

impl EnvelopeReader {
    /// Takes bytes from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.frames.push(bytes);
    }

    /// The next whole message, or `None` until more bytes come.
    ///
    /// # Errors
    /// When what came is no message. The connection must be closed then.
    pub fn next_envelope(&mut self) -> Result<Option<Envelope>, EnvelopeError> {
        match self.frames.next_frame()? {
            None => Ok(None),
            Some(frame) if frame.kind != KIND => Err(EnvelopeError::Kind(frame.kind)),
            Some(frame) => Ok(Some(lichenswitch_rpc::decode(frame.payload)?)),
        }
    }
}
