//! When to call the discovery of the data nodes, and which of its lists to believe.

pub mod call_pacer;
pub mod list_validator;
