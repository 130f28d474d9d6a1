//! Router fleet.
#![forbid(unsafe_code)]
fn main() {}
