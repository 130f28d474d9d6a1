//! Model servers by their heartbeats, merged as a lattice; members by their leases.
//!
//! It owns what a control machine knows of servers and routers. It promises that news of servers
//! may come in any order, any number of times, by any way, and that all who have had the same news
//! hold the same records; that an instance that has left never returns; and that silence alone
//! never ends a server. It is pure: time is an argument (microseconds of a steady clock).
//!
//! - [`Heartbeat`]: what a server says.
//! - [`merge_record`], [`tombstone`], [`merge_pushed_record`]: how two records of one instance become one, at control
//!   machines and at routers.
//! - [`Registry`]: the table of servers; each method returns the [`Changes`] that are to be pushed.
//! - [`MembershipLeases`]: routers by lease.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod heartbeat;
mod membership_leases;
mod merge;
mod table;

pub use heartbeat::{Heartbeat, HeartbeatError, MAX_HEARTBEAT_BYTES};
pub use membership_leases::{Member, MembershipLeases};
pub use merge::{merge_pushed_record, merge_record, tombstone};
pub use table::{
    Changes, Registry, ADDRESS_CONFLICT_INTERVALS, EXPIRY_AFTER_US, SNAPSHOT_TOMBSTONE_MAX_AGE_US,
    SUSPECT_AFTER_INTERVALS, TOMBSTONE_RETENTION_US,
};
