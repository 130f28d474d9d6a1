//! Registry of model servers, which send heartbeats, and of routers, which hold leases.
//!
//! This crate holds the records that a control machine has of servers and routers. It guarantees:
//! - Updates of servers may arrive in any order, repeatedly and over any path. All machines that
//!   have received the same updates have the same records: the records are a state-based CRDT and
//!   form a join semilattice.
//! - An instance that is gone never returns.
//! - Missing heartbeats alone never mark a server as gone.
//!
//! The crate does no I/O and reads no clock. The current time is an argument (`Time` of a monotonic
//! clock).
//!
//! - [`Heartbeat`] is the report of a server.
//! - [`merge_record`], [`merge_pushed_record`] and [`tombstone`] merge two records of one instance,
//!   at control machines and at routers.
//! - [`Registry`] is the table of servers. Its methods return the [`Changes`] to push to routers
//!   and to other control machines.
//! - [`MembershipLeases`] holds the leases of routers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod changes;
mod heartbeat;
mod membership_leases;
mod merge;
mod table;
mod timing;

pub use changes::Changes;
pub use heartbeat::{Heartbeat, HeartbeatError, MAX_HEARTBEAT_BYTES};
pub use membership_leases::{Member, MembershipLeases};
pub use merge::{merge_pushed_record, merge_record, tombstone};
pub use table::Registry;
pub use timing::{
    ADDRESS_CONFLICT_INTERVALS, EXPIRY_AFTER_US, SNAPSHOT_TOMBSTONE_MAX_AGE_US,
    SUSPECT_AFTER_INTERVALS, TOMBSTONE_RETENTION_US,
};
