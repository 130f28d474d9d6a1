//! Days of a whole fleet as real processes with real sockets on one machine: traffic, operators,
//! planned work and troubles that overlap, all drawn from a seed; and a judge of what clients,
//! model servers and operators saw.
//!
//! `plan` draws a day and `judge` judges its journal: both are pure. `day` plays it, with
//! `clients`, `operators` and `servers` as the outside world. They know the program by its command,
//! its settings and its published protocol alone; `volatile_disk` is what a second program puts
//! below the fleet's storage, so that a process that dies loses what it had not synced.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod clients;
pub mod day;
pub mod journal;
pub mod judge;
pub mod operators;
pub mod plan;
pub mod processes;
pub mod servers;
pub mod violation;
pub mod volatile_disk;
