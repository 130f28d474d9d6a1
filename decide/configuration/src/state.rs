//! The state that the control machines replicate: the configuration, and the digests of the orders
//! that were applied.

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::json::MAX_DOCUMENT_BYTES;
use crate::order::{OrderDigest, OrderKind};
use crate::validated_order::ValidatedOrder;
use std::collections::VecDeque;
use std::sync::Arc;
use thiserror::Error;

/// Most digests in the history; the oldest are dropped first. Three long days of 7,000 changes.
pub const MAX_HISTORY: usize = 20_000;

/// First byte of every encoded state and change.
const FORMAT: u8 = 1;

/// Why a state can't be decoded, or a change not be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// The bytes have an unknown format.
    #[error("format {0} is not known; this program writes format {FORMAT}")]
    UnknownFormat(u8),
    /// The bytes end too early.
    #[error("the bytes end too early")]
    Truncated,
    /// Bytes follow the end of the state.
    #[error("{0} bytes are left over")]
    TrailingBytes(usize),
    /// A change has an unknown code of its kind.
    #[error("mark {0} is not known")]
    UnknownKind(u8),
    /// More digests than the history ever has.
    #[error("{0} digests are more than {MAX_HISTORY}")]
    HistoryTooLong(usize),
    /// The configuration, or the order of a change, is invalid.
    #[error("the configuration is invalid: {0}")]
    InvalidConfiguration(#[from] ConfigurationError),
    /// A change builds on another version.
    #[error("the change builds on version {base}, and {current} is current")]
    VersionMismatch {
        /// Version that it builds on.
        base: u64,
        /// The current one.
        current: u64,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    document: Option<Arc<Document>>,
    /// Digests of the orders that were applied, the oldest first.
    history: VecDeque<OrderDigest>,
}

impl State {
    /// The configuration, once there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_deref()
    }

    /// The configuration, shared.
    #[must_use]
    pub fn shared_document(&self) -> Option<Arc<Document>> {
        self.document.clone()
    }

    /// Its version; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document().map_or(0, Document::version)
    }

    /// Whether exactly this order has been applied.
    #[must_use]
    pub fn has_applied(&self, digest: &OrderDigest) -> bool {
        // The newest first: a repetition follows its order closely. All of them are 320 KB, which
        // takes some microseconds.
        self.history.iter().rev().any(|applied| applied == digest)
    }

    /// Number of digests in the history.
    #[must_use]
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Encodes the change of an order: the order as it was received, since that is small and has the
    /// same result everywhere.
    pub(crate) fn change(kind: OrderKind, base_version: u64, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(10 + body.len());
        bytes.push(FORMAT);
        bytes.push(code_of(kind));
        bytes.extend_from_slice(&base_version.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Applies a change of [`evaluate`](crate::evaluate). The same changes in the same order result
    /// in the same state everywhere.
    ///
    /// # Errors
    /// The change doesn't fit the state, which is then unchanged.
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

    /// Encodes the state: format, length of the configuration (0 where there is none), the
    /// configuration, number of digests, digests.
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

    /// Decodes what [`State::encode`] returned.
    ///
    /// # Errors
    /// The bytes are no such state.
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
        "a length has four bytes"
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

/// Reads encoded values from bytes.
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
