//! An operator's order: known by its content, and judged against what has been taken.

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::state::State;
use crate::update::Update;
use sha2::{Digest, Sha256};

/// Path of the order that brings a whole configuration.
pub const REPLACE_PATH: &str = "/configuration/replace";

/// Path of the order that changes named items.
pub const UPDATE_PATH: &str = "/configuration/update";

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Brings a whole configuration.
    Replace,
    /// Changes named items.
    Update,
}

impl OrderKind {
    /// Of a path.
    #[must_use]
    pub fn of_path(path: &str) -> Option<OrderKind> {
        match path {
            REPLACE_PATH => Some(OrderKind::Replace),
            UPDATE_PATH => Some(OrderKind::Update),
            _ => None,
        }
    }

    /// Its path.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            OrderKind::Replace => REPLACE_PATH,
            OrderKind::Update => UPDATE_PATH,
        }
    }
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Path of the call.
    pub path: String,
    /// Version that it builds on; 0 for the first configuration.
    pub base_version: u64,
    /// Body as it came.
    pub body: Vec<u8>,
}

/// An order by its content: the first bytes of the SHA-256 over its parts, each with its length
/// before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderDigest(pub [u8; OrderDigest::BYTES]);

impl OrderDigest {
    /// Length of a digest (bytes).
    pub const BYTES: usize = 16;

    /// Of the parts of an order.
    #[must_use]
    pub fn of(path: &str, base_version: u64, body: &[u8]) -> OrderDigest {
        let mut hash = Sha256::new();
        for part in [path.as_bytes(), &base_version.to_le_bytes(), body] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut digest = [0; OrderDigest::BYTES];
        digest.copy_from_slice(&whole[..OrderDigest::BYTES]);
        OrderDigest(digest)
    }
}

impl Order {
    /// Its digest.
    #[must_use]
    pub fn digest(&self) -> OrderDigest {
        OrderDigest::of(&self.path, self.base_version, &self.body)
    }
}

/// What an order is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Exactly this order has been taken before: 200.
    Taken,
    /// Another version is current: 412.
    VersionConflict {
        /// The current version; 0 where there is no configuration.
        current: u64,
    },
    /// It can't be taken: 400.
    Invalid(ConfigurationError),
    /// To be replicated; 200 once it is committed. For [`State::apply`].
    Change(Vec<u8>),
}

/// The version that an order builds on, of its header `Base-Version`.
///
/// # Errors
/// The header is missing or not a whole number.
pub fn parse_base_version(header: Option<&[u8]>) -> Result<u64, ConfigurationError> {
    let header = header.ok_or(ConfigurationError::MissingBaseVersion)?;
    let text =
        std::str::from_utf8(header).map_err(|_| ConfigurationError::UnreadableBaseVersion)?;
    let text = text.trim_matches([' ', '\t']);
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(version) if digits => Ok(version),
        _ => Err(ConfigurationError::UnreadableBaseVersion),
    }
}

/// An order that is valid in itself.
pub(crate) enum Checked {
    /// Brings a whole configuration.
    Replace(Document),
    /// Changes named items.
    Update(Update),
}

impl Checked {
    /// Reads an order. A version that is not above the one that it builds on can never be above the
    /// current one.
    pub(crate) fn read(
        kind: OrderKind,
        base_version: u64,
        body: &[u8],
    ) -> Result<Checked, ConfigurationError> {
        let checked = match kind {
            OrderKind::Replace => Checked::Replace(Document::parse(body)?),
            OrderKind::Update => Checked::Update(Update::parse(body)?),
        };
        let version = checked.version();
        match version > base_version {
            true => Ok(checked),
            false => Err(ConfigurationError::VersionNotAbove {
                version,
                current: base_version,
            }),
        }
    }

    fn version(&self) -> u64 {
        match self {
            Checked::Replace(document) => document.version(),
            Checked::Update(update) => update.version(),
        }
    }

    /// The configuration that it makes of the current one.
    pub(crate) fn outcome(
        self,
        current: Option<&Document>,
    ) -> Result<Document, ConfigurationError> {
        match (self, current) {
            (Checked::Replace(document), current) => {
                current.map_or(Ok(()), |current| {
                    current.check_successor(document.version())
                })?;
                Ok(document)
            }
            (Checked::Update(update), Some(current)) => current.apply_update(&update),
            (Checked::Update(_), None) => Err(ConfigurationError::NothingToUpdate),
        }
    }
}

/// What is wrong with an order whatever the state: any machine may refuse it.
///
/// # Errors
/// What is wrong with it, by name.
pub fn judge_alone(order: &Order) -> Result<(), ConfigurationError> {
    read(order).map(drop)
}

fn read(order: &Order) -> Result<(OrderKind, Checked), ConfigurationError> {
    let kind = OrderKind::of_path(&order.path).ok_or(ConfigurationError::UnknownPath)?;
    Ok((kind, Checked::read(kind, order.base_version, &order.body)?))
}

/// Judges an order against a committed state. A repeat is known first, whatever has followed it.
#[must_use]
pub fn judge(state: &State, order: &Order) -> Verdict {
    if state.taken(&order.digest()) {
        return Verdict::Taken;
    }
    let (kind, checked) = match read(order) {
        Ok(read) => read,
        Err(error) => return Verdict::Invalid(error),
    };
    let current = state.version();
    if order.base_version != current {
        return Verdict::VersionConflict { current };
    }
    match checked.outcome(state.document()) {
        Ok(_) => Verdict::Change(State::change(kind, order.base_version, &order.body)),
        Err(error) => Verdict::Invalid(error),
    }
}

#[cfg(test)]
mod tests;
