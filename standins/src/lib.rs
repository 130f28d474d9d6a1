//! Scripted data nodes on loopback, each with faults by script and a ledger of what it did. They are written from the
//! published protocols and share no code with the broker, so that they check its wires honestly.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery;
pub mod features;
pub mod frames;
pub mod http;
pub mod relay;
pub mod rig;
