//! An operator's configuration: parsed, checked, applied; the history of orders.
//!
//! It owns the rules by which a configuration is valid, by which an update changes one, and by
//! which an order is judged against what has been taken before. It promises that whatever it is
//! handed ends in a typed error or in a value that has passed every check, that the same changes in
//! the same order give the same state everywhere, and that a configuration is handed back as it
//! came: fields that are not known here, their order and the digits of numbers are kept. It is
//! pure: no clock, no I/O, no threads.
//!
//! - [`Document`]: a configuration, with [`Route`], [`Service`], [`Tenant`] and [`Limits`] as its
//!   typed views.
//! - [`Routes`]: which route a request takes; [`Keys`]: which tenant holds its key.
//! - [`Order`], [`judge`], [`judge_alone`]: what an operator's call is answered.
//! - [`State`]: what the control machines replicate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod document;
mod error;
mod json;
mod keys;
mod limits;
mod order;
mod route;
mod routes;
mod service;
mod state;
mod tenant;
mod update;

pub use document::Document;
pub use error::ConfigurationError;
pub use json::{MAX_DEPTH, MAX_DOCUMENT_BYTES};
pub use keys::{KeyDigest, Keys};
pub use limits::Limits;
pub use order::{
    judge, judge_alone, parse_base_version, Order, OrderDigest, OrderKind, Verdict, REPLACE_PATH,
    UPDATE_PATH,
};
pub use route::{Route, RouteKind, WeightedService};
pub use routes::Routes;
pub use service::Service;
pub use state::{State, StateError, MAX_HISTORY};
pub use tenant::{Quota, QuotaUnit, Tenant};
pub use update::Update;
