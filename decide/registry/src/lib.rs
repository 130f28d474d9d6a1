//! Model servers by their heartbeats, merged as a lattice; members by their leases.
//!
//! It owns what a control machine knows of servers and routers. It promises that news of servers
//! may come in any order, any number of times, by any way, and that all who have had the same news
//! hold the same records; that an instance that has left never returns; and that silence alone
//! never ends a server. It is pure: time is an argument (microseconds of a steady clock).
//!
//! - [`Heartbeat`]: what a server says.
//! - [`join`], [`tombstone`], [`follow`]: how two records of one instance become one, at control
//!   machines and at routers.
//! - [`Registry`]: the table of servers; each method returns the [`Changes`] that are to be pushed.
//! - [`Members`]: routers by lease.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod heartbeat;
mod lattice;
mod members;
mod table;

pub use heartbeat::{Heartbeat, HeartbeatError, MAX_HEARTBEAT_BYTES};
pub use lattice::{follow, join, tombstone};
pub use members::{Member, Members};
pub use table::{
    Changes, Registry, CONTEST_INTERVALS, FORGOTTEN_AFTER_US, SNAPSHOT_TOMBSTONES_US,
    SUSPECT_AFTER_INTERVALS, TOMBSTONE_KEPT_US,
};
