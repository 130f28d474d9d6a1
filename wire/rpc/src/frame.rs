//! Frames: a header of 20 bytes (magic, version, kind, length, checksum of the payload, checksum of
//! the header; integers in little-endian order), and the payload.

/// Longest payload unless another limit is set (bytes).
pub const DEFAULT_PAYLOAD_LIMIT_BYTES: usize = 4 << 20;
/// Length of a header (bytes).
pub const HEADER_BYTES: usize = 20;
const MAGIC: [u8; 4] = *b"LSRP";
/// Offsets of the fields of a header. Magic and version are at the same offsets in all versions.
const VERSION_END: usize = 6;
const LENGTH_OFFSET: usize = 8;
const PAYLOAD_CHECKSUM_OFFSET: usize = 12;
const HEADER_CHECKSUM_OFFSET: usize = 16;
/// Capacity up to which an empty buffer is kept (bytes); that of a longer frame is released.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Why a connection can't be read, or a payload not be sent. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The received bytes are no frame: the peer uses another protocol.
    #[error("the other side does not speak this protocol")]
    UnknownProtocol,
    /// The peer has another version of the protocol.
    #[error("the other side speaks version {theirs} of the protocol, this side version {ours}")]
    VersionMismatch {
        /// Version of this process.
        ours: u16,
        /// Version of the peer.
        theirs: u16,
    },
    /// A header or payload is corrupt.
    #[error("the checksum of a frame's {0} is wrong")]
    Checksum(&'static str),
    /// A payload is too long.
    #[error("a payload of {bytes} bytes is over the limit of {limit} bytes")]
    TooLong {
        /// Its length (bytes).
        bytes: usize,
        /// The limit (bytes).
        limit: usize,
    },
}

/// A frame that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Kind of the payload, as the sender declares it.
    pub kind: u16,
    /// Its bytes.
    pub payload: &'a [u8],
}

/// Encodes a payload as a frame.
///
/// # Errors
/// [`FrameError::TooLong`] when it is longer than [`DEFAULT_PAYLOAD_LIMIT_BYTES`].
pub fn encode_frame(version: u16, kind: u16, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut buffer = Vec::new();
    encode_frame_into(
        &mut buffer,
        version,
        kind,
        payload,
        DEFAULT_PAYLOAD_LIMIT_BYTES,
    )?;
    Ok(buffer)
}

/// Appends a payload as a frame to a buffer.
///
/// # Errors
/// [`FrameError::TooLong`] when it is longer than the limit; nothing is appended then.
pub fn encode_frame_into(
    buffer: &mut Vec<u8>,
    version: u16,
    kind: u16,
    payload: &[u8],
    limit: usize,
) -> Result<(), FrameError> {
    let too_long = FrameError::TooLong {
        bytes: payload.len(),
        limit,
    };
    let length = u32::try_from(payload.len()).map_err(|_| too_long.clone())?;
    if payload.len() > limit {
        return Err(too_long);
    }
    let start = buffer.len();
    buffer.reserve(HEADER_BYTES + payload.len());
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&version.to_le_bytes());
    buffer.extend_from_slice(&kind.to_le_bytes());
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&buffer[start..]);
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(payload);
    Ok(())
}

/// Splits the bytes of a connection, which arrive in any chunks, into frames.
#[derive(Debug)]
pub struct FrameReader {
    version: u16,
    limit: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that belong to frames which were returned.
    consumed: usize,
    /// The first error; nothing is read after it.
    error: Option<FrameError>,
}

impl FrameReader {
    /// A reader of frames of one version, with payloads up to [`DEFAULT_PAYLOAD_LIMIT_BYTES`].
    #[must_use]
    pub fn new(version: u16) -> Self {
        Self::with_limit(version, DEFAULT_PAYLOAD_LIMIT_BYTES)
    }

    /// A reader of frames of one version, with payloads up to a limit (bytes).
    #[must_use]
    pub fn with_limit(version: u16, limit: usize) -> Self {
        Self {
            version,
            limit,
            buffer: Vec::new(),
            consumed: 0,
            error: None,
        }
    }

    /// Adds received bytes. All complete frames should be read before more bytes are pushed, which
    /// bounds memory.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        self.discard_consumed();
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that were pushed and are not part of a returned frame.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// The next complete frame, or `None` until more bytes are pushed.
    ///
    /// # Errors
    /// When the bytes are no frame of this version. The same error is returned from then on.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, FrameError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        match parse_frame(&self.buffer[self.consumed..], self.version, self.limit) {
            Ok(Some((kind, length))) => {
                let start = self.consumed + HEADER_BYTES;
                self.consumed = start + length;
                Ok(Some(Frame {
                    kind,
                    payload: &self.buffer[start..self.consumed],
                }))
            }
            Ok(None) => Ok(None),
            Err(error) => {
                self.error = Some(error.clone());
                Err(error)
            }
        }
    }

    fn discard_consumed(&mut self) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_BYTES {
            self.buffer = Vec::new();
        }
    }
}

/// What a header says of its payload.
struct Header {
    kind: u16,
    length: usize,
    payload_checksum: u32,
}

/// Kind and payload length of the frame that bytes begin with; `None` while it is incomplete.
fn parse_frame(
    bytes: &[u8],
    version: u16,
    limit: usize,
) -> Result<Option<(u16, usize)>, FrameError> {
    let Some(header) = parse_header(bytes, version, limit)? else {
        return Ok(None);
    };
    let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + header.length) else {
        return Ok(None);
    };
    if crc32fast::hash(payload) != header.payload_checksum {
        return Err(FrameError::Checksum("payload"));
    }
    Ok(Some((header.kind, header.length)))
}

/// The header that bytes begin with; `None` while it is incomplete. Magic and version are checked as
/// soon as they are there.
fn parse_header(bytes: &[u8], version: u16, limit: usize) -> Result<Option<Header>, FrameError> {
    let magic = &bytes[..bytes.len().min(MAGIC.len())];
    if !MAGIC.starts_with(magic) {
        return Err(FrameError::UnknownProtocol);
    }
    if bytes.len() < VERSION_END {
        return Ok(None);
    }
    let theirs = u16::from_le_bytes([bytes[4], bytes[5]]);
    if theirs != version {
        return Err(FrameError::VersionMismatch {
            ours: version,
            theirs,
        });
    }
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let number = |offset: usize| {
        u32::from_le_bytes([
            header[offset],
            header[offset + 1],
            header[offset + 2],
            header[offset + 3],
        ])
    };
    if crc32fast::hash(&header[..HEADER_CHECKSUM_OFFSET]) != number(HEADER_CHECKSUM_OFFSET) {
        return Err(FrameError::Checksum("header"));
    }
    let length = number(LENGTH_OFFSET) as usize;
    if length > limit {
        return Err(FrameError::TooLong {
            bytes: length,
            limit,
        });
    }
    Ok(Some(Header {
        kind: u16::from_le_bytes([header[6], header[7]]),
        length,
        payload_checksum: number(PAYLOAD_CHECKSUM_OFFSET),
    }))
}
