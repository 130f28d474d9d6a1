//! Backlogs of servers: the number of tokens that are pending at each server, over all routers.
//! Routers use the backlogs to choose between servers that the decision module rates equally.
//!
//! [`BacklogTable`] is the table of a control machine. It drops the reports of a lost source, and a
//! receiver that applies the changes has the same table as one that applies a snapshot. The crate
//! has no clock and no I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backlog;

pub use backlog::{Backlog, BacklogChanges, BacklogTable};
