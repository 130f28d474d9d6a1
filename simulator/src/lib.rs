//! Whole control groups in virtual time from a seed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
