//! The state that the control machines replicate: the configuration and the digests of the applied
//! orders.

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::json::MAX_DOCUMENT_BYTES;
use crate::order::{OrderDigest, OrderKind};
use crate::validated_order::ValidatedOrder;
use std::collections::VecDeque;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of digests in the history; the oldest are dropped first. Sufficient for almost
/// three days with 7,000 changes each.
pub const MAX_HISTORY: usize = 20_000;

/// First byte of every encoded state and change.
const FORMAT: u8 = 1;

/// The reason for which a state can't be decoded or a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// The first byte is not the known format number.
    #[error("unknown format {0}; this build supports only format {FORMAT}")]
    UnknownFormat(u8),
    /// The bytes end within a value.
    #[error("the data is truncated")]
    Truncated,
    /// This number of bytes follow the end of the state.
    #[error("{0} bytes follow the end of the state")]
    TrailingBytes(usize),
    /// The code for the kind of a change is unknown.
    #[error("unknown code {0} for the kind of an order")]
    UnknownKind(u8),
    /// The history has this number of digests, which is above [`MAX_HISTORY`].
    #[error("the history has {0} digests; the maximum is {MAX_HISTORY}")]
    HistoryTooLong(usize),
    /// The configuration, or the order of a change, is invalid.
    #[error("the configuration is invalid: {0}")]
    InvalidConfiguration(#[from] ConfigurationError),
    /// A change builds on a version other than the current one.
    #[error("the change builds on version {base}, but the current version is {current}")]
    VersionMismatch {
        /// Version that the change builds on.
        base: u64,
        /// Current version of the state.
        current: u64,
    },
}

/// The state that the control machines replicate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    document: Option<Arc<Document>>,
    /// Digests of the applied orders, oldest first; at most [`MAX_HISTORY`].
    history: VecDeque<OrderDigest>,
}

impl State {
    /// Returns the configuration; `None` before the first one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_deref()
    }

    /// Returns a shared reference to the configuration, which outlives later changes of the state.
    #[must_use]
    pub fn shared_document(&self) -> Option<Arc<Document>> {
        self.document.clone()
    }

    /// Returns the version of the configuration; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document().map_or(0, Document::version)
    }

    /// Whether the order with this digest is in the history of applied orders.
    #[must_use]
    pub fn has_applied(&self, digest: &OrderDigest) -> bool {
        // Starts with the newest, since a repeated order usually follows soon. A search of the
        // complete history, which has 320 KB, takes a few microseconds.
        self.history.iter().rev().any(|applied| applied == digest)
    }

    /// Returns the number of digests in the history; at most [`MAX_HISTORY`].
    #[must_use]
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Encodes the change that an order makes. The change contains the order as it was received,
    /// since that is small and has the same result on every machine.
    pub(crate) fn change(kind: OrderKind, base_version: u64, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(10 + body.len());
        bytes.push(FORMAT);
        bytes.push(code_of(kind));
        bytes.extend_from_slice(&base_version.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Applies a change that [`evaluate`](crate::evaluate) returned. The same changes in the same
    /// order result in the same state on every machine.
    ///
    /// # Errors
    /// Returns an error if the change is invalid for this state. The state is then unchanged.
    pub fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        let mut reader = ByteReader { bytes: change };
        reader.format()?;
        let kind = kind_of_code(reader.byte()?)?;
        let base = reader.number()?;
        let body = reader.bytes;
        if base != self.version() {
            return Err(StateError::VersionMismatch {
                base,
                current: self.version(),
            });
        }
        let document = ValidatedOrder::parse(kind, base, body)?.apply_to(self.document())?;
        self.document = Some(Arc::new(document));
        self.record(OrderDigest::of(kind.path(), base, body));
        Ok(())
    }

    fn record(&mut self, digest: OrderDigest) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(digest);
    }

    /// Encodes the state: format, length of the configuration (0 if there is none), configuration,
    /// number of digests, digests.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let document = self.document().map(Document::to_json).unwrap_or_default();
        let mut bytes =
            Vec::with_capacity(9 + document.len() + self.history.len() * OrderDigest::BYTES);
        bytes.push(FORMAT);
        bytes.extend_from_slice(&(document.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&document);
        bytes.extend_from_slice(&(self.history.len() as u32).to_le_bytes());
        for digest in &self.history {
            bytes.extend_from_slice(&digest.0);
        }
        bytes
    }

    /// Decodes a state that [`State::encode`] returned.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a complete state in the known format.
    pub fn decode(bytes: &[u8]) -> Result<State, StateError> {
        let mut reader = ByteReader { bytes };
        reader.format()?;
        let document = decode_document(&mut reader)?;
        let history = decode_history(&mut reader)?;
        match reader.bytes.len() {
            0 => Ok(State { document, history }),
            count => Err(StateError::TrailingBytes(count)),
        }
    }
}

fn decode_document(reader: &mut ByteReader<'_>) -> Result<Option<Arc<Document>>, StateError> {
    let length = reader.length()?;
    debug_assert!(
        MAX_DOCUMENT_BYTES < u32::MAX as usize,
        "a length is encoded in four bytes"
    );
    match reader.take(length)? {
        [] => Ok(None),
        text => Ok(Some(Arc::new(Document::parse_committed(text)?))),
    }
}

fn decode_history(reader: &mut ByteReader<'_>) -> Result<VecDeque<OrderDigest>, StateError> {
    let count = reader.length()?;
    if count > MAX_HISTORY {
        return Err(StateError::HistoryTooLong(count));
    }
    let bytes = reader.take(count * OrderDigest::BYTES)?;
    let digests = bytes.chunks_exact(OrderDigest::BYTES);
    Ok(digests
        .filter_map(|digest| digest.try_into().ok())
        .map(OrderDigest)
        .collect())
}

fn code_of(kind: OrderKind) -> u8 {
    match kind {
        OrderKind::Replace => 1,
        OrderKind::Update => 2,
    }
}

fn kind_of_code(code: u8) -> Result<OrderKind, StateError> {
    match code {
        1 => Ok(OrderKind::Replace),
        2 => Ok(OrderKind::Update),
        _ => Err(StateError::UnknownKind(code)),
    }
}

/// A reader of encoded values. `bytes` has those that were not read so far.
struct ByteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> ByteReader<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], StateError> {
        let (value, remaining) = self
            .bytes
            .split_at_checked(length)
            .ok_or(StateError::Truncated)?;
        self.bytes = remaining;
        Ok(value)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], StateError> {
        self.take(N)?.try_into().map_err(|_| StateError::Truncated)
    }

    fn byte(&mut self) -> Result<u8, StateError> {
        Ok(self.array::<1>()?[0])
    }

    fn length(&mut self) -> Result<usize, StateError> {
        Ok(u32::from_le_bytes(self.array()?) as usize)
    }

    fn number(&mut self) -> Result<u64, StateError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn format(&mut self) -> Result<(), StateError> {
        match self.byte()? {
            FORMAT => Ok(()),
            other => Err(StateError::UnknownFormat(other)),
        }
    }
}

#[cfg(test)]
mod tests;
