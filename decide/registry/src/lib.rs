//! Membership: model servers by their heartbeats, and routers by their leases.
//!
//! It owns what a control machine knows of servers and routers. It promises that updates of servers
//! may arrive in any order, any number of times and by any way, and that all machines with the same
//! updates have the same records (a state-based CRDT: records form a join semilattice); that an
//! instance that is gone never returns; and that missing heartbeats alone never end a server. It is
//! pure: time is an argument (`Time`, of a monotonic clock).
//!
//! - [`Heartbeat`]: what a server reports.
//! - [`merge_record`], [`tombstone`], [`merge_pushed_record`]: how two records of one instance are
//!   merged, at control machines and at routers.
//! - [`Registry`]: the table of servers; each method returns the [`Changes`] that are to be pushed.
//! - [`MembershipLeases`]: routers by lease.
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
