//! What routers go by where the decision module finds servers equal: how much of the traffic shares a beginning of its prompt, and how much work
//! waits at each server for all routers together.
//!
//! It owns the estimate of a router and the table of a control machine. It promises that both are bounded, that nothing is held of who is gone, and that
//! what is told as changed leads to the same table as the whole would. Pure: time is an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backlog;
mod popularity;

pub use backlog::{Backlog, BacklogTable, Changes};
pub use popularity::Popularity;
