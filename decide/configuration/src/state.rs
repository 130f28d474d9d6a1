//! What the control machines replicate: the configuration, and the digests of all orders that were
//! taken.

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::json::MAX_DOCUMENT_BYTES;
use crate::order::{Checked, OrderDigest, OrderKind};
use std::collections::VecDeque;
use std::sync::Arc;
use thiserror::Error;

/// Most digests that are kept; the oldest go first. Three long days of 7,000 changes.
pub const MAX_HISTORY: usize = 20_000;

/// First byte of every encoded state and change.
const FORMAT: u8 = 1;

/// Why bytes are no state, or a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// Written in a format that is not known here.
    #[error("format {0} is not known; this program writes format {FORMAT}")]
    Format(u8),
    /// The bytes end too early.
    #[error("the bytes end too early")]
    Short,
    /// Bytes are left over.
    #[error("{0} bytes are left over")]
    LeftOver(usize),
    /// A mark has a value that is not known.
    #[error("mark {0} is not known")]
    Mark(u8),
    /// More digests than are ever kept.
    #[error("{0} digests are more than {MAX_HISTORY}")]
    History(usize),
    /// The configuration, or the order of a change, is invalid.
    #[error("the configuration is invalid: {0}")]
    Configuration(#[from] ConfigurationError),
    /// A change builds on another version.
    #[error("the change builds on version {base}, and {current} is current")]
    Base {
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
    /// Digests of the orders that were taken, the oldest first.
    history: VecDeque<OrderDigest>,
}

impl State {
    /// The configuration, once there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_deref()
    }

    /// The configuration, to be shared.
    #[must_use]
    pub fn shared_document(&self) -> Option<Arc<Document>> {
        self.document.clone()
    }

    /// Its version; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document().map_or(0, Document::version)
    }

    /// Whether exactly this order has been taken.
    #[must_use]
    pub fn taken(&self, digest: &OrderDigest) -> bool {
        // The newest first: a repeat follows its order closely. All of them are 320 KB, which takes
        // some microseconds.
        self.history.iter().rev().any(|taken| taken == digest)
    }

    /// Digests that are kept.
    #[must_use]
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// The change that an order makes: the order as it came, since that is small and gives the same
    /// outcome everywhere.
    pub(crate) fn change(kind: OrderKind, base_version: u64, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(10 + body.len());
        out.push(FORMAT);
        out.push(mark_of(kind));
        out.extend_from_slice(&base_version.to_le_bytes());
        out.extend_from_slice(body);
        out
    }

    /// Applies a change of [`judge`](crate::judge). The same changes in the same order give the
    /// same state everywhere.
    ///
    /// # Errors
    /// It does not fit; the state is as it was.
    pub fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        let mut reader = Reader { bytes: change };
        reader.format()?;
        let kind = kind_of(reader.byte()?)?;
        let base = reader.number()?;
        let body = reader.bytes;
        if base != self.version() {
            return Err(StateError::Base {
                base,
                current: self.version(),
            });
        }
        let document = Checked::read(kind, base, body)?.outcome(self.document())?;
        self.document = Some(Arc::new(document));
        self.remember(OrderDigest::of(kind.path(), base, body));
        Ok(())
    }

    fn remember(&mut self, digest: OrderDigest) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(digest);
    }

    /// The whole state: format, length of the configuration (0 where there is none), the
    /// configuration, number of digests, digests.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let document = self.document().map(Document::to_json).unwrap_or_default();
        let mut out =
            Vec::with_capacity(9 + document.len() + self.history.len() * OrderDigest::BYTES);
        out.push(FORMAT);
        out.extend_from_slice(&(document.len() as u32).to_le_bytes());
        out.extend_from_slice(&document);
        out.extend_from_slice(&(self.history.len() as u32).to_le_bytes());
        for digest in &self.history {
            out.extend_from_slice(&digest.0);
        }
        out
    }

    /// Reads what [`State::encode`] wrote.
    ///
    /// # Errors
    /// The bytes are no such state.
    pub fn decode(bytes: &[u8]) -> Result<State, StateError> {
        let mut reader = Reader { bytes };
        reader.format()?;
        let document = read_document(&mut reader)?;
        let history = read_history(&mut reader)?;
        match reader.bytes.len() {
            0 => Ok(State { document, history }),
            left => Err(StateError::LeftOver(left)),
        }
    }
}

fn read_document(reader: &mut Reader<'_>) -> Result<Option<Arc<Document>>, StateError> {
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

fn read_history(reader: &mut Reader<'_>) -> Result<VecDeque<OrderDigest>, StateError> {
    let count = reader.length()?;
    if count > MAX_HISTORY {
        return Err(StateError::History(count));
    }
    let bytes = reader.take(count * OrderDigest::BYTES)?;
    let digests = bytes.chunks_exact(OrderDigest::BYTES);
    Ok(digests
        .filter_map(|digest| digest.try_into().ok())
        .map(OrderDigest)
        .collect())
}

fn mark_of(kind: OrderKind) -> u8 {
    match kind {
        OrderKind::Replace => 1,
        OrderKind::Update => 2,
    }
}

fn kind_of(mark: u8) -> Result<OrderKind, StateError> {
    match mark {
        1 => Ok(OrderKind::Replace),
        2 => Ok(OrderKind::Update),
        _ => Err(StateError::Mark(mark)),
    }
}

/// Takes encoded bytes apart.
struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], StateError> {
        let (taken, left) = self
            .bytes
            .split_at_checked(length)
            .ok_or(StateError::Short)?;
        self.bytes = left;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], StateError> {
        self.take(N)?.try_into().map_err(|_| StateError::Short)
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
            other => Err(StateError::Format(other)),
        }
    }
}

#[cfg(test)]
mod tests;
