//! Encoding and decoding of messages on internal connections, for all roles. Each frame carries one
//! [`Envelope`], [`TenantMessage`] or [`BacklogReport`].
//!
//! This module defines the protocol version, the frame kinds and the maximum frame length, which
//! both ends must agree on. A message that is read is exactly as another process of this program
//! sent it.

use lichenswitch_configuration::MAX_DOCUMENT_BYTES;
use lichenswitch_messages::{BacklogReport, Envelope, TenantMessage, PROTOCOL_VERSION};
use lichenswitch_rpc::{ArchiveError, FrameError, FrameReader};

/// Frame kind of an [`Envelope`]. Its variant determines the message type.
const ENVELOPE: u16 = 1;
/// Frame kind of a [`TenantMessage`].
const TENANT_MESSAGE: u16 = 2;
/// Frame kind of a [`BacklogReport`].
const BACKLOG_REPORT: u16 = 3;
/// Room in a payload for the fields beside a document, in bytes.
const FIELDS_BYTES: usize = 1 << 20;
/// Maximum payload of a frame, in bytes. Whatever the control machines accept has to fit: the longest
/// configuration, in a push as in the response to a relayed call, and the longest order.
pub const PAYLOAD_LIMIT_BYTES: usize = MAX_DOCUMENT_BYTES + FIELDS_BYTES;

/// An error that prevents reading further messages or sending one. The connection must be closed.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// The received bytes are not a valid frame of this protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The payload of a frame can't be decoded, or a message can't be encoded.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// The frame has a kind that is unknown on internal connections.
    #[error("a frame of kind {0} is not for this connection")]
    Kind(u16),
}

/// Encodes an envelope as a frame.
///
/// # Errors
/// Returns an error if the message can't be encoded or exceeds [`PAYLOAD_LIMIT_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, EnvelopeError> {
    encode_frame(ENVELOPE, &lichenswitch_rpc::encode(envelope)?)
}

/// Encodes a message about tenants as a frame.
///
/// # Errors
/// Returns an error if the message can't be encoded or exceeds [`PAYLOAD_LIMIT_BYTES`].
pub fn encode_tenant_message(message: &TenantMessage) -> Result<Vec<u8>, EnvelopeError> {
    encode_frame(TENANT_MESSAGE, &lichenswitch_rpc::encode(message)?)
}

/// Encodes a backlog report as a frame.
///
/// # Errors
/// Returns an error if the message can't be encoded or exceeds [`PAYLOAD_LIMIT_BYTES`].
pub fn encode_backlog_report(report: &BacklogReport) -> Result<Vec<u8>, EnvelopeError> {
    encode_frame(BACKLOG_REPORT, &lichenswitch_rpc::encode(report)?)
}

fn encode_frame(kind: u16, payload: &[u8]) -> Result<Vec<u8>, EnvelopeError> {
    let mut bytes = Vec::with_capacity(payload.len() + lichenswitch_rpc::HEADER_BYTES);
    lichenswitch_rpc::encode_frame_into(
        &mut bytes,
        PROTOCOL_VERSION,
        kind,
        payload,
        PAYLOAD_LIMIT_BYTES,
    )?;
    Ok(bytes)
}

/// A message decoded from a frame, by its kind.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// From a frame of kind 1.
    Envelope(Envelope),
    /// From a frame of kind 2.
    Tenant(TenantMessage),
    /// From a frame of kind 3. Reports the backlogs of servers.
    Backlog(BacklogReport),
}

/// An incremental decoder of the byte stream of a connection. Reads may split frames anywhere.
#[derive(Debug)]
pub struct EnvelopeReader {
    frames: FrameReader,
}

impl Default for EnvelopeReader {
    fn default() -> Self {
        EnvelopeReader {
            frames: FrameReader::with_limit(PROTOCOL_VERSION, PAYLOAD_LIMIT_BYTES),
        }
    }
}

impl EnvelopeReader {
    /// Appends bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.frames.push(bytes);
    }

    /// Whether a message has arrived in part.
    #[must_use]
    pub fn is_within_message(&self) -> bool {
        self.frames.pending() > 0
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid message. The connection must be closed.
    pub fn next_message(&mut self) -> Result<Option<Incoming>, EnvelopeError> {
        let Some(frame) = self.frames.next_frame()? else {
            return Ok(None);
        };
        match frame.kind {
            ENVELOPE => Ok(Some(Incoming::Envelope(lichenswitch_rpc::decode(
                frame.payload,
            )?))),
            TENANT_MESSAGE => Ok(Some(Incoming::Tenant(lichenswitch_rpc::decode(
                frame.payload,
            )?))),
            BACKLOG_REPORT => Ok(Some(Incoming::Backlog(lichenswitch_rpc::decode(
                frame.payload,
            )?))),
            other => Err(EnvelopeError::Kind(other)),
        }
    }
}
