//! Days of a whole fleet as real processes with real sockets on one machine: traffic, operators,
//! planned work and overlapping faults, all drawn from a seed; and a judge of what clients, model
//! servers and operators observed.
//!
//! `plan` draws the plan of a day and `judge` judges its journal: both are pure. `day` runs it, with
//! `processes` as the fleet and `clients`, `operators` and `servers` around it. They know the program by its command,
//! its settings and its published protocol alone; `volatile_disk` is the file
//! system of a second program, whose processes lose what they had not synced when they die.
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
pub mod tenants;
pub mod violation;
pub mod volatile_disk;
