//! What routers go by where the decision module finds servers equal: how much work waits at each
//! server for all routers together.
//!
//! It owns the table of a control machine. It promises that nothing is held of who is gone, and
//! that what is told as changed leads to the same table as the whole would. Pure: no clock, no I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backlog;

pub use backlog::{Backlog, BacklogTable, Changes};
