//! Frames: a header of 20 bytes (word, version, kind, length, checksum of the payload, checksum of
//! the header), and the payload.

/// Longest payload unless another limit is set (bytes).
pub const DEFAULT_PAYLOAD_LIMIT_BYTES: usize = 4 << 20;
/// Length of a header (bytes).
pub const HEADER_BYTES: usize = 20;
const MAGIC: [u8; 4] = *b"LSRP";
/// Bytes from which on the word and the version are known: they lie here in all versions.
const VERSION_END: usize = 6;
/// Space that is kept once it has been needed (bytes); what a long frame took beyond it is given
/// back.
const KEPT_BYTES: usize = 64 << 10;

/// Why a connection can't be read or a payload not sent. The connection must be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// What came is no frame.
    #[error("the other side does not speak this protocol")]
    NotOurs,
    /// The other side is of another version.
    #[error("the other side speaks version {theirs} of the protocol, this side version {ours}")]
    OtherVersion {
        /// Version of this side.
        ours: u16,
        /// Version of the other side.
        theirs: u16,
    },
    /// A header or payload isn't what was sent.
    #[error("the checksum of a frame's {0} is wrong")]
    Checksum(&'static str),
    /// A payload is too long.
    #[error("a payload of {bytes} bytes is over the limit of {limit} bytes")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
}

/// A frame that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What the payload is, by the sender's word.
    pub kind: u16,
    /// Its bytes.
    pub payload: &'a [u8],
}

/// A payload as a frame.
///
/// # Errors
/// When it is longer than [`DEFAULT_PAYLOAD_LIMIT_BYTES`].
pub fn encode_frame(version: u16, kind: u16, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut out = Vec::new();
    encode_frame_into(
        &mut out,
        version,
        kind,
        payload,
        DEFAULT_PAYLOAD_LIMIT_BYTES,
    )?;
    Ok(out)
}

/// Adds a payload as a frame to a buffer.
///
/// # Errors
/// When it is longer than the limit; nothing is added then.
pub fn encode_frame_into(
    out: &mut Vec<u8>,
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
    let start = out.len();
    out.reserve(HEADER_BYTES + payload.len());
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&version.to_le_bytes());
    out.extend_from_slice(&kind.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&checksum.to_le_bytes());
    out.extend_from_slice(payload);
    Ok(())
}

/// Finds the frames in what a connection brings, cut anywhere.
#[derive(Debug)]
pub struct FrameReader {
    version: u16,
    limit: usize,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that belong to frames which were given out.
    taken: usize,
    /// Nothing is read after an error.
    error: Option<FrameError>,
}

impl FrameReader {
    /// Reads frames of one version, with payloads up to [`DEFAULT_PAYLOAD_LIMIT_BYTES`].
    #[must_use]
    pub fn new(version: u16) -> Self {
        Self::with_limit(version, DEFAULT_PAYLOAD_LIMIT_BYTES)
    }

    /// Reads frames of one version, with payloads up to a limit.
    #[must_use]
    pub fn with_limit(version: u16, limit: usize) -> Self {
        Self {
            version,
            limit,
            buffer: Vec::new(),
            taken: 0,
            error: None,
        }
    }

    /// Takes bytes from the connection. All frames should be taken out before more are pushed: that
    /// bounds the memory.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        self.drop_taken();
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that were pushed and not given out.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.taken
    }

    /// The next whole frame, or `None` until more bytes come.
    ///
    /// # Errors
    /// When what came is no frame of this version. The same error is given from then on.
    pub fn next_frame(&mut self) -> Result<Option<Frame<'_>>, FrameError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        match read(&self.buffer[self.taken..], self.version, self.limit) {
            Ok(Some((kind, length))) => {
                let start = self.taken + HEADER_BYTES;
                self.taken = start + length;
                Ok(Some(Frame {
                    kind,
                    payload: &self.buffer[start..self.taken],
                }))
            }
            Ok(None) => Ok(None),
            Err(error) => {
                self.error = Some(error.clone());
                Err(error)
            }
        }
    }

    fn drop_taken(&mut self) {
        self.buffer.drain(..self.taken);
        self.taken = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES {
            self.buffer = Vec::new();
        }
    }
}

/// Kind and payload length of the whole frame that bytes begin with; `None` while it isn't whole.
fn read(bytes: &[u8], version: u16, limit: usize) -> Result<Option<(u16, usize)>, FrameError> {
    let word = &bytes[..bytes.len().min(MAGIC.len())];
    if !MAGIC.starts_with(word) {
        return Err(FrameError::NotOurs);
    }
    if bytes.len() < VERSION_END {
        return Ok(None);
    }
    let theirs = u16::from_le_bytes([bytes[4], bytes[5]]);
    if theirs != version {
        return Err(FrameError::OtherVersion {
            ours: version,
            theirs,
        });
    }
    let Some(head) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let number =
        |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if crc32fast::hash(&head[..16]) != number(16) {
        return Err(FrameError::Checksum("header"));
    }
    let length = number(8) as usize;
    if length > limit {
        return Err(FrameError::TooLong {
            bytes: length,
            limit,
        });
    }
    let Some(payload) = bytes.get(HEADER_BYTES..HEADER_BYTES + length) else {
        return Ok(None);
    };
    if crc32fast::hash(payload) != number(12) {
        return Err(FrameError::Checksum("payload"));
    }
    Ok(Some((u16::from_le_bytes([head[6], head[7]]), length)))
}
