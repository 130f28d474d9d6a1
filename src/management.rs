//! Operators' calls: one line a connection, at an address of their own, answered by a thread that
//! never waits.
//!
//! The thread owns its listener, its callers and the desired state; the loop that serves clients
//! owns all else. They exchange state through `shared`, where neither holds a lock for longer than
//! a copy takes. So an answer is sent in time however busy the loop is, and however many callers
//! hold connections without a complete call.

pub mod folder;
mod handle;
pub mod handover;
pub mod metrics;
mod shared;
mod thread;
mod warnings;

pub use handle::{ManagementError, ManagementHandle};
pub use shared::Orders;
pub use thread::reserved_descriptors;
