//! An operator's configuration: parsed, validated, updated; the history of orders.
//!
//! It owns the rules by which a configuration is valid, by which an update changes one, and by which
//! an order is evaluated against those that were applied before. It promises that any input results
//! in a typed error or in a value that has passed every check, that the same changes in the same
//! order result in the same state everywhere, and that a configuration is handed back as it was
//! received: unknown fields, their order and the digits of numbers are preserved. It is pure: no
//! clock, no I/O, no threads.
//!
//! - [`Document`]: a configuration, with [`Route`], [`Service`], [`Tenant`] and [`Limits`] as its
//!   typed views.
//! - [`Routes`]: which route matches a request; [`KeyIndex`]: which tenant an API key belongs to.
//! - [`Order`], [`evaluate`], [`validate`]: an operator's call, and its result.
//! - [`State`]: what the control machines replicate.
//!
//! Modules, each of which knows only those before it: `error`, `json`, `named_list`, `key_digest`;
//! the items `limits`, `route`, `service`, `tenant`; `update`, `document`; the look-ups `routes`
//! and `key_index`; `order`, `validated_order`, `state`, `evaluation`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod document;
mod error;
mod evaluation;
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
