//! Paces the calls to the discovery service of the data nodes, and validates the lists that it
//! returns.

pub mod call_pacer;
pub mod list_validator;
