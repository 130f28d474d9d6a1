//! Messages on internal connections: an [`Envelope`], a [`TenantMessage`] or a [`BacklogReport`] in
//! a frame, the same for all roles.
//!
//! It owns what both ends must agree on (version, kinds and longest frame), and promises that what is
//! read was sent like that by a process of this program.

use lichenswitch_messages::{BacklogReport, Envelope, TenantMessage, PROTOCOL_VERSION};
use lichenswitch_rpc::{ArchiveError, FrameError, FrameReader};

/// Kind of the frames of envelopes, whose variants tell the message.
const ENVELOPE: u16 = 1;
/// Kind of the frames of messages about tenants.
const TENANT_MESSAGE: u16 = 2;
/// Kind of the frames of reports of backlogs.
const BACKLOG_REPORT: u16 = 3;
/// Longest payload (bytes): an order with a body of 4 MiB, and what goes with it.
pub const PAYLOAD_LIMIT_BYTES: usize = 5 << 20;

/// Why a connection can't be read on, or a message can't be sent. The connection must be closed.
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
/// It is too long.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, EnvelopeError> {
    framed(ENVELOPE, &lichenswitch_rpc::encode(envelope)?)
}

/// A message about tenants as bytes for a connection.
///
/// # Errors
/// It is too long.
pub fn encode_tenant_message(message: &TenantMessage) -> Result<Vec<u8>, EnvelopeError> {
    framed(TENANT_MESSAGE, &lichenswitch_rpc::encode(message)?)
}

/// A report of backlogs as bytes for a connection.
///
/// # Errors
/// It is too long.
pub fn encode_backlog_report(report: &BacklogReport) -> Result<Vec<u8>, EnvelopeError> {
    framed(BACKLOG_REPORT, &lichenswitch_rpc::encode(report)?)
}

fn framed(kind: u16, payload: &[u8]) -> Result<Vec<u8>, EnvelopeError> {
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

/// The message of a frame.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// An envelope.
    Envelope(Envelope),
    /// A message about tenants.
    Tenant(TenantMessage),
    /// Backlogs of servers.
    Backlog(BacklogReport),
}

/// Finds the messages in the bytes of a connection, however they are split.
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
    /// Appends bytes from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.frames.push(bytes);
    }

    /// The next complete message, or `None` until more bytes come.
    ///
    /// # Errors
    /// What came is no message. The connection must be closed.
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
