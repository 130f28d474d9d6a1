//! Backlogs of servers: how many tokens are pending at each server for all routers together. Routers
//! use them to choose between servers that the decision module finds equal.
//!
//! It owns the table of a control machine. It promises that nothing is kept of a lost source, and that
//! changes lead a receiver to the same table as a snapshot does. Pure: no clock, no I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backlog;

pub use backlog::{Backlog, BacklogChanges, BacklogTable};
