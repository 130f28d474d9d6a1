//! Parsing, validation and updates of the operator's configuration, and the history of orders.
//!
//! The crate decides whether a configuration is valid, how an update changes it, and how an order
//! is evaluated against the orders that were applied before. It guarantees the following:
//!
//! - Any input results in a typed error or in a value that has passed every check.
//! - The same changes in the same order result in the same state on every machine.
//! - A configuration is returned as it was received: unknown fields, the order of fields and the
//!   digits of numbers are preserved.
//!
//! The crate has no clock, no I/O and no threads. Its main types and functions are:
//!
//! - [`Document`] is a configuration. [`Route`], [`Service`], [`Tenant`] and [`Limits`] are its
//!   typed views.
//! - [`Routes`] finds the route of a request, and [`KeyIndex`] finds the tenant of an API key.
//! - [`Order`] is an operator's call; [`validate`] and [`evaluate`] check it.
//! - [`State`] is the state that the control machines replicate.
//!
//! Each module depends only on modules before it in this order: `error`, `json`, `named_list`,
//! `header_value`, `key_digest`, `limits`, `route`, `service`, `tenant`, `update`, `document`, `routes`,
//! `key_index`, `order`, `validated_order`, `state`, `evaluation`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod document;
mod error;
mod evaluation;
mod header_value;
mod json;
mod key_digest;
mod key_index;
mod limits;
mod named_list;
mod order;
mod route;
mod routes;
mod service;
mod state;
mod tenant;
mod update;
mod validated_order;

pub use document::Document;
pub use error::ConfigurationError;
pub use evaluation::{evaluate, validate, OrderOutcome};
pub use header_value::is_header_value;
pub use json::{MAX_DEPTH, MAX_DOCUMENT_BYTES};
pub use key_digest::KeyDigest;
pub use key_index::KeyIndex;
pub use limits::Limits;
pub use order::{parse_base_version, Order, OrderDigest, OrderKind, REPLACE_PATH, UPDATE_PATH};
pub use route::{Route, RouteKind, WeightedService};
pub use routes::Routes;
pub use service::Service;
pub use state::{State, StateError, MAX_HISTORY};
pub use tenant::{Quota, QuotaUnit, Tenant};
pub use update::Update;
