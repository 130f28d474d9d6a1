//! Orders that are valid regardless of the current configuration, and their result.

use crate::document::Document;
use crate::error::ConfigurationError;
use crate::order::{Order, OrderKind};
use crate::update::Update;

/// An order that has passed all checks that don't depend on the current configuration.
pub(crate) enum ValidatedOrder {
    /// Replaces the complete configuration.
    Replace(Document),
    /// Adds, replaces or removes named items.
    Update(Update),
}

impl ValidatedOrder {
    /// Parses the body of an order. Its version must be above the base version, since it could not
    /// be above the current version otherwise.
    pub(crate) fn parse(
        kind: OrderKind,
        base_version: u64,
        body: &[u8],
    ) -> Result<ValidatedOrder, ConfigurationError> {
        let order = match kind {
            OrderKind::Replace => ValidatedOrder::Replace(Document::parse(body)?),
            OrderKind::Update => ValidatedOrder::Update(Update::parse(body)?),
        };
        let version = order.version();
        match version > base_version {
            true => Ok(order),
            false => Err(ConfigurationError::VersionNotAbove {
                version,
                current: base_version,
            }),
        }
    }

    /// Parses an order as the operator sent it; returns its kind as well.
    pub(crate) fn of(order: &Order) -> Result<(OrderKind, ValidatedOrder), ConfigurationError> {
        let kind = OrderKind::of_path(&order.path).ok_or(ConfigurationError::UnknownPath)?;
        let parsed = ValidatedOrder::parse(kind, order.base_version, &order.body)?;
        Ok((kind, parsed))
    }

    fn version(&self) -> u64 {
        match self {
            ValidatedOrder::Replace(document) => document.version(),
            ValidatedOrder::Update(update) => update.version(),
        }
    }

    /// Returns the configuration that results if the order is applied to the current one.
    pub(crate) fn apply_to(
        self,
        current: Option<&Document>,
    ) -> Result<Document, ConfigurationError> {
        match (self, current) {
            (ValidatedOrder::Replace(document), current) => {
                current.map_or(Ok(()), |current| {
                    current.check_successor(document.version())
                })?;
                Ok(document)
            }
            (ValidatedOrder::Update(update), Some(current)) => current.apply_update(&update),
            (ValidatedOrder::Update(_), None) => Err(ConfigurationError::NothingToUpdate),
        }
    }
}
