//! Scripted data nodes, model servers, operators and clients on loopback, with faults by script and
//! a ledger of what each did. They are written from the published protocols and share no code with
//! the brokers, so that they check their wires honestly.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod byte_link;
pub mod discovery;
pub mod features;
pub mod fleet_processes;
pub mod frames;
pub mod http;
mod loopback_block;
pub mod model_server;
pub mod operator;
pub mod relay;
pub mod rig;
pub mod stream_client;
pub mod sync;
