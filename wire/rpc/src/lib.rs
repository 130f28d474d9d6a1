//! Frames between the processes of a fleet: rkyv archives behind a length, a version and a checksum.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
