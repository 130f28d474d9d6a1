//! A ring of preallocated segment files with one writer thread.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
