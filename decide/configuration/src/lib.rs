//! An operator's configuration: parsed, checked, applied; the history of orders.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
