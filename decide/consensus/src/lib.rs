//! The replicated log of a cluster, and the grants of singleton roles that result from it.
//!
//! This crate contains the consensus state of a voter (promises, accepted entries, decided index),
//! the table of grants, and each broker's view of its contact with a majority of the voters
//! ([`quorum_status`]). It guarantees the following under loss, delay, duplication and partition of
//! messages, and under crashes and restarts of voters that keep their storage:
//!
//! - *Agreement*: two voters never decide different entries at the same position, and a decided
//!   entry never changes.
//! - *Persist before send*: among the actions that a call returns, [`VoterAction::Persist`]
//!   precedes every message that depends on it.
//! - *Loss of storage is safe*: a voter that has lost its storage gets another
//!   [`genesis::VoterIdentity`], which the genesis of the cluster does not list, so it does not
//!   vote.
//!
//! The algorithm is OmniPaxos (Ng, Haridi, Carbone 2023), implemented by the library `omnipaxos`.
//! Its election only needs a leader that is connected to a majority. Therefore it makes progress
//! even if a single voter reaches all others, or if links fail in one direction. This crate
//! performs no I/O, reads no clock and draws no random numbers: the caller passes messages and the
//! time, and carries out the returned actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bootstrap;
pub mod genesis;
pub mod log_state;
pub mod persistent_state;
pub mod quorum_status;
pub mod voter;

pub use voter::{Voter, VoterAction, VoterError};
