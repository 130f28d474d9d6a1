//! Server-sent events, cut anywhere.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
