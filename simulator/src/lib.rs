//! Whole control groups in virtual time from a seed.
//!
//! It runs the code that decides ([`lichenswitch_replication`], [`lichenswitch_configuration`]) in
//! control processes whose glue follows `docs/design/control.md`, section 4, on a network and disks
//! with faults, under operators, readers and routers. An [`oracle::Oracle`] judges every response. The
//! same seed gives the same run, event by event.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod callers;
pub mod control;
pub mod disk;
pub mod network;
pub mod oracle;
pub mod orders;
pub mod packet;
pub mod quotas;
pub mod scheduler;
pub mod walk;
pub mod world;
